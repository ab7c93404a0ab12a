package peer

import (
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// livenessChange is a node that became alive or dead.
type livenessChange struct {
	node  member.Node
	alive bool
}

// refreshLiveness determines which nodes are alive and returns the changes. The
// lock is held.
func (s *Service) refreshLiveness(now time.Time) (changes []livenessChange) {
	own := s.Self.Ref.Name
	s.deadTimeout = max(DeadTimeout, deadTimeoutPerNode*time.Duration(len(s.dataCentrePeers())+1))
	s.dataCentreNodes = []fleet.NodeName{own}
	for _, o := range s.reports.Origins() {
		name := o.Node.Ref.Name
		alive := name == own || now.Sub(o.LastSeen) < s.deadTimeout
		if alive != s.isAlive[name] && name != own {
			changes = append(changes, livenessChange{node: o.Node, alive: alive})
		}
		s.isAlive[name] = alive
		if alive && name != own && o.Node.DataCentre == s.Self.DataCentre {
			s.dataCentreNodes = append(s.dataCentreNodes, name)
		}
	}
	s.dataCentreNodes = sortNames(s.dataCentreNodes)
	s.liveNodes = slices.Clone(s.dataCentreNodes)
	for _, p := range s.Peers {
		if p.DataCentre != s.Self.DataCentre && s.remoteAlive(p.DataCentre, p.Name, now) {
			s.liveNodes = append(s.liveNodes, p.Name)
		}
	}
	s.liveNodes = sortNames(s.liveNodes)
	return changes
}

// remoteAlive reports whether any incarnation of a node of another data centre is
// considered alive. The lock is held.
func (s *Service) remoteAlive(dataCentre fleet.DataCentreName, name fleet.NodeName, now time.Time) bool {
	r := s.remote[dataCentre]
	if r == nil {
		return false
	}
	hash := member.NameHash(name)
	for id, lastSeen := range r.lastSeen {
		if id.NameHash() == hash && r.mayBeAlive(lastSeen, now) {
			return true
		}
	}
	return false
}

// mayBeAlive reports whether an incarnation that a summary last listed at
// lastSeen is considered alive. It is not once newer summaries have omitted it
// for RemoteDeadTimeout, or no summary has listed it for SilentTimeout.
func (r *remoteState) mayBeAlive(lastSeen, now time.Time) bool {
	return r.observed.Sub(lastSeen) < RemoteDeadTimeout && now.Sub(lastSeen) < SilentTimeout
}

// Alive reports whether an incarnation of a node is considered alive. A wrong
// result causes redundant work but does not affect correctness.
func (s *Service) Alive(n fleet.NodeRef) bool {
	s.init()
	if n == s.Self.Ref {
		return true
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.reports.Origin(n.Name); ok {
		newer := o.Node.Ref.Incarnation > n.Incarnation
		return !newer && now.Sub(o.LastSeen) < s.deadTimeout
	}
	id := member.IncarnationIDOf(n)
	for _, r := range s.remote {
		if lastSeen, ok := r.lastSeen[id]; ok {
			return r.mayBeAlive(lastSeen, now)
		}
	}
	if now.Sub(s.started) < startupGrace {
		return true
	}
	return s.assumedAlive(n.Name, now)
}

// assumedAlive reports whether a node of another data centre of which nothing was
// received is considered alive: until the first summary of its data centre
// arrives, but not longer than SilentTimeout after the start. The lock is held.
func (s *Service) assumedAlive(name fleet.NodeName, now time.Time) bool {
	p, ok := s.configuredPeer(name)
	if !ok || p.DataCentre == s.Self.DataCentre {
		return false
	}
	return s.remote[p.DataCentre] == nil && now.Sub(s.started) < SilentTimeout
}

// Candidate reports whether this node is the one that takes over an order.
func (s *Service) Candidate(ref fleet.KeyRef) bool {
	return s.Chosen("order/" + string(ref.Account) + "/" + string(ref.Key))
}

// IsPoller reports whether this node is one of the two nodes that poll an
// endpoint.
func (s *Service) IsPoller(i fleet.Instance) bool { return s.pollerRank(i) >= 0 }

// pollerRank returns the rank of this node among an endpoint's pollers; -1 if it
// is none of them. The pollers are live nodes of the endpoint's data centre, or
// of any data centre if that one has no live nodes.
func (s *Service) pollerRank(i fleet.Instance) int {
	s.init()
	s.mu.Lock()
	nodes := s.liveNodes
	if i.DataCentre == s.Self.DataCentre {
		nodes = s.dataCentreNodes
	} else if remoteNodes := s.liveIn(i.DataCentre); len(remoteNodes) > 0 {
		nodes = remoteNodes
	}
	s.mu.Unlock()
	return slices.Index(member.Choose(nodes, "poll/"+string(i.ID), pollerCount), s.Self.Ref.Name)
}

// liveIn returns the live nodes of another data centre. The lock is held.
func (s *Service) liveIn(name fleet.DataCentreName) (nodes []fleet.NodeName) {
	for _, p := range s.Peers {
		if p.DataCentre == name && slices.Contains(s.liveNodes, p.Name) {
			nodes = append(nodes, p.Name)
		}
	}
	return nodes
}

// Writer returns the log writer of a stream, the node of this data centre that
// appends to it for the others; ok is false if it is this node.
func (s *Service) Writer(stream platform.StreamName) (p Peer, ok bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := member.Choose(s.dataCentreNodes, "write/"+string(stream), 1)
	for _, p := range s.dataCentrePeers() {
		if p.Name == chosen[0] {
			return p, true
		}
	}
	return p, false
}

// Nodes returns the state known of every node, including this one.
func (s *Service) Nodes() (list []operate.Node) {
	s.init()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.reports.Origins() {
		n := operate.Node{Name: o.Node.Ref.Name, DataCentre: o.Node.DataCentre, Revision: o.Revision, Heard: o.LastSeen, Alive: s.isAlive[o.Node.Ref.Name]}
		list = append(list, n)
	}
	for _, p := range s.Peers {
		if _, ok := s.reports.Origin(p.Name); ok {
			continue
		}
		n := operate.Node{Name: p.Name, DataCentre: p.DataCentre}
		if r := s.remote[p.DataCentre]; r != nil {
			r.describe(&n, now)
		}
		list = append(list, n)
	}
	return list
}

// describe sets the fields of a node that are known from summaries.
func (r *remoteState) describe(n *operate.Node, now time.Time) {
	hash := member.NameHash(n.Name)
	for id, lastSeen := range r.lastSeen {
		if id.NameHash() == hash && lastSeen.After(n.Heard) {
			n.Heard, n.Revision, n.Alive = lastSeen, r.revisions[id], r.mayBeAlive(lastSeen, now)
		}
	}
}

// Demand is the known demand of an account, in requests per second.
type Demand struct {
	// DataCentre is the demand in this data centre, Fleet in all of them.
	DataCentre, Fleet float64
}

// AccountDemand returns the demand of an account.
func (s *Service) AccountDemand(account fleet.AccountName) (d Demand) {
	s.init()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	subject := member.AccountSubject(account)
	for _, o := range s.reports.Origins() {
		report, ok := o.Report(member.Key{Kind: member.KindDemand, Subject: subject})
		if ok && s.isAlive[o.Node.Ref.Name] && now.Sub(report.Observed) <= member.MaxAge {
			d.DataCentre += rateOf(report)
		}
	}
	d.Fleet = d.DataCentre
	for _, r := range s.remote {
		if now.Sub(r.observed) <= member.MaxAge {
			d.Fleet += r.rates[subject]
		}
	}
	return d
}

// PeerDemands returns the demand of an account at each other live node. Only the
// total of another data centre is known, which is split evenly among its live
// nodes.
func (s *Service) PeerDemands(account fleet.AccountName) (list []float64) {
	s.init()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	subject := member.AccountSubject(account)
	for _, name := range s.dataCentreNodes {
		o, ok := s.reports.Origin(name)
		if !ok || name == s.Self.Ref.Name {
			continue
		}
		rate := 0.0
		if report, ok := o.Report(member.Key{Kind: member.KindDemand, Subject: subject}); ok && now.Sub(report.Observed) <= member.MaxAge {
			rate = rateOf(report)
		}
		list = append(list, rate)
	}
	for _, r := range s.remote {
		if now.Sub(r.observed) > member.MaxAge {
			continue
		}
		count := 0
		for _, lastSeen := range r.lastSeen {
			if r.mayBeAlive(lastSeen, now) {
				count++
			}
		}
		for range count {
			list = append(list, r.rates[subject]/float64(count))
		}
	}
	return list
}

// SilentDataCentres returns the data centres without a summary in the last
// RemoteDeadTimeout.
func (s *Service) SilentDataCentres() (list []fleet.DataCentreName) {
	s.init()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.Peers {
		if p.DataCentre == s.Self.DataCentre || slices.Contains(list, p.DataCentre) {
			continue
		}
		if r := s.remote[p.DataCentre]; r == nil || now.Sub(r.observed) > RemoteDeadTimeout {
			list = append(list, p.DataCentre)
		}
	}
	return list
}
