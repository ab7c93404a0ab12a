package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/placement"
)

// errStopping ends attempts that are still under way at the end of a planned stop.
var errStopping = errors.New("the node stops")

// stopTimeFactor times the expected duration of a request is the time that must be left
// until the end of a planned stop for the request to be admitted.
const stopTimeFactor = 2

// Shutdown is the state of a planned stop. The zero value is a node that does not stop.
type Shutdown struct {
	mu       sync.Mutex
	begun    bool
	refusing bool
	// refused is closed when the node begins to refuse all requests.
	refused  chan struct{}
	deadline time.Time
	end      context.Context
	endNow   context.CancelFunc
}

// Begin starts a planned stop. From now on responses close their connections, and only
// requests that are expected to finish before the deadline are admitted. At the deadline
// the attempts that are under way end, and their callers receive a final response.
func (s *Shutdown) Begin(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return
	}
	s.begun, s.deadline = true, deadline
	s.prepareEnd()
	time.AfterFunc(time.Until(deadline), s.endNow)
}

// Refuse makes the node refuse all further requests.
func (s *Shutdown) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.refusing {
		s.refusing = true
		close(s.refusedChannel())
	}
}

// Refused returns a channel that is closed when the node begins to refuse all further
// requests.
func (s *Shutdown) Refused() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedChannel()
}

// refusedChannel makes the channel of Refused. The caller holds the lock.
func (s *Shutdown) refusedChannel() chan struct{} {
	if s.refused == nil {
		s.refused = make(chan struct{})
	}
	return s.refused
}

// Begun reports whether a planned stop has begun.
func (s *Shutdown) Begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// Refusing reports whether all further requests are refused.
func (s *Shutdown) Refusing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusing
}

// Ended reports whether the deadline of a planned stop has passed.
func (s *Shutdown) Ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun && !time.Now().Before(s.deadline)
}

// Cap returns a duration, but no more than the time until the deadline of a planned stop.
func (s *Shutdown) Cap(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		return d
	}
	return min(d, time.Until(s.deadline))
}

// prepareEnd makes the context of End. The caller holds the lock.
func (s *Shutdown) prepareEnd() {
	if s.end == nil {
		s.end, s.endNow = context.WithCancel(context.Background())
	}
}

// End returns a context that ends at the deadline of a planned stop.
func (s *Shutdown) End() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepareEnd()
	return s.end
}

// canFinishBeforeStop reports whether the node lives long enough for the request: for all
// the time that the request may take, or for some times what it is expected to take.
func (p *proxyRequest) canFinishBeforeStop(expected time.Duration) bool {
	needed := min(p.timeout, stopTimeFactor*expected)
	return p.handler.Shutdown.Cap(needed) >= needed
}

// expectedDuration returns how long the response to a request is expected to take at the
// chosen endpoint, at least the objective of its route.
func (p *proxyRequest) expectedDuration(c placement.Choice) time.Duration {
	expected := c.TimeToFirstEvent
	if p.pool.Engine != nil {
		decode := p.handler.Engines.Speeds(p.pool.Name).Decode * float64(p.request.MaxOutputTokens)
		expected += time.Duration(decode * float64(time.Millisecond))
	}
	return max(expected, p.route.Objective)
}

// refuseStopping refuses a request because the node stops.
func (p *proxyRequest) refuseStopping() {
	p.refuse(http.StatusServiceUnavailable, ReasonStopping, retryAfterTransient)
}

// closeIfStopping makes the response, which must not have begun, close the connection if
// the node stops.
func (p *proxyRequest) closeIfStopping() {
	if p.handler.Shutdown.Begun() {
		p.writer.Header().Set("Connection", "close")
	}
}

// attemptContext returns the context of one attempt, which ends with the node.
func (p *proxyRequest) attemptContext(timeout time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancelTimeout := context.WithTimeout(p.httpRequest.Context(), timeout)
	ctx, cancelCause := context.WithCancelCause(ctx)
	forget := context.AfterFunc(p.handler.Shutdown.End(), func() { cancelCause(errStopping) })
	return ctx, func() {
		forget()
		cancelCause(nil)
		cancelTimeout()
	}
}
