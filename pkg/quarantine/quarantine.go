// Package quarantine keeps contents that break endpoints away from them. A
// content that broke several different endpoints is refused on every node.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// convictions is how many different endpoints a content must have broken.
	convictions = 3
	// keepFor is how long a break counts.
	keepFor = 2 * time.Minute
	// mostTold bounds the breaks that are told to other nodes at once.
	mostTold = 48
)

// Content names a request's content.
type ContentHash uint64

// Break says that a content broke an endpoint.
type Crash struct {
	Content  ContentHash      `cbor:"1,keyasint"`
	Instance fleet.InstanceID `cbor:"2,keyasint"`
}

// Ward remembers breaks. The zero value is ready to use.
type Tracker struct {
	// Convicted is called once for a content that is refused from now on, if set.
	OnQuarantined func(ContentHash)

	mu     sync.Mutex
	breaks map[ContentHash]map[fleet.InstanceID]clock.Instant
	// recent are the latest breaks, the newest last.
	recent []Crash
}

// Note notes a break. It tells whether it was new.
func (w *Tracker) Record(b Crash, now clock.Instant) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.breaks == nil {
		w.breaks = make(map[ContentHash]map[fleet.InstanceID]clock.Instant)
	}
	seen := w.breaks[b.Content]
	if seen == nil {
		seen = make(map[fleet.InstanceID]clock.Instant)
		w.breaks[b.Content] = seen
	}
	if _, ok := seen[b.Instance]; ok {
		return false
	}
	seen[b.Instance] = now
	w.recent = append(w.recent, b)
	if extra := len(w.recent) - mostTold; extra > 0 {
		w.recent = slices.Delete(w.recent, 0, extra)
	}
	if len(seen) == convictions && w.OnQuarantined != nil {
		w.OnQuarantined(b.Content)
	}
	return true
}

// Refused tells whether a content is kept from endpoints.
func (w *Tracker) Quarantined(c ContentHash) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.breaks[c]) >= convictions
}

// Recent returns the latest breaks. Repeated breaks of one content matter most,
// so they are told even when many endpoints fail at once.
func (w *Tracker) Recent() []Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.recent)
}

// Expire forgets old breaks.
func (w *Tracker) Expire(now clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, seen := range w.breaks {
		for id, at := range seen {
			if now.Sub(at) > keepFor {
				delete(seen, id)
			}
		}
		if len(seen) == 0 {
			delete(w.breaks, c)
		}
	}
	w.recent = slices.DeleteFunc(w.recent, func(b Crash) bool { return w.breaks[b.Content] == nil })
}
