package peer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
)

// Suspect is evidence that the content of a request crashes endpoints. Rank
// orders the states of one key. The highest rank wins, and among equal ranks the
// highest count. A caller that needs an exact count uses one key per crash.
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

// firstSeenGranularity is the unit to which the first-seen time of a fact is
// truncated, so that nodes which observe the same event independently publish
// equal facts.
const firstSeenGranularity = 10 * time.Minute

// secondPollerDelay is the time without a report from the first poller of an
// endpoint after which the second poller reports.
const secondPollerDelay = 3 * minLoadInterval

// PublishCondition publishes a condition report: this node's evidence that an
// incarnation of an instance leaves or is gone. It ignores a report of any other
// condition.
func (s *Service) PublishCondition(rep roster.ConditionReport) {
	f := member.Fact{
		Key:  member.FactKey{Topic: member.TopicCondition, Name: string(rep.Instance.ID), Incarnation: rep.Instance.Incarnation},
		Rank: uint32(rep.Condition.Rank()),
	}
	if !rep.Leaves.IsZero() {
		f.Leaves = rep.Leaves.UnixMilli()
	}
	if f.Rank > 0 {
		s.publishFact(f)
	}
}

// PublishSuspect publishes this node's evidence on the content of a request.
func (s *Service) PublishSuspect(v Suspect) {
	s.publishFact(member.Fact{Key: member.FactKey{Topic: member.TopicSuspect, Name: v.Key}, Rank: v.Rank, Count: v.Crashes})
}

func suspectOf(f member.Fact) Suspect {
	return Suspect{Key: f.Key.Name, Crashes: f.Count, Rank: f.Rank}
}

// publishFact merges a fact of this node and pushes it to peers if it is new.
// Facts that were already received from peers are not pushed again.
func (s *Service) publishFact(f member.Fact) {
	s.init()
	now := s.now()
	f.FirstSeen = now.Truncate(firstSeenGranularity).Unix()
	s.mu.Lock()
	known, ok := s.facts.Get(f.Key)
	if ok && f.Leaves == 0 && known.Rank >= f.Rank {
		f.Leaves = known.Leaves
	}
	if ok {
		f.FirstSeen = known.FirstSeen
	}
	added := s.facts.Merge(f, now)
	s.mu.Unlock()
	if added {
		s.wakePush()
	}
}

// ReportLoad adds a load report on an endpoint that this node has polled. The
// report is published with the next heartbeat, unless this node is the second
// poller of the endpoint and the first one has reported recently.
func (s *Service) ReportLoad(i fleet.Instance, data []byte) {
	s.init()
	now := s.now()
	first := s.pollerRank(i) == 0
	s.mu.Lock()
	defer s.mu.Unlock()
	subject := member.InstanceSubject(i.Ref())
	report := member.Report{Key: member.Key{Kind: member.KindLoad, Subject: subject}, Data: data, Observed: now}
	if !first && now.Sub(s.loads[subject].Observed) < secondPollerDelay {
		return
	}
	if first || s.keepNewestLoad(report) {
		s.pendingLoads[subject] = report
	}
	s.keepNewestLoad(report)
}

// Load returns the newest load report on an instance from any node.
func (s *Service) Load(ref fleet.InstanceRef) (l Load, ok bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	report, ok := s.loads[member.InstanceSubject(ref)]
	return Load{Subject: report.Key.Subject, Data: report.Data, Observed: report.Observed}, ok
}

// dueLoadReports returns the load reports that are due, and removes those of
// endpoints that are no longer reported. The lock is held.
func (s *Service) dueLoadReports(now time.Time) (reports []member.Report) {
	for subject, report := range s.pendingLoads {
		if now.Sub(s.loadSentAt[subject]) < minLoadInterval-HeartbeatInterval/2 {
			continue
		}
		s.loadSentAt[subject] = now
		reports = append(reports, report)
		delete(s.pendingLoads, subject)
	}
	for subject, report := range s.loads {
		if now.Sub(report.Observed) > expiryTimeout {
			delete(s.loads, subject)
			delete(s.loadSentAt, subject)
		}
	}
	return reports
}

// demandChangeThreshold is the relative change of a demand from which it is
// reported before demandInterval has passed.
const demandChangeThreshold = 0.1

// dueDemandReports returns reports on the accounts whose demand has changed, and
// on the others every demandInterval. The lock is held.
func (s *Service) dueDemandReports(rates map[fleet.AccountName]float64, now time.Time) (reports []member.Report) {
	for account, rate := range rates {
		subject := member.AccountSubject(account)
		last, known := s.reportedDemand[subject]
		unchanged := math.Abs(rate-last.rate) <= demandChangeThreshold*last.rate
		if known && unchanged && now.Sub(last.at) < demandInterval {
			continue
		}
		if !known && rate == 0 {
			continue
		}
		s.reportedDemand[subject] = reportedRate{rate: rate, at: now}
		reports = append(reports, member.Report{
			Key:      member.Key{Kind: member.KindDemand, Subject: subject},
			Data:     binary.LittleEndian.AppendUint32(nil, math.Float32bits(float32(rate))),
			Observed: now,
		})
	}
	return reports
}

// rateOf returns the rate in a demand report; 0 if it cannot be decoded.
func rateOf(report member.Report) float64 {
	if len(report.Data) != 4 {
		return 0
	}
	rate := float64(math.Float32frombits(binary.LittleEndian.Uint32(report.Data)))
	if math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0
	}
	return max(0, rate)
}
