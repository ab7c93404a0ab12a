package provision

import (
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// readCost and writeCost are the engine's time for a prompt token that it has
	// to read and for an output token, in milliseconds, beside a usual batch.
	readCost  = 1.0 / 35
	writeCost = 0.04
	// demandTime is the time over which demand is averaged; shorter than a boot
	// and long enough to smooth single large prompts.
	demandTime = 4 * time.Second
)

// Cost returns the engine's time that a request takes, in milliseconds.
func EngineMilliseconds(unread, output fleet.Tokens) float64 {
	return readCost*float64(unread) + writeCost*float64(output)
}

// Demand measures how much of engines' time the requests of a node take. The
// zero value is ready to use.
type DemandMeter struct {
	mu     sync.Mutex
	pools  map[fleet.PoolName]*average
	rolled clock.Instant
	// began is when the first request was counted.
	began clock.Instant
}

// average is an average over the latest requests. It answers a load that sets in
// at once: it counts only the time since the first request, so that it is not
// too low at first.
type average struct {
	// sum is what was counted since the last roll.
	sum float64
	// level begins at zero; weight is the part of it that was measured.
	level, weight float64
}

// Add counts a request's cost, in milliseconds.
func (d *DemandMeter) Add(pool fleet.PoolName, cost float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools == nil {
		d.pools = make(map[fleet.PoolName]*average)
	}
	if d.pools[pool] == nil {
		d.pools[pool] = &average{}
	}
	d.pools[pool].sum += cost
}

// Roll folds what was counted since the last call into the averages.
func (d *DemandMeter) Update(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	passed := now.Sub(d.rolled)
	if d.rolled == 0 || passed <= 0 {
		d.rolled = now
		return
	}
	d.rolled = now
	if len(d.pools) > 0 && d.began == 0 {
		d.began = now
	}
	part := min(1, passed.Seconds()/demandTime.Seconds())
	for _, a := range d.pools {
		a.level += part * (a.sum/float64(passed.Milliseconds()) - a.level)
		a.weight += part * (1 - a.weight)
		a.sum = 0
	}
}

// Measured tells whether requests were counted for long enough to go by.
func (d *DemandMeter) Measured(now clock.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.began != 0 && now.Sub(d.began) >= demandTime
}

// Rates returns the demand on each pool, in engines.
func (d *DemandMeter) ByPool() map[fleet.PoolName]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	rates := make(map[fleet.PoolName]float64, len(d.pools))
	for pool, a := range d.pools {
		if a.weight > 0 {
			rates[pool] = a.level / a.weight
		}
	}
	return rates
}
