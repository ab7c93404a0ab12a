package route_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

var _ = Describe("The plan of moves", func() {
	times := route.TokenTimes{Prefill: time.Millisecond, Decode: 20 * time.Millisecond}

	It("orders moves by slack, then by tokens to recompute, and omits requests that end in time", func() {
		requests := []route.RunningRequest{
			{Deadline: now.Add(60 * time.Second), RecomputeTokens: 100, Remaining: 30 * time.Second},
			{Deadline: now.Add(60 * time.Second), RecomputeTokens: 10, Remaining: 2 * time.Second},
			{Deadline: now.Add(40 * time.Second), RecomputeTokens: 100, Remaining: 30 * time.Second},
			{Deadline: now.Add(60 * time.Second), RecomputeTokens: 400, Remaining: 30 * time.Second},
		}
		var indices []int
		for _, m := range route.PlanMoves(requests, now.Add(9*time.Second), now, times) {
			indices = append(indices, m.Index)
		}
		Expect(indices).To(Equal([]int{2, 3, 0}))
	})

	It("starts at once and spreads the moves evenly over half of the notice", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			requests := make([]route.RunningRequest, rapid.IntRange(1, 300).Draw(t, "requests"))
			for i := range requests {
				requests[i] = route.RunningRequest{
					Deadline:        now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Second),
					RecomputeTokens: fleet.Tokens(rapid.IntRange(1, 4000).Draw(t, "recompute")),
					Remaining:       time.Hour,
				}
			}
			notice := time.Duration(rapid.IntRange(1, 120).Draw(t, "notice")) * time.Second
			moves := route.PlanMoves(requests, now.Add(notice), now, times)
			seen := map[int]bool{}
			for i, m := range moves {
				seen[m.Index] = true
				want := time.Duration(i) * (min(notice/2, 10*time.Second) / time.Duration(len(requests)))
				if m.At.Sub(now) != want {
					t.Fatalf("move %d of %d at %v, want %v", i, len(requests), m.At.Sub(now), want)
				}
			}
			if len(seen) != len(requests) {
				t.Fatalf("%d of %d requests moved", len(seen), len(requests))
			}
		})
	})
})
