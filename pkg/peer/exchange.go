package peer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/skylarkloom/skylarkloom/pkg/api/peer/v1"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
)

// purpose tells what an exchange is for.
type purpose struct {
	// reports asks for reports, configuration for the configuration in force.
	reports, configuration bool
	// summary exchanges summaries, between data centres.
	summary bool
	// announce tells of this node's revision.
	announce bool
}

// IdentityError reports that another node answers at a peer's address.
type IdentityError struct {
	Expected, Found fleet.NodeName
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("node %s answers at the address of node %s", e.Found, e.Expected)
}

// VersionError reports a peer whose version of the protocol is not understood.
type VersionError struct{ Version uint32 }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d of the peer protocol is not understood", e.Version)
}

// greet asks some peers at the start, so that a node whose log is down gets the
// configuration at once.
func (s *Service) greet(ctx context.Context, calls *errgroup.Group) {
	s.mu.Lock()
	others := s.sample(s.Peers, maxExchanges)
	s.mu.Unlock()
	for _, p := range others {
		s.begin(ctx, calls, p, purpose{reports: p.DataCentre == s.Self.DataCentre, configuration: true})
	}
}

// pull asks one peer of the same data centre for news, and one that works by a
// higher revision for its configuration if the log does not bring it.
func (s *Service) pull(ctx context.Context, calls *errgroup.Group) {
	p, ok := s.next()
	if ok {
		s.begin(ctx, calls, p, purpose{reports: true, configuration: s.revision() == 0})
	}
	if p, ok := s.ahead(); ok {
		s.begin(ctx, calls, p, purpose{configuration: true})
	}
}

// next chooses a peer of the same data centre: mostly one that lives.
func (s *Service) next() (p Peer, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live, dead []Peer
	for _, p := range s.centrePeers() {
		if s.seen[p.Name] {
			live = append(live, p)
		} else {
			dead = append(dead, p)
		}
	}
	from := live
	if len(dead) > 0 && (len(live) == 0 || s.random.Float64() < deadPeerShare) {
		from = dead
	}
	if len(from) == 0 {
		return p, false
	}
	return from[s.random.IntN(len(from))], true
}

// centrePeers returns the other nodes of this data centre: those that the
// settings name and those that have been heard of. The lock is held.
func (s *Service) centrePeers() (list []Peer) {
	for _, p := range s.Peers {
		if p.DataCentre == s.Self.DataCentre && p.Name != s.Self.Ref.Name {
			list = append(list, p)
		}
	}
	for _, o := range s.reports.Origins() {
		n := o.Node
		if n.DataCentre != s.Self.DataCentre || n.Ref.Name == s.Self.Ref.Name || n.Address == "" {
			continue
		}
		if _, named := s.find(n.Ref.Name); !named {
			list = append(list, Peer{Name: n.Ref.Name, DataCentre: n.DataCentre, Address: n.Address})
		}
	}
	return list
}

// welcome notes a node of this data centre that asks for the first time, so
// that nodes which no settings name are found too. The lock is held.
func (s *Service) welcome(n member.Node, sequence uint64, now time.Time) {
	held, known := s.reports.Origin(n.Ref.Name)
	if n.DataCentre != s.Self.DataCentre || n.Address == "" || sequence == 0 {
		return
	}
	if !known || held.Node.Ref.Incarnation < n.Ref.Incarnation {
		s.reports.Merge(member.Delta{IncarnationID: member.IncarnationIDOf(n.Ref), Node: n, To: 1, Heartbeat: 1}, now)
	}
}

// ahead returns a peer that has worked by a higher revision for a while.
func (s *Service) ahead() (p Peer, ok bool) {
	revision := s.revision()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behind.revision <= revision {
		s.behind = behind{}
		return p, false
	}
	if now.Sub(s.behind.since) < learnAfter {
		return p, false
	}
	s.behind.since = now
	for _, p := range append(s.centrePeers(), s.Peers...) {
		if p.Name == s.behind.peer {
			return p, true
		}
	}
	return p, false
}

func (s *Service) find(name fleet.NodeName) (p Peer, ok bool) {
	i := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return p, false
	}
	return s.Peers[i], true
}

// notice notes a revision that a peer works by. The lock is held.
func (s *Service) notice(peer fleet.NodeName, revision, own fleet.Revision, now time.Time) {
	if revision <= own || revision <= s.behind.revision {
		return
	}
	since := now
	if s.behind.revision > own {
		since = s.behind.since
	}
	s.behind = behind{peer: peer, revision: revision, since: since}
}

// push sends new facts to a few peers at once whenever there are some.
func (s *Service) push(ctx context.Context, calls *errgroup.Group) error {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		announce := s.raised()
		for _, p := range s.targets() {
			s.begin(ctx, calls, p, purpose{announce: announce})
		}
	}
}

// raised reports whether this node's revision has grown since the last call.
func (s *Service) raised() bool {
	revision := s.revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	grown := revision > s.announced
	s.announced = max(s.announced, revision)
	return grown
}

// targets returns to whom new facts go: a few live peers of the data centre
// and, from a gateway, one node of each other data centre.
func (s *Service) targets() (list []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []Peer
	for _, p := range s.centrePeers() {
		if s.seen[p.Name] {
			live = append(live, p)
		}
	}
	list = s.sample(live, pushFanout)
	for _, name := range s.otherCentres() {
		if p, ok := s.partner(name); ok {
			list = append(list, p)
		}
	}
	return list
}

// sample returns up to count peers at random. The lock is held.
func (s *Service) sample(from []Peer, count int) []Peer {
	list := slices.DeleteFunc(slices.Clone(from), func(p Peer) bool { return p.Name == s.Self.Ref.Name })
	s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// alert wakes the push of new facts.
func (s *Service) alert() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// begin runs an exchange unless too many are under way.
func (s *Service) begin(ctx context.Context, calls *errgroup.Group, p Peer, why purpose) {
	calls.TryGo(func() error {
		err := s.exchange(ctx, p, why)
		if err != nil && ctx.Err() == nil && s.OnExchangeError != nil {
			s.OnExchangeError(p, err)
		}
		return nil
	})
}

// Ask exchanges with one peer now and takes in all that it has.
func (s *Service) ExchangeWith(ctx context.Context, p Peer) error {
	s.init()
	return s.exchange(ctx, p, purpose{reports: true, configuration: true})
}

func (s *Service) exchange(ctx context.Context, p Peer, why purpose) (err error) {
	defer func() { err = errors.Wrapf(err, "exchange with %s", p.Name) }()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request, pushed, ok := s.request(p, why)
	if !ok {
		return nil
	}
	response, err := s.Exchange(ctx, p, request)
	s.mu.Lock()
	s.stats.Exchanges++
	if err != nil {
		s.stats.Failures++
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if response.GetVersion() < 1 {
		return &VersionError{Version: response.GetVersion()}
	}
	if found := fleet.NodeName(response.GetFrom().GetName()); found != p.Name {
		return &IdentityError{Expected: p.Name, Found: found}
	}
	return s.accept(p, response, pushed)
}

// request builds the question to a peer; ok is false if there is nothing to
// send or no budget for it. Facts and the configuration are not held back.
func (s *Service) request(p Peer, why purpose) (r *peerv1.ExchangeRequest, pushed uint64, ok bool) {
	now, revision := s.now(), s.revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.peer(p.Name)
	r = &peerv1.ExchangeRequest{
		Version:       Version,
		From:          nodeToWire(s.Self),
		Sequence:      s.sequence(),
		Revision:      uint64(revision),
		Read:          state.read,
		Life:          uint64(state.life),
		Configuration: why.configuration,
	}
	facts, next := s.unread(state.pushed, state.sum)
	r.Facts = factsToWire(facts)
	r.Facts.Sum = s.facts.Checksum()
	if why.summary {
		r.Summary = summaryToWire(s.Self.DataCentre, s.ownSummary(now), now)
	}
	room := s.budget.Available(now) - messageOverhead
	if why.reports && room > 0 {
		r.Digest = digestToWire(s.reports.Digest())
	}
	if r.Digest == nil && !why.configuration && !why.summary && !why.announce && len(facts) == 0 {
		return nil, 0, false
	}
	s.spend(r, now)
	return r, next, true
}

// unread returns the facts that a peer lacks from a position on. The lock is
// held.
func (s *Service) unread(from, sum uint64) (facts []member.Fact, next uint64) {
	if sum == s.facts.Checksum() {
		return nil, s.facts.NextPosition()
	}
	return s.facts.Since(from, maxFacts)
}

// spend charges a message to the budget. The lock is held.
func (s *Service) spend(m proto.Message, now time.Time) {
	size := proto.Size(m)
	s.stats.SentBytes += size
	s.budget.Consume(size+messageOverhead, now)
}

func (s *Service) sequence() uint64 {
	o, _ := s.reports.Origin(s.Self.Ref.Name)
	return o.Sequence
}

// peer returns the state of a peer. The lock is held.
func (s *Service) peer(name fleet.NodeName) *peerState {
	p := s.peers[name]
	if p == nil {
		p = &peerState{}
		s.peers[name] = p
	}
	return p
}

// meet returns the state of a peer in the life that it shows; positions in the
// list of an earlier life mean nothing. The lock is held.
func (s *Service) meet(n member.Node) *peerState {
	p := s.peer(n.Ref.Name)
	life := member.IncarnationIDOf(n.Ref)
	if p.life != life {
		*p = peerState{life: life}
	}
	return p
}

// accept merges a peer's answer.
func (s *Service) accept(p Peer, r *peerv1.ExchangeResponse, pushed uint64) error {
	now, own := s.now(), s.revision()
	from := nodeFromWire(r.GetFrom())
	s.mu.Lock()
	known := s.peer(p.Name).life == member.IncarnationIDOf(from.Ref)
	state := s.meet(from)
	if known {
		state.pushed = pushed
	}
	state.read = r.GetFacts().GetNext()
	state.sum = r.GetFacts().GetSum()
	s.notice(p.Name, fleet.Revision(r.GetRevision()), own, now)
	news := s.mergeFacts(r.GetFacts(), now)
	loads := s.mergeParts(r.GetParts(), own, now)
	if r.GetSummary() != nil {
		s.mergeSummary(r.GetSummary(), now)
	}
	if state.sum == s.facts.Checksum() {
		state.pushed = s.facts.NextPosition()
	}
	s.mu.Unlock()
	s.announce(news, loads)
	return s.learn(r.GetChange())
}

// mergeFacts merges facts and returns the news. The lock is held.
func (s *Service) mergeFacts(w *peerv1.Facts, now time.Time) (news []member.Fact) {
	for _, f := range factsFromWire(w) {
		if s.facts.Merge(f, now) {
			news = append(news, f)
		}
	}
	return news
}

// mergeParts merges reports and returns the loads among the news. The lock is
// held.
func (s *Service) mergeParts(parts []*peerv1.Part, revision fleet.Revision, now time.Time) (loads []member.Report) {
	own := member.IncarnationIDOf(s.Self.Ref)
	for _, w := range parts {
		if member.IncarnationID(w.GetLife()) == own {
			continue
		}
		if name, ok := s.reports.NodeName(member.IncarnationID(w.GetLife())); ok {
			s.notice(name, fleet.Revision(w.GetRevision()), revision, now)
		}
		for _, i := range s.reports.Merge(partFromWire(w, now), now) {
			switch i.Key.Kind {
			case member.KindLoad:
				if s.adoptLoad(i) {
					loads = append(loads, i)
				}
			case member.KindSummary:
				s.relayed(i, now)
			}
		}
	}
	return loads
}

// adoptLoad keeps the newest report on a subject. The lock is held.
func (s *Service) adoptLoad(i member.Report) bool {
	if !i.Observed.After(s.loads[i.Key.Subject].Observed) {
		return false
	}
	s.loads[i.Key.Subject] = i
	return true
}

// announce hands news on to the services of this node and to peers.
func (s *Service) announce(news []member.Fact, loads []member.Report) {
	for _, f := range news {
		switch {
		case f.Key.Topic == member.TopicMark && s.OnMark != nil:
			s.OnMark(markOf(f))
		case f.Key.Topic == member.TopicSuspect && s.OnSuspect != nil:
			s.OnSuspect(suspectOf(f))
		}
	}
	if s.OnLoad != nil {
		for _, i := range loads {
			s.OnLoad(Load{Subject: i.Key.Subject, Data: i.Data, Observed: i.Observed})
		}
	}
	if len(news) > 0 {
		s.alert()
	}
}

func markOf(f member.Fact) roster.Report {
	m := roster.Report{
		Instance:  fleet.InstanceRef{ID: fleet.InstanceID(f.Key.Name), Incarnation: f.Key.Incarnation},
		Condition: fleet.ConditionLeaving,
		Source:    roster.SourcePeer,
	}
	if f.Rank >= uint32(fleet.ConditionGone.Rank()) {
		m.Condition = fleet.ConditionGone
	}
	if f.Leaves != 0 {
		m.Leaves = time.UnixMilli(f.Leaves)
	}
	return m
}
