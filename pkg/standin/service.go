package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Runs counts how often each idempotency key was run, over all services that
// share it. The zero value is ready to use.
type Runs struct {
	mu     sync.Mutex
	counts map[fleet.Key]int
}

func (r *Runs) add(key fleet.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[fleet.Key]int)
	}
	r.counts[key]++
}

// Counts returns how often each key was run.
func (r *Runs) Counts() map[fleet.Key]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[fleet.Key]int, len(r.counts))
	for k, n := range r.counts {
		counts[k] = n
	}
	return counts
}

// Service is a stand-in of a plain service.
type Service struct {
	Switch Switch
	Runs   *Runs
	// Time is how long a call takes.
	Time time.Duration
}

// Handler serves the plain service. It answers every call with what it was.
func (s *Service) Handler() http.Handler {
	return s.Switch.guard(http.HandlerFunc(s.serve), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(endpoint.NotStartedHeader, "true")
		writeError(w, http.StatusServiceUnavailable, "not started")
	})
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	key := r.Header.Get(edge.KeyHeader)
	if key != "" && s.Runs != nil {
		s.Runs.add(fleet.Key(key))
	}
	if !wait(r.Context(), s.Time) {
		return
	}
	writeJSON(w, http.StatusOK, receipt{
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Account: r.Header.Get("Skylarkloom-Account"),
		Key:     key,
		Fence:   r.Header.Get(engine.FenceHeader),
		Echo:    echo(body),
	})
}

type receipt struct {
	Method  string          `json:"method"`
	Path    string          `json:"path"`
	Account string          `json:"account"`
	Key     string          `json:"key,omitempty"`
	Fence   string          `json:"fence,omitempty"`
	Echo    json.RawMessage `json:"echo,omitempty"`
}

// echo returns a body as JSON: itself if it is JSON, else as a string.
func echo(body []byte) json.RawMessage {
	if len(body) == 0 {
		return nil
	}
	if json.Valid(body) {
		return body
	}
	text, err := json.Marshal(string(body))
	if err != nil {
		return nil
	}
	return text
}
