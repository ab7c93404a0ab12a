package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
)

// backupDelay is the age from which a node stores the crashes that another one observed, unless
// that one has.
const backupDelay = 3 * time.Second

// maxRemovals is the maximum number of removals that wait for the store.
const maxRemovals = 4096

// StoreKey identifies a record of the store: a suspicion, or a quarantine if Suspicion is 0.
type StoreKey struct {
	Subject   Subject
	Suspicion SuspicionID
}

// key returns the key of a suspicion in the store.
func (s *suspicion) key() StoreKey { return StoreKey{Subject: s.content(), Suspicion: s.id} }

// Key returns the key of a suspicion in the store.
func (s *Suspicion) Key() StoreKey {
	return StoreKey{Subject: s.Subjects[len(s.Subjects)-1], Suspicion: s.ID}
}

// success is a success with a subject.
type success struct {
	// at is when the endpoint began to answer.
	at clock.Instant
	// local reports whether this node sent the request.
	local bool
}

// trackSuspects keeps the last successes with subjects from now on. The caller holds the lock.
func (t *Tracker) trackSuspects(subjects []Subject) {
	if t.suspects == nil {
		t.suspects = make(map[Subject]success)
	}
	for _, s := range subjects {
		if _, ok := t.suspects[s]; !ok {
			t.suspects[s] = success{at: t.lastServed(s)}
		}
	}
}

// clearSuspect records a success with a subject if it is the latest one of a suspect. The caller
// holds the lock.
func (t *Tracker) clearSuspect(s Subject, added success) {
	if known, ok := t.suspects[s]; ok && added.at > known.at {
		t.suspects[s] = added
	}
}

// isInUse reports whether a subject of a suspicion was served since the crash, or not long
// before. The caller holds the lock.
func (t *Tracker) isInUse(subject Subject, s *suspicion) bool {
	at := t.lastServed(subject)
	return at > 0 && at > s.at.Add(-servedLately)
}

// describeUnused returns a suspicion of a content that is not in use as it is stored: without
// the prefix blocks that are. The caller holds the lock.
func (t *Tracker) describeUnused(s *suspicion, now clock.Instant) Suspicion {
	described := s.describe(now)
	described.Subjects = slices.DeleteFunc(slices.Clone(s.subjects), func(subject Subject) bool { return t.isInUse(subject, s) })
	described.Answered = t.isInUse(startOf(s.content()), s)
	return described
}

// isOver reports whether a suspicion older than crashTTL says nothing more: its content was
// served or quarantined since, or it is too old. The caller holds the lock.
func (t *Tracker) isOver(s *suspicion, now clock.Instant) bool {
	return t.isInUse(s.content(), s) || s.at <= t.quarantined[s.content()].until || now.Sub(s.at) > contentCrashTTL
}

// expireSuspicions removes the suspicions older than crashTTL that are over, and reduces the
// others to their contents. The caller holds the lock.
func (t *Tracker) expireSuspicions(now clock.Instant) {
	before, reduced := len(t.suspicions), false
	kept := t.suspicions[:0]
	for _, s := range t.suspicions {
		isOld := now.Sub(s.at) > crashTTL
		isOver := isOld && t.isOver(&s, now)
		// The observer of a crash removes it from the store, and who served the content.
		if s.stored && !s.removed && (isOver || t.isInUse(s.content(), &s)) && (s.local || t.suspects[s.content()].local) {
			t.removals = append(t.removals, s.key())
			s.removed = true
		}
		if isOver {
			continue
		}
		if isOld && len(s.subjects) > 1 {
			s.subjects, reduced = contentOf(s.subjects), true
		}
		kept = append(kept, s)
	}
	clear(t.suspicions[len(kept):])
	t.suspicions = kept
	t.limitOld(now)
	t.removals = t.removals[max(0, len(t.removals)-maxRemovals):]
	if len(t.suspicions) == before && !reduced {
		return
	}
	known := make(map[Subject]success)
	for _, s := range t.suspicions {
		for _, subject := range s.subjects {
			known[subject] = t.suspects[subject]
		}
	}
	t.suspects = known
}

// limitOld removes the suspicions over maxOldSuspicions. The caller holds the lock.
func (t *Tracker) limitOld(now clock.Instant) {
	isOld := func(s *suspicion) bool { return now.Sub(s.at) > crashTTL }
	old := 0
	for i := range t.suspicions {
		if isOld(&t.suspicions[i]) {
			old++
		}
	}
	t.removeOldest(old-maxOldSuspicions, isOld)
}

// removeOldest removes the oldest suspicions among those that may go, of contents with a single
// crash first. The caller holds the lock.
func (t *Tracker) removeOldest(excess int, mayGo func(*suspicion) bool) {
	if excess <= 0 {
		return
	}
	crashes := make(map[Subject]int)
	for i := range t.suspicions {
		crashes[t.suspicions[i].content()]++
	}
	for _, singleOnly := range []bool{true, false} {
		t.suspicions = slices.DeleteFunc(t.suspicions, func(s suspicion) bool {
			if excess <= 0 || !mayGo(&s) || singleOnly && crashes[s.content()] > 1 {
				return false
			}
			excess--
			return true
		})
	}
}

// isDue reports whether this node has to store a suspicion. The caller holds the lock.
func (t *Tracker) isDue(s *suspicion, now clock.Instant) bool {
	return !s.stored && s.id != 0 && (s.local || now.Sub(s.at) >= backupDelay) && !t.isInUse(s.content(), s)
}

// notifyUnstored calls OnUnstored if Unstored would return anything. The caller holds the lock.
func (t *Tracker) notifyUnstored(now clock.Instant) {
	isDue := func(s suspicion) bool { return t.isDue(&s, now) }
	if t.OnUnstored != nil && (len(t.removals) > 0 || slices.ContainsFunc(t.suspicions, isDue)) {
		t.OnUnstored()
	}
}

// Unstored returns the suspicions that this node has to store, oldest first, and what it has to
// remove from the store. MarkStored confirms both.
func (t *Tracker) Unstored(now clock.Instant) (added []Suspicion, removed []StoreKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orderSuspicions()
	for i := range t.suspicions {
		s := &t.suspicions[i]
		if t.isDue(s, now) {
			added = append(added, t.describeUnused(s, now))
		}
	}
	return added, slices.Clone(t.removals)
}

// MarkStored records that suspicions are in the store, and that records were removed from it.
func (t *Tracker) MarkStored(added []Suspicion, removed []StoreKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stored := make(map[SuspicionID]bool)
	for i := range added {
		stored[added[i].ID] = true
	}
	for i := range t.suspicions {
		s := &t.suspicions[i]
		s.stored = s.stored || stored[s.id]
	}
	t.removals = slices.DeleteFunc(t.removals, func(k StoreKey) bool { return slices.Contains(removed, k) })
}

// Load merges what the store holds, and lets this node remove some of what is over: all nodes
// of a fleet load it.
func (t *Tracker) Load(r Report, nodes int, now clock.Instant) {
	var over []StoreKey
	for i := range r.Suspicions {
		if s := &r.Suspicions[i]; s.Age > contentCrashTTL {
			over = append(over, s.Key())
		}
	}
	for _, q := range r.Quarantines {
		if (quarantine{until: now.Add(q.Remaining), count: q.Count}).isOver(now) {
			over = append(over, StoreKey{Subject: q.Subject})
		}
	}
	t.Merge(r, now)
	if rand.IntN(max(1, nodes)) == 0 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.removals = append(t.removals, over...)
	}
}

// FullReport returns all that a node needs to know which has just started, or was cut off: in
// contrast to Report, crashes of any age and quarantines on probation.
func (t *Tracker) FullReport(now clock.Instant) (r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orderSuspicions()
	for i := range t.suspicions {
		s := &t.suspicions[i]
		if !t.isInUse(s.content(), s) {
			r.Suspicions = append(r.Suspicions, t.describeUnused(s, now))
		}
	}
	for _, s := range slices.SortedFunc(maps.Keys(t.quarantined), cmp.Compare[Subject]) {
		if q := t.quarantined[s]; !q.isOver(now) {
			r.Quarantines = append(r.Quarantines, Quarantine{Subject: s, Remaining: q.until.Sub(now), Count: q.count})
		}
	}
	return r
}
