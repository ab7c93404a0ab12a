package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// movePause is the time after which a stalled stream tries again to move.
	movePause = 200 * time.Millisecond
	// maxOverlap is how long a stream that has begun may be at two endpoints: it must not be
	// worked on at the one before 400 ms after it goes on at another one.
	maxOverlap = 300 * time.Millisecond
)

var (
	// errStalled cancels an attempt that sent no event in time.
	errStalled = errors.New("stream stalled: no event in time")
	// errOvertaken cancels an attempt to move a stream that goes on.
	errOvertaken = errors.New("the stalled stream goes on")
)

// streamAttempt is an attempt whose response is a stream.
type streamAttempt struct {
	choice placement.Choice
	ctx    context.Context
	cancel context.CancelCauseFunc
	// release releases the context.
	release context.CancelFunc
	// sent is nil if err is not.
	sent *attempt
	err  error
}

func (s *streamRequest) newStreamAttempt(c placement.Choice, timeout time.Duration) *streamAttempt {
	a := &streamAttempt{choice: c}
	ctx, release := s.attemptContext(timeout)
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.release = func() {
		a.cancel(nil)
		release()
	}
	return a
}

// start sends the request. resumeAfter is the last event that the caller has, if any. It
// reports whether the endpoint has answered and neither refused the request nor failed.
func (a *streamAttempt) start(s *streamRequest, resumeAfter *serving.EventID) (goesOn bool) {
	a.sent, a.err = s.send(a.ctx, a.choice, resumeAfter)
	if a.err != nil {
		return false
	}
	r := a.sent.response
	metadata := platform.ReadResponse(r.Status, r.Header)
	return metadata.Sealed && !metadata.NotRun && r.Status < http.StatusInternalServerError
}

// finish ends the attempt.
func (a *streamAttempt) finish() {
	if a.sent != nil {
		a.sent.finish()
	}
	a.release()
}

// streamMove moves a stream from an endpoint that pauses to another one. The endpoint may
// be alive, as an engine that preempts streams is, so the attempt there ends only when
// another endpoint has accepted the stream, and not if it goes on before. If it fails
// before, the other endpoint is waited for.
type streamMove struct {
	// turn is held by the one that uses the request: its own goroutine, except while that
	// waits for the endpoint, or the watchdog's.
	turn     sync.Mutex
	watchdog *time.Timer
	// current is the attempt whose events are relayed, nil once there is none.
	current *streamAttempt
	// stallsAt is when the attempt counts as stalled.
	stallsAt time.Time
	// next is the attempt that replaces the current one.
	next *streamAttempt

	mu sync.Mutex
	// goesOn reports whether the current endpoint has answered since the last wait began.
	goesOn bool
	// pending is the attempt at another endpoint that has not been accepted yet.
	pending *streamAttempt
	// left reports whether the current attempt was ended for the pending one.
	left bool
}

// begin takes the turn for the first attempt.
func (s *streamRequest) begin(a *streamAttempt) {
	s.move.turn.Lock()
	s.move.current = a
	s.move.watchdog = time.AfterFunc(s.remaining(), s.moveStalled)
	s.expectEvent(s.firstEventTimeout(a.choice))
}

// end ends the last attempt and gives the turn up.
func (s *streamRequest) end() {
	s.move.watchdog.Stop()
	s.move.current = nil
	s.move.turn.Unlock()
}

// expectEvent sets the time until the attempt counts as stalled.
func (s *streamRequest) expectEvent(timeout time.Duration) {
	s.move.stallsAt = time.Now().Add(timeout)
	s.move.watchdog.Reset(timeout)
}

// await gives up the turn while it waits for the current endpoint; wait reports whether
// that has answered and did not fail. It reports whether the stream has moved to another
// endpoint meanwhile.
func (s *streamRequest) await(wait func() (goesOn bool)) (moved bool) {
	m := &s.move
	m.mu.Lock()
	m.goesOn = false
	m.mu.Unlock()
	m.turn.Unlock()
	goesOn := wait()
	m.mu.Lock()
	m.goesOn = goesOn
	if goesOn && m.pending != nil && !m.left {
		m.pending.cancel(errOvertaken)
	}
	m.mu.Unlock()
	m.turn.Lock()
	return m.next != nil
}

// moveStalled moves the stream to another endpoint if it has stalled and another one
// accepts it.
func (s *streamRequest) moveStalled() {
	m := &s.move
	m.turn.Lock()
	defer m.turn.Unlock()
	if m.current == nil || m.next != nil {
		return
	}
	if left := time.Until(m.stallsAt); left > 0 {
		m.watchdog.Reset(left)
		return
	}
	if s.callerGone() {
		m.current.cancel(errStalled)
		return
	}
	if c, ok := s.takeMove(); ok {
		m.next = s.tryMove(c)
	}
	if m.next == nil {
		s.expectEvent(movePause)
		return
	}
	m.current.cancel(errStalled)
}

// takeMove chooses the endpoint to move to and charges the retry. It reports false if the
// stream may not move or there is none.
func (s *streamRequest) takeMove() (c placement.Choice, ok bool) {
	if !s.hasMoreAttempts() || s.remaining() <= 0 || s.handler.IsQuarantined(s.subjects) {
		return c, false
	}
	if c, ok = s.chooseEndpoint(clock.Now(), nil); !ok {
		return c, false
	}
	return c, s.handler.Retries.Take(s.pool.Name, s.handler.Nodes().Total, clock.Now())
}

// tryMove sends the request to another endpoint. It returns the attempt if the endpoint
// accepts it before the stream goes on, or else nil.
func (s *streamRequest) tryMove(c placement.Choice) *streamAttempt {
	m := &s.move
	s.tried = append(s.tried, c.Endpoint.ID)
	a := s.newStreamAttempt(c, s.remaining())
	m.mu.Lock()
	if m.goesOn {
		a.cancel(errOvertaken)
	}
	m.pending, m.left = a, false
	m.mu.Unlock()
	stalled := time.AfterFunc(s.firstEventTimeout(c), func() { a.cancel(errStalled) })
	defer stalled.Stop()
	overlap := time.AfterFunc(maxOverlap, func() { m.leave(a) })
	defer overlap.Stop()
	var resumeAfter *serving.EventID
	if !s.hasLastEvent {
		overlap.Stop()
	} else {
		last := s.lastEvent
		resumeAfter = &last
	}
	a.start(s, resumeAfter)
	accepted := s.accepts(a) && stalled.Stop()
	overlap.Stop()
	m.mu.Lock()
	accepted = accepted && (!m.goesOn || m.left)
	m.pending = nil
	m.mu.Unlock()
	if accepted {
		return a
	}
	a.finish()
	return nil
}

// leave ends the current attempt unless it goes on, or the attempt next is not pending any
// more.
func (m *streamMove) leave(next *streamAttempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending == next && !m.goesOn {
		m.left = true
		m.current.cancel(errStalled)
	}
}

// accepts reports whether the endpoint of an attempt accepted the stream.
func (s *streamRequest) accepts(a *streamAttempt) bool {
	var unsent *forward.UnsentError
	if errors.As(a.err, &unsent) {
		s.tried = s.tried[:len(s.tried)-1]
		return false
	}
	if a.err != nil {
		s.mayHaveRun = true
		return false
	}
	r := a.sent.response
	metadata := platform.ReadResponse(r.Status, r.Header)
	if metadata.NotRun {
		s.handleNotRun(a.sent)
		return false
	}
	s.mayHaveRun = true
	if r.Status != http.StatusOK || !metadata.Sealed || s.headerSent && r.Header.Get("Content-Type") != s.contentType {
		a.sent.recordOutcome(false)
		return false
	}
	return true
}

// takeNext makes the attempt that replaces the current one the current one. It returns nil
// if there is none.
func (s *streamRequest) takeNext() *streamAttempt {
	m := &s.move
	next := m.next
	if next == nil {
		return nil
	}
	s.handler.Logs.Emit(event.RequestRetried, s.logFields(zap.String("outcome", string(outcomeLost)), zap.String("endpoint", string(m.current.choice.Endpoint.ID)))...)
	m.current, m.next = next, nil
	s.expectEvent(s.firstEventTimeout(next.choice))
	return next
}
