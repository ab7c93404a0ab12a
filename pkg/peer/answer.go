package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/skylarkloom/skylarkloom/pkg/api/peer/v1"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
)

// Answer merges a peer's question and returns what the peer does not hold.
func (s *Service) HandleExchange(_ context.Context, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	s.init()
	if r.GetVersion() < 1 {
		return nil, connect.NewError(connect.CodeFailedPrecondition, &VersionError{Version: r.GetVersion()})
	}
	now, own := s.now(), s.revision()
	from := nodeFromWire(r.GetFrom())
	w := &peerv1.ExchangeResponse{Version: Version, From: nodeToWire(s.Self), Revision: uint64(own)}
	change := s.change(r, own)
	s.mu.Lock()
	state := s.meet(from)
	s.welcome(from, r.GetSequence(), now)
	facts, next := s.factsFor(r)
	news := s.mergeFacts(r.GetFacts(), now)
	if len(facts) < maxFacts {
		next = s.facts.NextPosition()
	}
	w.Sequence = s.sequence()
	w.Facts = factsToWire(facts)
	w.Facts.Next, w.Facts.Sum = next, s.facts.Checksum()
	state.sum = r.GetFacts().GetSum()
	s.notice(from.Ref.Name, fleet.Revision(r.GetRevision()), own, now)
	if r.GetSummary() != nil {
		s.mergeSummary(r.GetSummary(), now)
		w.Summary = summaryToWire(s.Self.DataCentre, s.ownSummary(now), now)
	}
	w.Change = change
	if r.GetDigest() != nil {
		s.fill(w, digestFromWire(r.GetDigest()))
	}
	s.spend(w, now)
	s.mu.Unlock()
	s.announce(news, nil)
	return w, nil
}

// factsFor returns the facts that the asker lacks. The lock is held.
func (s *Service) factsFor(r *peerv1.ExchangeRequest) (facts []member.Fact, next uint64) {
	read := r.GetRead()
	if member.IncarnationID(r.GetLife()) != member.IncarnationIDOf(s.Self.Ref) {
		read = 0
	}
	return s.unread(read, r.GetFacts().GetSum())
}

// fill adds reports that the holder of the digest lacks, as far as the budget
// goes: first the heartbeat of each origin, then items. Origins come in random
// order, so that none is starved. The lock is held.
func (s *Service) fill(w *peerv1.ExchangeResponse, d member.Digest) {
	now := s.now()
	room := s.budget.Available(now) - messageOverhead - proto.Size(w)
	parts := s.reports.Missing(d, now)
	s.random.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	for _, p := range parts {
		part := partToWire(p.Truncate(0), now)
		if proto.Size(part)+partFraming > room {
			break
		}
		room -= proto.Size(part) + partFraming
		w.Parts = append(w.Parts, part)
	}
	for i, beat := range w.Parts {
		room += proto.Size(beat)
		w.Parts[i] = fit(parts[i], room, now)
		room -= proto.Size(w.Parts[i])
	}
}

// fit returns as much of a part as there is room for, its heartbeat at least.
func fit(p member.Delta, room int, now time.Time) *peerv1.Part {
	items := len(p.Reports)
	part := partToWire(p, now)
	for proto.Size(part) > room && items > 0 {
		items /= 2
		part = partToWire(p.Truncate(items), now)
	}
	return part
}

// change returns the configuration in force if the asker wants it and works by
// a lower revision.
func (s *Service) change(r *peerv1.ExchangeRequest, own fleet.Revision) []byte {
	if !r.GetConfiguration() || fleet.Revision(r.GetRevision()) >= own || s.CurrentConfig == nil {
		return nil
	}
	c, ok := s.CurrentConfig()
	if !ok {
		return nil
	}
	data, err := record.Marshal(c)
	if err != nil {
		return nil
	}
	return data
}

// learn takes in a configuration that a peer sent.
func (s *Service) learn(data []byte) error {
	if len(data) == 0 || s.ApplyConfig == nil {
		return nil
	}
	var c config.Change
	if err := record.Unmarshal(data, &c); err != nil {
		return err
	}
	if c.Revision <= s.revision() {
		return nil
	}
	if err := s.ApplyConfig(c); err != nil {
		return err
	}
	s.mu.Lock()
	s.stats.ConfigsReceived++
	s.mu.Unlock()
	s.alert()
	return nil
}
