package suspect

import (
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Criteria that distinguish the loss of a zone from crashes of single endpoints.
const (
	// zoneLossWindow is the period within which the losses of a zone are counted.
	zoneLossWindow = 2 * time.Second
	// minZoneLosses is the minimum number of instances lost within zoneLossWindow for
	// the loss of a zone. One content crashes at most MaxCrashes endpoints, so a
	// larger number has another cause.
	minZoneLosses = MaxCrashes + 1
)

// RecentLosses records the instances lost within zoneLossWindow. The zero value is
// ready to use.
type RecentLosses struct {
	mu   sync.Mutex
	lost map[fleet.InstanceRef]loss
}

type loss struct {
	zone fleet.ZoneName
	at   time.Time
}

// Add records that an instance was lost.
func (l *RecentLosses) Add(i fleet.Instance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost == nil {
		l.lost = make(map[fleet.InstanceRef]loss)
	}
	for ref, o := range l.lost {
		if now.Sub(o.at) > zoneLossWindow {
			delete(l.lost, ref)
		}
	}
	l.lost[i.Ref()] = loss{zone: i.Zone, at: now}
}

// ZoneLost reports whether at least minZoneLosses instances of a zone were lost within
// zoneLossWindow, so that the cause must be the cloud provider.
func (l *RecentLosses) ZoneLost(zone fleet.ZoneName, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, o := range l.lost {
		if o.zone == zone && now.Sub(o.at) <= zoneLossWindow {
			count++
		}
	}
	return count >= minZoneLosses
}
