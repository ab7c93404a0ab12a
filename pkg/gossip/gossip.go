// Package gossip is the exchange between nodes: a few times a second each tells
// others its load, what it admitted, the usage that it counted and how recent
// its configuration is. In a small fleet every node asks every other. In a large
// one each asks the relay of its data centre, which sums up what the nodes there
// say and exchanges the sums with the relays of the other data centres. Nothing
// that is agreed rests on it; a node that hears nothing goes on with its even
// share, and any node may become a relay.
package gossip

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
)

const (
	// silentAfter is how long a node may be unheard before its share is left to it:
	// five rounds of questions.
	silentAfter = 5 * RoundInterval
	// goneAfter is how long an unheard node keeps its share. It exceeds the
	// cuts that a node survives.
	goneAfter = 30 * time.Second
	// unheardAfter is how long all nodes of a data centre must have been unheard
	// until it may be cut off; more than two exchanges.
	unheardAfter = 700 * time.Millisecond
)

// Scope is what a digest speaks for.
type Scope string

// The scopes.
const (
	// ScopeNode is the sender alone.
	ScopeNode Scope = "node"
	// ScopeBranch is the sender with the nodes that it relays for.
	ScopeRelayGroup Scope = "branch"
	// ScopeFleet is all that the sender knows of, less the node that asked.
	ScopeFleet Scope = "fleet"
	// ScopeUsage is the sender's counts of usage, for the holder of the duties.
	ScopeUsage Scope = "usage"
	// ScopeProbe asks a node that did not answer whether it does again.
	ScopeProbe Scope = "probe"
)

// Digest is what a node tells of itself, or of itself and others.
type Digest struct {
	Node       fleet.NodeRef        `cbor:"1,keyasint"`
	DataCentre fleet.DataCentreName `cbor:"2,keyasint"`
	Address    string               `cbor:"3,keyasint"`
	// Version is the configuration in force, Age how long ago it was confirmed.
	ConfigVersion int64         `cbor:"4,keyasint"`
	ConfigAge     time.Duration `cbor:"5,keyasint"`
	// Work is the load that the nodes put on endpoints.
	Work map[fleet.InstanceID]placement.Work `cbor:"6,keyasint,omitempty"`
	// Spent is what the nodes admitted since the sender's start, by account.
	Consumed map[fleet.AccountName]float64 `cbor:"7,keyasint,omitempty"`
	// Usage is what the sender counted in the last windows.
	Usage usage.Counts `cbor:"8,keyasint,omitempty"`
	// Suspects are contents that broke endpoints lately.
	Crashes []quarantine.Crash `cbor:"9,keyasint,omitempty"`
	// Clock is the sender's time of day, free of jumps since its start. Where it
	// speaks for others it is corrected by their clocks.
	Clock time.Time `cbor:"10,keyasint"`
	// Holder is the node that holds the duties, if one is known to, and HolderAt
	// its address.
	DutyHolder        fleet.NodeName `cbor:"11,keyasint,omitempty"`
	DutyHolderAddress string         `cbor:"16,keyasint,omitempty"`
	// Leaves tells that the node ends.
	Draining bool `cbor:"12,keyasint,omitempty"`
	// Demand is how many engines' time the requests of the nodes take, by pool.
	Demand map[fleet.PoolName]float64 `cbor:"13,keyasint,omitempty"`
	// Seen is up to where the sender has read the endpoints' entries, and SeenAge
	// how long ago it asked for more.
	DirectoryOffset fleet.Offset  `cbor:"14,keyasint,omitempty"`
	DirectoryAge    time.Duration `cbor:"15,keyasint,omitempty"`
	// Others is how many nodes besides the sender the digest speaks for, and Silent
	// how many more there are that are not heard of.
	OtherNodes  int `cbor:"17,keyasint,omitempty"`
	SilentNodes int `cbor:"18,keyasint,omitempty"`
	// Reached are the data centres that nodes were heard from lately.
	ReachableDataCentres []fleet.DataCentreName `cbor:"19,keyasint,omitempty"`
}

// nodes returns how many nodes the digest speaks for.
func (d *Digest) nodes() int { return 1 + d.OtherNodes }

// source is another node with the latest that it told.
type source struct {
	digest Digest
	scope  Scope
	heard  clock.Instant
	// offset is its clock less this node's.
	offset time.Duration
	timed  bool
	silent bool
	// spent is what it told to have admitted since it was first heard.
	spent map[fleet.AccountName]float64
}

// Table holds what is known of the other nodes. Self must be set; otherwise the
// zero value is ready to use.
type Table struct {
	// Self is this node and At its data centre.
	Self       fleet.NodeName
	DataCentre fleet.DataCentreName
	// Spent is called with what other nodes admitted since they were last heard, if set.
	OnConsumed func(fleet.AccountName, float64, clock.Instant)
	// Changed is called when a node is heard again or falls silent, if set.
	OnLivenessChange func(node fleet.NodeName, heard bool)

	mu        sync.Mutex
	sources   map[fleet.NodeName]*source
	announced map[fleet.NodeName]*member
	// relays tells that this node relays for its data centre in a large fleet.
	relays bool
	// rounds counts the rounds of questions.
	rounds int
	// branchSpent is what the nodes of this node's branch, otherSpent what all
	// others told to have admitted, since this node's start.
	branchSpent, otherSpent map[fleet.AccountName]float64
	// count is how many nodes there are; nil if that has to be counted anew.
	count *allotment.Nodes
}

// Hear folds a digest.
func (t *Table) Apply(d Digest, scope Scope, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count = nil
	name := d.Node.Name
	s := t.sources[name]
	if s != nil && d.Node.Incarnation < s.digest.Node.Incarnation {
		return
	}
	if d.Draining {
		delete(t.sources, name)
		delete(t.announced, name)
		return
	}
	t.supersede(&d, scope, now)
	if s == nil {
		s = &source{silent: true, spent: make(map[fleet.AccountName]float64)}
		if t.sources == nil {
			t.sources = make(map[fleet.NodeName]*source)
		}
		t.sources[name] = s
	} else if s.scope == scope {
		t.countSpent(s, &d, now)
	}
	if s.silent && t.OnLivenessChange != nil {
		t.OnLivenessChange(name, true)
	}
	s.digest, s.scope, s.heard, s.silent = d, scope, now, false
}

// supersede forgets the sources that a digest speaks for from now on. The caller
// holds the lock.
func (t *Table) supersede(d *Digest, scope Scope, now clock.Instant) {
	for name, s := range t.sources {
		covered := false
		switch scope {
		case ScopeFleet:
			covered = !t.inBranch(s)
		case ScopeRelayGroup:
			covered = d.DataCentre != t.DataCentre && s.digest.DataCentre == d.DataCentre && now.Sub(s.heard) > 2*RoundInterval
		case ScopeNode, ScopeUsage, ScopeProbe:
		}
		if covered && name != d.Node.Name {
			delete(t.sources, name)
		}
	}
}

// countSpent passes on what was admitted since a source's last digest. What was
// spent before it was first heard is not known to be recent. The caller holds
// the lock.
func (t *Table) countSpent(s *source, d *Digest, now clock.Instant) {
	before := s.digest.Consumed
	if d.Node.Incarnation != s.digest.Node.Incarnation {
		before = nil
	}
	total := &t.otherSpent
	if t.inBranch(s) {
		total = &t.branchSpent
	}
	if *total == nil {
		*total = make(map[fleet.AccountName]float64)
	}
	for account, amount := range d.Consumed {
		more := amount - before[account]
		if more == 0 {
			continue
		}
		s.spent[account] += more
		(*total)[account] += more
		if t.OnConsumed != nil {
			t.OnConsumed(account, more, now)
		}
	}
}

// inBranch tells whether this node relays for a source. A node never relays for
// one that goes before it, so that no sum comes back to where it was made.
func (t *Table) inBranch(s *source) bool {
	return s.scope == ScopeRelayGroup && s.digest.DataCentre == t.DataCentre && t.before(t.Self, s.digest.Node.Name)
}

// Timed notes how far another node's clock is ahead of this one's.
func (t *Table) SetClockOffset(name fleet.NodeName, offset time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sources[name]; s != nil {
		s.offset, s.timed = offset, true
	}
}

// Correction returns the median of the clocks' offsets, this node's included,
// so that a node that started while its clock was off counts by the others'. A
// digest that speaks for several nodes counts as many times.
func (t *Table) ClockCorrection() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.correction()
}

func (t *Table) correction() time.Duration {
	offsets := []time.Duration{0}
	for _, s := range t.sources {
		if s.timed {
			offsets = append(offsets, slices.Repeat([]time.Duration{s.offset}, s.digest.nodes())...)
		}
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}

// Expire notes the nodes that fell silent and forgets those that are gone.
func (t *Table) Expire(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count = nil
	relay := t.fleetSource()
	relayed := relay != nil && !relay.silent
	for name, s := range t.sources {
		quiet := now.Sub(s.heard)
		if quiet > silentAfter && !s.silent {
			s.silent = true
			if t.OnLivenessChange != nil {
				t.OnLivenessChange(name, false)
			}
		}
		if quiet > goneAfter || s.silent && relayed && s.scope != ScopeFleet {
			delete(t.sources, name)
		}
	}
	for _, m := range t.announced {
		m.gone = now.Sub(m.since) > goneAfter
	}
}

// fleetSource returns the source that speaks for all others, if there is one.
func (t *Table) fleetSource() *source {
	for _, s := range t.sources {
		if s.scope == ScopeFleet {
			return s
		}
	}
	return nil
}

// Relays tells whether this node reads the store for the others of its data
// centre.
func (t *Table) IsRelay() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.large() {
		return t.relays
	}
	for name, s := range t.sources {
		if !s.silent && s.digest.DataCentre == t.DataCentre && name < t.Self {
			return false
		}
	}
	return true
}

// Count returns how many nodes share the limits, this one included.
func (t *Table) Count() allotment.Nodes {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == nil {
		heard, silent := t.tally(func(*source) bool { return true }, t.expectation())
		t.count = &allotment.Nodes{Total: heard + silent, Silent: silent}
	}
	return *t.count
}

// Lag is how long ago, on average, other nodes did what was heard of them last:
// half a round for each exchange on the way.
func (t *Table) Lag() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.large() {
		return relayedWay * RoundInterval / 2
	}
	return RoundInterval / 2
}

// tally counts the nodes that this one and some of its sources speak for, with
// those that were announced and that no source speaks for, as far as they are
// expected.
func (t *Table) tally(include func(*source) bool, expect func(*member) bool) (heard, silent int) {
	heard = 1
	covered := make(map[fleet.DataCentreName]bool)
	for _, s := range t.sources {
		if s.scope == ScopeRelayGroup && s.digest.DataCentre != t.DataCentre {
			covered[s.digest.DataCentre] = true
		}
		switch {
		case !include(s):
		case s.silent:
			silent += s.digest.nodes() + s.digest.SilentNodes
		default:
			heard += s.digest.nodes()
			silent += s.digest.SilentNodes
		}
	}
	for name, m := range t.announced {
		if name != t.Self && t.sources[name] == nil && !m.gone && !covered[m.DataCentre] && expect(m) {
			silent++
		}
	}
	return heard, silent
}

// expectation expects all announced nodes unless another node speaks for them.
func (t *Table) expectation() func(*member) bool {
	expected := t.fleetSource() == nil
	return func(*member) bool { return expected }
}

// Unheard tells whether a data centre has nodes and none has been heard lately.
func (t *Table) Unreachable(name fleet.DataCentreName, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	some := false
	for _, s := range t.sources {
		if s.digest.DataCentre != name && !slices.Contains(s.digest.ReachableDataCentres, name) {
			continue
		}
		if now.Sub(s.heard) <= unheardAfter {
			return false
		}
		some = true
	}
	for _, m := range t.announced {
		some = some || m.DataCentre == name && !m.gone
	}
	return some
}

// Holder returns another node that holds the duties, if one is known to.
func (t *Table) DutyHolder() (name fleet.NodeName, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder()
}

func (t *Table) holder() (name fleet.NodeName, address string) {
	for _, s := range t.sources {
		if !s.silent && s.digest.DutyHolder != "" && s.digest.DutyHolder != t.Self {
			return s.digest.DutyHolder, s.digest.DutyHolderAddress
		}
	}
	return "", ""
}

// Demand returns the demand that all other known nodes put on the pools. A
// silent node's is taken to be what it was.
func (t *Table) Demand() map[fleet.PoolName]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	demand := make(map[fleet.PoolName]float64)
	for _, s := range t.sources {
		for pool, d := range s.digest.Demand {
			demand[pool] += d
		}
	}
	return demand
}

// Work returns the load that the other nodes put on endpoints. The load of a
// node that fell silent is not known any more.
func (t *Table) Work() map[fleet.InstanceID]placement.Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := make(map[fleet.InstanceID]placement.Work)
	for _, s := range t.sources {
		if !s.silent {
			addWork(work, s.digest.Work)
		}
	}
	return work
}

func addWork(sum, more map[fleet.InstanceID]placement.Work) {
	for id, w := range more {
		s := sum[id]
		s.Running += w.Running
		s.Backlog += w.Backlog
		sum[id] = s
	}
}
