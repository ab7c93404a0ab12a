package gossip

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
)

const (
	// mostMeshed is the largest fleet in which each node asks all others; its
	// cost grows with the square of the nodes.
	mostMeshed = 16
	// relayedWay is how many exchanges it takes to hear of a node through relays.
	relayedWay = 3
	// answerTime is how long a node may leave questions unanswered until another
	// relays in its place; three rounds.
	answerTime = 3 * RoundInterval
	// usageRounds is in how many rounds the counts of usage are told once.
	usageRounds = 2
	// mostWork bounds the endpoints whose load a summary tells, about 25 bytes each:
	// it has to fit a datagram and the links of small nodes.
	mostWork = 400
	// probeEvery is the pause between questions to a node that did not answer.
	probeEvery = 1500 * time.Millisecond
)

// Announcement is what a node says of itself in the store, for all others.
type Announcement struct {
	Address     string               `json:"address"`
	DataCentre  fleet.DataCentreName `json:"datacentre"`
	Incarnation fleet.Incarnation    `json:"life"`
	// Cores is the processor share of the node. Those with the most relay.
	Cores float64 `json:"cores"`
}

// member is an announced node, and whether it answers this one.
type member struct {
	Announcement
	// since is from when on it is expected to be heard of.
	since clock.Instant
	// gone tells that it was expected for too long.
	gone bool
	// waiting is when the first question was sent that it has not answered, 0 if
	// there is none; probed is when the last one was sent.
	waiting, probed clock.Instant
}

func (m *member) answers(now clock.Instant) bool {
	return m.waiting == 0 || now.Sub(m.waiting) < answerTime
}

// Target is a node to ask, and what to tell it.
type Target struct {
	Name    fleet.NodeName
	Address string
	Scope   Scope
}

// Expect notes a node that has been announced; this one too.
func (t *Table) AddAnnounced(name fleet.NodeName, a Announcement, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced == nil {
		t.announced = make(map[fleet.NodeName]*member)
	}
	t.count = nil
	t.announced[name] = &member{Announcement: a, since: now}
	if s := t.sources[name]; s != nil && s.silent {
		s.digest.Address = a.Address
	}
}

// Answered notes that a node answered a question.
func (t *Table) MarkReplied(name fleet.NodeName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.announced[name]; m != nil {
		m.waiting = 0
	}
}

// large tells whether relays are used. The caller holds the lock.
func (t *Table) large() bool { return len(t.announced) > mostMeshed }

// Targets returns the nodes to ask in this round.
func (t *Table) Targets(now clock.Instant) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.large() {
		return t.mesh()
	}
	targets, found := t.relay(t.DataCentre, now)
	switch {
	case !found && !t.relays:
		t.relays = true
		t.becomeRelay(now)
	case found:
		t.relays = false
	}
	if t.relays {
		for _, name := range t.dataCentres() {
			if name != t.DataCentre {
				more, _ := t.relay(name, now)
				targets = append(targets, more...)
			}
		}
	}
	t.rounds++
	if name, address := t.holder(); address != "" && t.rounds%usageRounds == 0 {
		targets = append(targets, Target{Name: name, Address: address, Scope: ScopeUsage})
	}
	return targets
}

// mesh returns all nodes that are heard of or expected to be.
func (t *Table) mesh() []Target {
	addresses := make(map[fleet.NodeName]string)
	for name, m := range t.announced {
		if !m.gone && name != t.Self {
			addresses[name] = m.Address
		}
	}
	for name, s := range t.sources {
		addresses[name] = s.digest.Address
	}
	targets := make([]Target, 0, len(addresses))
	for name, address := range addresses {
		targets = append(targets, Target{Name: name, Address: address, Scope: ScopeNode})
	}
	return targets
}

// Neighbours returns all nodes that this one hears of directly.
func (t *Table) Neighbours() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make([]Target, 0, len(t.sources))
	for name, s := range t.sources {
		targets = append(targets, Target{Name: name, Address: s.digest.Address, Scope: ScopeNode})
	}
	return targets
}

// relay returns the relay of a data centre, after the nodes before it that are
// asked whether they answer again. Found is false if this node is the relay, or
// if none answers.
func (t *Table) relay(at fleet.DataCentreName, now clock.Instant) (targets []Target, found bool) {
	for _, name := range t.order(at) {
		if name == t.Self {
			return targets, false
		}
		m := t.announced[name]
		target := Target{Name: name, Address: m.Address, Scope: ScopeRelayGroup}
		if m.answers(now) {
			if m.waiting == 0 {
				m.waiting = now
			}
			return append(targets, target), true
		}
		if now.Sub(m.probed) > probeEvery {
			m.probed = now
			target.Scope = ScopeProbe
			targets = append(targets, target)
		}
	}
	return targets, false
}

// becomeRelay forgets what another relay told, and expects all announced nodes
// anew: until now that one spoke for them.
func (t *Table) becomeRelay(now clock.Instant) {
	t.count = nil
	maps.DeleteFunc(t.sources, func(_ fleet.NodeName, s *source) bool { return s.scope == ScopeFleet })
	for _, m := range t.announced {
		m.since, m.gone = now, false
	}
}

// order returns the nodes of a data centre, this one included, in the order in
// which they relay: by processor share, then by name.
func (t *Table) order(at fleet.DataCentreName) []fleet.NodeName {
	var names []fleet.NodeName
	for name, m := range t.announced {
		if m.DataCentre == at {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, t.compare)
	return names
}

// compare orders the nodes by processor share, then by name.
func (t *Table) compare(a, b fleet.NodeName) int {
	cores := func(name fleet.NodeName) float64 {
		if m := t.announced[name]; m != nil {
			return m.Cores
		}
		return 0
	}
	return cmp.Or(cmp.Compare(cores(b), cores(a)), cmp.Compare(a, b))
}

func (t *Table) before(a, b fleet.NodeName) bool { return t.compare(a, b) < 0 }

func (t *Table) dataCentres() []fleet.DataCentreName {
	seen := make(map[fleet.DataCentreName]bool)
	for _, m := range t.announced {
		seen[m.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Rank is this node's place among those that may take the duties. Where there
// are relays they come first, one data centre after the other.
func (t *Table) DutyRank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.large() {
		centres := t.dataCentres()
		return slices.Index(t.order(t.DataCentre), t.Self)*len(centres) + slices.Index(centres, t.DataCentre)
	}
	place := func(name fleet.NodeName) uint64 {
		h := fnv.New64a()
		// Writes to the hash never fail.
		_, _ = h.Write([]byte(name))
		return h.Sum64()
	}
	rank := 0
	for name, s := range t.sources {
		if !s.silent && place(name) < place(t.Self) {
			rank++
		}
	}
	return rank
}

// Summarise returns what to tell a node: what this node says of itself, with
// what it knows of others as far as the scope goes.
func (t *Table) Summarise(own Digest, scope Scope, asker fleet.NodeName, now clock.Instant) Digest {
	switch scope {
	case ScopeNode:
		return own
	case ScopeUsage:
		return Digest{Node: own.Node, DataCentre: own.DataCentre, Address: own.Address, Usage: own.Usage}
	case ScopeProbe:
		return Digest{Node: own.Node, DataCentre: own.DataCentre, Address: own.Address}
	case ScopeRelayGroup, ScopeFleet:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	include, expect := t.inBranch, t.expectation()
	if scope == ScopeFleet {
		include = func(s *source) bool { return s.digest.Node.Name != asker }
	} else {
		// The relay of this data centre expects its nodes itself.
		m := t.announced[asker]
		expect = func(o *member) bool { return m != nil && m.DataCentre != t.DataCentre && o.DataCentre == t.DataCentre }
	}
	d := own
	d.Usage = nil
	d.Work, d.Demand = make(map[fleet.InstanceID]placement.Work), make(map[fleet.PoolName]float64)
	addWork(d.Work, own.Work)
	maps.Copy(d.Demand, own.Demand)
	for _, s := range t.sources {
		if include(s) {
			merge(&d, s, now)
		}
	}
	d.Work = heaviest(d.Work)
	d.ReachableDataCentres = append(d.ReachableDataCentres, t.DataCentre)
	slices.Sort(d.ReachableDataCentres)
	d.ReachableDataCentres = slices.Compact(d.ReachableDataCentres)
	d.Consumed = t.spentBy(own.Consumed, scope, asker)
	heard, silent := t.tally(include, expect)
	d.OtherNodes, d.SilentNodes = heard-1, silent
	if d.OtherNodes > 0 {
		d.Clock = d.Clock.Add(t.correction())
	}
	return d
}

// heaviest returns the load of the endpoints that have the most to do.
func heaviest(work map[fleet.InstanceID]placement.Work) map[fleet.InstanceID]placement.Work {
	if len(work) <= mostWork {
		return work
	}
	ids := slices.SortedFunc(maps.Keys(work), func(a, b fleet.InstanceID) int {
		return cmp.Or(cmp.Compare(work[b].Backlog, work[a].Backlog), cmp.Compare(work[b].Running, work[a].Running), cmp.Compare(a, b))
	})
	for _, id := range ids[mostWork:] {
		delete(work, id)
	}
	return work
}

// merge adds a source to a summary.
func merge(d *Digest, s *source, now clock.Instant) {
	for pool, n := range s.digest.Demand {
		d.Demand[pool] += n
	}
	if s.silent {
		return
	}
	addWork(d.Work, s.digest.Work)
	if d.DutyHolder == "" {
		d.DutyHolder, d.DutyHolderAddress = s.digest.DutyHolder, s.digest.DutyHolderAddress
	}
	if now.Sub(s.heard) <= unheardAfter {
		d.ReachableDataCentres = append(append(d.ReachableDataCentres, s.digest.DataCentre), s.digest.ReachableDataCentres...)
	}
}

// spentBy returns what was admitted in all by the nodes of a summary. The asker
// knows what it admitted itself.
func (t *Table) spentBy(own map[fleet.AccountName]float64, scope Scope, asker fleet.NodeName) map[fleet.AccountName]float64 {
	spent := maps.Clone(own)
	if spent == nil {
		spent = make(map[fleet.AccountName]float64)
	}
	for account, amount := range t.branchSpent {
		spent[account] += amount
	}
	if scope != ScopeFleet {
		return spent
	}
	for account, amount := range t.otherSpent {
		spent[account] += amount
	}
	if s := t.sources[asker]; s != nil {
		for account, amount := range s.spent {
			spent[account] -= amount
		}
	}
	return spent
}
