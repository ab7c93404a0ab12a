package overflow

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// maxOffered bounds the entries of Offered that a message carries.
const maxOffered = 96

// Work is the work that is offered to a pool in one data centre, in busy engines or slots.
type Work struct {
	_           struct{} `cbor:",toarray"`
	Free, Bound float64
}

// Offered is the work that is offered to each pool, by data centre.
type Offered map[fleet.DataCentreName]map[fleet.PoolName]Work

// Add adds the work in another.
func (o Offered) Add(other Offered) {
	for name, pools := range other {
		if o[name] == nil {
			o[name] = make(map[fleet.PoolName]Work, len(pools))
		}
		for pool, w := range pools {
			sum := o[name][pool]
			sum.Free += w.Free
			sum.Bound += w.Bound
			o[name][pool] = sum
		}
	}
}

// Trim returns at most maxOffered entries, those with the most work.
func (o Offered) Trim() Offered {
	type entry struct {
		dataCentre fleet.DataCentreName
		pool       fleet.PoolName
		work       Work
	}
	var entries []entry
	for _, name := range slices.Sorted(maps.Keys(o)) {
		for _, pool := range slices.Sorted(maps.Keys(o[name])) {
			entries = append(entries, entry{name, pool, o[name][pool]})
		}
	}
	if len(entries) <= maxOffered {
		return o
	}
	slices.SortStableFunc(entries, func(a, b entry) int {
		return cmp.Compare(b.work.Free+b.work.Bound, a.work.Free+a.work.Bound)
	})
	trimmed := make(Offered)
	for _, e := range entries[:maxOffered] {
		trimmed.Add(Offered{e.dataCentre: {e.pool: e.work}})
	}
	return trimmed
}

const (
	// averagingTime is the time over which offered work is averaged. It is longer than
	// most requests and shorter than the boot of an engine.
	averagingTime = 3 * time.Second
	// minOffered is the work below which an entry is removed.
	minOffered = 1e-4
	// costWeight is the weight of one request in the moving averages of costs.
	costWeight = 0.02
)

// Meter measures the work that a node offers to each data centre, and the usual costs of
// its requests. The zero value is ready to use.
type Meter struct {
	mu         sync.Mutex
	added, sum Offered
	costs      map[fleet.PoolName]Costs
	lastUpdate clock.Instant
}

// Add records a request of a pool that keeps an engine or slot of a data centre busy. bound
// reports whether it runs there because its prefix is cached there.
func (m *Meter) Add(pool fleet.PoolName, at fleet.DataCentreName, bound bool, c Costs) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.added == nil {
		m.added = make(Offered)
	}
	if m.costs == nil {
		m.costs = make(map[fleet.PoolName]Costs)
	}
	w := Work{Free: c.Work.Seconds()}
	if bound {
		w = Work{Bound: c.Work.Seconds()}
	}
	m.added.Add(Offered{at: {pool: w}})
	if bound {
		return
	}
	usual := m.costs[pool]
	if usual.Work == 0 {
		m.costs[pool] = c
		return
	}
	usual.Work += time.Duration(costWeight * float64(c.Work-usual.Work))
	usual.Transfer += time.Duration(costWeight * float64(c.Transfer-usual.Transfer))
	m.costs[pool] = usual
}

// Update applies the requests that were recorded since the last call to the averages.
func (m *Meter) Update(now clock.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.lastUpdate)
	if m.lastUpdate == 0 || elapsed <= 0 {
		m.lastUpdate, m.added = now, make(Offered)
		return
	}
	m.lastUpdate = now
	fraction := min(1, elapsed.Seconds()/averagingTime.Seconds())
	next := make(Offered)
	next.addScaled(m.sum, 1-fraction)
	next.addScaled(m.added, fraction/elapsed.Seconds())
	m.sum, m.added = next, make(Offered)
}

// addScaled adds the work in another, multiplied by a factor, unless little is left of it.
func (o Offered) addScaled(other Offered, factor float64) {
	for name, pools := range other {
		for pool, w := range pools {
			if w.Free *= factor; w.Free+w.Bound*factor > minOffered {
				o.Add(Offered{name: {pool: {Free: w.Free, Bound: w.Bound * factor}}})
			}
		}
	}
}

// Offered returns the average work that the node offers.
func (m *Meter) Offered() Offered {
	m.mu.Lock()
	defer m.mu.Unlock()
	offered := make(Offered, len(m.sum))
	offered.Add(m.sum)
	return offered
}

// Costs returns the usual costs of the requests of a pool that can run anywhere.
func (m *Meter) Costs(pool fleet.PoolName) Costs {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.costs[pool]
}
