package connection

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pollInterval is how often a Tracker looks at its connections while it waits.
	pollInterval = 20 * time.Millisecond
	// firstRequestWait is how long after the listener was closed the first request on a
	// connection may arrive.
	firstRequestWait = time.Second
)

// Tracker tracks the connections of an http.Server, so that the server can be drained
// without http.Server.Shutdown, which closes connections without a response if a request
// arrives on them. The zero value is ready to use.
type Tracker struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// SetState records the state of a connection. It can serve as the ConnState of an
// http.Server.
func (t *Tracker) SetState(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.states == nil {
		t.states = make(map[net.Conn]http.ConnState)
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(t.states, c)
		return
	}
	t.states[c] = s
	if tracked, ok := c.(idler); ok && s == http.StateIdle {
		tracked.setIdle()
	}
}

// in returns the connections in a state.
func (t *Tracker) in(s http.ConnState) (conns []net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, state := range t.states {
		if state == s {
			conns = append(conns, c)
		}
	}
	return conns
}

// CloseIdle closes the listener of a server, waits until its Serve has returned, which
// closes served, and closes the idle connections, unless a request has just arrived on them.
// Connections without a request so far have firstRequestWait to send one, which the server
// answers, and are then closed. The responses of the server must close their connections;
// connections that come neither from Listen nor from a Guard stay open.
func (t *Tracker) CloseIdle(ctx context.Context, l net.Listener, served <-chan struct{}) (err error) {
	if err = l.Close(); errors.Is(err, net.ErrClosed) {
		err = nil
	}
	// A server that still serves the listener would fail to close it again.
	select {
	case <-served:
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, firstRequestWait)
	defer cancel()
	if t.await(ctx, http.StateNew) != nil {
		t.closeIdle(http.StateNew)
		for _, c := range t.in(http.StateNew) {
			if _, ok := c.(idler); !ok {
				// The connection is in no use, so an error has no consequence.
				_ = c.Close()
			}
		}
	}
	return err
}

// closeIdle closes the connections in a state on which nothing has arrived.
func (t *Tracker) closeIdle(s http.ConnState) {
	for _, c := range t.in(s) {
		if tracked, ok := c.(idler); ok {
			tracked.closeIdle()
		}
	}
}

// AwaitRequests waits until no request is in flight.
func (t *Tracker) AwaitRequests(ctx context.Context) error { return t.await(ctx, http.StateActive) }

// await waits until no connection is in a state, and closes those that become idle.
func (t *Tracker) await(ctx context.Context, s http.ConnState) error {
	for {
		t.closeIdle(http.StateIdle)
		if len(t.in(s)) == 0 {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
