package peer

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/skylarkloom/skylarkloom/pkg/api/peer/v1"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
)

// The numbers of report kinds in messages.
var (
	kindNumbers = map[member.Kind]uint32{member.KindLoad: 1, member.KindDemand: 2, member.KindSummary: 3}
	kindNames   = map[uint32]member.Kind{1: member.KindLoad, 2: member.KindDemand, 3: member.KindSummary}
)

func nodeToWire(n member.Node) *peerv1.Node {
	return &peerv1.Node{
		Name:        string(n.Ref.Name),
		Incarnation: uint64(n.Ref.Incarnation),
		Datacentre:  string(n.DataCentre),
		Address:     n.Address,
	}
}

func nodeFromWire(n *peerv1.Node) member.Node {
	return member.Node{
		Ref:        fleet.NodeRef{Name: fleet.NodeName(n.GetName()), Incarnation: fleet.Incarnation(n.GetIncarnation())},
		DataCentre: fleet.DataCentreName(n.GetDatacentre()),
		Address:    n.GetAddress(),
	}
}

func digestToWire(d member.Digest) *peerv1.Digest {
	w := &peerv1.Digest{}
	for id, sequence := range d {
		w.Lives = append(w.Lives, uint64(id))
		w.Sequences = append(w.Sequences, sequence)
	}
	return w
}

func digestFromWire(w *peerv1.Digest) member.Digest {
	d := make(member.Digest, len(w.GetLives()))
	for i, id := range w.GetLives() {
		if i < len(w.GetSequences()) {
			d[member.IncarnationID(id)] = w.GetSequences()[i]
		}
	}
	return d
}

func deltaToWire(d member.Delta, now time.Time) *peerv1.Part {
	w := &peerv1.Part{Life: uint64(d.IncarnationID), From: d.From, To: d.To, Revision: uint64(d.Revision), Beat: d.Heartbeat}
	if d.Node.Ref.Name != "" {
		w.Node = nodeToWire(d.Node)
	}
	for _, report := range d.Reports {
		w.Items = append(w.Items, &peerv1.Item{
			Kind:     kindNumbers[report.Key.Kind],
			Subject:  uint64(report.Key.Subject),
			Sequence: report.Sequence,
			Age:      uint64(max(0, now.Sub(report.Observed).Milliseconds())),
			Data:     report.Data,
		})
	}
	return w
}

// deltaFromWire decodes a delta. It omits reports of unknown kinds.
func deltaFromWire(w *peerv1.Part, now time.Time) member.Delta {
	d := member.Delta{IncarnationID: member.IncarnationID(w.GetLife()), From: w.GetFrom(), To: w.GetTo(), Revision: fleet.Revision(w.GetRevision()), Heartbeat: w.GetBeat()}
	if w.GetNode() != nil {
		d.Node = nodeFromWire(w.GetNode())
	}
	for _, item := range w.GetItems() {
		kind, known := kindNames[item.GetKind()]
		if !known {
			continue
		}
		d.Reports = append(d.Reports, member.Report{
			Key:      member.Key{Kind: kind, Subject: member.Subject(item.GetSubject())},
			Sequence: item.GetSequence(),
			Data:     item.GetData(),
			Observed: now.Add(-boundedAge(item.GetAge())),
		})
	}
	return d
}

// boundedAge converts an age in milliseconds. It limits the age to one hour to
// avoid an overflow.
func boundedAge(age uint64) time.Duration {
	return time.Duration(min(age, uint64(time.Hour.Milliseconds()))) * time.Millisecond
}

func factsToWire(facts []member.Fact) *peerv1.Facts {
	w := &peerv1.Facts{}
	for _, f := range facts {
		if f.Key.Topic == member.TopicSuspect {
			w.Suspects = append(w.Suspects, &peerv1.Suspect{Key: []byte(f.Key.Name), Crashes: f.Count, Rank: f.Rank, Born: f.FirstSeen})
			continue
		}
		w.Marks = append(w.Marks, &peerv1.Mark{
			Instance:    f.Key.Name,
			Incarnation: uint64(f.Key.Incarnation),
			Rank:        f.Rank,
			Leaves:      f.Leaves,
			Born:        f.FirstSeen,
		})
	}
	return w
}

func factsFromWire(w *peerv1.Facts) (facts []member.Fact) {
	for _, m := range w.GetMarks() {
		facts = append(facts, member.Fact{
			Key:       member.FactKey{Topic: member.TopicCondition, Name: m.GetInstance(), Incarnation: fleet.Incarnation(m.GetIncarnation())},
			Rank:      m.GetRank(),
			Leaves:    m.GetLeaves(),
			FirstSeen: m.GetBorn(),
		})
	}
	for _, m := range w.GetSuspects() {
		facts = append(facts, member.Fact{
			Key:       member.FactKey{Topic: member.TopicSuspect, Name: string(m.GetKey())},
			Rank:      m.GetRank(),
			Count:     m.GetCrashes(),
			FirstSeen: m.GetBorn(),
		})
	}
	return facts
}

// summary is the summary of a data centre.
type summary struct {
	revisions map[member.IncarnationID]fleet.Revision
	rates     map[member.Subject]float64
	observed  time.Time
}

func summaryToWire(name fleet.DataCentreName, sum summary, now time.Time) *peerv1.Summary {
	w := &peerv1.Summary{Datacentre: string(name), Age: uint64(max(0, now.Sub(sum.observed).Milliseconds()))}
	for id, revision := range sum.revisions {
		w.Lives = append(w.Lives, uint64(id))
		w.Revisions = append(w.Revisions, uint64(revision))
	}
	for account, rate := range sum.rates {
		w.Accounts = append(w.Accounts, uint64(account))
		w.Rates = append(w.Rates, float32(rate))
	}
	return w
}

func summaryFromWire(w *peerv1.Summary, now time.Time) summary {
	sum := summary{
		revisions: make(map[member.IncarnationID]fleet.Revision),
		rates:     make(map[member.Subject]float64),
		observed:  now.Add(-boundedAge(w.GetAge())),
	}
	for i, id := range w.GetLives() {
		if i < len(w.GetRevisions()) {
			sum.revisions[member.IncarnationID(id)] = fleet.Revision(w.GetRevisions()[i])
		}
	}
	for i, account := range w.GetAccounts() {
		if i < len(w.GetRates()) {
			sum.rates[member.Subject(account)] = float64(w.GetRates()[i])
		}
	}
	return sum
}

// sortNames sorts names in place and returns them.
func sortNames(names []fleet.NodeName) []fleet.NodeName {
	slices.SortFunc(names, cmp.Compare)
	return names
}
