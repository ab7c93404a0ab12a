// Package lease builds the state of the lease stream: which node holds a duty, the
// instance starts that the node has announced, and the endpoints that it has put on
// hold. A lease expires by the time of the log. Intents, holds and releases carry the
// fencing number of their lease, which is the offset of the claim that granted it plus
// one; those with another number are ignored.
package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Lease is a duty and the node that holds it until the given log time.
type Lease struct {
	Name  record.LeaseName `cbor:"1,keyasint"`
	Node  fleet.NodeRef    `cbor:"2,keyasint"`
	Fence fleet.Fence      `cbor:"3,keyasint"`
	Until time.Time        `cbor:"4,keyasint"`
}

// Intent is an announced start of an instance whose result is not recorded yet.
type Intent struct {
	record.Intent
	Since time.Time `cbor:"20,keyasint"`
}

// hold is the encoded form of an endpoint on hold.
type hold struct {
	Instance fleet.InstanceRef `cbor:"1,keyasint"`
	Until    time.Time         `cbor:"2,keyasint"`
}

// closedTagRetention is how long the tag of a closed intent is kept, in log time, so
// that a duplicate of the intent does not open it again.
const closedTagRetention = time.Hour

// State is the state built from the records of the lease stream. The zero value is the
// state before the first record. It is not safe for concurrent use.
type State struct {
	leases  map[record.LeaseName]Lease
	intents map[string]Intent
	closed  map[string]time.Time
	holds   map[fleet.InstanceRef]time.Time
	now     time.Time
}

// Get returns a lease and reports whether it is in force.
func (s *State) Get(name record.LeaseName) (Lease, bool) {
	l, ok := s.leases[name]
	return l, ok && !l.Until.Before(s.now)
}

// Intents returns the open intents, sorted by tag.
func (s *State) Intents() []Intent {
	list := make([]Intent, 0, len(s.intents))
	for _, i := range s.intents {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b Intent) int { return cmp.Compare(a.Tag, b.Tag) })
	return list
}

// IntentOpen reports whether an intent was accepted and is not closed.
func (s *State) IntentOpen(tag string) bool {
	_, ok := s.intents[tag]
	return ok
}

// OnHold reports whether an endpoint is on hold and must receive no new work.
func (s *State) OnHold(instance fleet.InstanceRef) bool {
	until, ok := s.holds[instance]
	return ok && !until.Before(s.now)
}

// Apply applies one record to the state.
func (s *State) Apply(pos record.Position, e record.Envelope) error {
	s.advance(pos.Time)
	switch e.Kind {
	case record.KindClaim:
		return decodeAndApply(e, func(r record.Claim) { s.applyClaim(pos, r) })
	case record.KindRelease:
		return decodeAndApply(e, s.applyRelease)
	case record.KindIntent:
		return decodeAndApply(e, s.applyIntent)
	case record.KindClosed:
		return decodeAndApply(e, s.applyClosed)
	case record.KindHold:
		return decodeAndApply(e, s.applyHold)
	default:
		return &record.UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
}

// decodeAndApply decodes the body of a record and passes it to apply.
func decodeAndApply[T any](e record.Envelope, apply func(T)) error {
	body, err := record.Decode[T](e)
	if err == nil {
		apply(body)
	}
	return err
}

// advance sets the log time and removes the closed tags and holds that have expired.
func (s *State) advance(now time.Time) {
	if s.leases == nil {
		s.leases = make(map[record.LeaseName]Lease)
		s.intents = make(map[string]Intent)
		s.closed = make(map[string]time.Time)
		s.holds = make(map[fleet.InstanceRef]time.Time)
	}
	if !now.After(s.now) {
		return
	}
	s.now = now
	for tag, until := range s.closed {
		if until.Before(now) {
			delete(s.closed, tag)
		}
	}
	for i, until := range s.holds {
		if until.Before(now) {
			delete(s.holds, i)
		}
	}
}

// applyClaim grants a free lease, or renews the lease that the node holds. A renewal
// keeps the fencing number.
func (s *State) applyClaim(pos record.Position, r record.Claim) {
	l, inForce := s.Get(r.Name)
	if inForce && l.Node != r.Node {
		return
	}
	if !inForce {
		l = Lease{Name: r.Name, Node: r.Node, Fence: fleet.Fence(pos.Offset) + 1}
	}
	l.Until = s.now.Add(r.Window)
	s.leases[r.Name] = l
}

func (s *State) applyRelease(r record.Release) {
	if l, ok := s.leases[r.Name]; ok && l.Fence == r.Fence {
		delete(s.leases, r.Name)
	}
}

// fenceValid reports whether a lease is in force with the given fencing number.
func (s *State) fenceValid(name record.LeaseName, fence fleet.Fence) bool {
	l, ok := s.Get(name)
	return ok && l.Fence == fence
}

func (s *State) applyIntent(r record.Intent) {
	if _, ended := s.closed[r.Tag]; ended || !s.fenceValid(r.Lease, r.Fence) || s.IntentOpen(r.Tag) {
		return
	}
	s.intents[r.Tag] = Intent{Intent: r, Since: s.now}
}

func (s *State) applyClosed(r record.Closed) {
	delete(s.intents, r.Tag)
	s.closed[r.Tag] = s.now.Add(closedTagRetention)
}

func (s *State) applyHold(r record.Hold) {
	if !s.fenceValid(r.Lease, r.Fence) {
		return
	}
	if r.Window <= 0 {
		delete(s.holds, r.Instance)
		return
	}
	s.holds[r.Instance] = s.now.Add(r.Window)
}

// snapshot is the encoded form of State.
type snapshot struct {
	Leases  []Lease              `cbor:"1,keyasint"`
	Intents []Intent             `cbor:"2,keyasint"`
	Closed  map[string]time.Time `cbor:"3,keyasint"`
	Holds   []hold               `cbor:"4,keyasint"`
	Now     time.Time            `cbor:"5,keyasint"`
}

// Save encodes the state for a snapshot. Equal states have equal encodings.
func (s *State) Save() ([]byte, error) {
	snap := snapshot{Intents: s.Intents(), Closed: s.closed, Now: s.now}
	for _, l := range s.leases {
		snap.Leases = append(snap.Leases, l)
	}
	slices.SortFunc(snap.Leases, func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
	for i, until := range s.holds {
		snap.Holds = append(snap.Holds, hold{Instance: i, Until: until})
	}
	slices.SortFunc(snap.Holds, func(a, b hold) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return record.Marshal(snap)
}

// Load replaces the state with that of a snapshot.
func (s *State) Load(data []byte) error {
	var snap snapshot
	if err := record.Unmarshal(data, &snap); err != nil {
		return err
	}
	*s = State{}
	s.advance(snap.Now)
	for _, l := range snap.Leases {
		s.leases[l.Name] = l
	}
	for _, i := range snap.Intents {
		s.intents[i.Tag] = i
	}
	for tag, until := range snap.Closed {
		s.closed[tag] = until
	}
	for _, h := range snap.Holds {
		s.holds[h.Instance] = h.Until
	}
	return nil
}
