package standin

import (
	"net/http"
	"sync"
)

// FaultState holds the state of a stand-in. The zero value is in the state StateUp.
type FaultState struct {
	mu    sync.Mutex
	state State
}

// Set sets the state.
func (s *FaultState) Set(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// State returns the state.
func (s *FaultState) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return StateUp
	}
	return s.state
}

// applyState applies the state to every request. refuse writes the response in the
// state StateRefusing; nil means a response with status 503.
func (s *FaultState) applyState(next http.Handler, refuse http.HandlerFunc) http.Handler {
	if refuse == nil {
		refuse = func(w http.ResponseWriter, _ *http.Request) {
			writeError(w, http.StatusServiceUnavailable, errDown.Error())
		}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch s.State() {
		case StateDown:
			panic(http.ErrAbortHandler)
		case StateRefusing:
			refuse(w, r)
			return
		case StateSlow:
			wait(r.Context(), SlowDelay)
		case StateLost:
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}

// FlushError implements the flush that http.ResponseController calls.
func (w *discardWriter) FlushError() error { return nil }
