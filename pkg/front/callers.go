package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/justinas/alice"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
)

const (
	// drainPollInterval is how often a drain looks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// firstRequestWait is how long after the listener was closed a drain waits for the first
	// request on a connection.
	firstRequestWait = time.Second
)

// callerConns tracks the connections of callers. The zero value is ready to use.
type callerConns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// set records the state of a connection. It can serve as the ConnState of an http.Server.
func (c *callerConns) set(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = make(map[net.Conn]http.ConnState)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// count returns the number of connections in a state.
func (c *callerConns) count(state http.ConnState) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		if s == state {
			n++
		}
	}
	return n
}

// callersService serves the requests of callers.
func (f *Front) callersService() kernel.Service {
	done := make(chan struct{})
	s := kernel.Service{Name: ServiceCallers, Done: done}
	s.Start = func(ctx context.Context) error {
		f.callerServer = &http.Server{
			Handler:           alice.New().Then(f.handler()),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			BaseContext:       func(net.Listener) context.Context { return ctx },
			ConnContext:       connection.NewContext,
			ConnState:         f.callerConns.set,
		}
		var err error
		f.callerListener, err = f.serve(ctx, f.callerServer, f.Settings.CallerAddress, done)
		return err
	}
	s.Drain = f.drainCallers
	s.Stop = func(context.Context) error { return f.callerServer.Close() }
	return s
}

// drainCallers closes the listener and idle connections, refuses further requests as not
// run and waits for those in flight. http.Server.Shutdown would close the connections of
// requests that it reads from now on, without a response.
func (f *Front) drainCallers(ctx context.Context) (err error) {
	f.shutdown.Refuse()
	if err = f.callerListener.Close(); errors.Is(err, net.ErrClosed) {
		err = nil
	}
	f.callerServer.SetKeepAlivesEnabled(false)
	waitUntil := time.Now().Add(firstRequestWait)
	for f.callerConns.count(http.StateActive) > 0 || f.callerConns.count(http.StateNew) > 0 && time.Now().Before(waitUntil) {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return errors.CombineErrors(err, ctx.Err())
		}
	}
	return err
}
