// Package lease folds the lease stream: which node has a duty, the starts of
// instances that it has announced, and the endpoints that it keeps new work
// from. A lease lapses by the log's time. What is done under one carries its
// fencing number, the position of the claim that granted it, and a record with
// another number does not count.
package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Lease is a duty and who has it.
type Lease struct {
	Name  record.LeaseName `cbor:"1,keyasint"`
	Node  fleet.NodeRef    `cbor:"2,keyasint"`
	Fence fleet.Fence      `cbor:"3,keyasint"`
	Until time.Time        `cbor:"4,keyasint"`
}

// Intent is a start that was announced and has not ended.
type Intent struct {
	record.Intent
	Since time.Time `cbor:"20,keyasint"`
}

// hold keeps new work from an endpoint.
type hold struct {
	Instance fleet.InstanceRef `cbor:"1,keyasint"`
	Until    time.Time         `cbor:"2,keyasint"`
}

// closedWindow is how long a closed tag is remembered, in log time, so that an
// intent that comes twice is not opened again.
const closedWindow = time.Hour

// Fold is the state of the lease stream. The zero value is the state before the
// first record. It is not safe for concurrent use.
type State struct {
	leases  map[record.LeaseName]Lease
	intents map[string]Intent
	closed  map[string]time.Time
	holds   map[fleet.InstanceRef]time.Time
	now     time.Time
}

// Get returns a lease if it is in force.
func (f *State) Get(name record.LeaseName) (Lease, bool) {
	l, ok := f.leases[name]
	return l, ok && !l.Until.Before(f.now)
}

// Intents returns the open intents in order of tag.
func (f *State) Intents() []Intent {
	list := make([]Intent, 0, len(f.intents))
	for _, i := range f.intents {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b Intent) int { return cmp.Compare(a.Tag, b.Tag) })
	return list
}

// Open reports whether an intent counts and has not ended.
func (f *State) Open(tag string) bool {
	_, ok := f.intents[tag]
	return ok
}

// Held reports whether new work is kept from an endpoint.
func (f *State) OnHold(instance fleet.InstanceRef) bool {
	until, ok := f.holds[instance]
	return ok && !until.Before(f.now)
}

// Apply folds one record.
func (f *State) Apply(pos record.Position, e record.Envelope) error {
	f.tick(pos.Time)
	switch e.Kind {
	case record.KindClaim:
		return apply(e, func(r record.Claim) { f.claim(pos, r) })
	case record.KindRelease:
		return apply(e, f.release)
	case record.KindIntent:
		return apply(e, f.intent)
	case record.KindClosed:
		return apply(e, f.close)
	case record.KindHold:
		return apply(e, f.hold)
	default:
		return &record.UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
}

func apply[T any](e record.Envelope, fold func(T)) error {
	body, err := record.Decode[T](e)
	if err == nil {
		fold(body)
	}
	return err
}

func (f *State) tick(now time.Time) {
	if f.leases == nil {
		f.leases = make(map[record.LeaseName]Lease)
		f.intents = make(map[string]Intent)
		f.closed = make(map[string]time.Time)
		f.holds = make(map[fleet.InstanceRef]time.Time)
	}
	if !now.After(f.now) {
		return
	}
	f.now = now
	for tag, until := range f.closed {
		if until.Before(now) {
			delete(f.closed, tag)
		}
	}
	for i, until := range f.holds {
		if until.Before(now) {
			delete(f.holds, i)
		}
	}
}

// claim grants a free lease, or extends the one that its node holds. A renewal
// keeps the fencing number.
func (f *State) claim(pos record.Position, r record.Claim) {
	l, inForce := f.Get(r.Name)
	if inForce && l.Node != r.Node {
		return
	}
	if !inForce {
		l = Lease{Name: r.Name, Node: r.Node, Fence: fleet.Fence(pos.Offset) + 1}
	}
	l.Until = f.now.Add(r.Window)
	f.leases[r.Name] = l
}

func (f *State) release(r record.Release) {
	if l, ok := f.leases[r.Name]; ok && l.Fence == r.Fence {
		delete(f.leases, r.Name)
	}
}

func (f *State) valid(name record.LeaseName, fence fleet.Fence) bool {
	l, ok := f.Get(name)
	return ok && l.Fence == fence
}

func (f *State) intent(r record.Intent) {
	if _, ended := f.closed[r.Tag]; ended || !f.valid(r.Lease, r.Fence) || f.Open(r.Tag) {
		return
	}
	f.intents[r.Tag] = Intent{Intent: r, Since: f.now}
}

func (f *State) close(r record.Closed) {
	delete(f.intents, r.Tag)
	f.closed[r.Tag] = f.now.Add(closedWindow)
}

func (f *State) hold(r record.Hold) {
	if !f.valid(r.Lease, r.Fence) {
		return
	}
	if r.Window <= 0 {
		delete(f.holds, r.Instance)
		return
	}
	f.holds[r.Instance] = f.now.Add(r.Window)
}

// saved is what a snapshot holds.
type saved struct {
	Leases  []Lease              `cbor:"1,keyasint"`
	Intents []Intent             `cbor:"2,keyasint"`
	Closed  map[string]time.Time `cbor:"3,keyasint"`
	Holds   []hold               `cbor:"4,keyasint"`
	Now     time.Time            `cbor:"5,keyasint"`
}

// Save returns the state for a snapshot. The same state gives the same bytes.
func (f *State) Save() ([]byte, error) {
	s := saved{Intents: f.Intents(), Closed: f.closed, Now: f.now}
	for _, l := range f.leases {
		s.Leases = append(s.Leases, l)
	}
	slices.SortFunc(s.Leases, func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
	for i, until := range f.holds {
		s.Holds = append(s.Holds, hold{Instance: i, Until: until})
	}
	slices.SortFunc(s.Holds, func(a, b hold) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return record.Marshal(s)
}

// Load replaces the state by a saved one.
func (f *State) Load(data []byte) error {
	var s saved
	if err := record.Unmarshal(data, &s); err != nil {
		return err
	}
	*f = State{}
	f.tick(s.Now)
	for _, l := range s.Leases {
		f.leases[l.Name] = l
	}
	for _, i := range s.Intents {
		f.intents[i.Tag] = i
	}
	for tag, until := range s.Closed {
		f.closed[tag] = until
	}
	for _, h := range s.Holds {
		f.holds[h.Instance] = h.Until
	}
	return nil
}
