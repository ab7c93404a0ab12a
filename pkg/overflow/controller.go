package overflow

import (
	"sync"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Controller holds the plans of a node's pools and measures what they follow from. The zero
// value is ready to use and has no plans.
type Controller struct {
	Meter Meter

	mu    sync.Mutex
	plans map[fleet.PoolName]Plan
}

// Plan returns the plan of a pool, or false if the pool has none.
func (c *Controller) Plan(pool fleet.PoolName) (Plan, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.plans[pool]
	return p, ok
}

// Renew renews the plan of a pool, and returns the previous and the new one. A pool in one
// data centre, or whose requests haven't been measured yet, has none.
func (c *Controller) Renew(pool fleet.PoolName, sites []Site) (previous, renewed Plan) {
	inUse := 0
	for _, s := range sites {
		if s.Capacity > 0 {
			inUse++
		}
	}
	costs := c.Meter.Costs(pool)
	c.mu.Lock()
	defer c.mu.Unlock()
	previous = c.plans[pool]
	if inUse < 2 || costs.Work <= 0 {
		delete(c.plans, pool)
		return previous, Plan{}
	}
	renewed = previous.Renew(sites, costs)
	if c.plans == nil {
		c.plans = make(map[fleet.PoolName]Plan)
	}
	c.plans[pool] = renewed
	return previous, renewed
}
