package peer

import (
	"context"
	"fmt"
	"maps"
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

// exchangeOptions selects the data that an exchange transfers in addition to facts.
type exchangeOptions struct {
	// reports is set to request the reports that this node lacks.
	reports bool
	// configuration is set to request the peer's configuration if it is newer.
	configuration bool
	// summary is set to exchange the summaries of both data centres.
	summary bool
	// revision is set to send this node's revision even if there are no new facts.
	revision bool
}

// IdentityError reports that another node responded at a peer's address.
type IdentityError struct {
	Expected, Found fleet.NodeName
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("node %s responded at the address of node %s", e.Found, e.Expected)
}

// VersionError reports a message with an unsupported version of the protocol.
type VersionError struct{ Version uint32 }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d of the peer protocol is not understood", e.Version)
}

// exchangeAtStart exchanges with some peers at the start, so that a node gets
// the configuration immediately even if the log is unavailable.
func (s *Service) exchangeAtStart(ctx context.Context, calls *errgroup.Group) {
	s.mu.Lock()
	peers := s.sample(s.Peers, maxExchanges)
	s.mu.Unlock()
	for _, p := range peers {
		s.startExchange(ctx, calls, p, exchangeOptions{reports: p.DataCentre == s.Self.DataCentre, configuration: true})
	}
}

// pull requests reports from one peer of the same data centre. If a peer has had
// a higher revision for configRequestDelay, pull also requests its
// configuration, because the log has not delivered it.
func (s *Service) pull(ctx context.Context, calls *errgroup.Group) {
	p, ok := s.pullTarget()
	if ok {
		s.startExchange(ctx, calls, p, exchangeOptions{reports: true, configuration: s.revision() == 0})
	}
	if p, ok := s.peerAhead(); ok {
		s.startExchange(ctx, calls, p, exchangeOptions{configuration: true})
	}
}

// pullTarget chooses a peer of the same data centre, usually a live one. It chooses the
// live peers in turn, in an order that is drawn anew for each turn, so that a report is
// pulled from its origin within as many pulls as there are live peers.
func (s *Service) pullTarget() (p Peer, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make(map[fleet.NodeName]Peer)
	var dead []Peer
	for _, p := range s.dataCentrePeers() {
		if s.isAlive[p.Name] {
			live[p.Name] = p
		} else {
			dead = append(dead, p)
		}
	}
	if len(dead) > 0 && (len(live) == 0 || s.random.Float64() < deadPeerShare) {
		return dead[s.random.IntN(len(dead))], true
	}
	if len(live) == 0 {
		return p, false
	}
	for {
		if len(s.pullOrder) == 0 {
			s.pullOrder = slices.Sorted(maps.Keys(live))
			s.random.Shuffle(len(s.pullOrder), func(i, j int) {
				s.pullOrder[i], s.pullOrder[j] = s.pullOrder[j], s.pullOrder[i]
			})
		}
		name := s.pullOrder[0]
		s.pullOrder = s.pullOrder[1:]
		if p, ok := live[name]; ok {
			return p, true
		}
	}
}

// dataCentrePeers returns the other nodes of this data centre: those listed in
// the settings and those known from reports. The lock is held.
func (s *Service) dataCentrePeers() (list []Peer) {
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
		if _, configured := s.configuredPeer(n.Ref.Name); !configured {
			list = append(list, Peer{Name: n.Ref.Name, DataCentre: n.DataCentre, Address: n.Address})
		}
	}
	return list
}

// addCaller adds a node of this data centre on its first request, so that nodes
// not listed in the settings are found too. The lock is held.
func (s *Service) addCaller(n member.Node, sequence uint64, now time.Time) {
	origin, known := s.reports.Origin(n.Ref.Name)
	if n.DataCentre != s.Self.DataCentre || n.Address == "" || sequence == 0 {
		return
	}
	if !known || origin.Node.Ref.Incarnation < n.Ref.Incarnation {
		s.reports.Merge(member.Delta{IncarnationID: member.IncarnationIDOf(n.Ref), Node: n, To: 1, Heartbeat: 1}, now)
	}
}

// peerAhead returns a peer that has had a higher revision for at least
// configRequestDelay, and restarts the delay.
func (s *Service) peerAhead() (p Peer, ok bool) {
	revision := s.revision()
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ahead.revision <= revision {
		s.ahead = aheadPeer{}
		return p, false
	}
	if now.Sub(s.ahead.since) < configRequestDelay {
		return p, false
	}
	s.ahead.since = now
	for _, p := range append(s.dataCentrePeers(), s.Peers...) {
		if p.Name == s.ahead.peer {
			return p, true
		}
	}
	return p, false
}

func (s *Service) configuredPeer(name fleet.NodeName) (p Peer, ok bool) {
	i := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return p, false
	}
	return s.Peers[i], true
}

// recordRevision records the revision of a peer if it is higher than this
// node's and than the highest one recorded. The lock is held.
func (s *Service) recordRevision(peer fleet.NodeName, revision, ownRevision fleet.Revision, now time.Time) {
	if revision <= ownRevision || revision <= s.ahead.revision {
		return
	}
	since := now
	if s.ahead.revision > ownRevision {
		since = s.ahead.since
	}
	s.ahead = aheadPeer{peer: peer, revision: revision, since: since}
}

// push sends new facts to a few peers whenever it is woken.
func (s *Service) push(ctx context.Context, calls *errgroup.Group) error {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		raised := s.revisionRaised()
		for _, p := range s.pushTargets() {
			s.startExchange(ctx, calls, p, exchangeOptions{revision: raised})
		}
	}
}

// revisionRaised reports whether this node's revision has grown since the last
// call.
func (s *Service) revisionRaised() bool {
	revision := s.revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	raised := revision > s.pushedRevision
	s.pushedRevision = max(s.pushedRevision, revision)
	return raised
}

// pushTargets returns the peers to which new facts are pushed: a few live peers
// of the data centre and, on a gateway, one node of each of its remote data
// centres.
func (s *Service) pushTargets() (list []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []Peer
	for _, p := range s.dataCentrePeers() {
		if s.isAlive[p.Name] {
			live = append(live, p)
		}
	}
	list = s.sample(live, pushFanout)
	for _, name := range s.gatewayTargets() {
		if p, ok := s.remotePeer(name); ok {
			list = append(list, p)
		}
	}
	return list
}

// sample returns up to count random peers. The lock is held.
func (s *Service) sample(from []Peer, count int) []Peer {
	list := slices.DeleteFunc(slices.Clone(from), func(p Peer) bool { return p.Name == s.Self.Ref.Name })
	s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// wakePush makes push send the new facts and the revision. It does not block.
func (s *Service) wakePush() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// startExchange starts an exchange unless maxExchanges are in flight.
func (s *Service) startExchange(ctx context.Context, calls *errgroup.Group, p Peer, options exchangeOptions) {
	calls.TryGo(func() error {
		err := s.exchange(ctx, p, options)
		if err != nil && ctx.Err() == nil && s.OnExchangeError != nil {
			s.OnExchangeError(p, err)
		}
		return nil
	})
}

// ExchangeWith exchanges with one peer immediately and merges its reports, facts
// and configuration.
func (s *Service) ExchangeWith(ctx context.Context, p Peer) error {
	s.init()
	return s.exchange(ctx, p, exchangeOptions{reports: true, configuration: true})
}

func (s *Service) exchange(ctx context.Context, p Peer, options exchangeOptions) (err error) {
	defer func() { err = errors.Wrapf(err, "exchange with %s", p.Name) }()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request, pushed, ok := s.buildRequest(p, options)
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
	return s.mergeResponse(p, response, pushed)
}

// buildRequest builds the request to a peer, and returns the position up to which
// the peer will then have this node's facts; ok is false if there is nothing to
// send or no budget for it. Only reports depend on the budget.
func (s *Service) buildRequest(p Peer, options exchangeOptions) (request *peerv1.ExchangeRequest, pushed uint64, ok bool) {
	now, revision := s.now(), s.revision()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(p.Name)
	request = &peerv1.ExchangeRequest{
		Version:       Version,
		From:          nodeToWire(s.Self),
		Sequence:      s.ownSequence(),
		Revision:      uint64(revision),
		Read:          state.read,
		Life:          uint64(state.incarnationID),
		Configuration: options.configuration,
	}
	facts, next := s.factsSince(state.pushed, state.checksum)
	request.Facts = factsToWire(facts)
	request.Facts.Sum = s.facts.Checksum()
	if options.summary {
		request.Summary = summaryToWire(s.Self.DataCentre, s.ownSummary(now), now)
	}
	available := s.budget.Available(now) - messageOverheadBytes
	if options.reports && available > 0 {
		request.Digest = digestToWire(s.reports.Digest())
	}
	if request.Digest == nil && !options.configuration && !options.summary && !options.revision && len(facts) == 0 {
		return nil, 0, false
	}
	s.consumeBudget(request, now)
	return request, next, true
}

// factsSince returns the facts from a position on for a peer whose facts have
// the given checksum, and none if the checksums agree. The lock is held.
func (s *Service) factsSince(position, checksum uint64) (facts []member.Fact, next uint64) {
	if checksum == s.facts.Checksum() {
		return nil, s.facts.NextPosition()
	}
	return s.facts.Since(position, maxMessageFacts)
}

// consumeBudget charges a message to the budget. The lock is held.
func (s *Service) consumeBudget(m proto.Message, now time.Time) {
	size := proto.Size(m)
	s.stats.SentBytes += size
	s.budget.Consume(size+messageOverheadBytes, now)
}

func (s *Service) ownSequence() uint64 {
	o, _ := s.reports.Origin(s.Self.Ref.Name)
	return o.Sequence
}

// stateOf returns the state of a peer. The lock is held.
func (s *Service) stateOf(name fleet.NodeName) *peerState {
	p := s.states[name]
	if p == nil {
		p = &peerState{}
		s.states[name] = p
	}
	return p
}

// currentState returns the state of a peer. It resets the state if the peer has
// another incarnation than before, because positions in its facts are then
// invalid. The lock is held.
func (s *Service) currentState(n member.Node) *peerState {
	p := s.stateOf(n.Ref.Name)
	id := member.IncarnationIDOf(n.Ref)
	if p.incarnationID != id {
		*p = peerState{incarnationID: id}
	}
	return p
}

// mergeResponse merges the response of a peer.
func (s *Service) mergeResponse(p Peer, response *peerv1.ExchangeResponse, pushed uint64) error {
	now, ownRevision := s.now(), s.revision()
	from := nodeFromWire(response.GetFrom())
	s.mu.Lock()
	sameIncarnation := s.stateOf(p.Name).incarnationID == member.IncarnationIDOf(from.Ref)
	state := s.currentState(from)
	if sameIncarnation {
		state.pushed = pushed
	}
	state.read = response.GetFacts().GetNext()
	state.checksum = response.GetFacts().GetSum()
	s.recordRevision(p.Name, fleet.Revision(response.GetRevision()), ownRevision, now)
	newFacts := s.mergeFacts(response.GetFacts(), now)
	loads := s.mergeDeltas(response.GetParts(), ownRevision, now)
	if response.GetSummary() != nil {
		s.mergeSummary(response.GetSummary(), now)
	}
	if state.checksum == s.facts.Checksum() {
		state.pushed = s.facts.NextPosition()
	}
	s.mu.Unlock()
	s.notify(newFacts, loads)
	return s.applyConfig(response.GetChange())
}

// mergeFacts merges facts and returns those that were new. The lock is held.
func (s *Service) mergeFacts(message *peerv1.Facts, now time.Time) (newFacts []member.Fact) {
	for _, f := range factsFromWire(message) {
		if s.facts.Merge(f, now) {
			newFacts = append(newFacts, f)
		}
	}
	return newFacts
}

// mergeDeltas merges reports and returns the load reports that were new. The
// lock is held.
func (s *Service) mergeDeltas(messages []*peerv1.Part, ownRevision fleet.Revision, now time.Time) (loads []member.Report) {
	own := member.IncarnationIDOf(s.Self.Ref)
	for _, message := range messages {
		if member.IncarnationID(message.GetLife()) == own {
			continue
		}
		if name, ok := s.reports.NodeName(member.IncarnationID(message.GetLife())); ok {
			s.recordRevision(name, fleet.Revision(message.GetRevision()), ownRevision, now)
		}
		for _, report := range s.reports.Merge(deltaFromWire(message, now), now) {
			switch report.Key.Kind {
			case member.KindLoad:
				if s.keepNewestLoad(report) {
					loads = append(loads, report)
				}
			case member.KindSummary:
				s.mergeRelayedSummary(report, now)
			}
		}
	}
	return loads
}

// keepNewestLoad stores a load report if it is the newest on its subject, and
// reports whether it did. The lock is held.
func (s *Service) keepNewestLoad(report member.Report) bool {
	if !report.Observed.After(s.loads[report.Key.Subject].Observed) {
		return false
	}
	s.loads[report.Key.Subject] = report
	return true
}

// notify calls the callbacks for new facts and load reports, and wakes push if
// there are new facts.
func (s *Service) notify(facts []member.Fact, loads []member.Report) {
	for _, f := range facts {
		switch {
		case f.Key.Topic == member.TopicCondition && s.OnCondition != nil:
			s.OnCondition(conditionReportOf(f))
		case f.Key.Topic == member.TopicSuspect && s.OnSuspect != nil:
			s.OnSuspect(suspectOf(f))
		}
	}
	if s.OnLoad != nil {
		for _, report := range loads {
			s.OnLoad(Load{Subject: report.Key.Subject, Data: report.Data, Observed: report.Observed})
		}
	}
	if len(facts) > 0 {
		s.wakePush()
	}
}

// conditionReportOf returns a condition report of a peer as a report for the roster.
func conditionReportOf(f member.Fact) roster.ConditionReport {
	rep := roster.ConditionReport{
		Instance:  fleet.InstanceRef{ID: fleet.InstanceID(f.Key.Name), Incarnation: f.Key.Incarnation},
		Condition: fleet.ConditionLeaving,
		Source:    roster.SourcePeer,
	}
	if f.Rank >= uint32(fleet.ConditionGone.Rank()) {
		rep.Condition = fleet.ConditionGone
	}
	if f.Leaves != 0 {
		rep.Leaves = time.UnixMilli(f.Leaves)
	}
	return rep
}
