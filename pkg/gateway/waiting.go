package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
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
	// idleFirstEventTime is the time to the first event on an idle engine that has the
	// prompt cached.
	idleFirstEventTime = 60 * time.Millisecond
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

// awaitRoom waits until the engines have room for the request, for which c was chosen. It
// responds to a request that it does not admit. A stream that the caller resumes does not
// wait behind new ones of its account.
func (p *proxyRequest) awaitRoom(c placement.Choice, resumed bool) bool {
	if p.pool.Engine == nil || p.route.Objective <= 0 {
		return p.canStartInTime(c) || p.refuseLate(ReasonOverload)
	}
	q := p.handler.Waiting.Of(p.pool.Name)
	now := clock.Now()
	r := p.waitingRequest(c, now)
	r.Returning = resumed
	conditions := p.conditions(q, c)
	mayStart := conditions.Room() && conditions.MayStart()
	if mayStart && !conditions.Contended {
		q.RecordSent(r, now)
		return true
	}
	wait := q.Wait(&r, p.capacity(conditions), now)
	if !(mayStart && wait == 0) && !conditions.MayWait(wait) {
		q.RecordRefusal(r, now)
		p.retryAfter = time.Duration(max(0, wait+conditions.Prediction-p.route.Objective))
		return p.refuseLate(ReasonOverload)
	}
	return p.wait(q, q.Add(r, now), c)
}

// wait waits with a ticket until the request, for which c was chosen, may be sent.
func (p *proxyRequest) wait(q *waiting.Queue, t *waiting.Ticket, c placement.Choice) bool {
	begunAt := clock.Now()
	result := WaitSent
	defer func() {
		if p.handler.OnWait != nil {
			p.handler.OnWait(p.pool.Name, Wait{Rank: t.Rank, Result: result, Duration: clock.Now().Sub(begunAt)})
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.Wake():
		case <-timer.C:
		case <-p.httpRequest.Context().Done():
		case <-p.handler.Shutdown.Refused():
			result = WaitStopped
			q.Remove(t, clock.Now())
			p.refundQuota()
			p.refuseStopping()
			return false
		}
		now := clock.Now()
		if p.callerGone() {
			result = WaitLeft
			q.Remove(t, now)
			p.refundQuota()
			p.abandon()
			p.abort()
		}
		if !q.IsFirst(t, now) {
			timer.Reset(waitCheckInterval)
			conditions := p.conditions(q, c)
			if conditions.MayWait(q.Wait(&t.Request, p.capacity(conditions), now)) {
				continue
			}
		} else if latest, ok := p.chooseEndpoint(now, nil); ok {
			timer.Reset(roomCheckInterval)
			c = latest
			conditions := p.conditions(q, c)
			if conditions.Room() && conditions.MayStart() && q.Take(t, p.capacity(conditions), now) {
				return true
			}
			if conditions.MayWait(0) {
				continue
			}
		} else {
			// The attempts find no endpoint either, and respond accordingly.
			q.Remove(t, now)
			return true
		}
		result = WaitRefused
		q.Remove(t, now)
		return p.refuseLate(ReasonNoRoom)
	}
}

// refuseLate refuses a request that cannot begin in time, as not run.
func (p *proxyRequest) refuseLate(reason Reason) bool {
	p.refundQuota()
	return p.refuse(http.StatusServiceUnavailable, reason, max(retryAfterTransient, p.retryAfter))
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
		LatestStart: now.Add(p.route.Objective - time.Since(p.started) - c.TimeToFirstEvent),
	}
	if p.account != nil {
		r.Account, r.Weight = p.account.Name, p.accountWeight(p.account)
	}
	return r
}

// accountWeight returns the weight of an account, which is its quota rate in tokens. An
// account without one has the mean of the others.
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
		Queue: max(0, c.TimeToFirstEvent-idleFirstEventTime-p.prefillTime(c.UncachedTokens)), Prediction: c.TimeToFirstEvent, Idle: c.Idle,
		Objective: p.route.Objective, Spent: time.Since(p.started), Remaining: p.remaining(),
		Contended: q.Contended(clock.Now()),
	}
	if conditions.Contended {
		conditions.Tightest = p.tightestObjective()
		conditions.Outranked = q.Outranked(waiting.Rank(p.priority()))
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
	capacity := waiting.Capacity{Limit: c.Limit()}
	for _, tokens := range p.handler.Tracker.Backlogs(ready) {
		capacity.Queues = append(capacity.Queues, p.prefillTime(tokens))
	}
	nodes := p.handler.Nodes()
	capacity.Nodes = waiting.Nodes{Total: nodes.Total, Silent: nodes.Silent}
	return capacity
}
