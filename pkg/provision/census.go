package provision

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
)

// settleTime is how long no further endpoint must have registered until those
// that a deployment begins with are taken to be complete; two heartbeats.
const settleTime = 2500 * time.Millisecond

// Census counts the endpoints that a pool begins with. They register one after
// the other; those that come once they are complete were ordered, and do not
// count. The zero value is ready to use.
type InitialCount struct {
	most  int
	since clock.Instant
}

// Note takes the present number of endpoints into account.
func (c *InitialCount) Observe(present int, now clock.Instant) {
	if _, complete := c.Complete(now); !complete && present > c.most {
		c.most, c.since = present, now
	}
}

// Complete returns the number once it has stood for a while.
func (c *InitialCount) Complete(now clock.Instant) (number int, ok bool) {
	return c.most, c.most > 0 && now.Sub(c.since) > settleTime
}
