package standin

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// WeightStore is a stand-in of the weight store. It holds every version of
// every model. The zero value has no rate limit.
type WeightStore struct {
	Switch Switch
	// Bytes is the size of each version.
	Bytes int64
	// Every is the time between calls that the limit admits; 0 is no limit.
	Every time.Duration

	once  sync.Once
	limit *rate.Limiter
}

// Handler serves the store's HTTP interface.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		if wait := s.wait(); wait > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
			writeError(w, http.StatusTooManyRequests, "too many calls")
			return
		}
		writeJSON(w, http.StatusOK, platform.Weights{
			Model:   r.PathValue("model"),
			Version: r.PathValue("version"),
			Bytes:   s.Bytes,
			Digest:  r.PathValue("model") + "@" + r.PathValue("version"),
		})
	})
	return s.Switch.guard(mux, nil)
}

// wait returns 0 if the limit admits a call now, and else how long it does not.
func (s *WeightStore) wait() time.Duration {
	if s.Every == 0 {
		return 0
	}
	s.once.Do(func() { s.limit = rate.NewLimiter(rate.Every(s.Every), 1) })
	r := s.limit.Reserve()
	wait := r.Delay()
	if wait > 0 {
		r.Cancel()
	}
	return wait
}
