// Package gossip exchanges digests between nodes: several times a second each
// node sends others its load, the quota that it consumed, the usage that it
// counted and the age of its configuration. In a small fleet every node queries
// every other. In a large one each node queries the relay of its data centre,
// which aggregates the digests of the nodes there and exchanges the aggregates
// with the relays of the other data centres. No consensus depends on gossip: a
// node that receives nothing continues with an even share of the limits, and any
// node can become a relay.
package gossip

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
)

const (
	// silentAfter is the time without a digest after which a node counts as silent
	// and its share of the limits is reserved for it. It is five rounds.
	silentAfter = 5 * RoundInterval
	// removeAfter is the time without a digest after which a node is removed and
	// loses its share. It is longer than the network partitions that a node survives.
	removeAfter = 30 * time.Second
	// dataCentreSilentAfter is the time without a digest from any node of a data centre
	// after which the data centre counts as silent. It is longer than two rounds.
	dataCentreSilentAfter = 700 * time.Millisecond
)

// maxCoveredNodes bounds the number of nodes that a digest covers. It is far above that of any
// fleet.
const maxCoveredNodes = 1 << 12

// peer is another node with the last digest received from it.
type peer struct {
	digest   Digest
	scope    Scope
	lastSeen clock.Instant
	// clockOffset is the peer's clock minus this node's.
	clockOffset    time.Duration
	hasClockOffset bool
	silent         bool
	// paceAt is when a digest with evidence for speeds arrived.
	paceAt clock.Instant
	// consumed is the quota of the peer that was counted.
	consumed map[fleet.AccountName]float64
}

// Table holds the known state of the other nodes. Self must be set; otherwise
// the zero value is ready to use.
type Table struct {
	// Self is this node and DataCentre its data centre.
	Self       fleet.NodeName
	DataCentre fleet.DataCentreName
	// OnConsumed, if set, is called with the quota that other nodes consumed since
	// their previous digest.
	OnConsumed func(fleet.AccountName, float64, clock.Instant)
	// OnFirstReport, if set, is called with the state of the quotas in the first digest of
	// a node, from which on its increases are counted.
	OnFirstReport func(allotment.Report, clock.Instant)
	// OnLivenessChange, if set, is called when a node becomes live or silent.
	OnLivenessChange func(node fleet.NodeName, live bool)

	mu        sync.Mutex
	peers     map[fleet.NodeName]*peer
	announced map[fleet.NodeName]*member
	// isRelay is set while this node is the relay of its data centre in a large fleet.
	isRelay bool
	rounds  int
	// groupConsumed is the quota that the nodes of this node's relay group reported
	// since this node started, otherConsumed the quota that all others reported.
	groupConsumed, otherConsumed map[fleet.AccountName]float64
	// cachedCount is the result of Count, or nil if the nodes have to be counted again.
	cachedCount *allotment.Nodes
	pace        paceTotal
}

// Apply stores a received digest. It ignores digests of earlier incarnations. It
// counts what a node that drains consumed last, and removes the node.
func (t *Table) Apply(d Digest, scope Scope, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cachedCount = nil
	name := d.Node.Name
	p := t.peers[name]
	if p != nil && d.Node.Incarnation < p.digest.Node.Incarnation {
		return
	}
	d.Consumed = finiteTotals(d.Consumed, p)
	d.OtherNodes, d.SilentNodes = min(max(d.OtherNodes, 0), maxCoveredNodes), min(max(d.SilentNodes, 0), maxCoveredNodes)
	if d.Draining {
		if p != nil && p.scope == scope {
			t.addConsumed(p, &d, now)
		}
		delete(t.peers, name)
		delete(t.announced, name)
		return
	}
	t.removeSuperseded(&d, scope, now)
	switch {
	case p == nil:
		p = t.addPeer(&d, scope, now)
	case p.scope == scope:
		t.addConsumed(p, &d, now)
	case t.OnFirstReport != nil:
		t.OnFirstReport(d.Quotas, now)
	}
	if p.silent && t.OnLivenessChange != nil {
		t.OnLivenessChange(name, true)
	}
	p.keepPace(&d, scope, now)
	p.digest, p.scope, p.lastSeen, p.silent = d, scope, now, false
}

// addPeer adds a peer with its first digest. What it consumed before is counted only if
// it started lately: otherwise it may be old, and is in the peer's report. The total
// that a relay has of other nodes counts if no other relay reported them before. The
// caller holds the lock.
func (t *Table) addPeer(d *Digest, scope Scope, now clock.Instant) *peer {
	p := &peer{
		digest: Digest{Node: d.Node, DataCentre: d.DataCentre}, scope: scope,
		silent: true, consumed: make(map[fleet.AccountName]float64),
	}
	if t.peers == nil {
		t.peers = make(map[fleet.NodeName]*peer)
	}
	t.peers[d.Node.Name] = p
	if d.Quotas.Young && (scope != ScopeFleet || len(t.otherConsumed) == 0) {
		t.addConsumed(p, d, now)
	}
	if t.OnFirstReport != nil {
		t.OnFirstReport(d.Quotas, now)
	}
	return p
}

// removeSuperseded removes the peers whose own digests are superseded by an
// aggregate that covers them. The caller holds the lock.
func (t *Table) removeSuperseded(d *Digest, scope Scope, now clock.Instant) {
	for name, p := range t.peers {
		covered := false
		switch scope {
		case ScopeFleet:
			covered = !t.inRelayGroup(p)
		case ScopeRelayGroup:
			covered = d.DataCentre != t.DataCentre && p.digest.DataCentre == d.DataCentre && now.Sub(p.lastSeen) > 2*RoundInterval
		case ScopeNode, ScopeUsage, ScopeProbe:
		}
		if covered && name != d.Node.Name {
			delete(t.peers, name)
		}
	}
}

// addConsumed adds and reports the quota that a peer consumed since its last
// digest. The caller holds the lock.
func (t *Table) addConsumed(p *peer, d *Digest, now clock.Instant) {
	previous := p.digest.Consumed
	if d.Node.Incarnation != p.digest.Node.Incarnation {
		previous = nil
	}
	total := &t.otherConsumed
	if t.inRelayGroup(p) {
		total = &t.groupConsumed
	}
	if *total == nil {
		*total = make(map[fleet.AccountName]float64)
	}
	for account, amount := range d.Consumed {
		increase := amount - previous[account]
		if increase == 0 {
			continue
		}
		p.consumed[account] += increase
		(*total)[account] += increase
		if t.OnConsumed != nil {
			t.OnConsumed(account, increase, now)
		}
	}
}

// inRelayGroup reports whether this node relays for a peer. A node never relays
// for one that precedes it in the relay order, so that no aggregate returns to
// the node that computed it.
func (t *Table) inRelayGroup(p *peer) bool {
	return p.scope == ScopeRelayGroup && p.digest.DataCentre == t.DataCentre && t.precedes(t.Self, p.digest.Node.Name)
}

// SetClockOffset records how far the clock of another node is ahead of this
// node's.
func (t *Table) SetClockOffset(name fleet.NodeName, offset time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		p.clockOffset, p.hasClockOffset = offset, true
	}
}

// ClockCorrection returns the median of the clock offsets of all nodes, this one
// included, so that a node that started with a wrong clock follows the others. A
// digest that covers several nodes has a weight of that many.
func (t *Table) ClockCorrection() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clockCorrection()
}

// clockCorrection implements ClockCorrection. The caller holds the lock.
func (t *Table) clockCorrection() time.Duration {
	offsets := []time.Duration{0}
	for _, p := range t.peers {
		if p.hasClockOffset {
			offsets = append(offsets, slices.Repeat([]time.Duration{p.clockOffset}, p.digest.nodes())...)
		}
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}

// Expire marks the nodes that became silent. It removes those that have been silent
// for too long, and immediately those that a live relay's digest covers.
func (t *Table) Expire(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cachedCount = nil
	relayed := t.servedByRelay()
	for name, p := range t.peers {
		sinceSeen := now.Sub(p.lastSeen)
		if sinceSeen > silentAfter && !p.silent {
			p.silent = true
			if t.OnLivenessChange != nil {
				t.OnLivenessChange(name, false)
			}
		}
		if sinceSeen > removeAfter || p.silent && relayed && p.scope != ScopeFleet {
			delete(t.peers, name)
		}
	}
	for _, m := range t.announced {
		m.expired = now.Sub(m.expectedSince) > removeAfter
	}
}

// fleetPeer returns the peer whose digest covers all other nodes, or nil. The
// caller holds the lock.
func (t *Table) fleetPeer() *peer {
	for _, p := range t.peers {
		if p.scope == ScopeFleet {
			return p
		}
	}
	return nil
}

// IsRelay reports whether this node reads the store on behalf of the other nodes
// of its data centre. In a small fleet, the first live node there by name does.
func (t *Table) IsRelay() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.usesRelays() {
		return t.isRelay
	}
	for name, p := range t.peers {
		if !p.silent && p.digest.DataCentre == t.DataCentre && name < t.Self {
			return false
		}
	}
	return true
}

// ServedByRelay reports whether a relay has sent this node an aggregate of the whole
// fleet recently.
func (t *Table) ServedByRelay() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servedByRelay()
}

// servedByRelay implements ServedByRelay. The caller holds the lock.
func (t *Table) servedByRelay() bool {
	relay := t.fleetPeer()
	return relay != nil && !relay.silent
}

// Count returns the number of nodes that share the limits, this one included.
func (t *Table) Count() allotment.Nodes {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cachedCount == nil {
		live, silent := t.countNodes(func(*peer) bool { return true }, t.expectAnnounced())
		t.cachedCount = &allotment.Nodes{Total: live + silent, Silent: silent}
	}
	return *t.cachedCount
}

// Lag returns the average age of the state last received from other nodes: half
// a round per hop.
func (t *Table) Lag() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.usesRelays() {
		return relayHops * RoundInterval / 2
	}
	return RoundInterval / 2
}

// countNodes counts this node and the nodes covered by the included peers. It
// counts an announced node that no peer covers as silent if it is expected. The
// caller holds the lock.
func (t *Table) countNodes(include func(*peer) bool, expected func(*member) bool) (live, silent int) {
	live = 1
	covered := make(map[fleet.DataCentreName]bool)
	for _, p := range t.peers {
		if p.scope == ScopeRelayGroup && p.digest.DataCentre != t.DataCentre {
			covered[p.digest.DataCentre] = true
		}
		switch {
		case !include(p):
		case p.silent:
			silent += p.digest.nodes() + p.digest.SilentNodes
		default:
			live += p.digest.nodes()
			silent += p.digest.SilentNodes
		}
	}
	for name, m := range t.announced {
		if name != t.Self && t.peers[name] == nil && !m.expired && !covered[m.DataCentre] && expected(m) {
			silent++
		}
	}
	return live, silent
}

// expectAnnounced returns a filter that expects all announced nodes, or none if a
// peer covers the whole fleet. The caller holds the lock.
func (t *Table) expectAnnounced() func(*member) bool {
	expected := t.fleetPeer() == nil
	return func(*member) bool { return expected }
}

// DataCentreSilent reports whether a data centre has nodes, but neither they nor
// another node that reaches them sent a digest recently.
func (t *Table) DataCentreSilent(name fleet.DataCentreName, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := false
	for _, p := range t.peers {
		if p.digest.DataCentre != name && !slices.Contains(p.digest.ReachableDataCentres, name) {
			continue
		}
		if now.Sub(p.lastSeen) <= dataCentreSilentAfter {
			return false
		}
		known = true
	}
	for _, m := range t.announced {
		known = known || m.DataCentre == name && !m.expired
	}
	return known
}

// DutyHolder returns the other node that is known to hold the duties, if any.
func (t *Table) DutyHolder() (name fleet.NodeName, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dutyHolder()
}

// dutyHolder implements DutyHolder. The caller holds the lock.
func (t *Table) dutyHolder() (name fleet.NodeName, address string) {
	for _, p := range t.peers {
		if !p.silent && p.digest.DutyHolder != "" && p.digest.DutyHolder != t.Self {
			return p.digest.DutyHolder, p.digest.DutyHolderAddress
		}
	}
	return "", ""
}

// Demand returns the demand of all other known nodes, by pool. A silent node
// counts with its last reported demand.
func (t *Table) Demand() map[fleet.PoolName]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	demand := make(map[fleet.PoolName]float64)
	for _, p := range t.peers {
		for pool, d := range p.digest.Demand {
			demand[pool] += d
		}
	}
	return demand
}

// Rollouts returns the reports of all other known nodes, with the sums of their counts.
func (t *Table) Rollouts() []canary.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum []canary.Report
	for _, p := range t.peers {
		sum = canary.Add(sum, p.digest.Rollouts)
	}
	return sum
}

// Work returns the load that the other nodes put on endpoints. It leaves out
// silent nodes, whose load is not known.
func (t *Table) Work() map[fleet.InstanceID]placement.Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := make(map[fleet.InstanceID]placement.Work)
	for _, p := range t.peers {
		if !p.silent {
			addWork(work, p.digest.Work)
		}
	}
	return work
}

// addWork adds the load in added to sum.
func addWork(sum, added map[fleet.InstanceID]placement.Work) {
	for id, w := range added {
		total := sum[id]
		total.Running += w.Running
		total.Backlog += w.Backlog
		sum[id] = total
	}
}
