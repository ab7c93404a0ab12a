package route

import (
	"math"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Parameters of the hazard estimate.
const (
	// waveGap is the least time between two reclaims that count as two waves.
	waveGap = time.Minute
	// memory is the half-life of a wave in the estimate.
	memory = 6 * time.Hour
	// priorInterval is the time between waves that is assumed of any zone.
	priorInterval = 12 * time.Hour
)

// Hazard estimates how often each zone is reclaimed. The zero value is ready
// to use.
type Hazard struct{ zones map[fleet.ZoneName]wave }

type wave struct {
	count float64
	last  time.Time
}

// Reclaimed counts a reclaim in a zone.
func (h *Hazard) Reclaimed(zone fleet.ZoneName, now time.Time) {
	w := h.zones[zone]
	if !w.last.IsZero() && now.Sub(w.last) < waveGap {
		return
	}
	if h.zones == nil {
		h.zones = make(map[fleet.ZoneName]wave)
	}
	h.zones[zone] = wave{count: w.at(now) + 1, last: now}
}

// Rate returns the chance a second that an instance is reclaimed.
func (h *Hazard) Rate(i fleet.Instance, now time.Time) float64 {
	if i.Market == fleet.MarketOnDemand {
		return 0
	}
	seen := h.zones[i.Zone].at(now) * math.Ln2 / memory.Seconds()
	return seen + 1/priorInterval.Seconds()
}

// at returns the decayed count.
func (w wave) at(now time.Time) float64 {
	if w.last.IsZero() {
		return 0
	}
	return w.count * math.Exp2(-float64(now.Sub(w.last))/float64(memory))
}
