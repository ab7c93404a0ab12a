package canary

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Report is what a node tells the others of an order.
type Report struct {
	Order    Order         `cbor:"1,keyasint"`
	OrderAge time.Duration `cbor:"2,keyasint"`
	State    State         `cbor:"3,keyasint"`
	// WordAge is the time since the decider said that the state holds; 0 if it is not known.
	WordAge time.Duration `cbor:"4,keyasint,omitempty"`
	// Stop is set once the decider saw evidence against the version.
	Stop bool `cbor:"5,keyasint,omitempty"`
	// Tallies, OldRunning and Acknowledged are sums over the nodes that the report covers.
	// Acknowledged counts those that know the state of the number in State.
	Tallies      []Tally `cbor:"6,keyasint,omitempty"`
	OldRunning   int     `cbor:"7,keyasint,omitempty"`
	Acknowledged int     `cbor:"8,keyasint,omitempty"`
	// Passed is the number of requests passed on to the pool since the order.
	Passed int `cbor:"9,keyasint,omitempty"`
}

// maxReports bounds the orders in a digest.
const maxReports = 6

// Add returns the reports of a with the sums of b added. It changes neither argument.
func Add(a, b []Report) []Report {
	sum := slices.Clone(a)
	for _, r := range b {
		i := slices.IndexFunc(sum, func(s Report) bool { return s.Order.Pool == r.Order.Pool })
		if i < 0 {
			if r.WordAge = 0; len(sum) < maxReports {
				sum = append(sum, r)
			}
			continue
		}
		s := &sum[i]
		if s.Order.To != r.Order.To {
			continue
		}
		s.Tallies = addTallies(s.Tallies, r.Tallies)
		s.OldRunning += r.OldRunning
		s.Passed += r.Passed
		switch {
		case s.State.Number == r.State.Number:
			s.Acknowledged += r.Acknowledged
		case s.State.Number < r.State.Number:
			s.State, s.Acknowledged, s.WordAge = r.State, r.Acknowledged, 0
		}
	}
	return sum
}

// Tracker holds what a node knows of orders, and what it has exposed. Without bounds it does nothing.
// Bounds, Node, Started, Nodes, Random and UnixTime must be set if there are bounds.
type Tracker struct {
	Bounds  Bounds
	Node    fleet.NodeName
	Started clock.Instant
	// Nodes returns the number of nodes that share the slack.
	Nodes func() int
	// Random returns a number in [0, 1), UnixTime the time of day in Unix milliseconds.
	Random   func() float64
	UnixTime func(clock.Instant) int64
	// Confirmed returns when the orders were last known to be complete. It may be nil.
	Confirmed func() clock.Instant
	// OnState is called with each new state, OnStop when this node stops sampling by itself. Both may
	// be nil and must not call the tracker.
	OnState func(State)
	OnStop  func(Order, Judgement, []Tally)

	mu    sync.Mutex
	pools map[fleet.PoolName]*pool
}

// pool returns the state of a pool and adds it if it is missing. The caller holds the lock.
func (t *Tracker) pool(name fleet.PoolName) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{}
		if t.pools == nil {
			t.pools = make(map[fleet.PoolName]*pool)
		}
		t.pools[name] = p
	}
	return p
}

// startMargin is the time after its start in which a node reads the orders that were there before.
const startMargin = 5 * time.Second

// SetOrder applies an order that was first known age ago.
func (t *Tracker) SetOrder(o Order, age time.Duration, now clock.Instant) {
	if !t.Bounds.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setOrder(o, age, now)
}

func (t *Tracker) setOrder(o Order, age time.Duration, now clock.Instant) *pool {
	p, at := t.pool(o.Pool), now.Add(-age)
	switch {
	case p.ordered && p.order.To == o.To && p.order.Offset <= o.Offset:
		// An order that is repeated keeps its time; its first offset is not known to all nodes.
		p.order.Offset = o.Offset
		t.backdate(p, at)
	case p.ordered && p.order.To == o.To:
		t.backdate(p, at)
	case p.ordered && p.order.Offset >= o.Offset:
	default:
		p.order, p.ordered, p.orderedAt = o, true, at
		p.reset(NewBudget(t.Bounds, t.Nodes(), t.startedBefore(at), luck(string(t.Node), &o)))
	}
	return p
}

func (t *Tracker) startedBefore(at clock.Instant) bool { return at.Sub(t.Started) > startMargin }

// backdate applies an earlier time of the order. The node may have read the order long after it was written.
func (t *Tracker) backdate(p *pool, at clock.Instant) {
	if at >= p.orderedAt {
		return
	}
	p.orderedAt = at
	if !t.startedBefore(at) {
		p.budget.Slack = 0
	}
}

// SetState applies a state that was read from the store, or written there.
func (t *Tracker) SetState(s State, now clock.Instant) {
	if !t.Bounds.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setState(s, now)
}

func (t *Tracker) setState(s State, now clock.Instant) {
	if s.Phase == PhaseUnknown || s.Order.Pool == "" {
		return
	}
	p := t.pool(s.Order.Pool)
	if s.Number <= p.state.Number {
		return
	}
	p.state = s
	if s.Begun > 0 {
		t.setOrder(s.Order, max(0, time.Duration(t.UnixTime(now)-s.Begun)*time.Millisecond), now)
	}
	if t.OnState != nil {
		t.OnState(s)
	}
}

// Observe records the versions of all endpoints of a pool.
func (t *Tracker) Observe(name fleet.PoolName, endpoints []serving.Endpoint, now clock.Instant) {
	if !t.Bounds.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(name)
	p.observe(endpoints, now)
	ready := 0
	for _, e := range endpoints {
		class := p.class(e.Version)
		if isReady(e) && (class == ClassOld && !t.held(p, e.Version, now) || class == ClassNew && p.phase() == PhaseDone) {
			ready++
		}
	}
	p.release(ready, now)
}

// Filter returns the endpoints that a request to a pool may be sent to now.
func (t *Tracker) Filter(name fleet.PoolName, endpoints []serving.Endpoint, now clock.Instant) []serving.Endpoint {
	if t == nil || !t.Bounds.Enabled() || len(endpoints) == 0 {
		return endpoints
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(name)
	// These may be a part of the endpoints; what is there at the start shows in all.
	if len(p.seen) > 0 {
		p.observe(endpoints, now)
	}
	if !p.ordered && !slices.ContainsFunc(endpoints, func(e serving.Endpoint) bool { return t.held(p, e.Version, now) }) {
		return endpoints
	}
	old, fresh, held := t.split(p, endpoints, now)
	// No order forbids the held ones: a request that has no other endpoint goes there.
	moved := p.phase() == PhaseDone || p.phase() == PhaseSwitching
	if !slices.ContainsFunc(old, isReady) && (!moved || !slices.ContainsFunc(fresh, isReady)) {
		old = append(old, held...)
	}
	switch p.phase() {
	case PhaseSampling:
		sampled := sampledEndpoints(t.Bounds.ExposeShare, fresh)
		rate := 0.0
		if len(sampled) > 0 {
			rate = p.sampleRate(t.Bounds.ExposeShare, len(old), len(sampled), t.UnixTime(now), now.Sub(p.orderedAt))
		}
		if p.comparing = rate > 0; !p.comparing || !p.mayExpose(t.Bounds, now) || t.Random() >= rate {
			return old
		}
		return sampled
	case PhaseSwitching:
		if slices.ContainsFunc(fresh, isReady) && !p.stopped && !p.told {
			return fresh
		}
		return old
	case PhaseDone:
		return append(fresh, old...)
	case PhaseRolledBack:
		return old
	case PhaseUnknown:
	}
	// With no old endpoint known at all, the order was executed before this node started.
	if len(old) == 0 && len(fresh) > 0 && !t.knowsOld(p) {
		return fresh
	}
	return old
}

// Unsampled returns the endpoints of the old version while the new one is sampled, and nil otherwise.
func (t *Tracker) Unsampled(name fleet.PoolName, endpoints []serving.Endpoint, now clock.Instant) []serving.Endpoint {
	if t == nil || !t.Bounds.Enabled() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(name)
	if p.phase() != PhaseSampling {
		return nil
	}
	old, _, _ := t.split(p, endpoints, now)
	return old
}

// knowsOld reports whether the node has seen endpoints of another version than the ordered one.
func (t *Tracker) knowsOld(p *pool) bool {
	for version := range p.seen {
		if version != p.order.To {
			return true
		}
	}
	return false
}

// Reports returns what this node reports, the latest orders first.
func (t *Tracker) Reports(now clock.Instant) []Report {
	if !t.Bounds.Enabled() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for _, p := range t.pools {
		if !p.ordered {
			continue
		}
		r := Report{Order: p.order, OrderAge: now.Sub(p.orderedAt), State: p.state, Stop: p.told, Acknowledged: 1}
		if !p.phase().Final() {
			r.Tallies, r.OldRunning, r.Passed = p.tallies(now), p.oldRunning, p.budget.passed
			if p.confirmedAt != 0 {
				r.WordAge = max(1, now.Sub(p.confirmedAt))
			}
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Order.Offset, a.Order.Offset), cmp.Compare(a.Order.Pool, b.Order.Pool))
	})
	return reports[:min(len(reports), maxReports)]
}

// Merge applies the orders and states in another node's digest, and the sums of all other nodes.
func (t *Tracker) Merge(reports, sums []Report, now clock.Instant) {
	if !t.Bounds.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if r.Order.Pool == "" || r.Order.To == "" || r.OrderAge < 0 {
			continue
		}
		t.setState(r.State, now)
		p := t.setOrder(r.Order, r.OrderAge, now)
		if r.Stop && p.order.To == r.Order.To {
			p.told = true
		}
	}
	for _, r := range sums {
		if p := t.pools[r.Order.Pool]; p != nil && p.ordered && p.order.To == r.Order.To {
			p.peers, p.peersRunning, p.peersPassed, p.acknowledged = r.Tallies, r.OldRunning, r.Passed, 0
			if r.State.Number == p.state.Number {
				p.acknowledged = r.Acknowledged
			}
		}
	}
}

// Confirm applies the decider's word in the reply to a request that was sent at an instant.
func (t *Tracker) Confirm(reports []Report, sentAt clock.Instant) {
	if !t.Bounds.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		p := t.pools[r.Order.Pool]
		if p != nil && r.WordAge > 0 && p.order.To == r.Order.To && r.State.Number >= p.state.Number {
			p.confirmedAt = max(p.confirmedAt, sentAt.Add(-r.WordAge))
		}
	}
}

// Check stops the sampling of versions against which there is evidence.
func (t *Tracker) Check(now clock.Instant) {
	if !t.Bounds.Enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		if !p.ordered || p.stopped || p.phase().Final() {
			continue
		}
		tallies := addTallies(p.tallies(now), p.peers)
		if j := Judge(tallies, false); j.Bad {
			p.stopped = true
			if t.OnStop != nil {
				t.OnStop(p.order, j, tallies)
			}
		}
	}
}

// Unfinished returns the pools whose order has no verdict, and whose verdict is not known to the node at all.
func (t *Tracker) Unfinished() (pools []fleet.PoolName, unknown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.pools {
		if p.ordered && !p.phase().Final() {
			pools = append(pools, name)
			unknown = unknown || p.phase() == PhaseUnknown
		}
	}
	slices.Sort(pools)
	return pools, unknown
}

// Situation returns the input of Decide for a pool, with what the decider knows of its endpoints. nodes is the
// number of other nodes that respond. The decider's word is given with it.
func (t *Tracker) Situation(name fleet.PoolName, endpoints []serving.Endpoint, nodes int, now clock.Instant) Situation {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(name)
	p.confirmedAt = now
	p.told = p.told || p.stopped
	in := Situation{
		Order: p.order, State: p.state, Elapsed: now.Sub(p.orderedAt), UnixTime: t.UnixTime(now),
		Tallies: addTallies(p.tallies(now), p.peers), Stopped: p.stopped || p.told,
		Acknowledged: p.acknowledged, Nodes: nodes, OldRunning: p.oldRunning + p.peersRunning,
		Passed: p.budget.passed + p.peersPassed,
	}
	for _, e := range endpoints {
		in.Versions = append(in.Versions, e.Version)
		if e.State != serving.StateReady {
			continue
		}
		switch p.class(e.Version) {
		case ClassOld:
			in.ReadyOld++
		case ClassNew:
			in.ReadyNew++
		case ClassBarred:
		}
	}
	return in
}

// States returns the known states of all pools.
func (t *Tracker) States() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var states []State
	for _, p := range t.pools {
		if p.state.Phase != PhaseUnknown {
			states = append(states, p.state)
		}
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Order.Pool, b.Order.Pool) })
	return states
}

// Exposed returns the sums of requests passed and exposed for the current orders by this node.
func (t *Tracker) Exposed() (passed, exposed float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		passed += float64(p.budget.passed)
		exposed += float64(p.budget.expose)
	}
	return passed, exposed
}
