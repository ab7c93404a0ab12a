package entry

import (
	"context"
	"net"
	"net/http"
	"time"
)

// drainPoll is how often a drain looks for requests in flight.
const drainPoll = 10 * time.Millisecond

// opened is the context key of the time at which a connection was accepted.
type opened struct{}

// Connection notes when a connection was accepted. It is the ConnContext of the
// server that the handler serves on.
func (h *Handler) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, opened{}, h.now())
}

// Leave asks callers, with each answer from now on, to close the connection, so
// that they connect to another node before this one refuses requests.
func (h *Handler) DisableKeepAlives() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Drain refuses requests on new connections and waits for those in flight. A
// connection that was open before may bring one more request, whose answer
// tells the caller to close it: refusing it would cut callers who could not know.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.leaving = true
	h.draining = h.now()
	h.mu.Unlock()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for !h.drained() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// drained reports whether nothing was in flight for the time of the linger.
func (h *Handler) drained() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inflight == 0 && h.now().Sub(h.idle) >= h.Linger
}

// Draining reports whether the node refuses new requests.
func (h *Handler) Draining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.draining.IsZero()
}

// begin counts a request in, unless the node refuses it. It reports whether the
// node is about to leave.
func (h *Handler) begin(connection time.Time) (leaving, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.draining.IsZero() && connection.After(h.draining) {
		return true, false
	}
	h.inflight++
	return h.leaving, true
}

func (h *Handler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inflight--
	h.idle = h.now()
}

// counted refuses requests while the node drains and counts the others.
func (h *Handler) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection, _ := r.Context().Value(opened{}).(time.Time)
		leaving, ok := h.begin(connection)
		if leaving {
			w.Header().Set("Connection", "close")
		}
		if !ok {
			h.writeError(w, r, errDraining)
			return
		}
		defer h.end()
		// A deadline that the last request on this connection left must go.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}
