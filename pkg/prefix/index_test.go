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

var _ = Describe("The block hashes of a prompt", func() {
	It("are the running FNV-1a hashes at the end of each full block", func() {
		prompt := strings.Repeat("tulips and carnations ", 9)
		h := fnv.New64a()
		var want []uint64
		for i := 0; i+64 <= len(prompt); i += 64 {
			_, _ = h.Write([]byte(prompt[i : i+64]))
			want = append(want, h.Sum64())
		}
		Expect(prefix.BlockHashes(prompt)).To(Equal(want))
		Expect(prefix.BlockHashes("short")).To(BeEmpty())
	})
})

var _ = Describe("The prefix index", func() {
	var x *prefix.Index
	hashes := []uint64{11, 12, 13}
	BeforeEach(func() { x = &prefix.Index{MaxBlocks: 100} })

	find := func(now time.Time) (hits []prefix.Hit) {
		for _, h := range x.Find(hashes, now, nil) {
			hits = append(hits, prefix.Hit{Instance: h.Instance, Tokens: h.Tokens, UnconfirmedTokens: h.UnconfirmedTokens})
		}
		return hits
	}

	It("counts only contiguous blocks from the start of the prompt", func() {
		x.Apply(ref(1), []engine.CacheEvent{stored(0, 11), stored(1, 13)}, start)
		x.Apply(ref(2), []engine.CacheEvent{stored(0, 12)}, start)
		Expect(find(start)).To(Equal([]prefix.Hit{{Instance: ref(1), Tokens: 16}}))
	})

	It("treats entries as unconfirmed after a gap until a served request confirms them", func() {
		x.Apply(ref(1), []engine.CacheEvent{stored(0, 11), stored(1, 12)}, start)
		x.Apply(ref(1), []engine.CacheEvent{stored(5, 99)}, start)
		Expect(find(start)).To(Equal([]prefix.Hit{{Instance: ref(1), UnconfirmedTokens: 32}}))
		x.Confirm(ref(1), hashes, 32, start)
		Expect(find(start)).To(Equal([]prefix.Hit{{Instance: ref(1), Tokens: 48}}))
	})

	It("skips repeated events and treats old entries as unconfirmed", func() {
		x.Apply(ref(1), []engine.CacheEvent{stored(0, 11), stored(0, 11)}, start)
		Expect(x.NextSequence(ref(1))).To(Equal(uint64(1)))
		Expect(find(start)).To(Equal([]prefix.Hit{{Instance: ref(1), Tokens: 16}}))
		Expect(find(start.Add(time.Hour))).To(Equal([]prefix.Hit{{Instance: ref(1), UnconfirmedTokens: 16}}))
	})

	It("removes a dropped endpoint and records it again when it returns", func() {
		x.AddPrompt(ref(1), hashes, start)
		x.Drop(ref(1))
		Expect(find(start)).To(BeEmpty())
		x.AddPrompt(ref(1), hashes[:1], start)
		Expect(find(start)).To(Equal([]prefix.Hit{{Instance: ref(1), Tokens: 16}}))
	})

	It("stays within MaxBlocks and confirms no block that an endpoint has evicted", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			x := &prefix.Index{MaxBlocks: 20}
			cached := map[fleet.InstanceRef]map[uint64]bool{}
			sequence := map[fleet.InstanceRef]uint64{}
			for range rapid.IntRange(1, 200).Draw(t, "events") {
				r := ref(rapid.IntRange(0, 3).Draw(t, "endpoint"))
				e := stored(sequence[r], rapid.Uint64Range(1, 40).Draw(t, "block"))
				if cached[r] == nil {
					cached[r] = map[uint64]bool{}
				}
				if rapid.Bool().Draw(t, "evicted") {
					e.Change = engine.CacheEvicted
				}
				cached[r][e.Prefix] = e.Change == engine.CacheStored
				sequence[r]++
				if !rapid.Bool().Draw(t, "lost") {
					x.Apply(r, []engine.CacheEvent{e}, start)
				}
			}
			for r, n := range sequence {
				x.Apply(r, []engine.CacheEvent{stored(n, 1000)}, start)
			}
			if x.Len() > 20 {
				t.Fatalf("%d blocks, expected at most 20", x.Len())
			}
			for b := uint64(1); b <= 40; b++ {
				for _, h := range x.Find([]uint64{b}, start, nil) {
					if h.Tokens > 0 && !cached[h.Instance][b] {
						t.Fatalf("block %d is confirmed for %v, which does not have it cached", b, h.Instance)
					}
				}
			}
		})
	})
})
