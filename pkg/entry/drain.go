package entry

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// drainPollInterval is how often a drain checks for requests in flight.
	drainPollInterval = 10 * time.Millisecond
	// finalResponseTime is how long after the end of a drain callers whose requests are
	// still in flight may take to receive their final response.
	finalResponseTime = time.Second
)

// acceptTimeKey is the context key of the time at which a connection was accepted.
type acceptTimeKey struct{}

// ConnContext records in the context when a connection was accepted. It must be
// set as http.Server.ConnContext of the server that uses the handler.
func (h *Handler) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, acceptTimeKey{}, h.now())
}

// DisableKeepAlives adds "Connection: close" to each response from now on, so that
// callers connect to another node before this one refuses requests.
func (h *Handler) DisableKeepAlives() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closing = true
}

// Drain refuses requests on new connections and waits for those in flight. An
// older connection may send one more request, whose response asks the caller to
// close it: a caller that has not been asked to close must not be refused. When the
// context ends, the requests in flight fail, so that their callers receive a response.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.closing = true
	h.drainStart = h.now()
	h.mu.Unlock()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for !h.drained() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			h.failInFlight()
			return ctx.Err()
		}
	}
	return nil
}

// failInFlight ends the contexts of the requests in flight and waits until they were
// answered, at most for finalResponseTime.
func (h *Handler) failInFlight() {
	_, endNow := h.ended()
	endNow()
	for waitUntil := time.Now().Add(finalResponseTime); h.InFlight() > 0 && time.Now().Before(waitUntil); {
		time.Sleep(drainPollInterval)
	}
}

// ended returns the context that ends with a drain that did not finish in time, and the
// function that ends it.
func (h *Handler) ended() (context.Context, context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.end == nil {
		h.end, h.endNow = context.WithCancel(context.Background())
	}
	return h.end, h.endNow
}

// drained reports whether no request has been in flight for the duration of
// DrainIdleTime.
func (h *Handler) drained() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inflight == 0 && h.now().Sub(h.lastFinished) >= h.DrainIdleTime
}

// Draining reports whether the node refuses new requests.
func (h *Handler) Draining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.drainStart.IsZero()
}

// beginRequest counts a request as in flight; ok is false if the node refuses it.
// closing reports whether the response must close the connection.
func (h *Handler) beginRequest(acceptedAt time.Time) (closing, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.drainStart.IsZero() && acceptedAt.After(h.drainStart) {
		return true, false
	}
	h.inflight++
	return h.closing, true
}

func (h *Handler) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inflight--
	h.lastFinished = h.now()
}

// trackInFlight refuses requests on new connections while the node drains and
// counts the others.
func (h *Handler) trackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		acceptedAt, _ := r.Context().Value(acceptTimeKey{}).(time.Time)
		closing, ok := h.beginRequest(acceptedAt)
		if closing {
			w.Header().Set("Connection", "close")
		}
		if !ok {
			h.writeError(w, r, errDraining)
			return
		}
		defer h.endRequest()
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		end, _ := h.ended()
		defer context.AfterFunc(end, func() { cancel(errStopped) })()
		r = r.WithContext(ctx)
		// Clear the write deadline of the previous request on this connection.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}
