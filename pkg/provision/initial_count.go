package provision

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
)

// settleTime is how long no further endpoint must have registered before the initial
// endpoints of a deployment count as complete. It covers two heartbeats.
const settleTime = 2500 * time.Millisecond

// InitialCount counts the endpoints that a pool starts with. They register one after
// the other. Endpoints that register after the count is complete were requested by the
// system and are not counted. The zero value is ready to use.
type InitialCount struct {
	count        int
	lastIncrease clock.Instant
}

// Observe updates the count with the number of endpoints present at now.
func (c *InitialCount) Observe(present int, now clock.Instant) {
	if _, complete := c.Complete(now); !complete && present > c.count {
		c.count, c.lastIncrease = present, now
	}
}

// Complete returns the count. It reports true once the count has not increased for
// settleTime.
func (c *InitialCount) Complete(now clock.Instant) (count int, ok bool) {
	return c.count, c.count > 0 && now.Sub(c.lastIncrease) > settleTime
}
