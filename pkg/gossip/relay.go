package gossip

import (
	"cmp"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
)

const (
	// maxMeshNodes is the largest fleet in which each node queries all others. The
	// traffic of such a mesh grows with the square of the number of nodes.
	maxMeshNodes = 16
	// relayHops is the number of exchanges that pass the state of a node to another
	// one through relays.
	relayHops = 3
	// replyTimeout is how long a relay may leave requests unanswered until another
	// node takes its place. It is three rounds.
	replyTimeout = 3 * RoundInterval
	// usageReportRounds is the number of rounds between two reports of usage.
	usageReportRounds = 2
	// maxWorkEntries is the maximum number of endpoints in the Work of an aggregate.
	// At about 25 bytes per entry, an aggregate has to fit into a datagram and the
	// bandwidth of small nodes.
	maxWorkEntries = 400
	// probeInterval is the time between two probes of a node that did not reply.
	probeInterval = 1500 * time.Millisecond
)

// Announcement is the record that a node writes to the store, where the others
// find it.
type Announcement struct {
	Address     string               `json:"address"`
	DataCentre  fleet.DataCentreName `json:"datacentre"`
	Incarnation fleet.Incarnation    `json:"life"`
	// Cores is the CPU share of the node. The nodes with the largest share become
	// relays.
	Cores float64 `json:"cores"`
}

// maxNameBytes and maxCores bound what an announcement may hold.
const (
	maxNameBytes = 128
	maxCores     = 1024
)

// Validate checks an announcement from the store, to which others may write.
func (a *Announcement) Validate(node fleet.NodeName) error {
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 {
		return errors.New("the address is not an IP address with a port")
	}
	for _, name := range []string{string(node), string(a.DataCentre)} {
		if len(name) > maxNameBytes || !utf8.ValidString(name) {
			return errors.New("a name is too long or not UTF-8")
		}
	}
	if a.Cores < 0 || a.Cores > maxCores {
		return errors.New("the number of cores is out of range")
	}
	return nil
}

// member is an announced node and the state of the requests sent to it.
type member struct {
	Announcement
	// expectedSince is the instant from which on a digest of the node is expected.
	expectedSince clock.Instant
	// expired is set once removeAfter has passed since expectedSince. A node of which
	// only the announcement is known is then no longer counted.
	expired bool
	// unansweredSince is when the oldest unanswered request was sent, 0 if there is
	// none. probedAt is when the last probe was sent.
	unansweredSince, probedAt clock.Instant
}

// responsive reports whether the node has no request that timed out.
func (m *member) responsive(now clock.Instant) bool {
	return m.unansweredSince == 0 || now.Sub(m.unansweredSince) < replyTimeout
}

// Target is a node to send a request to, with the scope of the digest in it.
type Target struct {
	Name    fleet.NodeName
	Address string
	Scope   Scope
}

// AddAnnounced adds a node that was announced in the store. It has to be called
// for this node too.
func (t *Table) AddAnnounced(name fleet.NodeName, a Announcement, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced == nil {
		t.announced = make(map[fleet.NodeName]*member)
	}
	t.cachedCount = nil
	t.announced[name] = &member{Announcement: a, expectedSince: now}
	if p := t.peers[name]; p != nil && p.silent {
		p.digest.Address = a.Address
	}
}

// MarkReplied records that a node replied to a request.
func (t *Table) MarkReplied(name fleet.NodeName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.announced[name]; m != nil {
		m.unansweredSince = 0
	}
}

// usesRelays reports whether the fleet is large enough to use relays. The caller
// holds the lock.
func (t *Table) usesRelays() bool { return len(t.announced) > maxMeshNodes }

// Targets returns the nodes to query in this round.
func (t *Table) Targets(now clock.Instant) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.usesRelays() {
		return t.meshTargets()
	}
	targets, found := t.relayTargets(t.DataCentre, now)
	switch {
	case !found && !t.isRelay:
		t.isRelay = true
		t.becomeRelay(now)
	case found:
		t.isRelay = false
	}
	if t.isRelay {
		for _, name := range t.dataCentres() {
			if name != t.DataCentre {
				relayTargets, _ := t.relayTargets(name, now)
				targets = append(targets, relayTargets...)
			}
		}
	}
	t.rounds++
	if name, address := t.dutyHolder(); address != "" && t.rounds%usageReportRounds == 0 {
		targets = append(targets, Target{Name: name, Address: address, Scope: ScopeUsage})
	}
	return targets
}

// meshTargets returns all other nodes that are known or announced. The caller
// holds the lock.
func (t *Table) meshTargets() []Target {
	addresses := make(map[fleet.NodeName]string)
	for name, m := range t.announced {
		if !m.expired && name != t.Self {
			addresses[name] = m.Address
		}
	}
	for name, p := range t.peers {
		addresses[name] = p.digest.Address
	}
	targets := make([]Target, 0, len(addresses))
	for name, address := range addresses {
		targets = append(targets, Target{Name: name, Address: address, Scope: ScopeNode})
	}
	return targets
}

// PeerTargets returns all nodes that send digests directly to this one, with the
// scope in which each knows this node.
func (t *Table) PeerTargets() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make([]Target, 0, len(t.peers))
	for name, p := range t.peers {
		target := Target{Name: name, Address: p.digest.Address, Scope: p.scope}
		switch {
		case p.scope == ScopeFleet:
			target.Scope = ScopeRelayGroup
		case t.inRelayGroup(p):
			target.Scope = ScopeFleet
		}
		targets = append(targets, target)
	}
	return targets
}

// relayTargets returns the relay of a data centre, after probes of the
// unresponsive nodes that precede it in the relay order. Found is false if this
// node is the relay or if no node is responsive. The caller holds the lock.
func (t *Table) relayTargets(dataCentre fleet.DataCentreName, now clock.Instant) (targets []Target, found bool) {
	for _, name := range t.relayOrder(dataCentre) {
		if name == t.Self {
			return targets, false
		}
		m := t.announced[name]
		target := Target{Name: name, Address: m.Address, Scope: ScopeRelayGroup}
		if m.responsive(now) {
			if m.unansweredSince == 0 {
				m.unansweredSince = now
			}
			return append(targets, target), true
		}
		if now.Sub(m.probedAt) > probeInterval {
			m.probedAt = now
			target.Scope = ScopeProbe
			targets = append(targets, target)
		}
	}
	return targets, false
}

// becomeRelay removes the previous relay's view of the fleet. It restarts the
// time within which the announced nodes are expected, as that relay covered them
// until now. The caller holds the lock.
func (t *Table) becomeRelay(now clock.Instant) {
	t.cachedCount = nil
	maps.DeleteFunc(t.peers, func(_ fleet.NodeName, p *peer) bool { return p.scope == ScopeFleet })
	for _, m := range t.announced {
		m.expectedSince, m.expired = now, false
	}
}

// relayOrder returns the nodes of a data centre, this one included, in the order
// in which they become relay. The caller holds the lock.
func (t *Table) relayOrder(dataCentre fleet.DataCentreName) []fleet.NodeName {
	var names []fleet.NodeName
	for name, m := range t.announced {
		if m.DataCentre == dataCentre {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, t.compareRelays)
	return names
}

// compareRelays orders nodes by descending CPU share, then by name.
func (t *Table) compareRelays(a, b fleet.NodeName) int {
	cores := func(name fleet.NodeName) float64 {
		if m := t.announced[name]; m != nil {
			return m.Cores
		}
		return 0
	}
	return cmp.Or(cmp.Compare(cores(b), cores(a)), cmp.Compare(a, b))
}

// precedes reports whether a comes before b in the relay order.
func (t *Table) precedes(a, b fleet.NodeName) bool { return t.compareRelays(a, b) < 0 }

// dataCentres returns the data centres of all announced nodes, sorted by name.
func (t *Table) dataCentres() []fleet.DataCentreName {
	names := make(map[fleet.DataCentreName]bool)
	for _, m := range t.announced {
		names[m.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// DutyRank returns the rank of this node among the candidates for the duties; 0
// comes first. If relays are used, they rank first, one per data centre, followed
// by the next node of each data centre.
func (t *Table) DutyRank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.usesRelays() {
		centres := t.dataCentres()
		return slices.Index(t.relayOrder(t.DataCentre), t.Self)*len(centres) + slices.Index(centres, t.DataCentre)
	}
	hash := func(name fleet.NodeName) uint64 {
		h := fnv.New64a()
		// Write of a hash never returns an error.
		_, _ = h.Write([]byte(name))
		return h.Sum64()
	}
	rank := 0
	for name, p := range t.peers {
		if !p.silent && hash(name) < hash(t.Self) {
			rank++
		}
	}
	return rank
}

// Summarise returns the digest to send to a recipient: the local one, aggregated
// with the state of the other nodes that the scope covers.
func (t *Table) Summarise(local Digest, scope Scope, recipient fleet.NodeName, now clock.Instant) Digest {
	switch scope {
	case ScopeNode:
		if !carriesPace(now) {
			local.Pace = nil
		}
		return local
	case ScopeUsage:
		return Digest{Node: local.Node, DataCentre: local.DataCentre, Address: local.Address, Usage: local.Usage}
	case ScopeProbe:
		return Digest{Node: local.Node, DataCentre: local.DataCentre, Address: local.Address}
	case ScopeRelayGroup, ScopeFleet:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	include, expected := t.inRelayGroup, t.expectAnnounced()
	if scope == ScopeFleet {
		include = func(p *peer) bool { return p.digest.Node.Name != recipient }
	} else {
		// A relay of the same data centre counts the announced nodes there by itself.
		m := t.announced[recipient]
		expected = func(o *member) bool { return m != nil && m.DataCentre != t.DataCentre && o.DataCentre == t.DataCentre }
	}
	d := local
	d.Usage = nil
	d.Work, d.Demand = make(map[fleet.InstanceID]placement.Work), make(map[fleet.PoolName]float64)
	addWork(d.Work, local.Work)
	maps.Copy(d.Demand, local.Demand)
	d.Pace = t.summarisePace(local.Pace, scope, recipient, now)
	for _, p := range t.peers {
		if include(p) {
			mergePeer(&d, p, now)
		}
	}
	d.Work = trimWork(d.Work)
	d.ReachableDataCentres = append(d.ReachableDataCentres, t.DataCentre)
	slices.Sort(d.ReachableDataCentres)
	d.ReachableDataCentres = slices.Compact(d.ReachableDataCentres)
	d.Consumed = t.consumedBy(local.Consumed, scope, recipient)
	live, silent := t.countNodes(include, expected)
	d.OtherNodes, d.SilentNodes = live-1, silent
	if d.OtherNodes > 0 {
		d.Clock = d.Clock.Add(t.clockCorrection())
	}
	return d
}

// trimWork limits work to the maxWorkEntries endpoints with the largest backlog.
func trimWork(work map[fleet.InstanceID]placement.Work) map[fleet.InstanceID]placement.Work {
	if len(work) <= maxWorkEntries {
		return work
	}
	ids := slices.SortedFunc(maps.Keys(work), func(a, b fleet.InstanceID) int {
		return cmp.Or(cmp.Compare(work[b].Backlog, work[a].Backlog), cmp.Compare(work[b].Running, work[a].Running), cmp.Compare(a, b))
	})
	for _, id := range ids[maxWorkEntries:] {
		delete(work, id)
	}
	return work
}

// mergePeer adds the state of a peer to an aggregate.
func mergePeer(d *Digest, p *peer, now clock.Instant) {
	for pool, n := range p.digest.Demand {
		d.Demand[pool] += n
	}
	d.Rollouts = canary.Add(d.Rollouts, p.digest.Rollouts)
	if p.silent {
		return
	}
	addWork(d.Work, p.digest.Work)
	d.Shortage = d.Shortage.add(p.digest.Shortage)
	if d.DutyHolder == "" {
		d.DutyHolder, d.DutyHolderAddress = p.digest.DutyHolder, p.digest.DutyHolderAddress
	}
	if now.Sub(p.lastSeen) <= dataCentreSilentAfter {
		d.ReachableDataCentres = append(append(d.ReachableDataCentres, p.digest.DataCentre), p.digest.ReachableDataCentres...)
	}
}

// consumedBy returns the total quota consumed by the nodes that an aggregate
// covers. It subtracts what the recipient itself reported. The caller holds the
// lock.
func (t *Table) consumedBy(local map[fleet.AccountName]float64, scope Scope, recipient fleet.NodeName) map[fleet.AccountName]float64 {
	consumed := maps.Clone(local)
	if consumed == nil {
		consumed = make(map[fleet.AccountName]float64)
	}
	for account, amount := range t.groupConsumed {
		consumed[account] += amount
	}
	if scope != ScopeFleet {
		return consumed
	}
	for account, amount := range t.otherConsumed {
		consumed[account] += amount
	}
	if p := t.peers[recipient]; p != nil {
		for account, amount := range p.consumed {
			consumed[account] -= amount
		}
	}
	return consumed
}
