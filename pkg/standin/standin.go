// Package standin holds small in-memory stand-ins of the outside systems: the
// platform's log, the instance list, the cloud, the weight store, model engines
// and plain services. They speak the published interfaces over HTTP, and can be
// switched to the failures that those systems have. They are for tests, the
// try-out and measurements only.
package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// State is how a stand-in behaves.
type State string

// The states of a stand-in.
const (
	StateUp State = "up"
	// StateDown refuses every call, with no effect.
	StateDown State = "down"
	// StateSlow delays every call.
	StateSlow State = "slow"
	// StateLost carries a call out and never answers it.
	StateLost State = "lost"
	// StateRefusing answers that nothing was started. Not all stand-ins know it.
	StateRefusing State = "refusing"
)

// SlowDelay is how long a slow stand-in takes for a call.
const SlowDelay = 200 * time.Millisecond

// Server serves a handler on a loopback port.
type Server struct {
	Address string
	http    *http.Server
	group   errgroup.Group
}

// Serve starts serving on a free loopback port.
func Serve(h http.Handler) (*Server, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Address: l.Addr().String(), http: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}}
	s.group.Go(func() error { return s.http.Serve(l) })
	return s, nil
}

// Ports that the system does not give out by itself, so that nobody is given
// one between FreeAddress and its use.
const (
	firstPort = 20000
	ports     = 10000
	portTries = 100
)

// lastPort is the port tried last: a process is never given one twice.
var lastPort = func() *atomic.Uint32 {
	start := new(atomic.Uint32)
	start.Store(rand.Uint32N(ports)) //nolint:gosec // any free port will do
	return start
}()

// FreeAddress returns a loopback address that is free now, for listeners whose
// address others must know before they start.
func FreeAddress() (address string, err error) {
	for range portTries {
		address = net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+int(lastPort.Add(1)%ports)))
		l, failed := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if failed == nil {
			return address, l.Close()
		}
		err = failed
	}
	return "", err
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address }

// Close cuts every connection and ends the server.
func (s *Server) Close() {
	_ = s.http.Close()
	_ = s.group.Wait()
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{message})
}
