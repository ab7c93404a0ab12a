package front

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
)

// updatePace estimates the speeds of the endpoints of each pool from the evidence of all
// nodes.
func (f *Front) updatePace() {
	c := f.config.Load()
	if c == nil {
		return
	}
	evidence := f.peers.Pace()
	evidence.Add(f.pace.Evidence(clock.Now()))
	for name := range c.Pools {
		f.pace.Update(name, f.directory.Endpoints(name), evidence)
	}
}

// usualSpeeds returns the speeds of the usual engine of a pool whose engines differ.
func (f *Front) usualSpeeds(pool fleet.PoolName) (provision.Speeds, bool) {
	p := f.pace.Pool(pool)
	decode := float64(p.PerUnit) / float64(time.Millisecond)
	return provision.Speeds{Prefill: p.Prefill, Decode: decode}, p.Uneven && p.Prefill > 0
}
