package gateway

import (
	"context"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

// maxUnsent bounds how many endpoints are dialled in vain for one request.
const maxUnsent = 4

// connectionMargin leaves room at an endpoint for the connections of nodes that
// are being replaced.
const connectionMargin = 1.25

// attempt is one request to one endpoint.
type attempt struct {
	j        *job
	choice   placement.Choice
	reading  *placement.Prefill
	answer   *forward.Response
	finished bool
}

// choose picks an endpoint that was not tried yet and is not leaving.
func (j *job) choose(now clock.Instant, unreachable []fleet.InstanceID) (c placement.Choice, ok bool) {
	all := j.h.Endpoints(j.pool.Name)
	ready := make([]serving.Endpoint, 0, len(all))
	for _, e := range all {
		if (e.State == serving.StateReady || j.pool.Engine != nil) && !slices.Contains(j.tried, e.ID) && !slices.Contains(unreachable, e.ID) {
			ready = append(ready, e)
		}
	}
	loads := j.h.Tracker.Loads(ready, j.request.PrefixBlocks, j.h.DataCentre, now)
	if j.pool.Engine == nil {
		return placement.ChooseService(loads)
	}
	need := placement.Requirements{PromptTokens: j.request.PromptTokens, SharedTokens: placement.SharedTokens(j.request.PrefixBlocks), FetchesKV: j.pool.Engine.FetchesKV}
	return placement.ChooseEngine(need, loads)
}

// send sends the request to an endpoint.
func (j *job) send(ctx context.Context, c placement.Choice, resume *serving.EventID) (a *attempt, err error) {
	a = &attempt{j: j, choice: c, reading: j.h.Tracker.Begin(c.Endpoint.ID, c.UncachedTokens, clock.Now())}
	dispatch := platform.Dispatch{
		Instance: c.Endpoint.ID,
		Left:     j.left(),
		Urgency:  j.urgency(),
		Engine:   j.pool.Engine != nil,
		Source:   c.KVSource.Address,
	}
	if j.account != nil {
		dispatch.Account = j.account.Name
	}
	if resume != nil {
		dispatch.Resumed, dispatch.Resume = true, *resume
	}
	a.answer, err = j.h.Pool.Do(ctx, forward.Request{
		Address:        c.Endpoint.Address,
		Method:         j.r.Method,
		Target:         j.r.RequestURI,
		Host:           j.r.Host,
		Header:         platform.EndpointHeader(j.r.Header, dispatch),
		Body:           j.body,
		MaxConnections: j.connections(),
		Matches:        j.belongs,
	})
	if err != nil {
		j.lost(a, err)
		a.end()
		return nil, err
	}
	j.h.Tracker.RecordResponse(c.Endpoint, clock.Now())
	return a, nil
}

// connections returns this node's part of an endpoint's connections.
func (j *job) connections() int {
	if j.pool.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(float64(j.pool.MaxConnections)/(connectionMargin*float64(max(1, j.h.Nodes().Total)))))
}

// belongs tells whether an answer is to this request. Endpoints that did not
// run a request need not name it.
func (j *job) belongs(status int, h http.Header) bool {
	a := platform.ReadAnswer(status, h)
	return a.ID == j.request.ID || a.ID == "" && (a.NotRun || status/100 != 2)
}

// lost notes a failed exchange.
func (j *job) lost(a *attempt, err error) {
	id := a.choice.Endpoint.ID
	if j.gone() || errors.Is(err, context.DeadlineExceeded) && j.left() <= 0 {
		return
	}
	var unsent *forward.UnsentError
	if errors.As(err, &unsent) {
		var busy *forward.ConnectionLimitError
		if !errors.As(err, &busy) {
			j.h.Tracker.RecordUnreachable(id, clock.Now())
		}
	} else {
		j.h.Tracker.RecordOutcome(id, false)
		j.broke(id)
	}
	j.h.Logs.Emit(event.EndpointFailed, zap.String("request", string(j.request.ID)), zap.String("endpoint", string(id)), zap.Error(err))
}

func (j *job) broke(id fleet.InstanceID) {
	j.h.RecordFailure(j.content, id)
}

// read notes that the endpoint has read the prompt.
func (a *attempt) read() {
	a.j.begin()
	a.j.h.Tracker.RecordFirstEvent(a.reading, a.j.request.PrefixBlocks, clock.Now())
}

// end closes the exchange.
func (a *attempt) end() {
	if a.finished {
		return
	}
	a.finished = true
	if a.answer != nil {
		a.answer.Close()
	}
	a.j.h.Tracker.End(a.reading)
}

// again tells whether the request may be sent to one more endpoint. Repeatable
// requests may; others only if no endpoint can have run them.
func (j *job) again() bool {
	if j.granted {
		j.granted = false
		return true
	}
	if j.gone() || len(j.tried) >= j.route.MaxAttempts || j.left() <= 0 {
		return false
	}
	if j.mayHaveRun && !j.route.Repeatable() {
		return false
	}
	if j.h.IsQuarantined(j.content) {
		return false
	}
	if len(j.tried) > 0 && !j.h.Retries.Take(j.pool.Name, j.h.Nodes().Total, clock.Now()) {
		return false
	}
	return true
}

// giveUp answers a request for which there is no further attempt.
func (j *job) giveUp(reason Reason) {
	switch {
	case j.gone():
		j.reason = ReasonCallerGone
		j.h.Logs.Emit(event.RequestCut, j.fields()...)
		j.finish(0)
	case !j.mayHaveRun:
		j.unspend()
		j.refuse(http.StatusServiceUnavailable, reason, max(retryShort, j.wait))
	case j.left() <= 0:
		j.fail(http.StatusGatewayTimeout, ReasonTimeout)
	default:
		j.fail(http.StatusBadGateway, reason)
	}
}
