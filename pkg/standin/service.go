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

// Runs counts how often the request of each idempotency key was run, over all
// services that share it. The zero value is ready to use.
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

// Counts returns the number of runs for each key.
func (r *Runs) Counts() map[fleet.Key]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[fleet.Key]int, len(r.counts))
	for k, n := range r.counts {
		counts[k] = n
	}
	return counts
}

// Service is a stand-in for a plain service.
type Service struct {
	FaultState FaultState
	// Runs counts the requests with an idempotency key. It may be nil.
	Runs *Runs
	// Latency is the processing time of a request.
	Latency time.Duration
}

// Handler returns the HTTP handler of the service. Each response echoes the request:
// its method, path, body and the headers that identify it.
func (s *Service) Handler() http.Handler {
	return s.FaultState.applyState(http.HandlerFunc(s.serve), func(w http.ResponseWriter, _ *http.Request) {
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
	key := r.Header.Get(edge.IdempotencyKeyHeader)
	if key != "" && s.Runs != nil {
		s.Runs.add(fleet.Key(key))
	}
	if !wait(r.Context(), s.Latency) {
		return
	}
	writeJSON(w, http.StatusOK, echoResponse{
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Account: r.Header.Get("Skylarkloom-Account"),
		Key:     key,
		Fence:   r.Header.Get(engine.FenceHeader),
		Echo:    echo(body),
	})
}

type echoResponse struct {
	Method  string          `json:"method"`
	Path    string          `json:"path"`
	Account string          `json:"account"`
	Key     string          `json:"key,omitempty"`
	Fence   string          `json:"fence,omitempty"`
	Echo    json.RawMessage `json:"echo,omitempty"`
}

// echo returns a body as JSON: unchanged if it is valid JSON, otherwise as a JSON
// string.
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
