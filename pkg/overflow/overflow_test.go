package overflow_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/overflow"
)

func TestOverflow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "overflow")
}

// costs are those of a request of 100 ms of engine time.
var costs = overflow.Costs{Work: 100 * time.Millisecond, Transfer: 5 * time.Millisecond}

// sites returns data centres of 30 engines each with the given free work.
func sites(free ...float64) (list []overflow.Site) {
	for i, f := range free {
		list = append(list, overflow.Site{DataCentre: fleet.DataCentreName(fmt.Sprint("dc", i)), Free: f, Capacity: 30})
	}
	return list
}

func renew(p overflow.Plan, list []overflow.Site, rounds int) overflow.Plan {
	for range rounds {
		p = p.Renew(list, costs)
	}
	return p
}

// loadOf returns the work that runs in a data centre by a plan.
func loadOf(p overflow.Plan, list []overflow.Site, i int) float64 {
	load := list[i].Bound + list[i].Free*(1-p.Leaving(list[i].DataCentre))
	for _, o := range list {
		load += p.Share(o.DataCentre, list[i].DataCentre) * o.Free
	}
	return load
}

var _ = DescribeTable("The share that leaves a data centre",
	func(list []overflow.Site, least, most float64) {
		p := renew(overflow.Plan{}, list, 60)
		Expect(p.Leaving("dc0")).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		for _, s := range list[1:] {
			Expect(p.Leaving(s.DataCentre)).To(BeZero())
		}
	},
	Entry("is zero with room everywhere", sites(20, 3, 3), 0.0, 0.0),
	Entry("is zero if the others have no room", sites(36, 29, 29), 0.0, 0.0),
	Entry("is the excess if the others have room for it", sites(40, 10, 10), 0.26, 0.45),
	Entry("is a part of the excess if the others have no more room", sites(50, 22, 22), 0.1, 0.16),
	Entry("is everything without engines", []overflow.Site{{DataCentre: "dc0", Free: 5}, {DataCentre: "dc1", Capacity: 30}}, 1.0, 1.0),
	Entry("is drawn from the work that isn't bound", []overflow.Site{{DataCentre: "dc0", Free: 10, Bound: 20, Capacity: 30}, {DataCentre: "dc1", Capacity: 30}}, 0.55, 0.9),
	Entry("is higher where requests queue at each engine", []overflow.Site{{DataCentre: "dc0", Free: 15, Capacity: 30, Queue: 1}, {DataCentre: "dc1", Capacity: 30, Queue: 1}}, 0.3, 0.6),
	Entry("is zero where they queue at each engine alike", []overflow.Site{{DataCentre: "dc0", Free: 15, Capacity: 30, Queue: 1}, {DataCentre: "dc1", Free: 15, Capacity: 30, Queue: 1}}, 0.0, 0.0),
	Entry("follows queues beyond the reported work", []overflow.Site{{DataCentre: "dc0", Free: 20, Queued: 30, Capacity: 30}, {DataCentre: "dc1", Free: 5, Capacity: 30}}, 0.05, 1.0),
	Entry("goes to several of six", sites(60, 25, 10, 25, 10, 25), 0.4, 0.6),
	Entry("counts slots of a plain service", []overflow.Site{{DataCentre: "dc0", Free: 8, Capacity: 6}, {DataCentre: "dc1", Free: 2, Capacity: 6}, {DataCentre: "dc2", Free: 2, Capacity: 6}}, 0.25, 0.6),
)

var _ = It("sends nothing across a cut from the next renewal on, and resumes by degrees after it", func() {
	list := sites(45, 10, 10)
	p := renew(overflow.Plan{}, list, 60)
	before := p.Leaving("dc0")
	Expect(p.Share("dc0", "dc1")).To(BeNumerically(">", 0.1))
	list[1].Unreachable = true
	p = p.Renew(list, costs)
	Expect(p.Share("dc0", "dc1")).To(BeZero())
	p = renew(p, list, 60)
	Expect(p.Share("dc0", "dc2")).To(BeNumerically(">", before/2))
	list[1].Unreachable = false
	previous := 0.0
	for range 60 {
		p = p.Renew(list, costs)
		Expect(p.Share("dc0", "dc1") - previous).To(BeNumerically("<", 0.051))
		previous = p.Share("dc0", "dc1")
	}
	Expect(p.Leaving("dc0")).To(BeNumerically("~", before, 0.1))
	list[0].Unreachable, list[1].Unreachable, list[2].Unreachable = true, true, true
	Expect(p.Renew(list, costs).Leaving("dc0")).To(BeZero())
})

var _ = It("keeps to the bounds for drawn loads, and comes to rest while they last", func() {
	rapid.Check(GinkgoTB(), func(t *rapid.T) {
		var list []overflow.Site
		for i := range rapid.SampledFrom([]int{3, 6}).Draw(t, "data centres") {
			list = append(list, overflow.Site{
				DataCentre: fleet.DataCentreName(fmt.Sprint("dc", i)),
				Free:       rapid.Float64Range(0, 60).Draw(t, "free"), Bound: rapid.Float64Range(0, 20).Draw(t, "bound"),
				Capacity: float64(rapid.IntRange(0, 40).Draw(t, "capacity")), Unreachable: rapid.IntRange(0, 9).Draw(t, "cut") == 0,
			})
		}
		p := overflow.Plan{}
		changes := make(map[[2]int]int)
		for round := range 120 {
			next := p.Renew(list, costs)
			for i, from := range list {
				if next.Leaving(from.DataCentre) > 1.0001 {
					t.Fatalf("more than everything leaves: %v", next)
				}
				for j, to := range list {
					was, is := p.Share(from.DataCentre, to.DataCentre), next.Share(from.DataCentre, to.DataCentre)
					if is > 0 && (next.Leaving(to.DataCentre) > 0 || to.Unreachable || i == j) {
						t.Fatalf("sent to a data centre that sends or is cut off: %v", next)
					}
					if is-was > 0.0501 {
						t.Fatalf("a share rose from %v to %v", was, is)
					}
					if math.Abs(is-was) > 1e-9 && round >= 80 {
						changes[[2]int{i, j}]++
					}
				}
			}
			p = next
		}
		if len(changes) > 0 {
			t.Fatalf("shares still change: %v", changes)
		}
		for i, s := range list {
			received := loadOf(p, list, i) > s.Free+s.Bound+1e-9
			if received && loadOf(p, list, i) > 0.9*s.Capacity {
				t.Fatalf("%s receives beyond its room", s.DataCentre)
			}
		}
	})
})

// swing plays loads that vary by a tenth, seen a second late and with queues that follow
// the plan as late, and returns the number of times that the largest share turned round.
func swing(seed uint64) (turns int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	truth := sites(20+25*rng.Float64(), 8+10*rng.Float64(), 8+10*rng.Float64())
	var seen [][]overflow.Site
	p, previous, direction := overflow.Plan{}, 0.0, 0.0
	for round := range 120 {
		now := make([]overflow.Site, len(truth))
		for i, s := range truth {
			u := min(0.97, loadOf(p, truth, i)/s.Capacity)
			s.Free *= 0.95 + 0.1*rng.Float64()
			s.Queued = u / (1 - u)
			now[i] = s
		}
		if seen = append(seen, now); len(seen) > 4 {
			seen = seen[1:]
		}
		p = p.Renew(seen[0], costs)
		change := p.Leaving("dc0") - previous
		previous += change
		if round >= 40 && math.Abs(change) > 0.001 {
			if change*direction < 0 {
				turns++
			}
			direction = change
		}
	}
	return turns
}

var _ = It("doesn't swing over a thousand drawn loads whose reports are late", func() {
	most, total := 0, 0
	for seed := range uint64(1000) {
		turns := swing(seed)
		most, total = max(most, turns), total+turns
	}
	AddReportEntry("turns in 24 s", fmt.Sprintf("mean %.2f, most %d", float64(total)/1000, most))
	// One turn in four seconds, the time over which demand is averaged.
	Expect(most).To(BeNumerically("<=", 6))
})

var _ = It("draws the requests to which distance costs least first", func() {
	p := renew(overflow.Plan{}, sites(45, 10, 10), 60)
	leaving := p.Leaving("dc0")
	drawn := func(distance float64) (share float64) {
		for i := range 1000 {
			if to := p.Draw("dc0", distance, float64(i)/1000); to != "" {
				Expect(p.Share("dc0", to)).To(BeNumerically(">", 0))
				share += 0.001
			}
		}
		return share
	}
	Expect(drawn(1)).To(BeNumerically("~", leaving, 0.01))
	near := overflow.Distance(overflow.Transfer(1000, 10), time.Second, costs)
	far := overflow.Distance(overflow.Transfer(200_000, 1000), 50*time.Millisecond, costs)
	Expect(drawn(near)).To(BeNumerically(">", leaving))
	Expect(drawn(far)).To(BeNumerically("<", leaving))
	Expect(overflow.Plan{}.Draw("dc0", 1, 0)).To(BeEmpty())
	Expect(p.Draw("dc1", 1, 0)).To(BeEmpty())
})
