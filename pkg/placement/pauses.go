package placement

import (
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// RecordPause records that an endpoint wants no requests of this node until an instant.
// This holds for its incarnations born up to newest, in Unix milliseconds, which is that
// of e at least. A shorter pause does not end a longer one, unless e is newer.
func (t *Tracker) RecordPause(e serving.Endpoint, newest int64, until clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.ID)
	if e.Born <= s.pausedBorn {
		until = max(until, s.pausedUntil)
	}
	s.pausedUntil, s.pausedBorn = until, max(s.pausedBorn, e.Born, newest)
}

// Paused reports whether an incarnation of an endpoint wants no requests now.
func (t *Tracker) Paused(e serving.Endpoint, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints[e.ID]
	return s != nil && s.wantsPause(e, now)
}

// wantsPause reports whether the incarnation of the endpoint wants no requests now.
func (s *endpointState) wantsPause(e serving.Endpoint, now clock.Instant) bool {
	return e.Born <= s.pausedBorn && now < s.pausedUntil
}

// Available returns the endpoints without a pause, and when the first pause of the
// others that are ready ends; 0 if there is none. It reuses the slice.
func (t *Tracker) Available(endpoints []serving.Endpoint, now clock.Instant) (available []serving.Endpoint, firstEnd clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	available = endpoints[:0]
	for _, e := range endpoints {
		s := t.endpoints[e.ID]
		if s == nil || !s.wantsPause(e, now) {
			available = append(available, e)
		} else if e.State == serving.StateReady && (firstEnd == 0 || s.pausedUntil < firstEnd) {
			firstEnd = s.pausedUntil
		}
	}
	return available, firstEnd
}
