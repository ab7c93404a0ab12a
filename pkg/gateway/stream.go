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
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// stallGaps is after how many of the longest timely pauses a resumable stream
	// goes on elsewhere.
	stallGaps = 4
	// stallPredicted is after how many times the predicted time to the first event
	// a resumable stream is sent elsewhere, but within stallLeast and stallMost of
	// the objective.
	stallPredicted = 3
	stallLeast     = 0.5
	stallMost      = 1.6
	// lateFactor is how many objectives the predicted time to the first event may
	// take; predictions err, and a late answer is still worth something.
	lateFactor = 1.5
	// eventBuffer is the size of a stream's read buffer, in bytes.
	eventBuffer = 4 << 10
)

// errStalled reports a stream that made no progress.
var errStalled = errors.New("the stream made no progress")

// flow is the state of a stream towards its caller.
type flow struct {
	*job
	// started tells that the header was passed on.
	started bool
	// last is the last event that was passed on.
	last    serving.EventID
	hasLast bool
	out     *http.ResponseController
}

// stream serves a request that is answered by a stream of events.
func (j *job) stream() {
	f := &flow{job: j, out: http.NewResponseController(j.w)}
	if last := platform.ResumePoint(j.r.Header); last >= 0 {
		f.last, f.hasLast = last, true
	}
	if !j.spend() {
		return
	}
	if c, ok := j.choose(clock.Now(), nil); ok {
		j.demand(c.UncachedTokens)
		if !j.worthwhile(c) {
			j.unspend()
			j.refuse(http.StatusServiceUnavailable, ReasonOverload, j.wait)
			return
		}
	}
	if reason, answered := j.try(f.once); !answered {
		f.close(reason)
	}
}

// worthwhile tells whether a stream can still begin in time. It answers a load
// that exceeds the engines: were all admitted, none would be in time.
func (j *job) worthwhile(c placement.Choice) bool {
	bound := min(time.Duration(lateFactor*float64(j.route.Objective)), j.left())
	if c.Idle || c.TimeToFirstEvent < bound {
		return true
	}
	j.wait = c.TimeToFirstEvent - bound
	return false
}

// close ends a stream for which there is no further attempt. A stream that has
// begun is cut, so that it cannot look complete.
func (f *flow) close(reason Reason) {
	if !f.started {
		f.giveUp(reason)
		return
	}
	f.reason = reason
	if f.gone() {
		f.reason = ReasonCallerGone
	}
	f.h.Logs.Emit(event.RequestCut, f.fields(zap.Int64("last", int64(f.last)))...)
	f.finish(0)
	panic(http.ErrAbortHandler)
}

// once makes one attempt and passes its events on.
func (f *flow) once(c placement.Choice) (result outcome, reason Reason) {
	ctx, cancel := f.context(f.left())
	defer cancel()
	ctx, stall := context.WithCancelCause(ctx)
	defer stall(nil)
	watch := time.AfterFunc(f.firstLimit(c), func() { stall(errStalled) })
	defer watch.Stop()
	var resume *serving.EventID
	if f.hasLast {
		resume = &f.last
	}
	a, err := f.send(ctx, c, resume)
	if err != nil {
		return unanswered(err, f.cause(ctx))
	}
	defer a.end()
	says := platform.ReadAnswer(a.answer.Status, a.answer.Header)
	switch {
	case says.NotRun:
		return f.turnedAway(a)
	case a.answer.Status != http.StatusOK && !f.started:
		return f.failure(a, says)
	case a.answer.Status != http.StatusOK || !says.Sealed:
		f.h.Tracker.RecordOutcome(c.Endpoint.ID, false)
		return outcomeLost, ReasonInvalidResponse
	}
	return f.events(ctx, a, watch)
}

// failure passes on an endpoint's answer that is no stream.
func (f *flow) failure(a *attempt, says platform.Answer) (outcome, Reason) {
	body, err := readWhole(a.answer)
	f.h.Tracker.RecordOutcome(a.choice.Endpoint.ID, false)
	if err != nil || !says.Sealed {
		return outcomeLost, ReasonInvalidResponse
	}
	a.read()
	if f.route.Repeatable() && f.again() {
		f.granted = true
		return outcomeLost, ReasonEndpointFailed
	}
	f.pass(a, body)
	return outcomeAnswered, ""
}

// firstLimit is how long an attempt may take to its first event.
func (f *flow) firstLimit(c placement.Choice) time.Duration {
	if f.moreAttempts() {
		objective := float64(f.route.Objective)
		return time.Duration(min(max(stallPredicted*float64(c.TimeToFirstEvent), stallLeast*objective), stallMost*objective))
	}
	return f.left()
}

// gapLimit is how long an attempt may pause between events.
func (f *flow) gapLimit() time.Duration {
	if f.moreAttempts() && f.route.MaxEventGap > 0 {
		return stallGaps * f.route.MaxEventGap
	}
	return f.left()
}

func (f *flow) moreAttempts() bool {
	return f.route.Repeatable() && len(f.tried) < f.route.MaxAttempts
}

// events passes the events of an answer on until it ends or breaks.
func (f *flow) events(ctx context.Context, a *attempt, watch *time.Timer) (outcome, Reason) {
	in := frames{reader: bufio.NewReaderSize(a.answer, eventBuffer)}
	id := a.choice.Endpoint.ID
	for {
		e, err := in.next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && f.started {
			f.h.Tracker.RecordOutcome(id, true)
			f.h.Logs.Emit(event.RequestServed, f.fields(zap.Int64("last", int64(f.last)), zap.Duration("first", f.first))...)
			f.finish(a.answer.Status)
			return outcomeAnswered, ""
		}
		if err != nil {
			if f.gone() {
				return outcomeLost, ReasonCallerGone
			}
			reason := f.cause(ctx)
			if reason != ReasonTimeout {
				f.h.Tracker.RecordOutcome(id, false)
				if f.first == 0 {
					f.broke(id)
				}
			}
			f.h.Logs.Emit(event.EndpointFailed, zap.String("request", string(f.request.ID)), zap.String("endpoint", string(id)),
				zap.Int64("last", int64(f.last)), zap.Error(err))
			return outcomeLost, reason
		}
		watch.Reset(f.gapLimit())
		f.h.Tracker.RecordResponse(a.choice.Endpoint, clock.Now())
		a.read()
		if e.numbered && f.hasLast && e.id <= f.last {
			continue
		}
		if err := f.passEvent(a, e); err != nil {
			return outcomeLost, ReasonCallerGone
		}
	}
}

// cause tells why an exchange ended.
func (f *flow) cause(ctx context.Context) Reason {
	switch {
	case f.gone():
		return ReasonCallerGone
	case f.left() <= 0, errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return ReasonTimeout
	default:
		return ReasonEndpointFailed
	}
}

// passEvent passes one event on, after the header of the first answer.
func (f *flow) passEvent(a *attempt, e frame) error {
	if !f.started {
		platform.CopyAnswerHeader(f.w.Header(), a.answer.Header)
		f.w.Header().Del("Content-Length")
		f.w.WriteHeader(a.answer.Status)
		f.started = true
	}
	if _, err := f.w.Write(e.data); err != nil {
		return err
	}
	if err := f.out.Flush(); err != nil {
		return err
	}
	if e.numbered {
		f.last, f.hasLast = e.id, true
	}
	return nil
}
