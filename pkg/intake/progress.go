package intake

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
)

// sample is what Sweep has seen of a sender in its phase.
type sample struct {
	since, progress clock.Instant
	// first and last are what had arrived at since and progress.
	first, last int64
}

// observe samples the progress of a sender.
func (s *Sender) observe(now clock.Instant) {
	arrived := s.arrived.Load()
	if s.sample.since == 0 {
		s.sample = sample{since: now, progress: now, first: arrived, last: arrived}
	}
	if arrived != s.sample.last {
		s.sample.progress, s.sample.last = now, arrived
	}
}

// overdue reports whether the time of the current body is over.
func (s *Sender) overdue(now clock.Instant) bool {
	switch {
	case s.response:
		return false
	case s.due > 0:
		return now > s.due
	default:
		return now.Sub(s.sample.since) > bodyTimeout
	}
}

// stalled reports whether nothing has arrived for stallTime.
func (s *Sender) stalled(now clock.Instant) bool {
	return s.sample.since > 0 && now.Sub(s.sample.progress) >= stallTime
}

// slow reports whether a body that others wait for stalls or arrives slowly.
func (s *Sender) slow(now clock.Instant) bool {
	return s.stalled(now) || s.sample.since > 0 && now.Sub(s.sample.since) >= minAge && s.rate(now) < slowRate
}

// rate returns the bytes per second that have arrived in the phase.
func (s *Sender) rate(now clock.Instant) float64 {
	age := max(now.Sub(s.sample.since), time.Millisecond)
	return float64(s.sample.last-s.sample.first) / age.Seconds()
}
