package returning_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/returning"
)

func TestReturning(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Returning")
}

var now = time.Unix(1_800_000_000, 0)

// refuseAll tells callers, spread over nodes, when to come back: each with work that takes
// 50 ms of one of ten engines. The nodes know each other's promises of the last round of
// 0.3 s. It returns the largest number of returns in a quarter of a second.
func refuseAll(nodes, callers int, duration time.Duration, known float64) (most int) {
	random := rand.New(rand.NewPCG(1, 2))
	schedules := make([]*returning.Schedule, nodes)
	query := returning.Query{Pool: "pool", Work: 50, Rate: 10_000, Known: known, Earliest: 100 * time.Millisecond, Latest: 2 * time.Second}
	for i := range schedules {
		schedules[i] = &returning.Schedule{Random: random.Float64}
		if known < 1 {
			schedules[i].Started = now
		}
	}
	returns := make(map[returning.Bucket]int)
	var exchangedAt time.Time
	for i := range callers {
		at := now.Add(duration * time.Duration(i) / time.Duration(callers))
		if at.Sub(exchangedAt) >= 300*time.Millisecond && known == 1 {
			exchangedAt = at
			for _, s := range schedules {
				var sum map[fleet.PoolName]returning.Promises
				for _, o := range schedules {
					if o != s {
						sum = returning.Add(sum, o.Report(at))
					}
				}
				s.SetPeers(sum)
			}
		}
		after := schedules[random.IntN(nodes)].Promise(query, at)
		Expect(after).To(And(BeNumerically(">=", query.Earliest), BeNumerically("<=", query.Latest)))
		returns[returning.BucketAt(at.Add(after))]++
	}
	for _, n := range returns {
		most = max(most, n)
	}
	return most
}

// Each refusal named the time after which that request alone would have had room, so that
// all callers of a burst came back together.
var _ = Describe("The schedule", func() {
	// A quarter of the room in a bucket is for 12 returns.
	const room = 12

	It("lets returns come at the rate at which room frees up", func() {
		Expect(refuseAll(1, 150, time.Second, 1)).To(BeNumerically("<=", room+3))
	})

	It("exceeds that by no more than what the nodes promise before they know of each other", func() {
		Expect(refuseAll(20, 150, time.Second, 1)).To(BeNumerically("<=", 53))
	})

	It("spreads all returns after a start of all nodes", func() {
		const callers = 400
		Expect(refuseAll(20, callers, 500*time.Millisecond, 1.0/20)).To(BeNumerically("<", callers/4))
	})

	It("reports promises until their time", func() {
		s := &returning.Schedule{Random: func() float64 { return 0 }}
		after := s.Promise(returning.Query{Pool: "pool", Work: 5, Rate: 1000, Known: 1, Latest: time.Second}, now)
		Expect(s.Report(now)["pool"]).To(HaveLen(1))
		Expect(s.Report(now.Add(after + returning.BucketTime))).To(BeNil())
	})
})

var _ = Describe("A caller that comes back", func() {
	due := now.Add(1200 * time.Millisecond)

	DescribeTable("stands", func(content returning.Content, at time.Duration, standing returning.Standing) {
		var here, there returning.Visitors
		here.Record(7, due)
		there.SetPeers(here.Report(now))
		for _, v := range []*returning.Visitors{&here, &there} {
			Expect(v.Standing(content, now.Add(at))).To(Equal(standing))
		}
	},
		Entry("as new if it was told nothing", returning.Content(8), 2*time.Second, returning.StandingNew),
		Entry("as early before its slot", returning.Content(7), 900*time.Millisecond, returning.StandingEarly),
		Entry("as kept at its time", returning.Content(7), 1200*time.Millisecond, returning.StandingKept),
		Entry("as kept soon after", returning.Content(7), 2*time.Second, returning.StandingKept),
		Entry("as new long after", returning.Content(7), 9*time.Second, returning.StandingNew),
	)

	It("is rarely taken for another one", func() {
		var v returning.Visitors
		for c := range returning.Content(1000) {
			v.Record(c, due)
		}
		mistaken := 0
		for c := range returning.Content(10_000) {
			if v.Standing(c+1_000_000, due.Add(time.Second)) != returning.StandingNew {
				mistaken++
			}
		}
		Expect(mistaken).To(BeNumerically("<", 3000))
		Expect(v.Report(due.Add(time.Minute))).To(BeNil())
	})

	It("is recognised after the time of day was wrong for a while", func() {
		var here, there returning.Visitors
		for second := range 100 {
			here.Record(1, now.Add(time.Hour+time.Duration(second)*time.Second))
		}
		Expect(here.Report(now)).To(BeNil())
		here.Record(7, due)
		there.SetPeers(here.Report(now))
		for _, v := range []*returning.Visitors{&here, &there} {
			Expect(v.Standing(7, due)).To(Equal(returning.StandingKept))
		}
	})

	It("does not make reports grow without bound", func() {
		var v returning.Visitors
		for second := range 100 {
			v.Record(1, now.Add(time.Duration(second)*time.Second))
		}
		Expect(v.Report(now)).To(HaveLen(4))
	})
})
