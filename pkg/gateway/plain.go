package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/platform"
)

// maxAnswer bounds an answer that is held until it is whole, in bytes.
const maxAnswer = 8 << 20

// errLongAnswer reports an answer that exceeds maxAnswer.
var errLongAnswer = errors.New("answer is too long to be held")

// tryShare is the part of the time left after which a repeatable request is
// sent to another endpoint instead.
const tryShare = 0.45

// outcome is what an attempt came to.
type outcome string

// The outcomes of an attempt.
const (
	outcomeAnswered outcome = "answered"
	// outcomeUnsent: the endpoint received nothing.
	outcomeUnsent outcome = "unsent"
	// outcomeNotRun: the endpoint says that it did not run the request.
	outcomeNotRun outcome = "not-run"
	// outcomeLost: the endpoint may have run the request.
	outcomeLost outcome = "lost"
)

// plain serves a request whose answer is passed on once it is whole.
func (j *job) plain() {
	if !j.spend() {
		return
	}
	if reason, answered := j.try(j.plainOnce); !answered {
		j.giveUp(reason)
	}
}

// try makes attempts at one endpoint after the other until one answers or there
// is no further attempt.
func (j *job) try(once func(placement.Choice) (outcome, Reason)) (reason Reason, answered bool) {
	var unreachable []fleet.InstanceID
	reason = ReasonNoEndpoint
	for j.again() && len(unreachable) < maxUnsent {
		c, ok := j.choose(clock.Now(), unreachable)
		if !ok {
			return reason, false
		}
		id := c.Endpoint.ID
		j.tried = append(j.tried, id)
		var result outcome
		result, reason = once(c)
		switch result {
		case outcomeAnswered:
			return reason, true
		case outcomeUnsent:
			j.tried = j.tried[:len(j.tried)-1]
			unreachable = append(unreachable, id)
		case outcomeLost:
			j.mayHaveRun = true
		case outcomeNotRun:
		}
		j.h.Logs.Emit(event.RequestRetried, j.fields(zap.String("outcome", string(result)), zap.String("endpoint", string(id)))...)
	}
	return reason, false
}

// patience is how long one attempt may take.
func (j *job) patience() time.Duration {
	left := j.left()
	if j.route.Repeatable() && len(j.tried) < j.route.MaxAttempts {
		return max(time.Duration(tryShare*float64(left)), min(left, 2*j.route.Objective))
	}
	return left
}

// plainOnce makes one attempt and passes the answer on if it is whole.
func (j *job) plainOnce(c placement.Choice) (outcome, Reason) {
	ctx, cancel := j.context(j.patience())
	defer cancel()
	a, err := j.send(ctx, c, nil)
	if err != nil {
		return unanswered(err, ReasonEndpointFailed)
	}
	defer a.end()
	says := platform.ReadAnswer(a.answer.Status, a.answer.Header)
	if says.NotRun {
		return j.turnedAway(a)
	}
	body, err := readWhole(a.answer)
	if err != nil || !says.Sealed || a.answer.Header.Get("Content-Encoding") != "" {
		j.h.Tracker.RecordOutcome(a.choice.Endpoint.ID, false)
		j.h.Logs.Emit(event.EndpointFailed, zap.String("request", string(j.request.ID)),
			zap.String("endpoint", string(a.choice.Endpoint.ID)), zap.Int("status", a.answer.Status), zap.Bool("sealed", says.Sealed), zap.Error(err))
		return outcomeLost, ReasonInvalidResponse
	}
	a.read()
	failed := a.answer.Status >= http.StatusInternalServerError
	j.h.Tracker.RecordOutcome(a.choice.Endpoint.ID, !failed)
	if failed && j.route.Repeatable() && j.again() {
		j.granted = true
		return outcomeLost, ReasonEndpointFailed
	}
	j.pass(a, body)
	return outcomeAnswered, ""
}

// pass passes a whole answer on to the caller.
func (j *job) pass(a *attempt, body []byte) {
	h := j.w.Header()
	platform.CopyAnswerHeader(h, a.answer.Header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(a.answer.Status)
	if _, err := j.w.Write(body); err != nil {
		j.reason = ReasonCallerGone
		j.h.Logs.Emit(event.RequestCut, j.fields(zap.Error(err))...)
	}
	j.h.Logs.Emit(event.RequestServed, j.fields(zap.Int("status", a.answer.Status))...)
	j.finish(a.answer.Status)
}

// unanswered sorts a failed exchange: a request that was sent is lost for the
// given reason.
func unanswered(err error, sent Reason) (outcome, Reason) {
	var unsent *forward.UnsentError
	if errors.As(err, &unsent) {
		return outcomeUnsent, ReasonEndpointUnreachable
	}
	return outcomeLost, sent
}

// readWhole reads a body to its end, or fails if it exceeds maxAnswer.
func readWhole(r io.Reader) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(r, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errLongAnswer
	}
	return body, err
}

// turnedAway notes that an endpoint did not run a request: another one has its
// address, or it is full.
func (j *job) turnedAway(a *attempt) (outcome, Reason) {
	drain(a)
	id, now := a.choice.Endpoint.ID, clock.Now()
	if a.answer.Status == http.StatusMisdirectedRequest {
		j.h.Tracker.RecordUnreachable(id, now)
	} else {
		j.h.Tracker.RecordFull(id, now)
	}
	return outcomeNotRun, ReasonEndpointsFull
}

// drain reads a short answer so that its connection can be kept.
func drain(a *attempt) {
	const short = 16 << 10
	// A connection that cannot be read is not kept; nothing else depends on it.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.answer, short))
}
