package canary

import (
	"math"
	"slices"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Sample is one attempt at an endpoint of a pool with an order. A nil sample does nothing.
type Sample struct {
	tracker *Tracker
	pool    *pool
	order   serving.Version

	endpoint fleet.InstanceID
	route    serving.RouteName
	class    Class
	cold     bool
	first    bool
	// compared reports whether the answer counts, counted and bad whether it was counted, and as bad, and
	// ended that the attempt is over.
	compared, counted, bad, ended bool
}

// Begin takes an attempt from the node's budget. first is set for the first attempt of a request. ok is false if
// nothing may be sent to the endpoint now.
func (t *Tracker) Begin(e serving.Endpoint, route serving.RouteName, first bool, now clock.Instant) (s *Sample, ok bool) {
	if t == nil || !t.Bounds.Enabled() {
		return nil, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(e.Pool)
	s = &Sample{tracker: t, pool: p, order: p.order.To, endpoint: e.ID, route: route, class: p.class(e.Version), cold: e.Cold > 0, first: first}
	if !p.ordered {
		// Requests that are under way when an order comes have to finish too.
		p.oldRunning++
		return s, true
	}
	if !t.accepts(p, s.class, now) || s.class == ClassNew && p.phase() == PhaseSampling && !p.mayExpose(t.Bounds, now) {
		return nil, false
	}
	s.compared = s.class == ClassNew || p.comparing
	if s.class == ClassNew {
		p.budget.expose++
	} else {
		p.oldRunning++
	}
	if first {
		p.budget.passed++
	}
	return s, true
}

// Accepts reports whether the attempt may still be sent.
func (s *Sample) Accepts(now clock.Instant) bool {
	if s == nil {
		return true
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	return s.order != s.pool.order.To || s.tracker.accepts(s.pool, s.class, now)
}

// accepts reports whether endpoints of a class get requests at all now.
func (t *Tracker) accepts(p *pool, class Class, now clock.Instant) bool {
	switch phase := p.phase(); class {
	case ClassNew:
		fresh := p.confirmedAt != 0 && now.Sub(p.confirmedAt) < wordAge(t.Bounds)
		return phase == PhaseDone || !p.stopped && !p.told && (phase == PhaseSwitching || phase == PhaseSampling && fresh) || phase == PhaseUnknown && !t.knowsOld(p)
	case ClassOld:
		return true
	default:
		return false
	}
}

// Unsent returns an attempt of which the endpoint got nothing to the budget.
func (s *Sample) Unsent() {
	if s == nil {
		return
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	if s.ended {
		return
	}
	if s.order == s.pool.order.To {
		if s.class == ClassNew {
			s.pool.budget.expose--
		}
		if s.first && s.pool.ordered {
			s.pool.budget.passed--
		}
	}
	s.end()
}

// End ends an attempt.
func (s *Sample) End() {
	if s == nil {
		return
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	s.end()
}

func (s *Sample) end() {
	if !s.ended && s.class != ClassNew {
		s.pool.oldRunning = max(0, s.pool.oldRunning-1)
	}
	s.ended = true
}

// slowFactor is from which multiple of the usual time on an answer counts as bad.
const slowFactor = 2.5

// slowFloor is added to that, for answers that take next to nothing.
const slowFloor = 0.02

// First records the time to the first event or the answer, in seconds by the expected ones.
func (s *Sample) First(seconds, expected float64) {
	if s == nil {
		return
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	r, usual := s.usual(func(r *routeStats) *median { return &r.first }, func(t Tally) float64 { return t.First })
	if r == nil {
		return
	}
	expected = max(expected, 1e-3)
	s.count(r, !s.cold && usual > 0 && seconds > slowFactor*usual*expected+slowFloor)
	if s.class == ClassOld {
		r.first.add(seconds / expected)
	}
}

// Waited records that an attempt was given up with no answer after a time. It counts if that is slow.
func (s *Sample) Waited(seconds, expected float64) {
	if s == nil {
		return
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	r, usual := s.usual(func(r *routeStats) *median { return &r.first }, func(t Tally) float64 { return t.First })
	if r != nil && !s.cold && usual > 0 && seconds > slowFactor*usual*max(expected, 1e-3)+slowFloor {
		s.count(r, true)
	}
}

// Gap records the mean time between the events of a stream in seconds.
func (s *Sample) Gap(seconds float64) {
	if s == nil || seconds <= 0 {
		return
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	r, usual := s.usual(func(r *routeStats) *median { return &r.gap }, func(t Tally) float64 { return t.Gap })
	if r == nil {
		return
	}
	if !s.cold && usual > 0 && seconds > slowFactor*usual+slowFloor/4 {
		s.count(r, true)
	}
	if s.class == ClassOld {
		r.gap.add(seconds)
	}
}

// Failed records that the endpoint failed the request, or broke it off.
func (s *Sample) Failed(brokeOff bool) {
	if s == nil {
		return
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	r, _ := s.usual(func(r *routeStats) *median { return &r.first }, func(t Tally) float64 { return t.First })
	if r == nil {
		return
	}
	s.count(r, true)
	if brokeOff && s.class == ClassNew && len(s.pool.broken) < maxTracked {
		s.pool.broken = append(s.pool.broken, broken{s.endpoint, r})
	}
}

// crashWeight is the part of the requests broken off by a crash that counts. One crash breaks off many, and
// endpoints of good versions crash too.
const crashWeight = 0.25

// RecordCrash records that an endpoint crashed, after the requests that it broke off.
func (t *Tracker) RecordCrash(e serving.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[e.Pool]
	if p == nil {
		return
	}
	p.broken = slices.DeleteFunc(p.broken, func(b broken) bool {
		if b.endpoint == e.ID {
			c := &b.stats.tally.New
			c.Bad = max(0, c.Bad-(1-crashWeight))
			c.RecentBad = max(0, c.RecentBad-(1-crashWeight))
		}
		return b.endpoint == e.ID
	})
}

// usual returns the route's counts and the usual time of the old version there: the node's own if it has one, else
// that of the others. The counts are nil if the order of the sample is over. The caller holds the lock.
func (s *Sample) usual(own func(*routeStats) *median, theirs func(Tally) float64) (*routeStats, float64) {
	p := s.pool
	if s.order != p.order.To || s.class == ClassBarred || p.state.Phase.Final() && p.state.Concerns(&p.order) {
		return nil, 0
	}
	r := p.routes[s.route]
	if r == nil {
		if p.routes == nil {
			p.routes = make(map[serving.RouteName]*routeStats)
		}
		name := s.route
		if len(p.routes) >= maxTracked {
			name = ""
		}
		if r = p.routes[name]; r == nil {
			r = &routeStats{tally: Tally{Route: name}}
			p.routes[name] = r
		}
	}
	m := own(r)
	v, n := m.value(), float64(len(m.values))
	if n >= ownMedian {
		return r, v
	}
	for _, t := range p.peers {
		if t.Route == r.tally.Route {
			v = weighted(v, n, theirs(t), t.Old.Total)
			n += t.Old.Total
		}
	}
	if n < minMedian {
		return r, 0
	}
	return r, v
}

// count counts the attempt once, and as bad at most once. Without an order, or if it cannot be compared, only the usual
// times are kept. The caller
// holds the lock.
func (s *Sample) count(r *routeStats, bad bool) {
	if !s.pool.ordered || !s.compared {
		return
	}
	c := &r.tally.Old
	if s.class == ClassNew {
		c = &r.tally.New
	}
	if !s.counted {
		s.counted = true
		c.Total++
		c.RecentTotal++
	}
	if bad && !s.bad {
		s.bad = true
		c.Bad++
		c.RecentBad++
	}
}

// ExpectedFirst returns the expected time to the first event of an idle engine in seconds, without what the engine's
// own speed makes of it. It is 1 for a plain service.
func ExpectedFirst(engine bool, uncached fleet.Tokens, prefillRate float64) float64 {
	if !engine {
		return 1
	}
	const base = 0.06
	return base + float64(uncached)/math.Max(1, prefillRate)/1000
}
