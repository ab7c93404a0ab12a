package peer

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/skylarkloom/skylarkloom/pkg/api/peer/v1"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
)

// remoteState is the state known of another data centre.
type remoteState struct {
	summary
	// lastSeen is when each node incarnation was last listed in a summary.
	lastSeen map[member.IncarnationID]time.Time
	// relayedAt is when this node last relayed a summary.
	relayedAt time.Time
}

// exchangeSummaries exchanges summaries with the data centres for which this
// node is a gateway.
func (s *Service) exchangeSummaries(ctx context.Context, calls *errgroup.Group) {
	s.mu.Lock()
	var peers []Peer
	for _, name := range s.gatewayTargets() {
		if p, ok := s.remotePeer(name); ok {
			peers = append(peers, p)
		}
	}
	s.mu.Unlock()
	configuration := s.revision() == 0
	for _, p := range peers {
		s.startExchange(ctx, calls, p, exchangeOptions{summary: true, configuration: configuration})
	}
}

// gatewayTargets returns the data centres for which this node is a gateway. The
// lock is held.
func (s *Service) gatewayTargets() (list []fleet.DataCentreName) {
	for _, p := range s.Peers {
		if p.DataCentre == s.Self.DataCentre || slices.Contains(list, p.DataCentre) {
			continue
		}
		if s.gatewayRank(p.DataCentre) >= 0 {
			list = append(list, p.DataCentre)
		}
	}
	return list
}

// gatewayRank returns the rank of this node among the gateways to a data centre;
// -1 if it is none of them. The lock is held.
func (s *Service) gatewayRank(name fleet.DataCentreName) int {
	return slices.Index(member.Choose(s.dataCentreNodes, "gateway/"+string(name), gatewayCount), s.Self.Ref.Name)
}

// remotePeer returns a random node of another data centre to exchange with,
// usually one that is considered alive. The lock is held.
func (s *Service) remotePeer(name fleet.DataCentreName) (p Peer, ok bool) {
	var live, candidates []Peer
	now := s.now()
	for _, p := range s.Peers {
		if p.DataCentre != name {
			continue
		}
		candidates = append(candidates, p)
		if s.remoteAlive(name, p.Name, now) {
			live = append(live, p)
		}
	}
	if len(live) > 0 && s.random.Float64() >= deadPeerShare {
		candidates = live
	}
	if len(candidates) == 0 {
		return p, false
	}
	return candidates[s.random.IntN(len(candidates))], true
}

// ownSummary returns the summary of this data centre. The lock is held.
func (s *Service) ownSummary(now time.Time) summary {
	sum := summary{revisions: make(map[member.IncarnationID]fleet.Revision), rates: make(map[member.Subject]float64), observed: now}
	for _, o := range s.reports.Origins() {
		if !s.isAlive[o.Node.Ref.Name] || o.Node.DataCentre != s.Self.DataCentre {
			continue
		}
		sum.revisions[member.IncarnationIDOf(o.Node.Ref)] = o.Revision
		o.Each(func(report member.Report) {
			if report.Key.Kind == member.KindDemand && now.Sub(report.Observed) <= member.MaxAge {
				sum.rates[report.Key.Subject] += rateOf(report)
			}
		})
	}
	return sum
}

// mergeSummary merges a summary of another data centre. The newest rates win;
// the sets of node incarnations are united. The lock is held.
func (s *Service) mergeSummary(message *peerv1.Summary, now time.Time) {
	name := fleet.DataCentreName(message.GetDatacentre())
	if name == s.Self.DataCentre || name == "" {
		return
	}
	sum := summaryFromWire(message, now)
	if now.Sub(sum.observed) > member.MaxAge {
		return
	}
	r := s.remote[name]
	if r == nil {
		r = &remoteState{lastSeen: make(map[member.IncarnationID]time.Time)}
		r.revisions = make(map[member.IncarnationID]fleet.Revision)
		s.remote[name] = r
	}
	for id, revision := range sum.revisions {
		r.revisions[id] = max(r.revisions[id], revision)
		if sum.observed.After(r.lastSeen[id]) {
			r.lastSeen[id] = sum.observed
		}
	}
	if sum.observed.After(r.observed) {
		r.observed, r.rates = sum.observed, sum.rates
	}
	for id, lastSeen := range r.lastSeen {
		if now.Sub(lastSeen) > expiryTimeout {
			delete(r.lastSeen, id)
			delete(r.revisions, id)
		}
	}
}

// mergeRelayedSummary merges a summary that a gateway of this data centre has
// relayed. The lock is held.
func (s *Service) mergeRelayedSummary(report member.Report, now time.Time) {
	message := &peerv1.Summary{}
	if proto.Unmarshal(report.Data, message) != nil {
		return
	}
	message.Age += uint64(max(0, now.Sub(report.Observed).Milliseconds()))
	s.mergeSummary(message, now)
}

// dueRelayReports returns the summaries that this node, as the first gateway,
// relays within its data centre. The lock is held.
func (s *Service) dueRelayReports(now time.Time) (reports []member.Report) {
	for name, r := range s.remote {
		if s.gatewayRank(name) != 0 || now.Sub(r.relayedAt) < relayInterval || now.Sub(r.observed) > relayInterval {
			continue
		}
		r.relayedAt = now
		fresh := summary{revisions: make(map[member.IncarnationID]fleet.Revision), rates: r.rates, observed: now}
		for id, lastSeen := range r.lastSeen {
			if now.Sub(lastSeen) <= relayInterval {
				fresh.revisions[id] = r.revisions[id]
			}
		}
		data, err := proto.Marshal(summaryToWire(name, fresh, now))
		if err != nil {
			continue
		}
		reports = append(reports, member.Report{
			Key:      member.Key{Kind: member.KindSummary, Subject: member.DataCentreSubject(name)},
			Data:     data,
			Observed: r.observed,
		})
	}
	return reports
}
