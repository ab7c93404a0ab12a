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

// remoteState is what is known of another data centre.
type remoteState struct {
	summary
	// heard is when each life was last named by a summary.
	heard map[member.IncarnationID]time.Time
	// relayed is when this node last passed a summary on.
	relayed time.Time
}

// carry exchanges summaries with the data centres for which this node is a
// gateway.
func (s *Service) carry(ctx context.Context, calls *errgroup.Group) {
	s.mu.Lock()
	var partners []Peer
	for _, name := range s.otherCentres() {
		if p, ok := s.partner(name); ok {
			partners = append(partners, p)
		}
	}
	s.mu.Unlock()
	configuration := s.revision() == 0
	for _, p := range partners {
		s.begin(ctx, calls, p, purpose{summary: true, configuration: configuration})
	}
}

// otherCentres returns the data centres for which this node is a gateway. The
// lock is held.
func (s *Service) otherCentres() (list []fleet.DataCentreName) {
	for _, p := range s.Peers {
		if p.DataCentre == s.Self.DataCentre || slices.Contains(list, p.DataCentre) {
			continue
		}
		if s.gateway(p.DataCentre) >= 0 {
			list = append(list, p.DataCentre)
		}
	}
	return list
}

// gateway returns which of the gateways to a data centre this node is; -1 if
// none. The lock is held.
func (s *Service) gateway(name fleet.DataCentreName) int {
	return slices.Index(member.Choose(s.centre, "gateway/"+string(name), gateways), s.Self.Ref.Name)
}

// partner returns a node of another data centre to exchange with: one that its
// last summary names, if any. The lock is held.
func (s *Service) partner(name fleet.DataCentreName) (p Peer, ok bool) {
	var live, all []Peer
	now := s.now()
	for _, p := range s.Peers {
		if p.DataCentre != name {
			continue
		}
		all = append(all, p)
		if s.remoteAlive(name, p.Name, now) {
			live = append(live, p)
		}
	}
	if len(live) > 0 && s.random.Float64() >= deadPeerShare {
		all = live
	}
	if len(all) == 0 {
		return p, false
	}
	return all[s.random.IntN(len(all))], true
}

// ownSummary sums up this data centre. The lock is held.
func (s *Service) ownSummary(now time.Time) summary {
	sum := summary{lives: make(map[member.IncarnationID]fleet.Revision), rates: make(map[member.Subject]float64), observed: now}
	for _, o := range s.reports.Origins() {
		if !s.seen[o.Node.Ref.Name] || o.Node.DataCentre != s.Self.DataCentre {
			continue
		}
		sum.lives[member.IncarnationIDOf(o.Node.Ref)] = o.Revision
		o.Each(func(i member.Report) {
			if i.Key.Kind == member.KindDemand && now.Sub(i.Observed) <= member.MaxAge {
				sum.rates[i.Key.Subject] += rateOf(i)
			}
		})
	}
	return sum
}

// mergeSummary takes in what is said of another data centre. The newest rates
// win; lives are united. The lock is held.
func (s *Service) mergeSummary(w *peerv1.Summary, now time.Time) {
	name := fleet.DataCentreName(w.GetDatacentre())
	if name == s.Self.DataCentre || name == "" {
		return
	}
	sum := summaryFromWire(w, now)
	if now.Sub(sum.observed) > member.MaxAge {
		return
	}
	r := s.remote[name]
	if r == nil {
		r = &remoteState{heard: make(map[member.IncarnationID]time.Time)}
		r.lives = make(map[member.IncarnationID]fleet.Revision)
		s.remote[name] = r
	}
	for life, revision := range sum.lives {
		r.lives[life] = max(r.lives[life], revision)
		if sum.observed.After(r.heard[life]) {
			r.heard[life] = sum.observed
		}
	}
	if sum.observed.After(r.observed) {
		r.observed, r.rates = sum.observed, sum.rates
	}
	for life, heard := range r.heard {
		if now.Sub(heard) > forgetAfter {
			delete(r.heard, life)
			delete(r.lives, life)
		}
	}
}

// relayed takes in a summary that a gateway of this data centre passes on. The
// lock is held.
func (s *Service) relayed(i member.Report, now time.Time) {
	w := &peerv1.Summary{}
	if proto.Unmarshal(i.Data, w) != nil {
		return
	}
	w.Age += uint64(max(0, now.Sub(i.Observed).Milliseconds()))
	s.mergeSummary(w, now)
}

// relayItems returns the summaries that this node, as the first gateway, passes
// on to its data centre. The lock is held.
func (s *Service) relayItems(now time.Time) (items []member.Report) {
	for name, r := range s.remote {
		if s.gateway(name) != 0 || now.Sub(r.relayed) < relayEvery || now.Sub(r.observed) > relayEvery {
			continue
		}
		r.relayed = now
		fresh := summary{lives: make(map[member.IncarnationID]fleet.Revision), rates: r.rates, observed: now}
		for life, heard := range r.heard {
			if now.Sub(heard) <= relayEvery {
				fresh.lives[life] = r.lives[life]
			}
		}
		data, err := proto.Marshal(summaryToWire(name, fresh, now))
		if err != nil {
			continue
		}
		items = append(items, member.Report{
			Key:      member.Key{Kind: member.KindSummary, Subject: member.DataCentreSubject(name)},
			Data:     data,
			Observed: r.observed,
		})
	}
	return items
}
