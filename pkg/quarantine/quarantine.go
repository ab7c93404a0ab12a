// Package quarantine protects endpoints from requests that crash them. What such
// requests have in common, a whole content or a prefix block of their prompts, is
// found from the crashes that all nodes observe, and is refused on every node.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// crashTTL is the time for which a crash counts, contentCrashTTL that for which it counts
	// against a content that was not served since.
	crashTTL, contentCrashTTL = 2 * time.Minute, 30 * time.Minute
	// firstQuarantine is how long a subject is quarantined for the first time. The time
	// doubles with each further time, up to maxQuarantine.
	firstQuarantine, maxQuarantine = 2 * time.Minute, time.Hour
	// probationFactor times the last quarantine is how long a subject is quarantined
	// again after a single crash.
	probationFactor = 4
	// reportTime is how long a crash or a success is reported to the other nodes.
	reportTime = 10 * time.Second
	// maxSuspicions is the maximum number of suspicions that are kept. Engines that are lost
	// together have some hundred requests.
	maxSuspicions = 2048
	// evictedSuspicions is how many are removed beyond those that are too many.
	evictedSuspicions = 64
	// maxOldSuspicions is that of those older than crashTTL. Most are of requests that did not
	// come again after endpoints were lost.
	maxOldSuspicions = 512
	// maxReported is the maximum number of suspicions in one report and
	// maxReportedSubjects that of their subjects. A report has to fit into a datagram.
	maxReported, maxReportedSubjects = 96, 1150
	// evaluationPause is the minimum time between two evaluations of the crashes.
	evaluationPause = 100 * time.Millisecond
	// maxSubjects is the maximum number of subjects of a request. Of a longer prompt the
	// first prefix blocks are left out.
	maxSubjects = 64
	// maxServed is the number of subjects for which the last success is kept.
	maxServed = 8192
	// sameCrashTime is the maximum time between two observations of one crash. An endpoint
	// may be back soon after, and crash again.
	sameCrashTime = 250 * time.Millisecond
	// maxReportDelay is how long a report may be under way at most.
	maxReportDelay = time.Second
	// maxClockError is by how much the times of two nodes may differ for the same event.
	maxClockError = 50 * time.Millisecond
)

// Subject identifies what requests have in common and what may crash the endpoints
// that run them: a content or a prefix block.
type Subject uint64

// Subjects returns the subjects of a request, the least specific one first: its prefix
// blocks except the last, which belongs to the request alone, and its content.
func Subjects(content uint64, blocks []serving.PrefixBlock) []Subject {
	shared := blocks[:max(0, len(blocks)-1)]
	shared = shared[max(0, len(shared)-(maxSubjects-1)):]
	subjects := make([]Subject, 0, len(shared)+1)
	for _, b := range shared {
		subjects = append(subjects, Subject(xxhash.Sum64String(string(b.ID))))
	}
	return append(subjects, contentSubject(content))
}

// contentSubject returns the subject of a content. It differs from that of a block with
// the same hash.
func contentSubject(content uint64) Subject {
	return Subject(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte("content"), content)))
}

// Run is the run of a request at an endpoint that broke it off.
type Run struct {
	Subjects []Subject
	// Sent is when the request was sent to the endpoint, 0 if that is not known, Broke
	// when the endpoint broke it off.
	Sent, Broke clock.Instant
	// Started reports whether the endpoint had answered for some time, so that it had read
	// in the whole prompt. Its prefix blocks are not the cause then, its content may be.
	Started bool
}

// suspicion is a Suspicion with the instant of the crash.
type suspicion struct {
	id       SuspicionID
	instance fleet.InstanceID
	subjects []Subject
	at       clock.Instant
	// ran is the time from when the request was sent to the crash, 0 if that is not known.
	ran time.Duration
	// started reports whether the endpoint had answered the request for some time.
	started bool
	// local reports whether this node made the observation.
	local bool
	// resent is as Suspicion.Resent, and stored as Suspicion.Stored.
	resent, stored bool
	// removed reports whether this node had it removed from the store.
	removed bool
}

// content returns the content of the request.
func (s *suspicion) content() Subject { return s.subjects[len(s.subjects)-1] }

// sent returns when the request was sent. A request of which that is not known may have
// been sent before any crash within crashSpacing.
func (s *suspicion) sent() clock.Instant {
	if s.ran <= 0 {
		return s.at.Add(-crashSpacing)
	}
	return s.at.Add(-s.ran)
}

// orderSuspicions sets resent of the suspicions of this node. The order of its own
// observations is exact. A crash that another node reports seems later than it was, by the
// time that the report was under way, and never sooner, so a request that was sent after
// that was sent after the crash. The caller holds the lock.
func (t *Tracker) orderSuspicions() {
	if !t.unordered {
		return
	}
	t.unordered = false
	crashes := make(map[Subject][]clock.Instant)
	for _, s := range t.suspicions {
		crashes[s.content()] = append(crashes[s.content()], s.at)
	}
	for i := range t.suspicions {
		s := &t.suspicions[i]
		if !s.local || s.ran <= 0 {
			continue
		}
		// Suspicions are sorted by time, and so are the crashes with a content.
		times := crashes[s.content()]
		n, _ := slices.BinarySearch(times, s.sent()+1)
		s.resent = n > 0 && s.sent().Sub(times[n-1]) < crashSpacing
	}
}

// period counts periods of servedPeriod.
type period int64

// servedPeriod is the precision with which it is known when anything was served.
const servedPeriod = time.Second

func periodOf(at clock.Instant) period { return period(at) / period(servedPeriod) }

// servedMeanwhile reports whether endpoints served anything in servedLately before an
// instant, and directly after it. The caller holds the lock.
func (t *Tracker) servedMeanwhile(at clock.Instant) bool {
	_, after := t.begun[periodOf(at)+1]
	_, before := t.begun[periodOf(at)-1]
	_, long := t.begun[periodOf(at.Add(-servedLately))]
	return after && before && long
}

// maxCount bounds Quarantine.Count of a report. The length of a quarantine stops to grow
// long before.
const maxCount = 1000

// quarantine is the state of a subject that is or was quarantined.
type quarantine struct {
	until clock.Instant
	count int
}

// length returns how long the current quarantine lasts.
func (q quarantine) length() time.Duration {
	const maxDoublings = 10
	return min(firstQuarantine<<min(q.count-1, maxDoublings), maxQuarantine)
}

// isOver reports whether the probation after the quarantine is over too.
func (q quarantine) isOver(now clock.Instant) bool {
	return now.Sub(q.until) > probationFactor*q.length()
}

// Tracker records crashes and successes and quarantines subjects. The zero value is
// ready to use.
type Tracker struct {
	// OnQuarantined, if set, is called when a subject becomes quarantined. found reports
	// whether this node found the subject; another one reported it otherwise.
	OnQuarantined func(q Quarantine, found bool)
	// OnUnstored, if set, is called when Unstored has something to store or to remove.
	OnUnstored func()

	mu sync.Mutex
	// suspicions are the known suspicions, oldest first.
	suspicions []suspicion
	// served holds when an endpoint began to answer the last request with a subject that
	// it served.
	served *lru.Cache[Subject, clock.Instant]
	// suspects holds the same for the subjects of the suspicions, however many others are
	// served meanwhile.
	suspects map[Subject]success
	// removals are the suspicions and quarantines that the store has to forget.
	removals []StoreKey
	// begun holds the periods in which endpoints began to answer requests of this node that
	// they served.
	begun map[period]struct{}
	// newestBegun is when endpoints began the newest run that they served, on any node.
	newestBegun clock.Instant
	quarantined map[Subject]quarantine
	// unordered reports whether suspicions were added since orderSuspicions.
	unordered bool
	// evaluateAt is when the crashes have to be evaluated again, 0 if there is no new one.
	evaluateAt clock.Instant
}

// RecordCrash records that a request may have crashed an endpoint.
func (t *Tracker) RecordCrash(instance fleet.InstanceID, r Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := suspicion{id: newSuspicionID(), instance: instance, subjects: r.Subjects, at: r.Broke, started: r.Started, local: true}
	if r.Started {
		s.subjects = contentOf(r.Subjects)
	}
	if r.Sent > 0 {
		s.ran = r.Broke.Sub(r.Sent)
	}
	if t.addSuspicion(s) && t.OnUnstored != nil {
		t.OnUnstored()
	}
}

// RecordServed records that an endpoint ran a request, which it began to answer at the
// given instant, to its end. This clears the subjects of crashes before it.
func (t *Tracker) RecordServed(subjects []Subject, begunAt clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begun == nil {
		t.begun = make(map[period]struct{})
	}
	t.begun[periodOf(begunAt)] = struct{}{}
	t.newestBegun = max(t.newestBegun, begunAt)
	for _, s := range subjects {
		t.addServed(s, success{at: begunAt, local: true})
	}
}

// RecordStarted records that an endpoint has answered a request for some time, as
// RecordServed does for the prefix blocks of its prompt. The content may still crash it.
func (t *Tracker) RecordStarted(subjects []Subject, begunAt clock.Instant) {
	content := contentOf(subjects)
	started := slices.Clone(subjects[:len(subjects)-len(content)])
	for _, s := range content {
		started = append(started, startOf(s))
	}
	t.RecordServed(started, begunAt)
}

// startOf returns the subject under which it is kept when a content was last answered for some
// time.
func startOf(content Subject) Subject { return ^content }

// contentOf returns the content among the subjects of a request.
func contentOf(subjects []Subject) []Subject { return subjects[max(0, len(subjects)-1):] }

// Quarantined reports whether any of the subjects is quarantined.
func (t *Tracker) Quarantined(subjects []Subject, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	return slices.ContainsFunc(subjects, func(s Subject) bool { return t.isQuarantined(s, now) })
}

// Count returns the number of subjects that are quarantined.
func (t *Tracker) Count(now clock.Instant) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	for s := range t.quarantined {
		if t.isQuarantined(s, now) {
			count++
		}
	}
	return count
}

// isQuarantined reports whether a subject is quarantined. The caller holds the lock.
func (t *Tracker) isQuarantined(s Subject, now clock.Instant) bool {
	return now < t.quarantined[s].until
}

// addSuspicion adds a suspicion, or what is new about a known one, and reports whether it
// was not known. The caller holds the lock.
func (t *Tracker) addSuspicion(added suspicion) (isNew bool) {
	if len(added.subjects) == 0 {
		return false
	}
	for i := range t.suspicions {
		s := &t.suspicions[i]
		sameID := s.id != 0 && s.id == added.id
		if sameID || s.instance == added.instance && slices.Equal(s.subjects, added.subjects) && abs(s.at.Sub(added.at)) < sameCrashTime {
			s.stored = s.stored || sameID && added.stored
			// The node that sent the request may have heard of an earlier crash since.
			if added.resent && !s.resent && !s.local {
				s.resent = true
				t.scheduleEvaluation(s.at.Add(settleTime))
			}
			return false
		}
	}
	i, _ := slices.BinarySearchFunc(t.suspicions, added.at, func(s suspicion, at clock.Instant) int { return cmp.Compare(s.at, at) })
	t.suspicions = slices.Insert(t.suspicions, i, added)
	t.unordered = true
	t.trackSuspects(added.subjects)
	if len(t.suspicions) > maxSuspicions {
		t.removeOldest(len(t.suspicions)-maxSuspicions+evictedSuspicions, func(*suspicion) bool { return true })
	}
	t.scheduleEvaluation(added.at.Add(settleTime))
	return true
}

// scheduleEvaluation lets the crashes be evaluated at an instant at the latest. The caller
// holds the lock.
func (t *Tracker) scheduleEvaluation(due clock.Instant) {
	if t.evaluateAt == 0 || due < t.evaluateAt {
		t.evaluateAt = due
	}
}

// addServed records a success if it is the latest. A subject that was quarantined before and
// is served now is trusted again. The caller holds the lock.
func (t *Tracker) addServed(s Subject, added success) {
	if t.served == nil {
		// New fails only if the size is not positive.
		t.served, _ = lru.New[Subject, clock.Instant](maxServed)
	}
	if last, _ := t.served.Get(s); added.at > last {
		t.served.Add(s, added.at)
	}
	t.clearSuspect(s, added)
	if q, ok := t.quarantined[s]; ok && added.at > q.until {
		delete(t.quarantined, s)
		if added.local {
			t.removals = append(t.removals, StoreKey{Subject: s})
		}
	}
}

// lastServed returns the instant of the last success with a subject, or 0. The caller
// holds the lock.
func (t *Tracker) lastServed(s Subject) clock.Instant {
	if t.served == nil {
		return 0
	}
	at, _ := t.served.Peek(s)
	return max(at, t.suspects[s].at)
}

// evaluate quarantines the subjects that explain the known crashes, if there is a new
// one that has settled. The caller holds the lock.
func (t *Tracker) evaluate(now clock.Instant) {
	if t.evaluateAt == 0 || now < t.evaluateAt {
		return
	}
	t.evaluateAt = 0
	for _, s := range t.suspicions {
		for _, age := range []time.Duration{settleTime, togetherSettleTime, lateSettleTime} {
			if due := s.at.Add(age); due > now {
				t.scheduleEvaluation(due)
			}
		}
	}
	if t.evaluateAt > 0 {
		t.evaluateAt = max(t.evaluateAt, now.Add(evaluationPause))
	}
	t.orderSuspicions()
	settled := func(c Crash) bool { return now.Sub(c.At) >= settleTime }
	evidence := Evidence{
		Crashes:         slices.DeleteFunc(groupCrashes(t.suspicions), func(c Crash) bool { return !settled(c) }),
		LastServed:      t.lastServed,
		LastStarted:     func(s Subject) clock.Instant { return t.lastServed(startOf(s)) },
		ServedMeanwhile: t.servedMeanwhile,
		ServedSince:     func(at clock.Instant) bool { return t.newestBegun > at.Add(maxClockError) },
		JudgedUntil:     func(s Subject) clock.Instant { return t.quarantined[s].until },
		Now:             now,
		IsQuarantined:   func(s Subject) bool { return t.isQuarantined(s, now) },
		OnProbation:     func(s Subject) bool { return t.quarantined[s].count > 0 },
	}
	for _, s := range evidence.Culprits() {
		q := quarantine{count: t.quarantined[s].count + 1}
		q.until = now.Add(q.length())
		t.setQuarantine(s, q, true, now)
	}
}

// setQuarantine quarantines a subject. The caller holds the lock.
func (t *Tracker) setQuarantine(s Subject, q quarantine, found bool, now clock.Instant) {
	if t.quarantined == nil {
		t.quarantined = make(map[Subject]quarantine)
	}
	t.quarantined[s] = q
	if t.OnQuarantined != nil && q.until > now {
		t.OnQuarantined(Quarantine{Subject: s, Remaining: q.until.Sub(now), Count: q.count}, found)
	}
}

// Expire removes the crashes older than crashTTL and the quarantines whose probation is
// over.
func (t *Tracker) Expire(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireSuspicions(now)
	defer t.notifyUnstored(now)
	oldest := periodOf(now.Add(-crashTTL - servedLately))
	maps.DeleteFunc(t.begun, func(p period, _ struct{}) bool { return p < oldest })
	t.evaluate(now)
	for s, q := range t.quarantined {
		if q.isOver(now) {
			delete(t.quarantined, s)
		}
	}
}

func abs(d time.Duration) time.Duration { return max(d, -d) }
