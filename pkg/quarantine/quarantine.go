// Package quarantine protects endpoints from request contents that crash them. A
// content that crashed several different endpoints is refused on every node.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// quarantineThreshold is the number of different endpoints that a content has to
	// crash before it is quarantined.
	quarantineThreshold = 3
	// crashTTL is the time for which a crash counts.
	crashTTL = 2 * time.Minute
	// maxRecent is the maximum number of crashes that a node reports in one
	// digest. It leaves room for repeated crashes by one content, which matter most,
	// when many endpoints fail at the same time.
	maxRecent = 48
)

// ContentHash identifies the content of a request.
type ContentHash uint64

// Crash records that a content crashed an endpoint. A node infers it from an
// exchange that failed before the response header or the first event.
type Crash struct {
	Content  ContentHash      `cbor:"1,keyasint"`
	Instance fleet.InstanceID `cbor:"2,keyasint"`
}

// Tracker records crashes and quarantines contents. The zero value is ready to use.
type Tracker struct {
	// OnQuarantined, if set, is called once when a content becomes quarantined.
	OnQuarantined func(ContentHash)

	mu      sync.Mutex
	crashes map[ContentHash]map[fleet.InstanceID]clock.Instant
	// recent holds the latest crashes, newest last.
	recent []Crash
}

// Record records a crash and reports whether it was new.
func (t *Tracker) Record(crash Crash, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashes == nil {
		t.crashes = make(map[ContentHash]map[fleet.InstanceID]clock.Instant)
	}
	crashedAt := t.crashes[crash.Content]
	if crashedAt == nil {
		crashedAt = make(map[fleet.InstanceID]clock.Instant)
		t.crashes[crash.Content] = crashedAt
	}
	if _, ok := crashedAt[crash.Instance]; ok {
		return false
	}
	crashedAt[crash.Instance] = now
	t.recent = append(t.recent, crash)
	if excess := len(t.recent) - maxRecent; excess > 0 {
		t.recent = slices.Delete(t.recent, 0, excess)
	}
	if len(crashedAt) == quarantineThreshold && t.OnQuarantined != nil {
		t.OnQuarantined(crash.Content)
	}
	return true
}

// Quarantined reports whether a content is quarantined.
func (t *Tracker) Quarantined(content ContentHash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.crashes[content]) >= quarantineThreshold
}

// Recent returns the latest crashes, to be reported to the other nodes. They include
// those that other nodes reported.
func (t *Tracker) Recent() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.recent)
}

// Expire removes the crashes older than crashTTL.
func (t *Tracker) Expire(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for content, crashedAt := range t.crashes {
		for id, at := range crashedAt {
			if now.Sub(at) > crashTTL {
				delete(crashedAt, id)
			}
		}
		if len(crashedAt) == 0 {
			delete(t.crashes, content)
		}
	}
	t.recent = slices.DeleteFunc(t.recent, func(crash Crash) bool { return t.crashes[crash.Content] == nil })
}
