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

// HandleExchange merges the request of a peer and returns the state that the
// peer lacks.
func (s *Service) HandleExchange(_ context.Context, request *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	s.init()
	if request.GetVersion() < 1 {
		return nil, connect.NewError(connect.CodeFailedPrecondition, &VersionError{Version: request.GetVersion()})
	}
	now, ownRevision := s.now(), s.revision()
	from := nodeFromWire(request.GetFrom())
	response := &peerv1.ExchangeResponse{Version: Version, From: nodeToWire(s.Self), Revision: uint64(ownRevision)}
	change := s.newerConfig(request, ownRevision)
	s.mu.Lock()
	state := s.currentState(from)
	s.addCaller(from, request.GetSequence(), now)
	facts, next := s.missingFacts(request)
	newFacts := s.mergeFacts(request.GetFacts(), now)
	// Skip the facts just merged from the request: the caller has them.
	if len(facts) < maxMessageFacts {
		next = s.facts.NextPosition()
	}
	response.Sequence = s.ownSequence()
	response.Facts = factsToWire(facts)
	response.Facts.Next, response.Facts.Sum = next, s.facts.Checksum()
	state.checksum = request.GetFacts().GetSum()
	s.recordRevision(from.Ref.Name, fleet.Revision(request.GetRevision()), ownRevision, now)
	if request.GetSummary() != nil {
		s.mergeSummary(request.GetSummary(), now)
		response.Summary = summaryToWire(s.Self.DataCentre, s.ownSummary(now), now)
	}
	response.Change = change
	if request.GetDigest() != nil {
		s.addDeltas(response, digestFromWire(request.GetDigest()))
	}
	s.consumeBudget(response, now)
	s.mu.Unlock()
	s.notify(newFacts, nil)
	return response, nil
}

// missingFacts returns the facts that the caller lacks. The lock is held.
func (s *Service) missingFacts(request *peerv1.ExchangeRequest) (facts []member.Fact, next uint64) {
	position := request.GetRead()
	if member.IncarnationID(request.GetLife()) != member.IncarnationIDOf(s.Self.Ref) {
		position = 0
	}
	return s.factsSince(position, request.GetFacts().GetSum())
}

// addDeltas adds the deltas that the sender of the digest lacks, up to the
// available budget: first the heartbeat of each origin, then its reports.
// Origins are added in random order, so that none is starved. The lock is held.
func (s *Service) addDeltas(response *peerv1.ExchangeResponse, digest member.Digest) {
	now := s.now()
	available := s.budget.Available(now) - messageOverheadBytes - proto.Size(response)
	deltas := s.reports.Missing(digest, now)
	s.random.Shuffle(len(deltas), func(i, j int) { deltas[i], deltas[j] = deltas[j], deltas[i] })
	for _, d := range deltas {
		message := deltaToWire(d.Truncate(0), now)
		if proto.Size(message)+deltaFramingBytes > available {
			break
		}
		available -= proto.Size(message) + deltaFramingBytes
		response.Parts = append(response.Parts, message)
	}
	for i, message := range response.Parts {
		available += proto.Size(message)
		response.Parts[i] = truncateToFit(deltas[i], available, now)
		available -= proto.Size(response.Parts[i])
	}
}

// truncateToFit truncates a delta to the available bytes. The heartbeat is
// always included.
func truncateToFit(d member.Delta, available int, now time.Time) *peerv1.Part {
	count := len(d.Reports)
	message := deltaToWire(d, now)
	for proto.Size(message) > available && count > 0 {
		count /= 2
		message = deltaToWire(d.Truncate(count), now)
	}
	return message
}

// newerConfig returns the encoded configuration in force if the caller requests
// it and has a lower revision.
func (s *Service) newerConfig(request *peerv1.ExchangeRequest, ownRevision fleet.Revision) []byte {
	if !request.GetConfiguration() || fleet.Revision(request.GetRevision()) >= ownRevision || s.CurrentConfig == nil {
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

// applyConfig applies a configuration received from a peer if its revision is
// higher.
func (s *Service) applyConfig(data []byte) error {
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
	s.wakePush()
	return nil
}
