package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func drawFact(t *rapid.T) member.Fact {
	return member.Fact{
		Key: member.FactKey{
			Topic:       rapid.SampledFrom([]member.Topic{member.TopicCondition, member.TopicSuspect}).Draw(t, "topic"),
			Name:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
			Incarnation: fleet.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
		},
		Rank:      uint32(rapid.IntRange(1, 2).Draw(t, "rank")),
		Count:     uint32(rapid.IntRange(0, 2).Draw(t, "count")),
		Leaves:    int64(rapid.IntRange(0, 2).Draw(t, "leaves")),
		FirstSeen: start.Unix() + int64(rapid.IntRange(0, 2).Draw(t, "first seen")),
	}
}

func factsByKey(s *member.Facts) map[member.FactKey]member.Fact {
	facts, _ := s.Since(0, 1000)
	all := make(map[member.FactKey]member.Fact)
	for _, f := range facts {
		all[f.Key] = f
	}
	return all
}

func mergeAll(facts ...[]member.Fact) *member.Facts {
	s := &member.Facts{}
	for _, list := range facts {
		for _, f := range list {
			s.Merge(f, start)
		}
	}
	return s
}

var _ = Describe("Facts", func() {
	It("merge to the same set in any order and grouping, and when repeated", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := rapid.SliceOfN(rapid.Custom(drawFact), 1, 20).Draw(t, "facts")
			split := rapid.IntRange(0, len(list)).Draw(t, "split")
			mixed := rapid.Permutation(append(list, list[:split]...)).Draw(t, "order")
			one, two := mergeAll(list), mergeAll(mixed)
			if one.Checksum() != two.Checksum() {
				t.Fatalf("checksums differ: %v and %v", factsByKey(one), factsByKey(two))
			}
			left, _ := mergeAll(list[:split]).Since(0, 1000)
			right, _ := mergeAll(list[split:]).Since(0, 1000)
			Expect(factsByKey(mergeAll(right, left))).To(Equal(factsByKey(one)))
			Expect(factsByKey(two)).To(Equal(factsByKey(one)))
		})
	})

	It("never lower the rank of a key, and keep one fact per key", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := &member.Facts{}
			highest := make(map[member.FactKey]uint32)
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				f := drawFact(t)
				s.Merge(f, start)
				highest[f.Key] = max(highest[f.Key], f.Rank)
				for k, rank := range highest {
					got, ok := s.Get(k)
					if !ok || got.Rank != rank {
						t.Fatalf("%v has rank %d, want %d", k, got.Rank, rank)
					}
				}
				if len(factsByKey(s)) != len(highest) {
					t.Fatalf("%d facts listed for %d keys", len(factsByKey(s)), len(highest))
				}
			}
		})
	})

	It("reach a reader that resumes from its position, also after facts expire", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s, reader := &member.Facts{}, &member.Facts{}
			now, next := start, uint64(0)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					now = now.Add(time.Duration(rapid.IntRange(1, 13).Draw(t, "hours")) * time.Hour)
					s.Expire(now)
					reader.Expire(now)
				case 1:
					var facts []member.Fact
					facts, next = s.Since(next, rapid.IntRange(1, 4).Draw(t, "limit"))
					for _, f := range facts {
						reader.Merge(f, now)
					}
				default:
					f := drawFact(t)
					f.FirstSeen = now.Unix()
					s.Merge(f, now)
				}
			}
			facts, _ := s.Since(next, 1000)
			for _, f := range facts {
				reader.Merge(f, now)
			}
			s.Expire(now)
			reader.Expire(now)
			Expect(factsByKey(reader)).To(Equal(factsByKey(s)))
			Expect(reader.Checksum()).To(Equal(s.Checksum()))
		})
	})
})
