package front

import (
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
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
		wasUneven := f.pace.Pool(name).Uneven
		f.pace.Update(name, f.directory.Endpoints(name), evidence)
		p := f.pace.Pool(name)
		f.metrics.speedSpread.WithLabelValues(string(name)).Set(p.Spread)
		f.metrics.speedEvidence.WithLabelValues(string(name)).Set(p.Evidence)
		if p.Uneven != wasUneven {
			f.Logs.Emit(event.PaceChanged, zap.String("pool", string(name)), zap.Bool("uneven", p.Uneven), zap.Float64("spread", p.Spread), zap.Float64("evidence", p.Evidence),
				zap.Duration("unit", p.PerUnit), zap.Duration("first", p.FirstStep), zap.Float64("prefill", p.Prefill))
		}
	}
}

// usualSpeeds returns the mean speeds of the engines of a pool where they differ.
func (f *Front) usualSpeeds(pool fleet.PoolName) (provision.Speeds, bool) {
	p := f.pace.Pool(pool)
	if !p.Uneven || p.Prefill <= 0 {
		return provision.Speeds{}, false
	}
	decode := p.PerUnit.Seconds() * 1000
	return provision.Speeds{Prefill: p.Prefill * p.MeanSpeed, Decode: decode / p.MeanSpeed}, true
}
