// Package standin provides in-memory stand-ins for external systems: the
// platform's log, the instance list, the cloud, model engines and plain services.
// They implement the published HTTP interfaces and can simulate the failures of
// these systems. They are for tests, the trial fleet of package trial and
// measurements only.
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

// State is the simulated state of a stand-in.
type State string

// The states of a stand-in.
const (
	StateUp State = "up"
	// StateDown executes no request. The log and the cloud respond with status 503;
	// engines and services close the connection without a response.
	StateDown State = "down"
	// StateSlow delays every request by SlowDelay.
	StateSlow State = "slow"
	// StateLost executes requests and drops the responses. In the log it applies to
	// appends only, in the cloud to starts of instances only.
	StateLost State = "lost"
	// StateRefusing responds that the request was not started. Only engines and
	// services support it; the log and the cloud work as in StateUp.
	StateRefusing State = "refusing"
)

// SlowDelay is the delay of a request in the state StateSlow.
const SlowDelay = 200 * time.Millisecond

// Server is an HTTP server on a loopback port.
type Server struct {
	Address string
	http    *http.Server
	group   errgroup.Group
}

// Serve starts a server for a handler on a free loopback port.
func Serve(h http.Handler) (*Server, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Address: l.Addr().String(), http: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}}
	s.group.Go(func() error { return s.http.Serve(l) })
	return s, nil
}

// Ports of FreeAddress. The range is outside the operating system's ephemeral
// ports, so that the system assigns none of them to another socket between
// FreeAddress and the use of the address.
const (
	firstPort    = 20000
	portCount    = 10000
	maxPortTries = 100
)

// lastPort is the offset of the port tried last from firstPort, modulo portCount.
// It starts at a random value and only counts up, so that a process does not get the
// same port twice.
var lastPort = func() *atomic.Uint32 {
	start := new(atomic.Uint32)
	start.Store(rand.Uint32N(portCount)) //nolint:gosec // any free port will do
	return start
}()

// FreeAddress returns a loopback address that is free at present, for listeners
// whose address must be known to others before they start.
func FreeAddress() (address string, err error) {
	for range maxPortTries {
		address = net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+int(lastPort.Add(1)%portCount)))
		l, listenErr := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if listenErr == nil {
			return address, l.Close()
		}
		err = listenErr
	}
	return "", err
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address }

// Close closes every connection and shuts the server down.
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
