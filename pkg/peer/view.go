package peer

import (
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// change is a node that came to be seen as alive or dead.
type change struct {
	node  member.Node
	alive bool
}

// refresh works out anew which nodes live. The lock is held.
func (s *Service) refresh(now time.Time) (changes []change) {
	own := s.Self.Ref.Name
	s.deadAfter = max(DeadTimeout, deadAfterNode*time.Duration(len(s.centrePeers())+1))
	s.centre = []fleet.NodeName{own}
	for _, o := range s.reports.Origins() {
		name := o.Node.Ref.Name
		alive := name == own || now.Sub(o.LastSeen) < s.deadAfter
		if alive != s.seen[name] && name != own {
			changes = append(changes, change{node: o.Node, alive: alive})
		}
		s.seen[name] = alive
		if alive && name != own && o.Node.DataCentre == s.Self.DataCentre {
			s.centre = append(s.centre, name)
		}
	}
	s.centre = sortNames(s.centre)
	s.live = slices.Clone(s.centre)
	for _, p := range s.Peers {
		if p.DataCentre != s.Self.DataCentre && s.remoteAlive(p.DataCentre, p.Name, now) {
			s.live = append(s.live, p.Name)
		}
	}
	s.live = sortNames(s.live)
	return changes
}

// remoteAlive reports whether any life of a node of another data centre is
// believed to live. The lock is held.
func (s *Service) remoteAlive(centre fleet.DataCentreName, name fleet.NodeName, now time.Time) bool {
	r := s.remote[centre]
	if r == nil {
		return false
	}
	part := member.NameHash(name)
	for life, heard := range r.heard {
		if life.NameHash() == part && r.recent(heard, now) {
			return true
		}
	}
	return false
}

// recent reports whether a life last named at a time may still live: until
// summaries go on without it, or nothing was heard for long.
func (r *remoteState) recent(heard, now time.Time) bool {
	return r.observed.Sub(heard) < RemoteDeadTimeout && now.Sub(heard) < SilentTimeout
}

// Alive reports whether one life of a node is believed to live. A wrong answer
// costs work, never correctness.
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
		return !newer && now.Sub(o.LastSeen) < s.deadAfter
	}
	life := member.IncarnationIDOf(n)
	for _, r := range s.remote {
		if heard, ok := r.heard[life]; ok {
			return r.recent(heard, now)
		}
	}
	if now.Sub(s.started) < startGrace {
		return true
	}
	return s.unheard(n.Name, now)
}

// unheard reports whether a node that no report names may live all the same,
// because its data centre has not been heard of. The lock is held.
func (s *Service) unheard(name fleet.NodeName, now time.Time) bool {
	p, ok := s.find(name)
	if !ok || p.DataCentre == s.Self.DataCentre {
		return false
	}
	return s.remote[p.DataCentre] == nil && now.Sub(s.started) < SilentTimeout
}

// Candidate reports whether this node is the one of the living nodes to take an
// order over.
func (s *Service) Candidate(ref fleet.KeyRef) bool {
	return s.Chosen("order/" + string(ref.Account) + "/" + string(ref.Key))
}

// Mine reports whether this node is one of the two that poll an endpoint.
func (s *Service) IsPoller(i fleet.Instance) bool { return s.poller(i) >= 0 }

// poller returns which of an endpoint's pollers this node is; -1 if none. They
// are nodes of its data centre, or of any if none of those lives.
func (s *Service) poller(i fleet.Instance) int {
	s.init()
	s.mu.Lock()
	nodes := s.live
	if i.DataCentre == s.Self.DataCentre {
		nodes = s.centre
	} else if there := s.liveIn(i.DataCentre); len(there) > 0 {
		nodes = there
	}
	s.mu.Unlock()
	return slices.Index(member.Choose(nodes, "poll/"+string(i.ID), pollers), s.Self.Ref.Name)
}

// liveIn returns the living nodes of another data centre. The lock is held.
func (s *Service) liveIn(name fleet.DataCentreName) (nodes []fleet.NodeName) {
	for _, p := range s.Peers {
		if p.DataCentre == name && slices.Contains(s.live, p.Name) {
			nodes = append(nodes, p.Name)
		}
	}
	return nodes
}

// Writer returns the node of this data centre that appends to a stream for the
// others; ok is false if it is this node.
func (s *Service) Writer(stream platform.StreamName) (p Peer, ok bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := member.Choose(s.centre, "write/"+string(stream), 1)
	for _, p := range s.centrePeers() {
		if p.Name == chosen[0] {
			return p, true
		}
	}
	return p, false
}

// Nodes returns what is known of every node, this one included.
func (s *Service) Nodes() (list []operate.Node) {
	s.init()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.reports.Origins() {
		n := operate.Node{Name: o.Node.Ref.Name, DataCentre: o.Node.DataCentre, Revision: o.Revision, Heard: o.LastSeen, Alive: s.seen[o.Node.Ref.Name]}
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

// describe fills in what summaries tell of a node.
func (r *remoteState) describe(n *operate.Node, now time.Time) {
	part := member.NameHash(n.Name)
	for life, heard := range r.heard {
		if life.NameHash() == part && heard.After(n.Heard) {
			n.Heard, n.Revision, n.Alive = heard, r.lives[life], r.recent(heard, now)
		}
	}
}

// Demand is the requests a second of an account, as far as is known.
type Demand struct {
	// Centre is the demand in this data centre, Fleet in all of them.
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
		i, ok := o.Report(member.Key{Kind: member.KindDemand, Subject: subject})
		if ok && s.seen[o.Node.Ref.Name] && now.Sub(i.Observed) <= member.MaxAge {
			d.DataCentre += rateOf(i)
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

// Demands returns the demand of an account at each other node that lives. That
// of another data centre is known as a whole and counts as even.
func (s *Service) PeerDemands(account fleet.AccountName) (list []float64) {
	s.init()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	subject := member.AccountSubject(account)
	for _, name := range s.centre {
		o, ok := s.reports.Origin(name)
		if !ok || name == s.Self.Ref.Name {
			continue
		}
		rate := 0.0
		if i, ok := o.Report(member.Key{Kind: member.KindDemand, Subject: subject}); ok && now.Sub(i.Observed) <= member.MaxAge {
			rate = rateOf(i)
		}
		list = append(list, rate)
	}
	for _, r := range s.remote {
		if now.Sub(r.observed) > member.MaxAge {
			continue
		}
		count := 0
		for _, heard := range r.heard {
			if r.recent(heard, now) {
				count++
			}
		}
		for range count {
			list = append(list, r.rates[subject]/float64(count))
		}
	}
	return list
}

// Silent returns the data centres of which nothing was heard lately.
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
