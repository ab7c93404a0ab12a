// Package suspect keeps contents that crash endpoints from taking many with
// them. A content in flight on an endpoint that crashed is a suspect. A suspect
// runs only on trial: alone on one endpoint, one trial at a time in the whole
// fleet. A second crash convicts it, and it is not run again.
//
// Who may run a trial is decided by the order of the suspect stream. The fold
// is pure and uses no clock but the log's times.
package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Verdict is what is thought of a content.
type Verdict string

// The verdicts on a content.
const (
	VerdictClear       Verdict = "clear"
	VerdictSuspect     Verdict = "suspect"
	VerdictQuarantined Verdict = "convicted"
)

// Windows of the fold, in log time.
const (
	// SuspicionWindow is how long a suspicion lasts without news.
	SuspicionWindow = 10 * time.Minute
	// ConvictionWindow is how long a conviction lasts.
	QuarantineWindow = 24 * time.Hour
	// TrialDelay is how long after the last report no trial is granted, so that
	// reports of copies that were in flight at the same time come first.
	TrialDelay = time.Second
	// MaxCrashes is how many endpoints one content may crash.
	MaxCrashes = 2
)

// Claim is an open trial.
type Claim struct {
	ID       record.ID         `cbor:"1,keyasint"`
	Instance fleet.InstanceRef `cbor:"2,keyasint"`
	Node     fleet.NodeRef     `cbor:"3,keyasint"`
	Until    time.Time         `cbor:"4,keyasint"`
}

// Case is what the fold knows of one content.
type Case struct {
	Content fleet.Digest        `cbor:"1,keyasint"`
	Pool    fleet.PoolName      `cbor:"2,keyasint"`
	Verdict Verdict             `cbor:"3,keyasint"`
	Crashes []fleet.InstanceRef `cbor:"4,keyasint"`
	Trial   *Claim              `cbor:"5,keyasint,omitempty"`
	// Expires is when the case is forgotten.
	Expires time.Time `cbor:"6,keyasint"`
	// Last is the claim that was granted last; its record may come twice.
	LastTrial record.ID `cbor:"7,keyasint"`
	// Reported is the log time of the last report.
	LastReport time.Time `cbor:"8,keyasint"`
}

// Fold is the state of the suspect stream. The zero value is the state before
// the first record. It is not safe for concurrent use.
type State struct {
	cases map[fleet.Digest]*Case
	now   time.Time
}

// Case returns what is known of a content; a content without a case is clear.
func (f *State) Case(content fleet.Digest) Case {
	c := f.get(content)
	if c == nil {
		return Case{Content: content, Verdict: VerdictClear}
	}
	return *c
}

// Cases returns all cases in order of content.
func (f *State) Cases() []Case {
	list := make([]Case, 0, len(f.cases))
	for content := range f.cases {
		if c := f.get(content); c != nil {
			list = append(list, *c)
		}
	}
	slices.SortFunc(list, func(a, b Case) int { return cmp.Compare(a.Content.String(), b.Content.String()) })
	return list
}

// Reserved reports whether a trial has an endpoint for itself.
func (f *State) Reserved(instance fleet.InstanceRef) bool {
	for _, c := range f.cases {
		if f.open(c) && c.Trial.Instance == instance {
			return true
		}
	}
	return false
}

// Apply folds one record.
func (f *State) Apply(pos record.Position, e record.Envelope) error {
	if pos.Time.After(f.now) {
		f.now = pos.Time
	}
	f.sweep()
	switch e.Kind {
	case record.KindSuspect:
		r, err := record.Decode[record.Suspect](e)
		if err == nil {
			f.suspect(r)
		}
		return err
	case record.KindTrial:
		r, err := record.Decode[record.Trial](e)
		if err == nil {
			f.trial(e.ID, r)
		}
		return err
	case record.KindClear:
		r, err := record.Decode[record.Clear](e)
		if err == nil {
			f.clear(r)
		}
		return err
	default:
		return &record.UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
}

func (f *State) suspect(r record.Suspect) {
	c := f.get(r.Content)
	if c == nil {
		c = &Case{Content: r.Content, Pool: r.Pool, Verdict: VerdictSuspect}
		if f.cases == nil {
			f.cases = make(map[fleet.Digest]*Case)
		}
		f.cases[r.Content] = c
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
	c.LastReport = f.now
	c.Expires = f.now.Add(SuspicionWindow)
	if len(c.Crashes) >= MaxCrashes {
		c.Verdict, c.Trial = VerdictQuarantined, nil
		c.Expires = f.now.Add(QuarantineWindow)
	}
}

func (f *State) trial(id record.ID, r record.Trial) {
	c := f.get(r.Content)
	if c == nil || c.Verdict != VerdictSuspect || f.open(c) || c.LastTrial == id || f.now.Sub(c.LastReport) < TrialDelay {
		return
	}
	if f.Reserved(r.Instance) || f.trials(c.Pool) >= max(1, r.Limit) {
		return
	}
	c.LastTrial = id
	c.Trial = &Claim{ID: id, Instance: r.Instance, Node: r.Node, Until: f.now.Add(r.Window)}
	c.Expires = f.now.Add(max(SuspicionWindow, r.Window))
}

func (f *State) clear(r record.Clear) {
	c := f.get(r.Content)
	if c == nil || (c.Verdict == VerdictQuarantined && r.Reason != record.ClearOperator) {
		return
	}
	if r.Reason == record.ClearAbandoned {
		c.Trial = nil
		return
	}
	delete(f.cases, r.Content)
}

// open reports whether a trial of the case is going on.
func (f *State) open(c *Case) bool {
	return c.Trial != nil && !c.Trial.Until.Before(f.now)
}

// trials counts the open trials of a pool.
func (f *State) trials(pool fleet.PoolName) (count int) {
	for _, c := range f.cases {
		if c.Pool == pool && f.open(c) {
			count++
		}
	}
	return count
}

func (f *State) get(content fleet.Digest) *Case {
	c := f.cases[content]
	if c == nil || c.Expires.Before(f.now) {
		return nil
	}
	return c
}

func (f *State) sweep() {
	for content, c := range f.cases {
		if c.Expires.Before(f.now) {
			delete(f.cases, content)
		}
	}
}

// saved is what a snapshot holds.
type saved struct {
	Cases []Case    `cbor:"1,keyasint"`
	Now   time.Time `cbor:"2,keyasint"`
}

// Save returns the state for a snapshot. The same state gives the same bytes.
func (f *State) Save() ([]byte, error) {
	return record.Marshal(saved{Cases: f.Cases(), Now: f.now})
}

// Load replaces the state by a saved one.
func (f *State) Load(data []byte) error {
	var s saved
	if err := record.Unmarshal(data, &s); err != nil {
		return err
	}
	f.cases, f.now = make(map[fleet.Digest]*Case, len(s.Cases)), s.Now
	for _, c := range s.Cases {
		f.cases[c.Content] = &c
	}
	return nil
}
