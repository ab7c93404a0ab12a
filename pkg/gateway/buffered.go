package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/platform"
)

// maxResponseBytes is the size limit of a buffered response.
const maxResponseBytes intake.Bytes = 8 << 20

// relayPieceBytes is the amount in which a response is written to its caller.
const relayPieceBytes = 64 << 10

// attemptTimeoutShare is the share of the remaining time after which a repeatable
// request is sent to another endpoint.
const attemptTimeoutShare = 0.45

// outcome is the result of an attempt.
type outcome string

// Outcomes of an attempt.
const (
	// outcomeResponded means that the response was sent to the caller.
	outcomeResponded outcome = "answered"
	// outcomeUnsent means that the endpoint received nothing.
	outcomeUnsent outcome = "unsent"
	// outcomeNotRun means that the endpoint reported that it did not run the request.
	outcomeNotRun outcome = "not-run"
	// outcomeLost means that the endpoint may have run the request.
	outcomeLost outcome = "lost"
)

// serveBuffered serves a request whose response is buffered and relayed once it
// is complete.
func (p *proxyRequest) serveBuffered() {
	if !p.canFinishBeforeStop(p.route.Objective) {
		p.refuseStopping()
		return
	}
	if !p.takeQuota() {
		return
	}
	if reason, responded := p.tryEndpoints(p.attemptBuffered); !responded {
		p.respondExhausted(reason)
	}
}

// tryEndpoints calls tryEndpoint for one endpoint after the other until the
// response was sent to the caller or no further attempt is allowed.
func (p *proxyRequest) tryEndpoints(tryEndpoint func(placement.Choice) (outcome, Reason)) (reason Reason, responded bool) {
	var unreachable []fleet.InstanceID
	reason = ReasonNoEndpoint
	for p.takeAttempt() && len(unreachable) < maxUnsentAttempts {
		c, ok := p.nextEndpoint(unreachable)
		if !ok && p.paused {
			return ReasonEndpointsPaused, false
		}
		if !ok {
			return reason, false
		}
		id := c.Endpoint.ID
		p.tried = append(p.tried, id)
		var result outcome
		result, reason = tryEndpoint(c)
		switch result {
		case outcomeResponded:
			return reason, true
		case outcomeUnsent:
			// A stream may have been sent to another endpoint since.
			p.tried = slices.DeleteFunc(p.tried, func(t fleet.InstanceID) bool { return t == id })
			unreachable = append(unreachable, id)
		case outcomeLost:
			p.mayHaveRun = true
		case outcomeNotRun:
		}
		p.handler.Logs.Emit(event.RequestRetried, p.logFields(zap.String("outcome", string(result)), zap.String("endpoint", string(id)))...)
	}
	return reason, false
}

// nextEndpoint returns the endpoint for the next attempt: for the first one that with which
// the request was admitted, as another draw might choose a slower one.
func (p *proxyRequest) nextEndpoint(unreachable []fleet.InstanceID) (c placement.Choice, ok bool) {
	c, p.admitted = p.admitted, placement.Choice{}
	if c.Endpoint.ID != "" {
		return c, true
	}
	return p.chooseEndpoint(clock.Now(), unreachable)
}

// attemptTimeout returns the timeout of one attempt. While another attempt is
// allowed, it leaves time for that attempt, but is not shorter than twice the
// objective as long as that much time remains.
func (p *proxyRequest) attemptTimeout() time.Duration {
	remaining := p.remaining()
	if p.route.Repeatable() && len(p.tried) < p.route.MaxAttempts {
		return max(time.Duration(attemptTimeoutShare*float64(remaining)), min(remaining, 2*p.route.Objective))
	}
	return remaining
}

// attemptBuffered makes one attempt and relays the response if it is complete,
// sealed and without content encoding, unless its status is 500 or above and the
// request may be retried.
func (p *proxyRequest) attemptBuffered(c placement.Choice) (outcome, Reason) {
	ctx, cancel := p.attemptContext(p.attemptTimeout())
	defer cancel()
	a, err := p.send(ctx, c, nil)
	if err != nil {
		return classifyError(err, ReasonEndpointFailed)
	}
	defer a.finish()
	metadata := platform.ReadResponse(a.response.Status, a.response.Header)
	if metadata.NotRun {
		return p.handleNotRun(a)
	}
	body, err := a.response.ReadAll(maxResponseBytes)
	if err != nil || !metadata.Sealed || a.response.Header.Get("Content-Encoding") != "" {
		a.recordInvalid(err)
		p.logEndpointFailure(a, err, zap.Int("status", a.response.Status), zap.Bool("sealed", metadata.Sealed))
		return outcomeLost, ReasonInvalidResponse
	}
	a.recordEvent()
	a.recordServed()
	failed := a.response.Status >= http.StatusInternalServerError
	a.recordOutcome(!failed)
	if failed && p.route.Repeatable() && p.takeAttempt() {
		p.attemptTaken = true
		return outcomeLost, ReasonEndpointFailed
	}
	p.writeResponse(a, body)
	return outcomeResponded, ""
}

// writeResponse writes a complete response to the caller.
func (p *proxyRequest) writeResponse(a *attempt, body []byte) {
	h := p.writer.Header()
	platform.CopyResponseHeader(h, a.response.Header)
	p.closeIfStopping()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	p.writer.WriteHeader(a.response.Status)
	if err := p.writeBody(a, body); err != nil {
		p.abandon(zap.Error(err))
	}
	p.handler.Logs.Emit(event.RequestServed, p.logFields(zap.Int("status", a.response.Status))...)
	p.reportResult(a.response.Status)
}

// writeBody writes the body of a response to the caller. A caller that reads a long one slowly
// gives way to others that wait for room.
func (p *proxyRequest) writeBody(a *attempt, body []byte) error {
	a.response.Sender.Relaying(intake.Bytes(cap(body)), p.stopWriting)
	for piece := range slices.Chunk(body, relayPieceBytes) {
		if _, err := p.writer.Write(piece); err != nil {
			return err
		}
		a.response.Sender.Arrived(len(piece))
	}
	return nil
}

// stopWriting makes the writes to the caller fail.
func (p *proxyRequest) stopWriting() {
	// A connection that takes no deadline is one of a test.
	_ = http.NewResponseController(p.writer).SetWriteDeadline(time.Now())
}

// classifyError returns the outcome of a failed exchange. A request that was sent
// is lost, with sentReason as the reason.
func classifyError(err error, sentReason Reason) (outcome, Reason) {
	var unsent *forward.UnsentError
	if errors.As(err, &unsent) {
		return outcomeUnsent, ReasonEndpointUnreachable
	}
	return outcomeLost, sentReason
}

// handleNotRun records that an endpoint did not run the request, either because
// the address now belongs to another instance or because the endpoint is full.
func (p *proxyRequest) handleNotRun(a *attempt) (outcome, Reason) {
	drainBody(a)
	a.version.notRun = true
	id, now := a.choice.Endpoint.ID, clock.Now()
	if a.response.Status == http.StatusMisdirectedRequest {
		p.handler.Tracker.RecordUnreachable(id, now)
	} else {
		p.handler.Tracker.RecordFull(id, now)
	}
	return outcomeNotRun, ReasonEndpointsFull
}

// drainBody reads a short response body so that the connection can be reused.
func drainBody(a *attempt) {
	const maxDrainBytes = 16 << 10
	// On an error the connection is not reused; nothing else depends on it.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.response, maxDrainBytes))
}
