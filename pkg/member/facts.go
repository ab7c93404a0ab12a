package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// FactLife is how long a fact is kept and spread.
const FactTTL = 24 * time.Hour

// Topic tells what a fact is about.
type Topic string

// The topics of facts.
const (
	TopicMark    Topic = "mark"
	TopicSuspect Topic = "suspect"
)

// FactKey names what a fact is about: one life of an instance, or the opaque
// key of a suspect.
type FactKey struct {
	Topic       Topic
	Name        string
	Incarnation fleet.Incarnation
}

// Fact is evidence that only ever grows.
type Fact struct {
	Key FactKey
	// Rank orders the states of the subject; the higher one wins.
	Rank uint32
	// Count is the count of crashes of a suspect; the higher one wins among
	// equal ranks.
	Count uint32
	// Leaves is when a leaving instance goes, in Unix milliseconds; 0 if not
	// known. Of equal ranks the earlier known time wins.
	Leaves int64
	// Born is when the evidence was first seen, in Unix seconds.
	FirstSeen int64
}

// wins reports whether a fact replaces another one on the same key. It is a
// total order on facts, so that merging is taking the greatest.
func (f Fact) wins(o Fact) bool {
	switch {
	case f.Rank != o.Rank:
		return f.Rank > o.Rank
	case f.Count != o.Count:
		return f.Count > o.Count
	case f.Leaves != o.Leaves:
		return f.Leaves != 0 && (o.Leaves == 0 || f.Leaves < o.Leaves)
	default:
		return f.FirstSeen > o.FirstSeen
	}
}

func (f Fact) expired(now time.Time) bool {
	return now.Sub(time.Unix(f.FirstSeen, 0)) > FactTTL
}

// sum identifies the fact; the sums of all facts identify a set.
func (f Fact) sum() uint64 {
	b := make([]byte, 0, 128)
	b = append(b, f.Key.Topic...)
	b = append(b, f.Key.Name...)
	for _, v := range []uint64{uint64(f.Key.Incarnation), uint64(f.Rank), uint64(f.Count), uint64(f.Leaves), uint64(f.FirstSeen)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return xxhash.Sum64(b)
}

// Facts is a set of facts in the order in which the node learnt them. The zero
// value is empty. It is not safe for concurrent use.
type Facts struct {
	all  map[FactKey]placed
	list []placed
	// base is the position of list[0].
	base uint64
	sum  uint64
}

type placed struct {
	fact Fact
	at   uint64
}

// Merge takes a fact in and reports whether it was news.
func (s *Facts) Merge(f Fact, now time.Time) bool {
	known, ok := s.all[f.Key]
	if f.expired(now) || (ok && !f.wins(known.fact)) {
		return false
	}
	if s.all == nil {
		s.all = make(map[FactKey]placed)
	}
	if ok {
		s.sum ^= known.fact.sum()
	}
	s.sum ^= f.sum()
	p := placed{fact: f, at: s.NextPosition()}
	s.all[f.Key] = p
	s.list = append(s.list, p)
	return true
}

// Get returns the fact on a key.
func (s *Facts) Get(k FactKey) (Fact, bool) {
	p, ok := s.all[k]
	return p.fact, ok
}

// Len returns how many facts are held.
func (s *Facts) Len() int { return len(s.all) }

// Sum identifies the whole set: equal sets have equal sums.
func (s *Facts) Checksum() uint64 { return s.sum }

// Next returns the position that the next fact takes.
func (s *Facts) NextPosition() uint64 { return s.base + uint64(len(s.list)) }

// After returns up to limit facts from a position on, in the order in which
// they were learnt, and the position after the last one.
func (s *Facts) Since(from uint64, limit int) (facts []Fact, next uint64) {
	next = max(from, s.base)
	if next > s.NextPosition() {
		next = s.base
	}
	for _, p := range s.list[next-s.base:] {
		if len(facts) == limit {
			return facts, next
		}
		next = p.at + 1
		if s.all[p.fact.Key].at == p.at {
			facts = append(facts, p.fact)
		}
	}
	return facts, next
}

// Expire forgets the facts whose life has ended.
func (s *Facts) Expire(now time.Time) {
	for k, p := range s.all {
		if p.fact.expired(now) {
			s.sum ^= p.fact.sum()
			delete(s.all, k)
		}
	}
	held := func(p placed) bool { return s.all[p.fact.Key].at == p.at && s.all[p.fact.Key].fact == p.fact }
	first := slices.IndexFunc(s.list, held)
	if first < 0 {
		first = len(s.list)
	}
	s.list = slices.Clone(s.list[first:])
	s.base += uint64(first)
}
