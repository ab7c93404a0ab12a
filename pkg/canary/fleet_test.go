package canary_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// The bounds and the steps of the simulated deployment.
const (
	tick         = 20 * time.Millisecond
	roundTicks   = 15
	decideTicks  = 10
	serviceTime  = 50 * time.Millisecond
	simPool      = fleet.PoolName("desk")
	routeCount   = 4
	touchTime    = 4 * time.Second
	afterOrder   = 8 * time.Second
	beforeOrder  = 6 * time.Second
	peerLifetime = 30 * time.Second
)

// simulationStart is when simulations start.
const simulationStart = clock.Instant(time.Hour)

var simBounds = canary.Bounds{ExposeShare: 0.1, ExposeSlack: 50, RollbackTime: 5 * time.Second}

// fault is what is wrong with a version: share of the answers, from a time after the order on, on one route or
// all, with that many requests at the endpoint or more.
type fault struct {
	share    float64
	slowness float64
	from     time.Duration
	route    int
	load     int
}

// trouble is something that happens to a node at a time after the order.
type trouble struct {
	kind string
	node int
	at   time.Duration
	last time.Duration
}

type simNode struct {
	tracker *canary.Tracker
	down    bool
	// loaded is set once the node has read the store. It is not ready before.
	loaded bool
	// cut is until when the node has no path to the others and the store, calmFrom when it counts as in touch.
	cut, calmFrom clock.Instant
	heard         map[int][]canary.Report
	heardAt       map[int]clock.Instant
}

type simEndpoint struct {
	serving.Endpoint
	running int
}

// simulation is a fleet of trackers with a model of gossip, store and endpoints.
type simulation struct {
	seed      uint64
	nodes     int
	rate      float64
	order     time.Duration
	endpoints int
	bad       *fault
	troubles  []trouble
	// blind makes all answers look good to the nodes.
	blind bool
	// again repeats the order at these times after it.
	again []time.Duration

	random    *rand.Rand
	now       clock.Instant
	ordered   clock.Instant
	fleet     []*simNode
	workers   []*simEndpoint
	due       map[clock.Instant][]func()
	stored    canary.State
	storeDown bool
	// storeSeen is when the store last served, pending are orders that no node has read.
	storeSeen clock.Instant
	pending   []canary.Order

	total, exposed, badAnswers int
	// exposedBefore is exposed, and totalBefore total, when the switch began.
	exposedBefore, totalBefore int
	fiftieth                   clock.Instant
	violations                 []string
	doneAt, rolledBackAt       clock.Instant
}

func (s *simulation) start(i int) {
	n := &simNode{heard: make(map[int][]canary.Report), heardAt: make(map[int]clock.Instant), calmFrom: s.now.Add(touchTime)}
	n.tracker = &canary.Tracker{
		Bounds: simBounds, Node: fleet.NodeName(fmt.Sprint("n", i)), Started: s.now,
		Nodes:     func() int { return s.nodes },
		Random:    s.random.Float64,
		Confirmed: func() clock.Instant { return s.storeSeen },
		UnixTime:  func(at clock.Instant) int64 { return time.Duration(at).Milliseconds() },
	}
	s.fleet[i] = n
}

// run plays the order to some time after its deadline.
func (s *simulation) run() {
	s.random = rand.New(rand.NewPCG(s.seed, 1))
	s.due = make(map[clock.Instant][]func())
	s.now = simulationStart
	s.fleet = make([]*simNode, s.nodes)
	for i := range s.nodes {
		s.start(i)
		s.fleet[i].calmFrom = 0
	}
	for i := range 2 * s.endpoints {
		version := serving.Version("v1")
		if i >= s.endpoints {
			version = "v2"
		}
		e := serving.Endpoint{ID: fleet.InstanceID(fmt.Sprint("e", i)), Pool: simPool, Slots: 8, State: serving.StateReady, Version: version}
		s.workers = append(s.workers, &simEndpoint{Endpoint: e})
	}
	s.ordered = s.now.Add(beforeOrder)
	end := s.ordered.Add(s.order + afterOrder)
	for step := 0; s.now < end; step++ {
		s.now = s.now.Add(tick)
		s.disturb()
		for _, f := range s.due[s.now] {
			f()
		}
		delete(s.due, s.now)
		if step%roundTicks == 0 {
			s.gossip()
		}
		if step%decideTicks == 0 {
			s.decide()
		}
		s.arrive()
	}
	s.judge()
}

func (s *simulation) listed() (listed []serving.Endpoint) {
	for _, w := range s.workers {
		// The new endpoints start a little before the order is read.
		if w.Version == "v1" && s.doneAt == 0 || w.Version == "v2" && s.now > s.ordered.Add(-500*time.Millisecond) && s.rolledBackAt == 0 {
			listed = append(listed, w.Endpoint)
		}
	}
	return listed
}

func (s *simulation) disturb() {
	for _, a := range s.again {
		if s.now == s.ordered.Add(a) {
			s.pending = append(s.pending, canary.Order{Pool: simPool, To: "v2", Duration: s.order, Offset: fleet.Offset(1 + a)})
		}
	}
	if s.now == s.ordered {
		s.pending = append(s.pending, canary.Order{Pool: simPool, To: "v2", Duration: s.order, Offset: 1})
	}
	for _, n := range s.fleet {
		if !n.loaded && !n.down && !s.storeDown && n.cut <= s.now {
			s.read(n)
		}
	}
	if !s.storeDown {
		s.storeSeen = s.now
		for _, o := range s.pending {
			s.give(o)
		}
		s.pending = nil
	}
	for _, t := range s.troubles {
		n := s.fleet[t.node%s.nodes]
		begins, ends := s.now == s.ordered.Add(t.at), s.now == s.ordered.Add(t.at+t.last)
		switch {
		case t.kind == "store" && begins:
			s.storeDown = true
		case t.kind == "store" && ends:
			s.storeDown = false
		case t.kind == "cut" && begins:
			n.cut, n.calmFrom = s.now.Add(t.last), s.now.Add(t.last+touchTime)
		case t.kind == "kill" && begins:
			n.down = true
		case t.kind == "kill" && ends && n.down:
			s.start(t.node % s.nodes)
		case t.kind == "kill all" && begins:
			for i := range s.fleet {
				s.start(i)
			}
		}
	}
}

// give writes an order, which some nodes read at once.
func (s *simulation) give(o canary.Order) {
	for i, n := range s.fleet {
		if i < 3 && !n.down && n.cut < s.now {
			n.tracker.SetOrder(o, 0, s.now)
		}
	}
}

// read makes a node read the order and the state from the store.
func (s *simulation) read(n *simNode) {
	n.loaded = true
	if s.now >= s.ordered {
		n.tracker.SetOrder(canary.Order{Pool: simPool, To: "v2", Duration: s.order, Offset: 1}, 0, s.now)
	}
	n.tracker.SetState(s.stored, s.now)
}

func (s *simulation) gossip() {
	for i, n := range s.fleet {
		if n.down {
			continue
		}
		n.tracker.Observe(simPool, s.listed(), s.now)
		n.tracker.Check(s.now)
		for j, peer := range s.fleet {
			if i == j || peer.down || peer.cut > s.now || n.cut > s.now || s.random.Float64() < 0.05 {
				continue
			}
			reports := peer.tracker.Reports(s.now)
			n.heard[j], n.heardAt[j] = reports, s.now
			n.tracker.Merge(reports, nil, s.now)
			n.tracker.Confirm(reports, s.now)
		}
		var sum []canary.Report
		for j := range s.fleet {
			if n.heard[j] != nil && s.now.Sub(n.heardAt[j]) < peerLifetime {
				sum = canary.Add(sum, n.heard[j])
			}
		}
		n.tracker.Merge(nil, sum, s.now)
	}
}

// decide lets the first node that is up and not cut off decide; a lease passes on after some seconds.
func (s *simulation) decide() {
	for _, n := range s.fleet {
		if n.down || n.cut > s.now || n.calmFrom > s.now {
			continue
		}
		pools, _ := n.tracker.Unfinished()
		for range pools {
			n.tracker.SetState(s.stored, s.now)
			live := -1
			for _, o := range s.fleet {
				if !o.down && o.cut <= s.now {
					live++
				}
			}
			next, changed := canary.Decide(n.tracker.Situation(simPool, s.listed(), live, s.now))
			if !changed || s.storeDown {
				continue
			}
			if next.Phase == canary.PhaseSwitching {
				s.exposedBefore, s.totalBefore = s.exposed, s.total
			}
			s.stored = next
			n.tracker.SetState(next, s.now)
			switch {
			case next.Phase == canary.PhaseDone && s.doneAt == 0:
				s.doneAt = s.now
			case next.Phase == canary.PhaseRolledBack && s.rolledBackAt == 0:
				s.rolledBackAt = s.now
			}
		}
		return
	}
}

func (s *simulation) arrive() {
	expected := s.rate * tick.Seconds()
	count := int(expected)
	if s.random.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		n := s.fleet[s.random.IntN(s.nodes)]
		if !n.down && n.loaded {
			s.send(n)
		}
	}
}

// send sends one request and lets it end later.
func (s *simulation) send(n *simNode) {
	route := s.random.IntN(routeCount)
	candidates := n.tracker.Filter(simPool, s.listed(), s.now)
	if len(candidates) == 0 {
		return
	}
	chosen := candidates[s.random.IntN(len(candidates))]
	sample, ok := n.tracker.Begin(chosen, serving.RouteName(fmt.Sprint("r", route)), true, s.now)
	if !ok {
		return
	}
	var worker *simEndpoint
	for _, w := range s.workers {
		if w.ID == chosen.ID {
			worker = w
		}
	}
	sinceOrder := s.now.Sub(s.ordered)
	isNew := chosen.Version == "v2"
	if sinceOrder >= 0 && sinceOrder < s.order {
		s.total++
	}
	if isNew {
		s.exposed++
		if s.bad != nil && s.fiftieth != 0 && s.now.Sub(s.fiftieth) > simBounds.RollbackTime && n.calmFrom <= s.now && n.cut <= s.now {
			s.violations = append(s.violations, fmt.Sprintf("sent %s after the 50th bad answer", s.now.Sub(s.fiftieth)))
		}
	}
	took := time.Duration(float64(serviceTime) * (0.5 + s.random.ExpFloat64()*0.5))
	failed := s.random.Float64() < 0.01
	bad := false
	if b := s.bad; b != nil && isNew && sinceOrder >= b.from && (b.route < 0 || b.route == route) && worker.running >= b.load && s.random.Float64() < b.share {
		bad = true
		if b.slowness > 0 {
			took = time.Duration(float64(took) * b.slowness)
		} else {
			failed = true
		}
	}
	worker.running++
	at := s.now.Add(took.Truncate(tick) + tick)
	s.due[at] = append(s.due[at], func() {
		worker.running--
		if bad {
			if s.badAnswers++; s.badAnswers == 50 {
				s.fiftieth = s.now
			}
		}
		if n.down {
			return
		}
		if s.blind {
			sample.First(serviceTime.Seconds(), 1)
		} else {
			sample.First(took.Seconds(), 1)
			if failed {
				sample.Failed(false)
			}
		}
		sample.End()
	})
}

func (s *simulation) judge() {
	limit := simBounds.ExposeShare*float64(s.total) + simBounds.ExposeSlack
	if l := simBounds.ExposeShare*float64(s.totalBefore) + simBounds.ExposeSlack; float64(s.exposedBefore) > l {
		s.violations = append(s.violations, fmt.Sprintf("%d of %d exposed before the switch, more than %.0f", s.exposedBefore, s.totalBefore, l))
	}
	if s.bad == nil {
		if s.doneAt == 0 || s.doneAt.Sub(s.ordered) > s.order {
			s.violations = append(s.violations, fmt.Sprintf("good, but not done in time: %s %s %+v", s.stored.Phase, s.stored.Reason, s.stored.Tallies))
		}
	} else {
		if float64(s.exposed) > limit {
			s.violations = append(s.violations, fmt.Sprintf("%d of %d exposed, more than %.0f", s.exposed, s.total, limit))
		}
		if s.rolledBackAt == 0 || s.rolledBackAt.Sub(s.ordered) > s.order {
			s.violations = append(s.violations, fmt.Sprintf("bad, but not rolled back in time: %s %s %+v", s.stored.Phase, s.stored.Reason, s.stored.Tallies))
		}
	}
}
