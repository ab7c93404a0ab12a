package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// stallGapFactor times the route's MaxEventGap is the pause between events
	// after which a resumable stream resumes at another endpoint.
	stallGapFactor = 4
	// stallPredictedFactor times the predicted time to the first event is the time
	// without a first event after which a resumable stream is sent to another
	// endpoint. It is clamped to minStallObjectives and maxStallObjectives times
	// the route's objective.
	stallPredictedFactor = 3
	minStallObjectives   = 0.5
	maxStallObjectives   = 1.6
	// elsewhereFactor times the predicted time at another engine is the time that is left
	// for it before the objective, where speeds differ.
	elsewhereFactor = 1.5
	// startTime is the time after the start of its response after which the prompt of a
	// stream is not taken for the cause of a crash any more.
	startTime = time.Second
	// eventBufferBytes is the size of a stream's read buffer.
	eventBufferBytes = 4 << 10
)

// streamRequest is a request whose response is a stream of events, with the
// state of the response to the caller.
type streamRequest struct {
	*proxyRequest
	// headerSent reports whether the response header was sent to the caller.
	headerSent bool
	// endsWithConnection reports whether the response has no other end than that of the
	// connection, as for callers of HTTP/1.0.
	endsWithConnection bool
	// contentType is the content type of the response to the caller, once headerSent.
	contentType string
	// lastEvent is the ID of the last event that the caller has, if hasLastEvent.
	lastEvent    serving.EventID
	hasLastEvent bool
	controller   *http.ResponseController
	move         streamMove
}

// serveStream serves a request whose response is a stream of events.
func (p *proxyRequest) serveStream() {
	s := &streamRequest{proxyRequest: p, controller: http.NewResponseController(p.writer)}
	if last := platform.LastEventID(p.httpRequest.Header); last >= 0 {
		s.lastEvent, s.hasLastEvent = last, true
	}
	if !p.takeQuota() {
		return
	}
	if c, ok := p.chooseEndpoint(clock.Now(), nil); ok {
		p.recordDemand(c.UncachedTokens)
		p.admitted = c
		if !p.awaitRoom(c, s.hasLastEvent) {
			return
		}
		if !p.canFinishBeforeStop(p.expectedDuration(c)) {
			p.refundQuota()
			p.refuseStopping()
			return
		}
	}
	if reason, responded := p.tryEndpoints(s.attemptStream); !responded {
		s.finishExhausted(reason)
	}
}

// finishExhausted ends a stream that has no further attempt. If the header was
// sent, it aborts the connection so that the stream cannot look complete.
func (s *streamRequest) finishExhausted(reason Reason) {
	if !s.headerSent {
		s.respondExhausted(reason)
		return
	}
	last := zap.Int64("last", int64(s.lastEvent))
	if s.callerGone() {
		s.abandon(last)
	} else {
		s.reason = reason
		if s.handler.Shutdown.Ended() {
			s.reason = ReasonStopping
		}
		s.handler.Logs.Emit(event.RequestAborted, s.logFields(last)...)
	}
	s.abort()
}

// attemptStream makes one attempt and relays its events. If the attempt stalls and another
// endpoint accepts the stream, it goes on there.
func (s *streamRequest) attemptStream(c placement.Choice) (result outcome, reason Reason) {
	a := s.newStreamAttempt(c, s.remaining())
	s.begin(a)
	defer s.end()
	var resumeAfter *serving.EventID
	if s.hasLastEvent {
		last := s.lastEvent
		resumeAfter = &last
	}
	s.await(func() bool { return a.start(s, resumeAfter) })
	for {
		result, reason = s.relay(a)
		a.finish()
		next := s.takeNext()
		if next == nil {
			return result, reason
		}
		a = next
	}
}

// relay relays the response of an attempt, unless another one replaces it.
func (s *streamRequest) relay(sa *streamAttempt) (outcome, Reason) {
	if s.move.next != nil {
		return outcomeLost, ReasonEndpointFailed
	}
	if sa.err != nil {
		return classifyError(sa.err, s.failureReason(sa.ctx))
	}
	a := sa.sent
	metadata := platform.ReadResponse(a.response.Status, a.response.Header)
	if a.response.Status == http.StatusOK && metadata.Sealed && !metadata.NotRun &&
		(!s.headerSent || a.response.Header.Get("Content-Type") == s.contentType) {
		return s.relayEvents(sa.ctx, a)
	}
	// The watchdog waits for the turn while the body is read.
	stalled := time.AfterFunc(s.firstEventTimeout(sa.choice), func() { sa.cancel(errStalled) })
	defer stalled.Stop()
	switch {
	case metadata.NotRun:
		return s.handleNotRun(a)
	case a.response.Status != http.StatusOK && !s.headerSent:
		return s.handleErrorResponse(a, metadata)
	default:
		a.recordOutcome(false)
		return outcomeLost, ReasonInvalidResponse
	}
}

// handleErrorResponse relays a response with a status other than 200 if it is
// complete and sealed, unless the request may be retried.
func (s *streamRequest) handleErrorResponse(a *attempt, metadata platform.Response) (outcome, Reason) {
	body, err := a.response.ReadAll(maxResponseBytes)
	if err != nil || !metadata.Sealed {
		a.recordInvalid(err)
		s.logEndpointFailure(a, err, zap.Int("status", a.response.Status), zap.Bool("sealed", metadata.Sealed))
		return outcomeLost, ReasonInvalidResponse
	}
	a.recordOutcome(false)
	a.recordServed()
	a.recordEvent()
	if s.route.Repeatable() && s.takeAttempt() {
		s.attemptTaken = true
		return outcomeLost, ReasonEndpointFailed
	}
	s.writeResponse(a, body)
	return outcomeResponded, ""
}

// firstEventTimeout returns how long an attempt may take until the first event.
func (s *streamRequest) firstEventTimeout(c placement.Choice) time.Duration {
	if s.hasMoreAttempts() {
		return stallTimeout(s.route.Objective, time.Since(s.started), c)
	}
	return s.remaining()
}

// stallTimeout returns the time without a first event after which a stream is sent to
// another engine, if the route allows it. passed is the time since the request arrived.
// Where engines differ, one that stalls for a moment may take until just before another one
// has to start for the objective: to cancel it sooner would waste its work.
func stallTimeout(objective, passed time.Duration, c placement.Choice) time.Duration {
	least := minStallObjectives * float64(objective)
	if c.Elsewhere > 0 {
		least = max(least, float64(objective-passed)-elsewhereFactor*float64(c.Elsewhere))
	}
	return time.Duration(min(max(stallPredictedFactor*float64(c.TimeToFirstEvent), least), maxStallObjectives*float64(objective)))
}

// eventGapTimeout returns how long an attempt may pause between events.
func (s *streamRequest) eventGapTimeout() time.Duration {
	if s.hasMoreAttempts() && s.route.MaxEventGap > 0 {
		return stallGapFactor * s.route.MaxEventGap
	}
	return s.remaining()
}

// hasMoreAttempts reports whether the route allows another attempt after this one.
func (s *streamRequest) hasMoreAttempts() bool {
	return s.route.Repeatable() && len(s.tried) < s.route.MaxAttempts
}

// relayEvents relays the events of a response until the response ends or fails. It
// skips events that the caller already has.
func (s *streamRequest) relayEvents(ctx context.Context, a *attempt) (outcome, Reason) {
	events := sseReader{reader: bufio.NewReaderSize(a.response, eventBufferBytes), reserve: func(total intake.Bytes) error {
		return a.response.Sender.Reserve(ctx, total)
	}}
	newEvents, firstAt := 0, time.Time{}
	checker := eventChecker{continues: s.headerSent, framed: a.response.Framed}
	for {
		var e sseEvent
		var isNew, complete bool
		var err error
		moved := s.await(func() (goesOn bool) {
			e, err = events.next()
			isNew = e.hasID && (!s.hasLastEvent || e.id > s.lastEvent)
			err = checker.check(e, isNew, err)
			complete = errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && s.headerSent
			return err == nil || complete
		})
		if moved {
			a.response.DoNotReuse()
			a.recordOutcome(false)
			if !complete {
				a.recordBrokenOff(err)
			}
			s.logEndpointFailure(a, errStalled, zap.Int64("last", int64(s.lastEvent)))
			return outcomeLost, ReasonEndpointFailed
		}
		if complete {
			a.recordOutcome(true)
			a.recordServed()
			if s.pool.Engine != nil {
				s.handler.Engines.AddStream(s.pool.Name, newEvents, s.pool.Engine.TokensPerEvent, time.Since(firstAt))
			}
			s.handler.Logs.Emit(event.RequestServed, s.logFields(zap.Int64("last", int64(s.lastEvent)), zap.Duration("first", s.timeToFirst))...)
			s.reportResult(a.response.Status)
			if s.endsWithConnection {
				connection.ResetOnClose(s.httpRequest.Context(), false)
			}
			return outcomeResponded, ""
		}
		if err != nil {
			if s.callerGone() {
				return outcomeLost, ReasonCallerGone
			}
			reason := s.failureReason(ctx)
			if reason != ReasonTimeout {
				a.recordInvalid(err)
			}
			// The body may have been read to its end by now.
			a.response.DoNotReuse()
			s.logEndpointFailure(a, err, zap.Int64("last", int64(s.lastEvent)))
			return outcomeLost, reason
		}
		s.expectEvent(s.eventGapTimeout())
		now := clock.Now()
		s.handler.Tracker.RecordResponse(a.choice.Endpoint, now)
		if now.Sub(a.begunAt) >= startTime {
			a.recordStarted()
		}
		a.recordEvent()
		if e.hasID && !isNew {
			events.release(a.response)
			continue
		}
		if newEvents++; newEvents == 1 {
			firstAt = time.Now()
		}
		err = s.writeEvent(a, e)
		events.release(a.response)
		if err != nil {
			return outcomeLost, ReasonCallerGone
		}
	}
}

// failureReason returns why an exchange failed.
func (s *streamRequest) failureReason(ctx context.Context) Reason {
	switch {
	case s.callerGone():
		return ReasonCallerGone
	case s.remaining() <= 0, errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return ReasonTimeout
	default:
		return ReasonEndpointFailed
	}
}

// writeEvent writes one event to the caller. Before the first event of the
// request it sends the response header.
func (s *streamRequest) writeEvent(a *attempt, e sseEvent) error {
	if !s.headerSent {
		platform.CopyResponseHeader(s.writer.Header(), a.response.Header)
		s.writer.Header().Del("Content-Length")
		s.closeIfStopping()
		if s.endsWithConnection = !s.httpRequest.ProtoAtLeast(1, 1); s.endsWithConnection {
			// Until the stream is complete, so that however it breaks off, the caller sees it.
			connection.ResetOnClose(s.httpRequest.Context(), true)
		}
		s.writer.WriteHeader(a.response.Status)
		s.headerSent, s.contentType = true, a.response.Header.Get("Content-Type")
	}
	if intake.Bytes(len(e.data)) > intake.SmallBody {
		a.response.Sender.Relaying(intake.Bytes(cap(e.data)), s.stopWriting)
	}
	if _, err := s.writer.Write(e.data); err != nil {
		return err
	}
	if err := s.controller.Flush(); err != nil {
		return err
	}
	if e.hasID {
		s.lastEvent, s.hasLastEvent = e.id, true
	}
	return nil
}
