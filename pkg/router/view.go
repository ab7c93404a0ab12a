package router

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// Report is an engine's load as this node or a peer has read it.
type Report struct {
	Instance fleet.InstanceRef
	Load     engine.Load
	// At is when the load was read, by this node's clock.
	At time.Time
}

// Parameters of what a node learns of the endpoints.
const (
	// learning is the share by which a value moves to a new measurement.
	learning = 0.1
	// minPrompt is the least uncached prompt that tells the speed of prompts.
	minPrompt = 64
	// defaultOutput is the expected length of answers before any was seen.
	defaultOutput = 128
	// settleEvery is the least time between two refreshes of a view.
	settleEvery = 20 * time.Millisecond
	// filled is the part of the slots that the nodes fill. What is more waits at
	// the nodes, where it is ordered, rather than at the endpoints.
	filled = 0.9
	// shunFirst and shunLongest bound how long an endpoint is avoided after a
	// refused connection; each further one doubles the time.
	shunFirst   = time.Second
	shunLongest = 30 * time.Second
)

// pool is a node's view of one pool.
type pool struct {
	view   route.View
	index  map[fleet.InstanceRef]int
	output float64
	// mine is this node's work in the pool.
	mine int
	// stale is set if a report came since the view was refreshed.
	stale     bool
	refreshed time.Time
}

// endpointState is what a node keeps of one life of an instance.
type endpointState struct {
	work   map[*lease]struct{}
	report route.Report
	// load is the load report as the engine gave it.
	load  engine.Load
	slots int
	// failures counts the refused connections since the last success.
	failures int
	shunned  time.Time
}

// state returns what is kept of an instance. The lock is held.
func (r *Router) state(ref fleet.InstanceRef) *endpointState {
	s := r.states[ref]
	if s == nil {
		if r.states == nil {
			r.states = make(map[fleet.InstanceRef]*endpointState)
		}
		s = &endpointState{work: make(map[*lease]struct{})}
		r.states[ref] = s
	}
	return s
}

// refresh builds the views anew if the roster has changed. The lock is held.
func (r *Router) refresh() {
	version := r.Roster.Version()
	if r.pools != nil && version == r.version {
		return
	}
	r.version = version
	old := r.pools
	r.pools = make(map[fleet.PoolName]*pool)
	listed := make(map[fleet.InstanceRef]bool)
	for _, i := range r.Roster.Instances() {
		listed[i.Ref()] = true
		p := r.pools[i.Pool]
		if p == nil {
			p = &pool{index: make(map[fleet.InstanceRef]int), output: defaultOutput}
			r.pools[i.Pool] = p
		}
		if i.Condition.Rank() == 0 {
			p.add(i, r.state(i.Ref()))
		}
	}
	for name, p := range r.pools {
		if before := old[name]; before != nil {
			p.view.TokenTimes, p.output = before.view.TokenTimes, before.output
		}
		p.view.Refresh()
	}
	r.prefixes.Retain(func(ref fleet.InstanceRef) bool { return listed[ref] })
	for ref, s := range r.states {
		if !listed[ref] && len(s.work) == 0 {
			delete(r.states, ref)
		}
	}
}

func (p *pool) add(i fleet.Instance, s *endpointState) {
	p.index[i.Ref()] = len(p.view.Candidates)
	p.mine += len(s.work)
	p.view.Candidates = append(p.view.Candidates, route.Candidate{
		Instance:   i,
		LocalWork:  len(s.work),
		Slots:      s.slots,
		Report:     s.report,
		AvoidUntil: s.shunned,
	})
}

// find returns the candidate of an instance, if it may take work.
func (r *Router) find(name fleet.PoolName, ref fleet.InstanceRef) *route.Candidate {
	p := r.pools[name]
	if p == nil {
		return nil
	}
	index, ok := p.index[ref]
	if !ok {
		return nil
	}
	return &p.view.Candidates[index]
}

// Merge takes a load report, whoever has read it. An older one is ignored.
func (r *Router) MergeReport(m Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	s := r.state(m.Instance)
	if !m.At.After(s.report.At) {
		return
	}
	s.slots = m.Load.Slots
	s.load = m.Load
	s.report = route.Report{At: m.At, Work: m.Load.Running + m.Load.Waiting, LocalWork: len(s.work)}
	s.failures, s.shunned = 0, time.Time{}
	for name, p := range r.pools {
		if c := r.find(name, m.Instance); c != nil {
			c.Slots, c.Report, c.AvoidUntil = s.slots, s.report, s.shunned
			p.stale = true
		}
	}
}

// settle refreshes the view if reports have come, though not for each of them.
func (p *pool) settle(now time.Time) {
	if p.stale && now.Sub(p.refreshed) >= settleEvery {
		p.view.Refresh()
		p.stale, p.refreshed = false, now
	}
}

// MergeEvents takes cache events of an engine.
func (r *Router) MergeEvents(ref fleet.InstanceRef, events []engine.CacheEvent, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes.Apply(ref, events, now)
}

// NextEvent returns the sequence number from which an engine's cache events
// are wanted.
func (r *Router) NextEvent(ref fleet.InstanceRef) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefixes.NextSequence(ref)
}

// Refused tells of a refused connection. It is weak evidence, because an
// engine that restarts refuses too: the endpoint is avoided for a while, longer
// each time, until it answers again.
func (r *Router) RecordRefusal(i fleet.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(i.Ref())
	s.shunned = now.Add(min(shunFirst<<min(s.failures, 8), shunLongest))
	s.failures++
	if c := r.find(i.Pool, i.Ref()); c != nil {
		c.AvoidUntil = s.shunned
	}
	r.prefixes.MarkUnconfirmed(i.Ref())
	if r.OnAvoid != nil {
		r.OnAvoid(i, s.shunned)
	}
}

// Answered tells that an endpoint has served a request.
func (r *Router) RecordResponse(i fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(i.Ref())
	s.failures, s.shunned = 0, time.Time{}
	if c := r.find(i.Pool, i.Ref()); c != nil {
		c.AvoidUntil = s.shunned
	}
}

// observe learns from one attempt. The lock is held.
func (r *Router) observe(l *lease, o generation.Observation, now time.Time) {
	p := r.pools[l.instance.Pool]
	if p == nil || o.Tokens == 0 {
		return
	}
	if uncached := l.prompt - l.cached; uncached >= minPrompt && l.alone {
		learn(&p.view.TokenTimes.Prefill, o.First.Sub(o.Start)/time.Duration(uncached))
	}
	if o.Tokens > 1 {
		learn(&p.view.TokenTimes.Decode, o.Last.Sub(o.First)/time.Duration(o.Tokens-1))
	}
	if o.Finish.Done {
		p.output += learning * (float64(l.emitted+o.Tokens) - p.output)
		r.prefixes.Confirm(l.instance.Ref(), l.chain, o.Finish.Cached, now)
	}
}

func learn(value *time.Duration, measured time.Duration) {
	if *value == 0 {
		*value = measured
		return
	}
	*value += time.Duration(learning * float64(measured-*value))
}

// hits returns which candidates hold how much of a chain. The lock is held.
func (r *Router) hits(p *pool, chain []uint64, now time.Time) []route.Hit {
	r.found = r.prefixes.Find(chain, now, r.found[:0])
	r.hit = r.hit[:0]
	for _, h := range r.found {
		if index, ok := p.index[h.Instance]; ok {
			r.hit = append(r.hit, route.Hit{Index: index, Tokens: h.Tokens, UnconfirmedTokens: h.UnconfirmedTokens})
		}
	}
	return r.hit
}

// Room returns how many requests this node may have in a pool at a time: what
// it has, and its part of what is free by the reports. It is 0, no bound, for a
// pool whose endpoints report no slots.
func (r *Router) ConcurrencyLimit(name fleet.PoolName, nodes int) int {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	p := r.pools[name]
	if p == nil {
		return 0
	}
	p.settle(now)
	if p.view.Slots == 0 {
		return 0
	}
	slots := filled * float64(p.view.Slots)
	others := p.view.MeanPeerWork * float64(len(p.view.Candidates))
	free := max(0, slots-others-float64(p.mine))
	part := float64(max(nodes, 1))
	return max(1, p.mine+int(free/part), int(slots/part))
}

// Forecast predicts the time from the dispatch to the end of a request for at
// most so many tokens; 0 stands for no bound.
func (r *Router) Forecast(name fleet.PoolName, prompt, most fleet.Tokens) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	p := r.pools[name]
	if p == nil || p.view.Slots == 0 {
		return 0
	}
	output := fleet.Tokens(p.output)
	if most > 0 {
		output = min(most, output)
	}
	return p.view.ServiceTime(prompt, output)
}
