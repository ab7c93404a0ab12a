// Package suspect limits how many endpoints one content can crash. A content that is
// in flight on an endpoint that crashes becomes suspect. A suspect content runs only on
// trial: a trial is one attempt on an endpoint that is reserved for it, and a content
// has at most one trial at a time in the whole fleet. After its second crash the content
// is quarantined and not run again until the quarantine expires or an operator releases
// it.
//
// The order of the records in the suspect stream decides which node may run a trial.
// State is deterministic and uses only the times of the log.
package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Verdict is the classification of a content.
type Verdict string

// The verdicts on a content. Snapshots hold these values.
const (
	VerdictClear       Verdict = "clear"
	VerdictSuspect     Verdict = "suspect"
	VerdictQuarantined Verdict = "convicted"
)

// Limits of State. Durations are in log time.
const (
	// SuspicionWindow is how long a content stays suspect after the last report.
	SuspicionWindow = 10 * time.Minute
	// QuarantineWindow is how long a content stays quarantined.
	QuarantineWindow = 24 * time.Hour
	// TrialDelay is the minimum time between the last report and a trial, so that
	// crashes caused by copies in flight at the same time are reported first.
	TrialDelay = time.Second
	// MaxCrashes is the number of crashed endpoints after which a content is
	// quarantined.
	MaxCrashes = 2
)

// Claim is the granted claim for a trial.
type Claim struct {
	ID       record.ID         `cbor:"1,keyasint"`
	Instance fleet.InstanceRef `cbor:"2,keyasint"`
	Node     fleet.NodeRef     `cbor:"3,keyasint"`
	// Until is the log time after which the claim is no longer valid.
	Until time.Time `cbor:"4,keyasint"`
}

// Case is the state of one content.
type Case struct {
	Digest  fleet.Digest        `cbor:"1,keyasint"`
	Pool    fleet.PoolName      `cbor:"2,keyasint"`
	Verdict Verdict             `cbor:"3,keyasint"`
	Crashes []fleet.InstanceRef `cbor:"4,keyasint"`
	Trial   *Claim              `cbor:"5,keyasint,omitempty"`
	// Expires is the log time after which the case is removed.
	Expires time.Time `cbor:"6,keyasint"`
	// LastTrialID is the ID of the claim granted last. Its record may be applied twice and
	// must not be granted again.
	LastTrialID record.ID `cbor:"7,keyasint"`
	// LastReport is the log time of the last report.
	LastReport time.Time `cbor:"8,keyasint"`
}

// State is the state built from the records of the suspect stream. The zero value is
// the state before the first record. It is not safe for concurrent use.
type State struct {
	cases map[fleet.Digest]*Case
	now   time.Time
}

// Case returns the case of a content. A content without a case is clear.
func (s *State) Case(content fleet.Digest) Case {
	c := s.lookup(content)
	if c == nil {
		return Case{Digest: content, Verdict: VerdictClear}
	}
	return *c
}

// Cases returns all cases, sorted by content.
func (s *State) Cases() []Case {
	list := make([]Case, 0, len(s.cases))
	for content := range s.cases {
		if c := s.lookup(content); c != nil {
			list = append(list, *c)
		}
	}
	slices.SortFunc(list, func(a, b Case) int { return cmp.Compare(a.Digest.String(), b.Digest.String()) })
	return list
}

// Reserved reports whether an endpoint is reserved for an open trial.
func (s *State) Reserved(instance fleet.InstanceRef) bool {
	for _, c := range s.cases {
		if s.trialOpen(c) && c.Trial.Instance == instance {
			return true
		}
	}
	return false
}

// Apply applies one record to the state.
func (s *State) Apply(pos record.Position, e record.Envelope) error {
	if pos.Time.After(s.now) {
		s.now = pos.Time
	}
	s.removeExpired()
	switch e.Kind {
	case record.KindSuspect:
		r, err := record.Decode[record.Suspect](e)
		if err == nil {
			s.applySuspect(r)
		}
		return err
	case record.KindTrial:
		r, err := record.Decode[record.Trial](e)
		if err == nil {
			s.applyTrial(e.ID, r)
		}
		return err
	case record.KindClear:
		r, err := record.Decode[record.Clear](e)
		if err == nil {
			s.applyClear(r)
		}
		return err
	default:
		return &record.UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
}

func (s *State) applySuspect(r record.Suspect) {
	c := s.lookup(r.Content)
	if c == nil {
		c = &Case{Digest: r.Content, Pool: r.Pool, Verdict: VerdictSuspect}
		if s.cases == nil {
			s.cases = make(map[fleet.Digest]*Case)
		}
		s.cases[r.Content] = c
	}
	if c.Verdict == VerdictQuarantined {
		return
	}
	if r.Instance.ID != "" && !slices.Contains(c.Crashes, r.Instance) {
		c.Crashes = append(c.Crashes, r.Instance)
	}
	if c.Trial != nil && c.Trial.Instance == r.Instance {
		c.Trial = nil
	}
	c.LastReport = s.now
	c.Expires = s.now.Add(SuspicionWindow)
	if len(c.Crashes) >= MaxCrashes {
		c.Verdict, c.Trial = VerdictQuarantined, nil
		c.Expires = s.now.Add(QuarantineWindow)
	}
}

func (s *State) applyTrial(id record.ID, r record.Trial) {
	c := s.lookup(r.Content)
	if c == nil || c.Verdict != VerdictSuspect || s.trialOpen(c) || c.LastTrialID == id || s.now.Sub(c.LastReport) < TrialDelay {
		return
	}
	if s.Reserved(r.Instance) || s.openTrials(c.Pool) >= max(1, r.Limit) {
		return
	}
	c.LastTrialID = id
	c.Trial = &Claim{ID: id, Instance: r.Instance, Node: r.Node, Until: s.now.Add(r.Window)}
	c.Expires = s.now.Add(max(SuspicionWindow, r.Window))
}

func (s *State) applyClear(r record.Clear) {
	c := s.lookup(r.Content)
	if c == nil || (c.Verdict == VerdictQuarantined && r.Reason != record.ClearOperator) {
		return
	}
	if r.Reason == record.ClearAbandoned {
		c.Trial = nil
		return
	}
	delete(s.cases, r.Content)
}

// trialOpen reports whether the case has a trial that has not expired.
func (s *State) trialOpen(c *Case) bool {
	return c.Trial != nil && !c.Trial.Until.Before(s.now)
}

// openTrials returns the number of open trials in a pool.
func (s *State) openTrials(pool fleet.PoolName) (count int) {
	for _, c := range s.cases {
		if c.Pool == pool && s.trialOpen(c) {
			count++
		}
	}
	return count
}

// lookup returns the case of a content, or nil if there is none or it has expired.
func (s *State) lookup(content fleet.Digest) *Case {
	c := s.cases[content]
	if c == nil || c.Expires.Before(s.now) {
		return nil
	}
	return c
}

func (s *State) removeExpired() {
	for content, c := range s.cases {
		if c.Expires.Before(s.now) {
			delete(s.cases, content)
		}
	}
}

// snapshot is the encoded form of State.
type snapshot struct {
	Cases []Case    `cbor:"1,keyasint"`
	Now   time.Time `cbor:"2,keyasint"`
}

// Save encodes the state for a snapshot. Equal states have equal encodings.
func (s *State) Save() ([]byte, error) {
	return record.Marshal(snapshot{Cases: s.Cases(), Now: s.now})
}

// Load replaces the state with that of a snapshot.
func (s *State) Load(data []byte) error {
	var snap snapshot
	if err := record.Unmarshal(data, &snap); err != nil {
		return err
	}
	s.cases, s.now = make(map[fleet.Digest]*Case, len(snap.Cases)), snap.Now
	for _, c := range snap.Cases {
		s.cases[c.Digest] = &c
	}
	return nil
}
