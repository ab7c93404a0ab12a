package prefix_test

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/prefix"
)

var start = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)

func ref(n int) fleet.InstanceRef {
	return fleet.InstanceRef{ID: fleet.InstanceID(fmt.Sprint("engine-", n)), Incarnation: 1}
}

func stored(sequence uint64, hash uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: sequence, Change: engine.CacheStored, Prefix: hash, Tokens: prefix.BlockTokens}
}

var _ = Describe("The chain of a prompt", func() {
	It("is the running FNV-1a hash at the end of each full block", func() {
		prompt := strings.Repeat("tulips and carnations ", 9)
		h := fnv.New64a()
		var want []uint64
		for at := 0; at+64 <= len(prompt); at += 64 {
			_, _ = h.Write([]byte(prompt[at : at+64]))
			want = append(want, h.Sum64())
		}
		Expect(prefix.BlockHashes(prompt)).To(Equal(want))
		Expect(prefix.BlockHashes("short")).To(BeEmpty())
	})
})

var _ = Describe("The index", func() {
	var x *prefix.Index
	chain := []uint64{11, 12, 13}
	BeforeEach(func() { x = &prefix.Index{MaxBlocks: 100} })

	find := func(now time.Time) (list []prefix.Hit) {
		for _, h := range x.Find(chain, now, nil) {
			list = append(list, prefix.Hit{Instance: h.Instance, Tokens: h.Tokens, UnconfirmedTokens: h.UnconfirmedTokens})
		}
		return list
	}

	It("counts only blocks that follow each other from the start", func() {
		x.Apply(ref(1), []engine.CacheEvent{stored(0, 11), stored(1, 13)}, start)
		x.Apply(ref(2), []engine.CacheEvent{stored(0, 12)}, start)
		Expect(find(start)).To(Equal([]prefix.Hit{{Instance: ref(1), Tokens: 16}}))
	})

	It("doubts an endpoint after a gap until a hit proves it", func() {
		x.Apply(ref(1), []engine.CacheEvent{stored(0, 11), stored(1, 12)}, start)
		x.Apply(ref(1), []engine.CacheEvent{stored(5, 99)}, start)
		Expect(find(start)).To(Equal([]prefix.Hit{{Instance: ref(1), UnconfirmedTokens: 32}}))
		x.Confirm(ref(1), chain, 32, start)
		Expect(find(start)).To(Equal([]prefix.Hit{{Instance: ref(1), Tokens: 48}}))
	})

	It("skips events that come twice, and doubts old entries", func() {
		x.Apply(ref(1), []engine.CacheEvent{stored(0, 11), stored(0, 11)}, start)
		Expect(x.NextSequence(ref(1))).To(Equal(uint64(1)))
		Expect(find(start)).To(Equal([]prefix.Hit{{Instance: ref(1), Tokens: 16}}))
		Expect(find(start.Add(time.Hour))).To(Equal([]prefix.Hit{{Instance: ref(1), UnconfirmedTokens: 16}}))
	})

	It("forgets an endpoint that was dropped, but not its next life", func() {
		x.AddPrompt(ref(1), chain, start)
		x.Drop(ref(1))
		Expect(find(start)).To(BeEmpty())
		x.AddPrompt(ref(1), chain[:1], start)
		Expect(find(start)).To(Equal([]prefix.Hit{{Instance: ref(1), Tokens: 16}}))
	})

	It("stays within its limit and never claims more than the endpoints hold", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			x := &prefix.Index{MaxBlocks: 20}
			held := map[fleet.InstanceRef]map[uint64]bool{}
			sequence := map[fleet.InstanceRef]uint64{}
			for range rapid.IntRange(1, 200).Draw(t, "events") {
				r := ref(rapid.IntRange(0, 3).Draw(t, "endpoint"))
				e := stored(sequence[r], rapid.Uint64Range(1, 40).Draw(t, "block"))
				if held[r] == nil {
					held[r] = map[uint64]bool{}
				}
				if rapid.Bool().Draw(t, "evicted") {
					e.Change = engine.CacheEvicted
				}
				held[r][e.Prefix] = e.Change == engine.CacheStored
				sequence[r]++
				if !rapid.Bool().Draw(t, "lost") {
					x.Apply(r, []engine.CacheEvent{e}, start)
				}
			}
			for r, n := range sequence {
				x.Apply(r, []engine.CacheEvent{stored(n, 1000)}, start)
			}
			if x.Len() > 20 {
				t.Fatalf("%d blocks", x.Len())
			}
			for b := uint64(1); b <= 40; b++ {
				for _, h := range x.Find([]uint64{b}, start, nil) {
					if h.Tokens > 0 && !held[h.Instance][b] {
						t.Fatalf("block %d of %v is claimed for certain", b, h.Instance)
					}
				}
			}
		})
	})
})
