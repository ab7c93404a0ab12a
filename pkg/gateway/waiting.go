package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/returning"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
)

const (
	// lateStartFactor times the route's objective is the highest predicted time to the
	// first event of a stream whose requests do not wait at the node.
	lateStartFactor = 1.5
	// roomCheckInterval is the pause between looks of the first waiting request for room,
	// waitCheckInterval that between looks of the others for their hope and their callers.
	roomCheckInterval = 50 * time.Millisecond
	waitCheckInterval = 200 * time.Millisecond
	// maxReturnPart is the part of its remaining time up to which a caller honours a
	// Retry-After time.
	maxReturnPart = 3
)

// WaitResult is how a wait for room ended.
type WaitResult string

// The results of a wait. Their values are labels of metrics.
const (
	// WaitSent means that the request was sent to an engine.
	WaitSent WaitResult = "sent"
	// WaitRefused means that the request could not begin in time any more.
	WaitRefused WaitResult = "refused"
	// WaitStopped means that the node stopped.
	WaitStopped WaitResult = "stopped"
	// WaitLeft means that the caller left.
	WaitLeft WaitResult = "caller left"
)

// Wait describes the end of a wait for room.
type Wait struct {
	Rank     waiting.Rank
	Result   WaitResult
	Duration time.Duration
}

// wakeWaiting makes the first request that waits for the pool look again for room.
func (p *proxyRequest) wakeWaiting() {
	if p.pool.Engine != nil {
		p.handler.Waiting.Of(p.pool.Name).Wake(clock.Now())
	}
}

// Return is what a caller was told, or did, about coming back.
type Return string

// The returns. Their values are labels of metrics.
const (
	// ReturnPromised means that a caller was told when to come back.
	ReturnPromised Return = "promised"
	// ReturnKept and ReturnEarly mean that a caller came back at its time or later, or
	// before it.
	ReturnKept  Return = "kept"
	ReturnEarly Return = "early"
)

// awaitRoom waits until the engines have room for the request, for which c was chosen. It
// responds to a request that it does not admit. A stream that the caller resumes does not
// wait behind new ones of its account.
func (p *proxyRequest) awaitRoom(c placement.Choice, resumed bool) bool {
	// In a small fleet the engine with the most room is known, and one prediction decides. In a
	// pool of uneven engines the engine is drawn, and the room there says nothing of the room
	// at the others.
	if p.pool.Engine == nil || p.route.Objective <= 0 || c.Uneven() || !placement.LateView(p.handler.Nodes().Lag) {
		if p.canStartInTime(c) {
			return true
		}
		p.refundQuota()
		return p.refuse(http.StatusServiceUnavailable, ReasonOverload, p.retryAfter)
	}
	q := p.handler.Waiting.Of(p.pool.Name)
	now := clock.Now()
	w := &roomWait{proxyRequest: p, queue: q, choice: c, begunAt: now}
	kept := p.returns(now)
	r := p.waitingRequest(c, now)
	r.Returning = resumed || kept
	conditions := p.conditions(q, c)
	if q.Empty() && !conditions.Short && conditions.Room() && conditions.MayStart() {
		q.RecordSent(r, now)
		return true
	}
	wait := q.Wait(&r, p.capacity(conditions), now)
	if !conditions.Idle && !conditions.MayWait(wait) {
		q.RecordRefusal(r, now)
		return w.refuse(ReasonOverload, wait+conditions.Prediction-p.route.Objective)
	}
	w.ticket = q.Add(r, now)
	result := w.run()
	if p.handler.OnWait != nil {
		p.handler.OnWait(p.pool.Name, Wait{Rank: r.Rank, Result: result, Duration: clock.Now().Sub(w.begunAt)})
	}
	switch result {
	case WaitSent:
		return true
	case WaitLeft:
		p.refundQuota()
		p.abandon()
		p.abort()
	case WaitStopped:
		p.refundQuota()
		p.refuseStopping()
	case WaitRefused:
		return w.refuse(ReasonNoRoom, 0)
	}
	return false
}

// roomWait is a request's wait for room.
type roomWait struct {
	*proxyRequest
	queue   *waiting.Queue
	ticket  *waiting.Ticket
	choice  placement.Choice
	begunAt clock.Instant
}

// run waits until the request may be sent or has to be refused. Its ticket is no longer
// in the queue then.
func (w *roomWait) run() WaitResult {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		stopped := false
		select {
		case <-w.ticket.Wake():
		case <-timer.C:
		case <-w.httpRequest.Context().Done():
			// The caller left, or the node ends.
			stopped = true
		case <-w.handler.Shutdown.Refused():
			stopped = true
		}
		now := clock.Now()
		if w.callerGone() {
			w.queue.Remove(w.ticket, now)
			return WaitLeft
		}
		if stopped {
			w.queue.Remove(w.ticket, now)
			return WaitStopped
		}
		if w.queue.IsFirst(w.ticket, now) {
			timer.Reset(roomCheckInterval)
			if w.tryRoom(now) {
				return WaitSent
			}
		} else {
			timer.Reset(waitCheckInterval)
		}
		if !w.mayWait(now) {
			w.queue.Remove(w.ticket, now)
			return WaitRefused
		}
	}
}

// tryRoom takes the first request from the queue if there is room for it.
func (w *roomWait) tryRoom(now clock.Instant) bool {
	c, ok := w.chooseEndpoint(now, nil)
	w.admitted = c
	if !ok {
		// The attempts find no endpoint either, and respond accordingly.
		w.queue.Remove(w.ticket, now)
		return true
	}
	w.choice = c
	conditions := w.conditions(w.queue, c)
	return conditions.Room() && (c.Idle || conditions.MayWait(0)) && w.queue.Take(w.ticket, w.capacity(conditions), now)
}

// mayWait reports whether the request may still begin in time after those before it.
func (w *roomWait) mayWait(now clock.Instant) bool {
	conditions := w.conditions(w.queue, w.choice)
	if conditions.Idle && conditions.Spent < conditions.Objective {
		return true
	}
	return conditions.MayWait(w.queue.Wait(&w.ticket.Request, w.capacity(conditions), now))
}

// refuse refuses a request for lack of room, as not run, with the time at which there is
// expected to be some, but not before the given time.
func (w *roomWait) refuse(reason Reason, earliest time.Duration) bool {
	w.refundQuota()
	at := clock.Now()
	now := time.UnixMilli(w.handler.UnixTime(at))
	nodes := w.handler.Nodes()
	after := w.handler.Returns.Promise(returning.Query{
		Pool:     w.pool.Name,
		Work:     w.waitingRequest(w.choice, at).Work,
		Rate:     w.capacity(w.conditions(w.queue, w.choice)).Rate(),
		Known:    float64(nodes.Total-nodes.Silent) / float64(max(1, nodes.Total)),
		Earliest: max(retryAfterTransient, earliest),
		Latest:   max(retryAfterTransient, w.remaining()/maxReturnPart),
	}, now)
	w.handler.Visitors.Record(w.content(), now.Add(after))
	w.countReturn(ReturnPromised)
	return w.refuseUntil(http.StatusServiceUnavailable, reason, after)
}

// content identifies what the caller sends.
func (p *proxyRequest) content() returning.Content {
	return returning.Content(p.subjects[len(p.subjects)-1])
}

// returns reports whether the caller was told to come back, and does so not before its
// time.
func (p *proxyRequest) returns(now clock.Instant) bool {
	standing := p.handler.Visitors.Standing(p.content(), time.UnixMilli(p.handler.UnixTime(now)))
	if standing == returning.StandingNew {
		return false
	}
	if p.request.Deadline > 0 {
		// Callers give the rest of their time.
		p.spentBefore = max(0, p.route.Timeout-p.request.Deadline)
	}
	if standing == returning.StandingEarly {
		p.countReturn(ReturnEarly)
		return false
	}
	p.countReturn(ReturnKept)
	return true
}

// countReturn calls OnReturn.
func (p *proxyRequest) countReturn(what Return) {
	if p.handler.OnReturn != nil {
		p.handler.OnReturn(p.pool.Name, what)
	}
}

// canStartInTime reports whether the first event of a stream is predicted to come in time
// at an endpoint whose requests do not wait at the node.
func (p *proxyRequest) canStartInTime(c placement.Choice) bool {
	maxWait := min(time.Duration(lateStartFactor*float64(p.route.Objective)), p.remaining())
	if c.Idle || c.TimeToFirstEvent < maxWait {
		return true
	}
	p.retryAfter = c.TimeToFirstEvent - maxWait
	return false
}

// waitingRequest describes the request to the queue.
func (p *proxyRequest) waitingRequest(c placement.Choice, now clock.Instant) waiting.Request {
	speeds := p.handler.Engines.Speeds(p.pool.Name)
	r := waiting.Request{
		Rank:        waiting.Rank(p.priority()),
		Work:        max(1, speeds.EngineTime(c.UncachedTokens, p.request.MaxOutputTokens)),
		LatestStart: now.Add(p.route.Objective - p.spentBefore - time.Since(p.started) - c.TimeToFirstEvent),
	}
	if p.account == nil {
		r.Weight = p.accountWeight(&serving.Account{})
	} else {
		r.Account, r.Weight = p.account.Name, p.accountWeight(p.account)
	}
	return r
}

// accountWeight returns the weight of an account, which is its quota rate in tokens. An
// account without one, or all requests without an account, have the mean of the others.
func (p *proxyRequest) accountWeight(a *serving.Account) float64 {
	if a.Quota.Rate > 0 {
		return p.tokenRate(a.Quota)
	}
	sum, count := 0.0, 0
	for i := range p.config.Accounts {
		if q := p.config.Accounts[i].Quota; q.Rate > 0 {
			sum += p.tokenRate(q)
			count++
		}
	}
	return sum / float64(max(1, count))
}

// tokenRate returns the rate of a quota in tokens. A quota that counts requests stands
// for requests like this one.
func (p *proxyRequest) tokenRate(q serving.Quota) float64 {
	if q.ByTokens {
		return q.Rate
	}
	return q.Rate * max(1, float64(p.request.PromptTokens+p.request.MaxOutputTokens))
}

// conditions returns what the node knows about the request at its chosen engine.
func (p *proxyRequest) conditions(q *waiting.Queue, c placement.Choice) waiting.Conditions {
	conditions := waiting.Conditions{
		Queue: c.Queue, Prediction: c.TimeToFirstEvent, Idle: c.Idle,
		Objective: p.route.Objective, Spent: time.Since(p.started), Remaining: p.remaining(),
		Short: q.Short(p.poolSize, clock.Now()),
	}
	if conditions.Short {
		conditions.Tightest = p.tightestObjective()
		late := p.spentBefore+conditions.Spent+conditions.Prediction > conditions.Objective
		conditions.Outranked = q.Outranked(waiting.Rank(p.priority()), late)
	}
	return conditions
}

// prefillTime returns how long the pool's engines usually take to prefill a prompt.
func (p *proxyRequest) prefillTime(uncached fleet.Tokens) time.Duration {
	return time.Duration(float64(uncached) / p.handler.Engines.Speeds(p.pool.Name).Prefill * float64(time.Millisecond))
}

// tightestObjective returns the shortest objective among the streams of the pool.
func (p *proxyRequest) tightestObjective() time.Duration {
	shortest := p.route.Objective
	for i := range p.config.Routes {
		r := &p.config.Routes[i]
		if r.Kind == serving.KindStream && r.Objective > 0 && r.Objective < shortest &&
			slices.ContainsFunc(r.Targets, func(t serving.Target) bool { return t.Pool == p.pool.Name }) {
			shortest = r.Objective
		}
	}
	return shortest
}

// capacity returns what the engines can do and the nodes that share them.
func (p *proxyRequest) capacity(c waiting.Conditions) waiting.Capacity {
	ready := slices.DeleteFunc(slices.Clone(p.handler.Endpoints(p.pool.Name)), func(e serving.Endpoint) bool { return e.State != serving.StateReady })
	capacity := waiting.Capacity{Limit: c.Limit(), Outranked: c.Outranked}
	for _, tokens := range p.handler.Tracker.Backlogs(ready) {
		capacity.Queues = append(capacity.Queues, p.prefillTime(tokens))
	}
	nodes := p.handler.Nodes()
	capacity.Nodes = waiting.Nodes{Total: nodes.Total, Silent: nodes.Silent}
	return capacity
}
