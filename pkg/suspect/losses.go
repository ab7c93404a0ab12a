package suspect

import (
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// What tells the loss of a zone from the crash of an endpoint.
const (
	// waveWindow is how close together the losses of one zone are.
	waveWindow = 2 * time.Second
	// waveInstances is how many instances of a zone are lost in a wave at least.
	// One content crashes at most MaxCrashes endpoints, so more are not its doing.
	waveInstances = MaxCrashes + 1
)

// Losses remembers which instances were lost lately. The zero value is ready to
// use.
type RecentLosses struct {
	mu   sync.Mutex
	lost map[fleet.InstanceRef]loss
}

type loss struct {
	zone fleet.ZoneName
	at   time.Time
}

// Note records that an instance was lost.
func (l *RecentLosses) Add(i fleet.Instance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost == nil {
		l.lost = make(map[fleet.InstanceRef]loss)
	}
	for ref, o := range l.lost {
		if now.Sub(o.at) > waveWindow {
			delete(l.lost, ref)
		}
	}
	l.lost[i.Ref()] = loss{zone: i.Zone, at: now}
}

// Wave reports whether so many instances of a zone were lost together that the
// cloud must have taken them.
func (l *RecentLosses) ZoneLost(zone fleet.ZoneName, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, o := range l.lost {
		if o.zone == zone && now.Sub(o.at) <= waveWindow {
			count++
		}
	}
	return count >= waveInstances
}
