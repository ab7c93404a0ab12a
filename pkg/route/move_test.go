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
	speed := route.Speed{Prompt: time.Millisecond, Token: 20 * time.Millisecond}

	It("go by slack, then by tokens at stake, and leave out what ends in time", func() {
		work := []route.Work{
			{Deadline: now.Add(60 * time.Second), Stake: 100, Remaining: 30 * time.Second},
			{Deadline: now.Add(60 * time.Second), Stake: 10, Remaining: 2 * time.Second},
			{Deadline: now.Add(40 * time.Second), Stake: 100, Remaining: 30 * time.Second},
			{Deadline: now.Add(60 * time.Second), Stake: 400, Remaining: 30 * time.Second},
		}
		var order []int
		for _, m := range route.Moves(work, now.Add(9*time.Second), now, speed) {
			order = append(order, m.Index)
		}
		Expect(order).To(Equal([]int{2, 3, 0}))
	})

	It("begin at once, are spread evenly, and end in half of the notice", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			work := make([]route.Work, rapid.IntRange(1, 300).Draw(t, "work"))
			for i := range work {
				work[i] = route.Work{
					Deadline:  now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Second),
					Stake:     fleet.Tokens(rapid.IntRange(1, 4000).Draw(t, "stake")),
					Remaining: time.Hour,
				}
			}
			notice := time.Duration(rapid.IntRange(1, 120).Draw(t, "notice")) * time.Second
			moves := route.Moves(work, now.Add(notice), now, speed)
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
