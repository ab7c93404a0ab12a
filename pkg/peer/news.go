package peer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
)

// Suspect is evidence that a request's content crashes endpoints. Rank orders
// the states of one key; the highest rank, and of equal ranks the highest
// count, wins everywhere. An owner that needs an exact count makes one key of
// each crash.
type Suspect struct {
	Key     string
	Crashes uint32
	Rank    uint32
}

// Load is a load report on an endpoint.
type Load struct {
	Subject  member.Subject
	Data     []byte
	Observed time.Time
}

// bornUnit is how coarsely the birth of a fact is told, so that nodes that see
// the same thing by themselves say the same.
const bornUnit = 10 * time.Minute

// secondReport is after how long without a report of the first poller of an
// endpoint the second one reports.
const secondReport = 3 * loadEvery

// Mark spreads this node's evidence on an instance.
func (s *Service) PublishMark(m roster.Report) {
	f := member.Fact{
		Key:  member.FactKey{Topic: member.TopicMark, Name: string(m.Instance.ID), Incarnation: m.Instance.Incarnation},
		Rank: uint32(m.Condition.Rank()),
	}
	if !m.Leaves.IsZero() {
		f.Leaves = m.Leaves.UnixMilli()
	}
	if f.Rank > 0 {
		s.spread(f)
	}
}

// Suspect spreads this node's evidence on a request's content.
func (s *Service) PublishSuspect(v Suspect) {
	s.spread(member.Fact{Key: member.FactKey{Topic: member.TopicSuspect, Name: v.Key}, Rank: v.Rank, Count: v.Crashes})
}

func suspectOf(f member.Fact) Suspect {
	return Suspect{Key: f.Key.Name, Crashes: f.Count, Rank: f.Rank}
}

// spread merges a fact of this node and pushes it to peers if it is news. What
// peers have said already is not said again.
func (s *Service) spread(f member.Fact) {
	s.init()
	now := s.now()
	f.FirstSeen = now.Truncate(bornUnit).Unix()
	s.mu.Lock()
	known, ok := s.facts.Get(f.Key)
	if ok && f.Leaves == 0 && known.Rank >= f.Rank {
		f.Leaves = known.Leaves
	}
	if ok {
		f.FirstSeen = known.FirstSeen
	}
	news := s.facts.Merge(f, now)
	s.mu.Unlock()
	if news {
		s.alert()
	}
}

// Report hands in a load report on an endpoint that this node has polled. It
// goes to the peers with the next heartbeat, unless the endpoint's first poller
// has reported just now.
func (s *Service) ReportLoad(i fleet.Instance, data []byte) {
	s.init()
	now := s.now()
	first := s.poller(i) == 0
	s.mu.Lock()
	defer s.mu.Unlock()
	subject := member.InstanceSubject(i.Ref())
	item := member.Report{Key: member.Key{Kind: member.KindLoad, Subject: subject}, Data: data, Observed: now}
	if !first && now.Sub(s.loads[subject].Observed) < secondReport {
		return
	}
	if first || s.adoptLoad(item) {
		s.pending[subject] = item
	}
	s.adoptLoad(item)
}

// Load returns the newest load report on an instance that came from any node.
func (s *Service) Load(ref fleet.InstanceRef) (l Load, ok bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.loads[member.InstanceSubject(ref)]
	return Load{Subject: i.Key.Subject, Data: i.Data, Observed: i.Observed}, ok
}

// loadItems returns the load reports that are due, and forgets those on
// endpoints that are no longer reported. The lock is held.
func (s *Service) loadItems(now time.Time) (items []member.Report) {
	for subject, i := range s.pending {
		if now.Sub(s.told[subject]) < loadEvery-HeartbeatInterval/2 {
			continue
		}
		s.told[subject] = now
		items = append(items, i)
		delete(s.pending, subject)
	}
	for subject, i := range s.loads {
		if now.Sub(i.Observed) > forgetAfter {
			delete(s.loads, subject)
			delete(s.told, subject)
		}
	}
	return items
}

// demandChange is by which share a demand must change to be reported early.
const demandChange = 0.1

// demandItems returns reports on the accounts whose demand has changed, and on
// the others now and then. The lock is held.
func (s *Service) demandItems(rates map[fleet.AccountName]float64, now time.Time) (items []member.Report) {
	for account, rate := range rates {
		subject := member.AccountSubject(account)
		last, known := s.demand[subject]
		steady := math.Abs(rate-last.rate) <= demandChange*last.rate
		if known && steady && now.Sub(last.at) < demandEvery {
			continue
		}
		if !known && rate == 0 {
			continue
		}
		s.demand[subject] = reported{rate: rate, at: now}
		items = append(items, member.Report{
			Key:      member.Key{Kind: member.KindDemand, Subject: subject},
			Data:     binary.LittleEndian.AppendUint32(nil, math.Float32bits(float32(rate))),
			Observed: now,
		})
	}
	return items
}

// rateOf returns the rate in a demand report; 0 if it cannot be read.
func rateOf(i member.Report) float64 {
	if len(i.Data) != 4 {
		return 0
	}
	rate := float64(math.Float32frombits(binary.LittleEndian.Uint32(i.Data)))
	if math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0
	}
	return max(0, rate)
}
