package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// minCrashes is the number of crashes that a subject has to explain before it is
	// quarantined.
	minCrashes = 3
	// crashSpacing is the time by which crashes have to differ in order to count
	// separately, unless the later one is of a request that was sent after the earlier one.
	// Endpoints that are lost together, because their instances are reclaimed, had many
	// subjects in common, but those were sent before; those that are served elsewhere
	// meanwhile are cleared.
	crashSpacing = 400 * time.Millisecond
	// servedLately is the age up to which a success shows that a subject is served all the
	// time. Then requests with it are also sent between the crashes of one loss.
	servedLately = 10 * time.Second
	// togetherSettleTime is the age from which crashes count separately that lie close
	// together. Requests that were lost with sound endpoints have been answered elsewhere by
	// then. It leaves a third of the time that nodes in touch may take to learn.
	togetherSettleTime = 2 * time.Second
	// lateSettleTime is the age at which they are judged once more, since a node may hear later
	// of what others served meanwhile.
	lateSettleTime = 2500 * time.Millisecond
	// settleTime is the age from which a crash counts. By then the other nodes have
	// reported which of their requests were in flight, and what they served meanwhile.
	settleTime = 700 * time.Millisecond
)

// Crash is the crash of an endpoint. Suspects are the subjects of the requests that may
// have caused it.
type Crash struct {
	Instance fleet.InstanceID
	At       clock.Instant
	Suspects map[Subject]Suspect
}

// Suspect is what is known about a subject in a crash.
type Suspect struct {
	// Rank is its rank in its request: a larger one is more specific.
	Rank int
	// Sent is when the first of its requests was sent to the endpoint, Broke when the
	// endpoint broke it off.
	Sent, Broke clock.Instant
	// Local reports whether this node sent that request.
	Local bool
	// Started reports whether the endpoint had answered all of its requests for some time, and
	// SomeStarted whether it had answered one.
	Started, SomeStarted bool
	// Content reports whether the subject is the content of its requests.
	Content bool
	// Resent reports whether that request was sent after another crash with its content.
	Resent bool
}

// groupCrashes groups suspicions, which are sorted by time, by the crash that they
// belong to.
func groupCrashes(suspicions []suspicion) (crashes []Crash) {
	latest := make(map[fleet.InstanceID]int)
	for _, s := range suspicions {
		i, ok := latest[s.instance]
		if !ok || s.at.Sub(crashes[i].At) >= sameCrashTime {
			i = len(crashes)
			latest[s.instance] = i
			crashes = append(crashes, Crash{Instance: s.instance, At: s.at, Suspects: make(map[Subject]Suspect)})
		}
		for n, subject := range s.subjects {
			rank := n
			if s.started {
				rank = maxSubjects
			}
			crashes[i].add(subject, Suspect{
				Rank: rank, Sent: s.sent(), Broke: s.at, Local: s.local, Started: s.started, SomeStarted: s.started,
				Content: n == len(s.subjects)-1, Resent: s.resent,
			})
		}
	}
	return crashes
}

// add adds a subject of a request. Of several requests the first one decides when the
// subject was sent: if it is the culprit, the endpoint had it that long.
func (c *Crash) add(subject Subject, s Suspect) {
	if known, ok := c.Suspects[subject]; ok {
		s.Rank, s.Started, s.SomeStarted = max(s.Rank, known.Rank), s.Started && known.Started, s.SomeStarted || known.SomeStarted
		if known.Sent <= s.Sent {
			s.Sent, s.Broke, s.Local, s.Resent = known.Sent, known.Broke, known.Local, known.Resent
		}
	}
	c.Suspects[subject] = s
}

// Evidence is what is known about crashes, sorted by time.
type Evidence struct {
	Crashes []Crash
	// LastServed returns when an endpoint began to answer the last request with a subject
	// that it served, or 0.
	LastServed func(Subject) clock.Instant
	// LastStarted returns when an endpoint began to answer the last request with a content that
	// it answered for some time, or 0.
	LastStarted func(Subject) clock.Instant
	// ServedMeanwhile reports whether endpoints served anything around an instant: for some
	// time before it and after it.
	ServedMeanwhile func(clock.Instant) bool
	// ServedSince reports whether endpoints served anything, on any node, that they began after
	// an instant.
	ServedSince func(clock.Instant) bool
	// JudgedUntil returns the end of the last quarantine of a subject, or 0. Crashes before it
	// led to that one.
	JudgedUntil func(Subject) clock.Instant
	// Now is when the evidence is judged.
	Now clock.Instant
	// IsQuarantined reports whether a subject is quarantined, OnProbation whether it was
	// before.
	IsQuarantined, OnProbation func(Subject) bool

	// crashesWith counts the crashes with each subject. started holds those that an endpoint had
	// answered for some time before one of them.
	crashesWith map[Subject]int
	started     map[Subject]bool
}

// Culprits returns the subjects to quarantine, which explain the crashes best: a subject
// has to be in at least minCrashes of them since it was last served. A crash that a
// quarantined subject explains says nothing about the other subjects in it. Of subjects
// that explain equally many crashes, the most specific one is chosen, since refusing it
// affects the fewest requests.
func (e *Evidence) Culprits() (culprits []Subject) {
	e.crashesWith, e.started = make(map[Subject]int), make(map[Subject]bool)
	for _, crash := range e.Crashes {
		for s, suspect := range crash.Suspects {
			e.crashesWith[s]++
			if suspect.SomeStarted {
				e.started[s] = true
			}
		}
	}
	for {
		best, ok := e.best(culprits)
		if !ok {
			return culprits
		}
		culprits = append(culprits, best)
	}
}

// candidate is a subject with the crashes that it may have caused.
type candidate struct {
	subject Subject
	rank    int
	// crashes counts the crashes since the subject was last served; those of one loss
	// count once. unexplained counts each of those that no quarantined subject
	// explains.
	crashes     spacedCount
	unexplained int
}

// best returns the subject that explains the most crashes beside the given culprits.
func (e *Evidence) best(culprits []Subject) (best Subject, ok bool) {
	candidates := make(map[Subject]*candidate)
	isQuarantined := func(s Subject) bool { return e.IsQuarantined(s) || slices.Contains(culprits, s) }
	for _, crash := range e.Crashes {
		explained := false
		for s := range crash.Suspects {
			explained = explained || isQuarantined(s)
		}
		for s, suspect := range crash.Suspects {
			if crash.At <= e.LastServed(s).Add(maxClockError) || crash.At <= e.JudgedUntil(s) || isQuarantined(s) {
				continue
			}
			c := candidates[s]
			if c == nil {
				c = &candidate{subject: s}
				candidates[s] = c
			}
			c.rank = max(c.rank, suspect.Rank)
			r := relationLoss
			if c.crashes.count > 0 {
				r = e.relation(s, crash)
			}
			c.crashes.add(suspect, r)
			if !explained {
				c.unexplained++
			}
		}
	}
	var chosen *candidate
	for _, c := range candidates {
		needed := minCrashes
		if e.OnProbation(c.subject) {
			needed = 1
		}
		if c.unexplained > 0 && c.crashes.count >= needed && (chosen == nil || c.compare(chosen) > 0) {
			chosen = c
		}
	}
	if chosen == nil {
		return 0, false
	}
	return chosen.subject, true
}

// relation is how a crash with a subject may be related to crashes at almost the same time.
type relation string

const (
	// relationLoss means that endpoints may be lost together that all have the subject in
	// flight, again and again.
	relationLoss relation = "loss"
	// relationChain means that a request which was sent after a crash isn't part of the same
	// loss.
	relationChain relation = "chain"
	// relationNone means that the crashes have nothing but the subject in common: it was
	// not served lately, and not since, while others were or the request came after another
	// crash with it, and it explains most of them.
	relationNone relation = "none"
)

// relation returns how a crash may be related to those at almost the same time.
func (e *Evidence) relation(s Subject, crash Crash) relation {
	last := e.LastServed(s)
	switch {
	case last > 0 && crash.At.Sub(last) < servedLately:
		return relationLoss
	case e.Now.Sub(crash.At) < togetherSettleTime || !e.isInMost(s, crash.At):
		return relationChain
	case e.ServedMeanwhile(crash.At) || e.isUnused(s, crash) && (crash.Suspects[s].Resent || e.ServedSince(crash.At)):
		return relationNone
	default:
		return relationChain
	}
}

// isUnused reports whether a subject is a content that is in all crashes around one, and of
// which no run was answered for some time, neither lately nor since. Of blocks and of contents
// in use, runs are in flight wherever endpoints are lost, and some were sent after each crash.
func (e *Evidence) isUnused(s Subject, crash Crash) bool {
	inUse := e.started[s] || e.LastStarted(s) > crash.At.Add(-servedLately)
	if !crash.Suspects[s].Content || inUse || e.Now.Sub(crash.At) < togetherSettleTime {
		return false
	}
	with, near := e.countNear(s, crash.At)
	return with == near
}

// isInMost reports whether most of the crashes around an instant have a subject. Where many
// endpoints are lost at once, some have a subject that came up a moment before.
func (e *Evidence) isInMost(s Subject, at clock.Instant) bool {
	with, near := e.countNear(s, at)
	return 2*with > near
}

// countNear counts the crashes around an instant, and those among them that have a subject, 0
// if those are not most of them.
func (e *Evidence) countNear(s Subject, at clock.Instant) (with, near int) {
	isNear := func(c Crash) bool { return abs(c.At.Sub(at)) < crashSpacing }
	for _, c := range e.Crashes {
		if isNear(c) {
			near++
		}
	}
	if 2*e.crashesWith[s] <= near {
		return 0, near
	}
	for _, c := range e.Crashes {
		if _, ok := c.Suspects[s]; ok && isNear(c) {
			with++
		}
	}
	return with, near
}

// compare returns a positive number if c is the more likely culprit.
func (c *candidate) compare(other *candidate) int {
	return cmp.Or(
		cmp.Compare(c.unexplained, other.unexplained),
		cmp.Compare(c.rank, other.rank),
		cmp.Compare(c.crashes.count, other.crashes.count),
		cmp.Compare(c.subject, other.subject),
	)
}

// spacedCount counts the crashes of a subject that are not of one and the same loss: it
// answers a request that is sent on from one crashed endpoint to the next, beside many
// endpoints that are lost at once.
type spacedCount struct {
	count int
	last  Suspect
}

// add counts a crash that is not before the last one. A content that runs for long at many
// endpoints at once is in flight when they crash for other reasons, whatever the time
// between the crashes, and is cleared only by the end of a run: it counts only if it was
// sent after the crash before.
func (c *spacedCount) add(s Suspect, r relation) {
	spaced := !s.Started && (s.Broke.Sub(c.last.Broke) >= crashSpacing || r == relationNone)
	if c.count == 0 || spaced || r != relationLoss && s.sentAfter(c.last) {
		c.count++
		c.last = s
	}
}

// sentAfter reports whether a request was sent after another one broke off. What one
// node observed is in order; the times of two nodes may differ.
func (s Suspect) sentAfter(other Suspect) bool {
	if s.Local && other.Local {
		return s.Sent >= other.Broke
	}
	return s.Sent >= other.Broke.Add(maxClockError)
}
