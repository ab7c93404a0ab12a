package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// FactTTL is how long a fact is kept and sent to peers.
const FactTTL = 24 * time.Hour

// Topic is the kind of subject of a fact.
type Topic string

// The topics of facts. A condition report is evidence that an incarnation of an
// instance leaves or is gone, a suspect that the content of a request crashes
// endpoints. The values are part of the hash that peers compare.
const (
	TopicCondition Topic = "mark"
	TopicSuspect   Topic = "suspect"
)

// FactKey identifies the subject of a fact: one incarnation of an instance, or
// the opaque key of a suspect.
type FactKey struct {
	Topic       Topic
	Name        string
	Incarnation fleet.Incarnation
}

// Fact is evidence about a subject. It is never retracted, only superseded, and
// expires after FactTTL.
type Fact struct {
	Key FactKey
	// Rank orders the states of the subject; the highest one wins.
	Rank uint32
	// Count is the number of crashes of a suspect. Among equal ranks the
	// highest one wins.
	Count uint32
	// Leaves is when a leaving instance is terminated, in Unix milliseconds; 0
	// if unknown. Among equal ranks and counts the earliest known time wins.
	Leaves int64
	// FirstSeen is when the evidence was first seen, in Unix seconds. Among
	// facts that are equal otherwise the latest time wins.
	FirstSeen int64
}

// supersedes reports whether f replaces another fact with the same key. It is a
// total order on facts, so a merge keeps the greatest one.
func (f Fact) supersedes(other Fact) bool {
	switch {
	case f.Rank != other.Rank:
		return f.Rank > other.Rank
	case f.Count != other.Count:
		return f.Count > other.Count
	case f.Leaves != other.Leaves:
		return f.Leaves != 0 && (other.Leaves == 0 || f.Leaves < other.Leaves)
	default:
		return f.FirstSeen > other.FirstSeen
	}
}

func (f Fact) expired(now time.Time) bool {
	return now.Sub(time.Unix(f.FirstSeen, 0)) > FactTTL
}

// hash returns the hash of the fact. The checksum of a set is the XOR of its
// hashes.
func (f Fact) hash() uint64 {
	b := make([]byte, 0, 128)
	b = append(b, f.Key.Topic...)
	b = append(b, f.Key.Name...)
	for _, v := range []uint64{uint64(f.Key.Incarnation), uint64(f.Rank), uint64(f.Count), uint64(f.Leaves), uint64(f.FirstSeen)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return xxhash.Sum64(b)
}

// Facts is a set of facts in the order in which the node received them. The zero
// value is empty. It is not safe for concurrent use.
type Facts struct {
	byKey map[FactKey]entry
	log   []entry
	// basePosition is the position of log[0].
	basePosition uint64
	checksum     uint64
}

type entry struct {
	fact Fact
	pos  uint64
}

// Merge adds a fact and reports whether it changed the set.
func (s *Facts) Merge(f Fact, now time.Time) bool {
	old, ok := s.byKey[f.Key]
	if f.expired(now) || (ok && !f.supersedes(old.fact)) {
		return false
	}
	if s.byKey == nil {
		s.byKey = make(map[FactKey]entry)
	}
	if ok {
		s.checksum ^= old.fact.hash()
	}
	s.checksum ^= f.hash()
	e := entry{fact: f, pos: s.NextPosition()}
	s.byKey[f.Key] = e
	s.log = append(s.log, e)
	return true
}

// Get returns the fact with a key.
func (s *Facts) Get(k FactKey) (Fact, bool) {
	e, ok := s.byKey[k]
	return e.fact, ok
}

// Len returns the number of facts.
func (s *Facts) Len() int { return len(s.byKey) }

// Checksum returns the checksum of the set. Equal sets have equal checksums.
func (s *Facts) Checksum() uint64 { return s.checksum }

// NextPosition returns the position of the next fact to be added.
func (s *Facts) NextPosition() uint64 { return s.basePosition + uint64(len(s.log)) }

// Since returns up to limit facts from a position on, in the order in which
// they were received, and the position after the last one. A position higher
// than NextPosition counts as 0.
func (s *Facts) Since(position uint64, limit int) (facts []Fact, next uint64) {
	next = max(position, s.basePosition)
	if next > s.NextPosition() {
		next = s.basePosition
	}
	for _, e := range s.log[next-s.basePosition:] {
		if len(facts) == limit {
			return facts, next
		}
		next = e.pos + 1
		if s.byKey[e.fact.Key].pos == e.pos {
			facts = append(facts, e.fact)
		}
	}
	return facts, next
}

// Expire removes the facts that are older than FactTTL.
func (s *Facts) Expire(now time.Time) {
	for k, e := range s.byKey {
		if e.fact.expired(now) {
			s.checksum ^= e.fact.hash()
			delete(s.byKey, k)
		}
	}
	kept := func(e entry) bool { return s.byKey[e.fact.Key].pos == e.pos && s.byKey[e.fact.Key].fact == e.fact }
	first := slices.IndexFunc(s.log, kept)
	if first < 0 {
		first = len(s.log)
	}
	s.log = slices.Clone(s.log[first:])
	s.basePosition += uint64(first)
}
