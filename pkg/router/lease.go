package router

import (
	"context"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// lease is the use of an endpoint for one attempt.
type lease struct {
	router   *Router
	instance fleet.Instance
	start    time.Time
	deadline time.Time
	chain    []uint64
	// prompt counts the prompt and the tokens of earlier attempts.
	prompt  fleet.Tokens
	cached  fleet.Tokens
	output  fleet.Tokens
	emitted int
	// alone is set if the node had no other work there at the start.
	alone bool
	stay  context.Context
	leave context.CancelFunc
	move  *time.Timer
}

// use counts a lease of an instance in. The lock is held.
func (r *Router) use(i fleet.Instance, q route.Query) *lease {
	s := r.state(i.Ref())
	l := &lease{
		router:   r,
		instance: i,
		start:    q.Now,
		deadline: q.Deadline,
		prompt:   q.PromptTokens,
		output:   q.OutputTokens,
		alone:    len(s.work) == 0,
	}
	l.stay, l.leave = context.WithCancel(context.Background())
	s.work[l] = struct{}{}
	r.count(i, s)
	if r.Roster.Condition(i.Ref()).Rank() > 0 {
		l.leave()
	}
	return l
}

// generation is the lease as a generation sees it.
func (l *lease) generation() generation.Lease {
	return generation.Lease{
		Engine:  endpoint.DialEngine(l.instance, l.router.Client),
		MoveCtx: l.stay,
		Cached:  l.cached,
		Observe: l.observe,
		Release: l.release,
	}
}

func (l *lease) observe(o generation.Observation) {
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	l.router.observe(l, o, l.router.now())
}

// release ends the use. It may be called more than once.
func (l *lease) release(err error) {
	r := l.router
	if refused(err) {
		r.RecordRefusal(l.instance, r.now())
	} else if err == nil {
		r.RecordResponse(l.instance)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l.leave()
	if l.move != nil {
		l.move.Stop()
	}
	s := r.states[l.instance.Ref()]
	if s == nil {
		return
	}
	delete(s.work, l)
	r.count(l.instance, s)
}

// count brings the view to the work on an instance. The lock is held.
func (r *Router) count(i fleet.Instance, s *endpointState) {
	if c := r.find(i.Pool, i.Ref()); c != nil {
		r.pools[i.Pool].mine += len(s.work) - c.LocalWork
		c.LocalWork = len(s.work)
	}
}

// work is the lease as the plan of moves sees it.
func (l *lease) work(now time.Time, s route.TokenTimes) route.RunningRequest {
	token := s.Decode
	if token <= 0 {
		token = route.DefaultDecodeTime
	}
	done := fleet.Tokens(now.Sub(l.start) / token)
	left := max(l.output-done, l.output/2)
	return route.RunningRequest{
		Deadline:        l.deadline,
		RecomputeTokens: l.prompt + done,
		Remaining:       time.Duration(left) * token,
	}
}

// Marked plans the moves of the work on an instance that leaves or is gone. It
// is the roster's Marked.
func (r *Router) HandleInstanceReport(m roster.Report) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[m.Instance]
	if s == nil {
		return
	}
	leases := make([]*lease, 0, len(s.work))
	for l := range s.work {
		leases = append(leases, l)
	}
	if len(leases) == 0 {
		return
	}
	if m.Condition == fleet.ConditionGone {
		for _, l := range leases {
			l.leave()
		}
		return
	}
	r.plan(leases, m.Leaves, now)
}

// plan sets the timers of the moves. The lock is held.
func (r *Router) plan(leases []*lease, leaves, now time.Time) {
	var speed route.TokenTimes
	if p := r.pools[leases[0].instance.Pool]; p != nil {
		speed = p.view.TokenTimes
	}
	work := make([]route.RunningRequest, len(leases))
	for i, l := range leases {
		work[i] = l.work(now, speed)
	}
	for _, m := range route.PlanMoves(work, leaves, now, speed) {
		l := leases[m.Index]
		if l.move != nil {
			l.move.Stop()
		}
		l.move = time.AfterFunc(m.At.Sub(now), l.leave)
	}
}
