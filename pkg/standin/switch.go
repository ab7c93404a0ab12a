package standin

import (
	"net/http"
	"sync"
)

// Switch holds the state of a stand-in. The zero value is up.
type Switch struct {
	mu    sync.Mutex
	state State
}

// Set switches the state.
func (s *Switch) Set(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// State returns the state.
func (s *Switch) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return StateUp
	}
	return s.state
}

// guard applies the state to every call. refuse answers calls in the state
// refusing; nil answers 503.
func (s *Switch) guard(next http.Handler, refuse http.HandlerFunc) http.Handler {
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
			next.ServeHTTP(&unheard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// unheard is an answer that nobody gets.
type unheard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (u *unheard) Header() http.Header { return u.header }

// Write implements http.ResponseWriter.
func (u *unheard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (u *unheard) WriteHeader(int) {}

// FlushError is used by http.ResponseController.
func (u *unheard) FlushError() error { return nil }
