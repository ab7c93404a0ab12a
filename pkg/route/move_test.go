package route_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

var _ = Describe("The moves off a leaving instance", func() {
	speed := route.TokenTimes{Prefill: time.Millisecond, Decode: 20 * time.Millisecond}

	It("go by slack, then by tokens at stake, and leave out what ends in time", func() {
		work := []route.RunningRequest{
			{Deadline: now.Add(60 * time.Second), RecomputeTokens: 100, Remaining: 30 * time.Second},
			{Deadline: now.Add(60 * time.Second), RecomputeTokens: 10, Remaining: 2 * time.Second},
			{Deadline: now.Add(40 * time.Second), RecomputeTokens: 100, Remaining: 30 * time.Second},
			{Deadline: now.Add(60 * time.Second), RecomputeTokens: 400, Remaining: 30 * time.Second},
		}
		var order []int
		for _, m := range route.PlanMoves(work, now.Add(9*time.Second), now, speed) {
			order = append(order, m.Index)
		}
		Expect(order).To(Equal([]int{2, 3, 0}))
	})

	It("begin at once, are spread evenly, and end in half of the notice", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			work := make([]route.RunningRequest, rapid.IntRange(1, 300).Draw(t, "work"))
			for i := range work {
				work[i] = route.RunningRequest{
					Deadline:        now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Second),
					RecomputeTokens: fleet.Tokens(rapid.IntRange(1, 4000).Draw(t, "stake")),
					Remaining:       time.Hour,
				}
			}
			notice := time.Duration(rapid.IntRange(1, 120).Draw(t, "notice")) * time.Second
			moves := route.PlanMoves(work, now.Add(notice), now, speed)
			seen := map[int]bool{}
			for i, m := range moves {
				seen[m.Index] = true
				want := time.Duration(i) * (min(notice/2, 10*time.Second) / time.Duration(len(work)))
				if m.At.Sub(now) != want {
					t.Fatalf("move %d of %d at %v, want %v", i, len(work), m.At.Sub(now), want)
				}
			}
			if len(seen) != len(work) {
				t.Fatalf("%d of %d moved", len(seen), len(work))
			}
		})
	})
})
