package waiting_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
)

func TestWaiting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Waiting")
}

var now = clock.Instant(time.Hour)

var _ = Describe("The share of a node", func() {
	It("adds up to no more than the reporting nodes' part, and is even without reports", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			own := rapid.SliceOfN(rapid.Float64Range(0, 1e5), 1, 80).Draw(t, "work")
			silent := rapid.IntRange(0, 20).Draw(t, "silent")
			mean := rapid.Float64Range(0.1, 500).Draw(t, "mean")
			n := waiting.Nodes{Total: len(own) + silent, Silent: silent}
			all, sum := 0.0, 0.0
			for _, w := range own {
				all += w
			}
			for _, w := range own {
				sum += waiting.Share(w, all, mean, n)
			}
			if want := float64(len(own)) / float64(n.Total); sum > want*1.000001 || sum < want*0.999999 {
				t.Fatalf("shares add up to %v, want %v", sum, want)
			}
		})
		Expect(waiting.Share(1e6, 1e6, 20, waiting.Nodes{Total: 70, Silent: 69})).To(BeNumerically("~", 1.0/70, 1e-9))
	})
})

var _ = Describe("The queue", func() {
	add := func(q *waiting.Queue, account fleet.AccountName, rank waiting.Rank, work float64, latest time.Duration) *waiting.Ticket {
		return q.Add(waiting.Request{Account: account, Weight: 1, Rank: rank, Work: work, LatestStart: now.Add(latest)}, now)
	}
	capacity := waiting.Capacity{Queues: make([]time.Duration, 100), Nodes: waiting.Nodes{Total: 1}}

	It("orders by who is in time and rank, then by what accounts received on all nodes, then by who returns and by time", func() {
		q := &waiting.Queue{}
		q.SetPeers(waiting.PoolReport{Received: map[fleet.AccountName]float64{"large": 5000}}, now)
		late := add(q, "small", 0, 10, -time.Millisecond)
		second, first := add(q, "large", 1, 10, time.Second), add(q, "large", 1, 10, time.Millisecond)
		small := add(q, "small", 1, 10, time.Minute)
		returning := q.Add(waiting.Request{Account: "small", Weight: 1, Rank: 1, Returning: true, Work: 10, LatestStart: now.Add(time.Hour)}, now)
		high := add(q, "large", 0, 10, time.Second)
		for i, t := range []*waiting.Ticket{high, returning, small, first, second, late} {
			Expect(q.IsFirst(t, now)).To(BeTrue(), "ticket %d", i)
			q.Remove(t, now)
		}
	})

	It("does not put requests without an account before all others for good", func() {
		q := &waiting.Queue{}
		unknown, known := add(q, "", 0, 10, time.Second), add(q, "a", 0, 10, time.Minute)
		q.RecordSent(waiting.Request{Account: "a", Work: 10}, now)
		Expect(q.IsFirst(unknown, now)).To(BeTrue())
		q.RecordSent(waiting.Request{Work: 20}, now)
		Expect(q.IsFirst(unknown, now)).To(BeFalse())
		Expect(q.IsFirst(known, now)).To(BeTrue())
	})

	It("leaves out sums of other nodes that are no amounts of work", func() {
		q := &waiting.Queue{}
		q.SetPeers(waiting.PoolReport{
			Wanted:   map[waiting.Rank]float64{0: math.NaN(), 1: math.Inf(1), 2: -1e9},
			Received: map[fleet.AccountName]float64{"a": math.NaN()},
		}, now)
		Expect(q.Short(1, now)).To(BeFalse())
		r := waiting.Request{Account: "a", Rank: 2, Work: 10}
		Expect(q.Wait(&r, capacity, now)).To(BeZero())
	})

	It("wakes the next request when one leaves without being sent", func() {
		q := &waiting.Queue{}
		first, second := add(q, "a", 0, 10, time.Second), add(q, "a", 0, 10, time.Minute)
		q.Remove(first, now)
		Expect(second.Wake()).To(Receive())
	})

	It("sends no more than its share and one request, and the whole share in time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := &waiting.Queue{}
			c := waiting.Capacity{Queues: make([]time.Duration, rapid.IntRange(1, 50).Draw(t, "engines")), Nodes: waiting.Nodes{Total: rapid.IntRange(1, 80).Draw(t, "nodes")}}
			c.Nodes.Silent = c.Nodes.Total - 1
			at, sent, largest := now, 0.0, 0.0
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				at = at.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
				work := rapid.Float64Range(1, 300).Draw(t, "work")
				ticket := q.Add(waiting.Request{Work: work, LatestStart: at}, at)
				if q.Take(ticket, c, at) {
					sent += work
					largest = max(largest, work)
				} else {
					q.Remove(ticket, at)
				}
			}
			rate := 1.2 * 1000 * float64(len(c.Queues)) / float64(c.Nodes.Total)
			if bound := rate*(at.Sub(now).Seconds()+0.3) + largest; sent > bound+1e-6 {
				t.Fatalf("sent %v, bound %v", sent, bound)
			}
		})
	})

	It("predicts that a small account passes the backlog of a large one", func() {
		q := &waiting.Queue{}
		for range 200 {
			add(q, "large", 1, 100, time.Millisecond)
		}
		small := waiting.Request{Account: "small", Weight: 1, Rank: 1, Work: 100, LatestStart: now.Add(time.Hour)}
		large := small
		large.Account = "large"
		Expect(q.Wait(&small, capacity, now)).To(BeNumerically("<", time.Millisecond))
		Expect(q.Wait(&large, capacity, now)).To(BeNumerically(">", 100*time.Millisecond))
	})

	It("reports nothing once there is room for all", func() {
		q := &waiting.Queue{}
		q.Remove(add(q, "a", 0, 10, 0), now)
		_, short := q.Report(now.Add(time.Second))
		Expect(short).To(BeTrue())
		_, short = q.Report(now.Add(3 * time.Second))
		Expect(short).To(BeFalse())
	})
})
