package canary

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// announceTime is how long a version that appears beside others gets nothing unless an order names it.
	announceTime = 4 * time.Second
	// capacityTime is how long a pool's former capacity is remembered, and minOldCapacity the part of it that
	// endpoints of other versions must have while a version waits. Where endpoints are replaced without an
	// order, the new ones come in the place of others.
	capacityTime   = 30 * time.Second
	minOldCapacity = 0.75
	// minPulsePeriod and maxPulsePeriod bound the period in which the sampled requests come together, so
	// that the sampled endpoints have the load of others for a part of it. An order has pulsesPerOrder.
	minPulsePeriod = time.Second
	maxPulsePeriod = 5 * time.Second
	pulsesPerOrder = 8
	// maxPulse is the part of the period from which sampling does not pause.
	maxPulse = 0.9
	// slowRate is the rate of requests at a node, in requests a second, below which it does not wait for
	// pulses: they make no load.
	slowRate = 5
	// slowSampleRate is the probability with which such a node samples a request.
	slowSampleRate = 0.5
	// earlySlack is the part of the slack that may be used at once; the rest follows until the verdict.
	earlySlack = 0.5
	// deadlineMargin covers the time until the order was first read: requests after the deadline do not count.
	deadlineMargin = 2 * time.Second
	// maxTracked bounds the routes and versions of a pool that are tracked.
	maxTracked = 32
)

// pool is what a node knows of a pool's order. The caller holds the tracker's lock.
type pool struct {
	order     Order
	ordered   bool
	orderedAt clock.Instant
	state     State
	// stopped is set when this node saw evidence, told when the decider did.
	stopped, told bool
	// confirmedAt is when the decider last said that the state holds; 0 if never.
	confirmedAt clock.Instant
	budget      Budget
	routes      map[serving.RouteName]*routeStats
	decayedAt   clock.Instant
	oldRunning  int
	// broken are the requests that new endpoints broke off, for whose crash there is no sign yet.
	broken []broken
	// comparing reports whether the latest request came at a time at which requests are sampled. Answers of the old version
	// count only then: what slows all endpoints for a moment must show in both.
	comparing bool
	// seen is when each version was first seen; 0 if from the start.
	seen map[serving.Version]clock.Instant
	// most is the largest number of ready endpoints that got requests in the last capacityTime, seen at mostAt.
	most   int
	mostAt clock.Instant
	// peers are the reported counts of the other nodes.
	peers        []Tally
	acknowledged int
	peersRunning int
	peersPassed  int
}

// broken is a request that an endpoint broke off, with the counts in which it is.
type broken struct {
	endpoint fleet.InstanceID
	stats    *routeStats
}

// observe records the versions of the pool's endpoints.
func (p *pool) observe(endpoints []serving.Endpoint, now clock.Instant) {
	first := len(p.seen) == 0
	for _, e := range endpoints {
		if _, ok := p.seen[e.Version]; ok || len(p.seen) >= maxTracked {
			continue
		}
		if p.seen == nil {
			p.seen = make(map[serving.Version]clock.Instant)
		}
		at := now
		if first {
			at = 0
		}
		p.seen[e.Version] = at
	}
}

// held reports whether a version waits for its order: for a while, and until the orders are known to be complete.
func (t *Tracker) held(p *pool, version serving.Version, now clock.Instant) bool {
	at, ok := p.seen[version]
	if !ok || at == 0 || version == "" {
		return false
	}
	return now.Sub(at) < announceTime || t.Confirmed != nil && t.Confirmed().Sub(at) < announceTime/2
}

// release ends the waiting of all versions if the ready endpoints of the others are much fewer than lately.
func (p *pool) release(ready int, now clock.Instant) {
	if ready >= p.most || now.Sub(p.mostAt) > capacityTime {
		p.most, p.mostAt = ready, now
	}
	if float64(ready) < minOldCapacity*float64(p.most) {
		for version := range p.seen {
			p.seen[version] = 0
		}
	}
}

// class returns the class of an endpoint's version. Without an order all are old.
func (p *pool) class(version serving.Version) Class {
	if !p.ordered {
		return ClassOld
	}
	return Classify(&p.order, &p.state, version)
}

// split divides the endpoints into those of the old version, of the new one, and held ones, without barred ones.
func (t *Tracker) split(p *pool, endpoints []serving.Endpoint, now clock.Instant) (old, fresh, held []serving.Endpoint) {
	for _, e := range endpoints {
		switch p.class(e.Version) {
		case ClassNew:
			fresh = append(fresh, e)
		case ClassOld:
			if t.held(p, e.Version, now) {
				held = append(held, e)
			} else {
				old = append(old, e)
			}
		case ClassBarred:
		}
	}
	return old, fresh, held
}

func isReady(e serving.Endpoint) bool { return e.State == serving.StateReady }

func (p *pool) phase() Phase {
	if !p.ordered || !p.state.Concerns(&p.order) {
		return PhaseUnknown
	}
	return p.state.Phase
}

// mayExpose reports whether this node may send a request to the new version while it is sampled.
func (p *pool) mayExpose(bounds Bounds, now clock.Instant) bool {
	elapsed := now.Sub(p.orderedAt)
	return !p.stopped && !p.told && p.confirmedAt != 0 && now.Sub(p.confirmedAt) < wordAge(bounds) &&
		elapsed < p.order.Duration-deadlineMargin && p.budget.Allows(p.slackPart(elapsed))
}

// wordAge is the age up to which the decider's word allows sampling.
func wordAge(b Bounds) time.Duration { return b.RollbackTime * 2 / 5 }

func (p *pool) slackPart(elapsed time.Duration) float64 {
	return min(1, earlySlack+(1-earlySlack)*elapsed.Seconds()/max(1, p.order.VerdictTime().Seconds()))
}

// sampledEndpoints returns the new endpoints that are sampled: so many that the share of the requests gives them
// the load of the others. Those that are slow after their start come last.
func sampledEndpoints(share float64, fresh []serving.Endpoint) []serving.Endpoint {
	ready := slices.DeleteFunc(slices.Clone(fresh), func(e serving.Endpoint) bool { return !isReady(e) })
	slices.SortFunc(ready, func(a, b serving.Endpoint) int {
		return cmp.Or(cmp.Compare(min(a.Cold, 1), min(b.Cold, 1)), cmp.Compare(hash(string(a.ID)), hash(string(b.ID))))
	})
	return ready[:min(len(ready), max(1, int(share*float64(len(fresh)))))]
}

// sampleRate returns the probability with which a request is sampled, so that the sampled endpoints have the load
// of the old ones during pulses.
func (p *pool) sampleRate(share float64, old, sampled int, unixTime int64, elapsed time.Duration) float64 {
	if old == 0 {
		return 1
	}
	if float64(p.budget.passed) < slowRate*max(1, elapsed.Seconds()) {
		return slowSampleRate
	}
	pulse := share * float64(old) / float64(sampled)
	period := min(max(p.order.Duration/pulsesPerOrder, minPulsePeriod), maxPulsePeriod).Milliseconds()
	if pulse < maxPulse && float64(unixTime%period) >= pulse*float64(period) {
		return 0
	}
	return float64(sampled) / float64(old+sampled)
}

func hash(text string) uint64 {
	h := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(text))
	// The upper bits of similar texts are alike before this.
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// luck returns a number in [0, 1) for a node and an order.
func luck(node string, o *Order) float64 {
	return float64(hash(node+"\x00"+string(o.Pool)+"\x00"+string(o.To))>>11) / (1 << 53)
}

// routeStats are a node's own counts of a route.
type routeStats struct {
	tally      Tally
	first, gap median
}

// median is the running median of the latest values.
type median struct {
	values []float64
	next   int
}

const (
	// medianSize is the number of values in a median. From ownMedian on a node uses its own, before the mean
	// of all nodes' if it is made of minMedian answers.
	medianSize = 63
	ownMedian  = 15
	minMedian  = 6
)

func (m *median) add(v float64) {
	if v <= 0 || math.IsNaN(v) {
		return
	}
	if len(m.values) < medianSize {
		m.values = append(m.values, v)
		return
	}
	m.values[m.next] = v
	m.next = (m.next + 1) % medianSize
}

// value returns the median, or 0 if there are no values.
func (m *median) value() float64 {
	if len(m.values) == 0 {
		return 0
	}
	sorted := slices.Clone(m.values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// recentTime is the time in which the recent counts decay to a half.
const recentTime = 4 * time.Second

// decay lets the recent counts decay.
func (p *pool) decay(now clock.Instant) {
	if p.decayedAt == 0 {
		p.decayedAt = now
	}
	elapsed := now.Sub(p.decayedAt)
	if elapsed < recentTime/16 {
		return
	}
	p.decayedAt = now
	factor := math.Exp2(-elapsed.Seconds() / recentTime.Seconds())
	for _, r := range p.routes {
		for _, c := range []*Counts{&r.tally.Old, &r.tally.New} {
			c.RecentTotal *= factor
			c.RecentBad *= factor
		}
	}
}

// tallies returns this node's counts by route.
func (p *pool) tallies(now clock.Instant) []Tally {
	p.decay(now)
	var own []Tally
	for _, r := range p.routes {
		t := r.tally
		if t.First, t.Gap = r.first.value(), r.gap.value(); t.Old.Total+t.New.Total > 0 {
			own = append(own, t)
		}
	}
	slices.SortFunc(own, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.Old.Total+b.New.Total, a.Old.Total+a.New.Total), cmp.Compare(a.Route, b.Route))
	})
	return addTallies(nil, own)
}

// reset starts the counts of another order.
func (p *pool) reset(budget Budget) {
	p.budget, p.peers, p.broken = budget, nil, nil
	for name, r := range p.routes {
		r.tally = Tally{Route: name}
	}
	p.stopped, p.told, p.confirmedAt, p.peersRunning, p.peersPassed, p.acknowledged = false, false, 0, 0, 0, 0
}
