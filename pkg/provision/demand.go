package provision

import (
	"math"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// averagingTime is the time over which demand is averaged. It is shorter than
	// the boot of an endpoint and long enough to smooth single large prompts.
	averagingTime = 4 * time.Second
)

// DemandMeter measures the engine time that the requests of a node take, by pool.
// The zero value is ready to use.
type DemandMeter struct {
	mu         sync.Mutex
	pools      map[fleet.PoolName]*movingAverage
	lastUpdate clock.Instant
	// measuredSince is the first update after a request was added.
	measuredSince clock.Instant
}

// movingAverage is an exponential moving average. It covers only the time since the
// first request, so that it is not too low at first when a load starts abruptly.
type movingAverage struct {
	// sum is the cost added since the last update, in milliseconds.
	sum float64
	// level is the average starting from zero; weight is the fraction of it that
	// stems from measurements and corrects this bias.
	level, weight float64
}

// Add adds the cost of a request, in milliseconds of engine time.
func (d *DemandMeter) Add(pool fleet.PoolName, cost float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools == nil {
		d.pools = make(map[fleet.PoolName]*movingAverage)
	}
	if d.pools[pool] == nil {
		d.pools[pool] = &movingAverage{}
	}
	d.pools[pool].sum += cost
}

// Update applies the costs added since the last call to the averages.
func (d *DemandMeter) Update(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	elapsed := now.Sub(d.lastUpdate)
	if d.lastUpdate == 0 || elapsed <= 0 {
		d.lastUpdate = now
		return
	}
	d.lastUpdate = now
	if len(d.pools) > 0 && d.measuredSince == 0 {
		d.measuredSince = now
	}
	fraction := min(1, elapsed.Seconds()/averagingTime.Seconds())
	for _, a := range d.pools {
		a.level += fraction * (a.sum/float64(elapsed.Milliseconds()) - a.level)
		a.weight += fraction * (1 - a.weight)
		a.sum = 0
	}
}

// Measured reports whether requests have been measured for at least averagingTime.
func (d *DemandMeter) Measured(now clock.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.measuredSince != 0 && now.Sub(d.measuredSince) >= averagingTime
}

// ByPool returns the demand on each pool, in engines.
func (d *DemandMeter) ByPool() map[fleet.PoolName]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := make(map[fleet.PoolName]float64, len(d.pools))
	for pool, a := range d.pools {
		if a.weight > 0 {
			demand[pool] = a.level / a.weight
		}
	}
	return demand
}

// ReportedDemand follows the demand that the nodes report on a pool. It answers relays that
// are replaced: until the nodes report to the next one, their demand is missing from the
// sum. An average over averagingTime can't fall faster than this time allows, so what falls
// faster is missing. The zero value is ready to use.
type ReportedDemand struct {
	last    float64
	updated clock.Instant
}

// Observe returns the demand to plan for, given the sum of what the nodes report now. A
// sum that is no finite number counts as missing.
func (r *ReportedDemand) Observe(sum float64, now clock.Instant) float64 {
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		sum = 0
	}
	if r.updated != 0 {
		sum = max(sum, r.last*math.Exp(-now.Sub(r.updated).Seconds()/averagingTime.Seconds()))
	}
	r.last, r.updated = sum, now
	return sum
}
