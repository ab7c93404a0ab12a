package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// SuspicionID identifies a suspicion on all nodes, 0 if an earlier version reported it.
type SuspicionID uint64

// newSuspicionID returns a random ID.
func newSuspicionID() SuspicionID { return SuspicionID(max(1, rand.Uint64())) }

// Suspicion describes a request that was in flight at an endpoint when the endpoint
// crashed, and that may have caused the crash.
type Suspicion struct {
	Instance fleet.InstanceID `cbor:"1,keyasint"`
	// Subjects are the subjects of the request, the least specific one first.
	Subjects []Subject `cbor:"2,keyasint"`
	// Age is the time since the crash.
	Age time.Duration `cbor:"3,keyasint"`
	// Ran is the time from when the request was sent to the crash, 0 if that is not known.
	Ran time.Duration `cbor:"4,keyasint,omitempty"`
	// Started reports whether the endpoint had answered the request for some time.
	Started bool `cbor:"5,keyasint,omitempty"`
	// Resent reports whether the request was sent after a crash with its content, by what the
	// node that sent it knows.
	Resent bool `cbor:"6,keyasint,omitempty"`
	// ID identifies the suspicion.
	ID SuspicionID `cbor:"7,keyasint,omitempty"`
	// Stored reports whether the suspicion is in the store.
	Stored bool `cbor:"8,keyasint,omitempty"`
	// Answered reports, to nodes that have just started, whether an endpoint had answered a
	// request with the content for some time not long before the crash, or has since.
	Answered bool `cbor:"9,keyasint,omitempty"`
}

// Success describes the last request with a subject that an endpoint served.
type Success struct {
	Subject Subject `cbor:"1,keyasint"`
	// Age is the time since the endpoint began to answer.
	Age time.Duration `cbor:"2,keyasint"`
}

// Quarantine describes a subject that is refused.
type Quarantine struct {
	Subject Subject `cbor:"1,keyasint"`
	// Remaining is the time until requests with the subject are accepted again. It is negative
	// while the subject is on probation.
	Remaining time.Duration `cbor:"2,keyasint"`
	// Count is the number of times that the subject has been quarantined.
	Count int `cbor:"3,keyasint"`
}

// Report is what a node reports to the others.
type Report struct {
	Suspicions  []Suspicion  `cbor:"1,keyasint,omitempty"`
	Successes   []Success    `cbor:"2,keyasint,omitempty"`
	Quarantines []Quarantine `cbor:"3,keyasint,omitempty"`
	// Served is the age of the newest run that endpoints began and served, whatever its
	// subjects, as far as the node knows; 0 if there is none. It comes with suspicions only.
	Served time.Duration `cbor:"4,keyasint,omitempty"`
}

// describe returns the suspicion as it is reported.
func (s *suspicion) describe(now clock.Instant) Suspicion {
	return Suspicion{
		Instance: s.instance, Subjects: s.subjects, Age: now.Sub(s.at), Ran: s.ran, Started: s.started,
		Resent: s.resent, ID: s.id, Stored: s.stored,
	}
}

// Report returns what the other nodes need to know, which includes what this node
// learned from them.
func (t *Tracker) Report(now clock.Instant) (r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orderSuspicions()
	served := make(map[Subject]bool)
	subjects := 0
	// In a small fleet the nodes learn all from the first pass. The second one matters
	// for relays.
	for _, local := range []bool{true, false} {
		for _, s := range slices.Backward(t.suspicions) {
			if now.Sub(s.at) > reportTime || len(r.Suspicions) == maxReported {
				break
			}
			if s.local != local || subjects+len(s.subjects) > maxReportedSubjects {
				continue
			}
			subjects += len(s.subjects)
			r.Suspicions = append(r.Suspicions, s.describe(now))
			report := func(subject Subject, since clock.Instant) {
				if at := t.lastServed(subject); at > since && !served[subject] {
					served[subject] = true
					r.Successes = append(r.Successes, Success{Subject: subject, Age: now.Sub(at)})
				}
			}
			for _, subject := range s.subjects {
				report(subject, s.at)
			}
			// Nodes that have just started do not know whether a content is in use.
			for _, content := range contentOf(s.subjects) {
				report(content, s.at.Add(-servedLately))
				report(startOf(content), s.at.Add(-servedLately))
			}
		}
	}
	if len(r.Suspicions) > 0 && t.newestBegun > 0 {
		r.Served = max(now.Sub(t.newestBegun), 1)
	}
	for s, q := range t.quarantined {
		if remaining := q.until.Sub(now); remaining > 0 {
			r.Quarantines = append(r.Quarantines, Quarantine{Subject: s, Remaining: remaining, Count: q.count})
		}
	}
	return r
}

// Merge applies the report of another node.
func (t *Tracker) Merge(r Report, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range r.Successes {
		t.addServed(s.Subject, success{at: now.Add(-s.Age)})
	}
	if r.Served > 0 {
		t.newestBegun = max(t.newestBegun, now.Add(-r.Served))
	}
	for _, q := range r.Quarantines {
		// Quarantines also come from the store, to which others may write.
		q.Count, q.Remaining = min(max(q.Count, 1), maxCount), min(q.Remaining, maxQuarantine)
		// A report that is under way for a moment extends a quarantine by that moment.
		added := quarantine{until: now.Add(q.Remaining), count: q.Count}
		// A peer may not have heard that the subject is trusted again.
		servedSince := t.lastServed(q.Subject) > added.until
		if known := t.quarantined[q.Subject]; servedSince || added.isOver(now) || added.count < known.count || added.count == known.count && added.until <= known.until.Add(maxReportDelay) {
			continue
		}
		t.setQuarantine(q.Subject, added, false, now)
	}
	for _, s := range r.Suspicions {
		if s.Age > contentCrashTTL {
			continue
		}
		if subjects := contentOf(s.Subjects); s.Answered && len(subjects) > 0 {
			t.addServed(startOf(subjects[0]), success{at: now.Add(-max(s.Age, 0))})
		}
		t.addSuspicion(suspicion{
			id: s.ID, instance: s.Instance, subjects: s.Subjects[max(0, len(s.Subjects)-maxSubjects):], at: now.Add(-max(s.Age, 0)), ran: s.Ran, started: s.Started,
			resent: s.Resent, stored: s.Stored,
		})
	}
	t.evaluate(now)
}
