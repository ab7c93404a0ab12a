package limit_test

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/limit"
)

var start = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)

func request(account fleet.AccountName, deadline time.Duration) limit.Request {
	return limit.Request{Account: account, Pool: "plume", Deadline: start.Add(deadline), ServiceTime: time.Second, MaxRunning: 2}
}

func ready(t *limit.Ticket) bool {
	select {
	case <-t.Ready():
		return true
	default:
		return false
	}
}

var _ = Describe("The queue", func() {
	It("refuses a request that cannot meet its deadline, with the time after which it could", func() {
		q := &limit.Queue{}
		for range 4 {
			_, err := q.Admit(request("shops", 3*time.Second), start)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := q.Admit(request("shops", 3*time.Second), start)
		var refused *limit.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(limit.ReasonCapacity))
		Expect(refused.RetryAfter).To(Equal(500 * time.Millisecond))
		_, err = q.Admit(request("shops", time.Millisecond), start)
		Expect(err).To(Equal(&limit.RefusedError{Reason: limit.ReasonDeadline}))
	})

	It("accepts a request that is predicted to be late if nothing runs", func() {
		q := &limit.Queue{}
		_, err := q.Admit(request("shops", time.Millisecond), start)
		Expect(err).NotTo(HaveOccurred())
		_, err = q.Admit(request("shops", time.Millisecond), start)
		Expect(err).To(Equal(&limit.RefusedError{Reason: limit.ReasonDeadline}))
	})

	It("dispatches the request of a small account before the queue of a large one", func() {
		q := &limit.Queue{}
		var large []*limit.Ticket
		for range 40 {
			t, err := q.Admit(request("large", time.Minute), start)
			Expect(err).NotTo(HaveOccurred())
			large = append(large, t)
		}
		small, err := q.Admit(request("small", time.Minute), start)
		Expect(err).NotTo(HaveOccurred())
		q.Release()
		q.Release()
		Expect(ready(small)).To(BeTrue())
		Expect(ready(large[39])).To(BeFalse())
	})

	It("lets a higher priority overtake only requests that stay within their deadlines", func() {
		q := &limit.Queue{}
		for range 2 {
			_, _ = q.Admit(request("shops", time.Minute), start)
		}
		tight, err := q.Admit(request("shops", 2050*time.Millisecond), start)
		Expect(err).NotTo(HaveOccurred())
		easy, err := q.Admit(request("shops", time.Minute), start)
		Expect(err).NotTo(HaveOccurred())
		r := request("sellers", time.Minute)
		r.Priority = 1
		first, err := q.Admit(r, start)
		Expect(err).NotTo(HaveOccurred())
		second, err := q.Admit(r, start)
		Expect(err).NotTo(HaveOccurred())
		for i, t := range []*limit.Ticket{first, tight, second, easy} {
			Expect(ready(t)).To(BeFalse(), "ticket %d", i)
			q.Release()
			Expect(ready(t)).To(BeTrue(), "ticket %d", i)
		}
	})

	It("dispatches every accepted request in time if services take what was predicted", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := &limit.Queue{}
			now := start
			type queued struct {
				ticket *limit.Ticket
				latest time.Time
			}
			var waiting []queued
			var ends []time.Time
			recordDispatched := func() {
				remaining := waiting[:0]
				for _, w := range waiting {
					if !ready(w.ticket) {
						remaining = append(remaining, w)
						continue
					}
					if now.After(w.latest) {
						t.Fatalf("dispatched %v late", now.Sub(w.latest))
					}
					ends = append(ends, now.Add(time.Second))
				}
				waiting = remaining
			}
			for range rapid.IntRange(1, 60).Draw(t, "arrivals") {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "gap")) * time.Second / 4)
				for len(ends) > 0 && !ends[0].After(now) {
					arrival := now
					now = ends[0]
					ends = ends[1:]
					q.Release()
					recordDispatched()
					now = arrival
				}
				r := request("shops", 0)
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "deadline")) * time.Second)
				r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				ticket, err := q.Admit(r, now)
				if err == nil {
					waiting = append(waiting, queued{ticket, r.Deadline.Add(-r.ServiceTime)})
				}
				recordDispatched()
			}
		})
	})
})

var _ = Describe("The limiter", func() {
	It("limits an account to its rate and returns the time after which a retry succeeds", func() {
		now := start
		l := &limit.Limiter{Now: func() time.Time { return now }, Share: func(fleet.AccountName) float64 { return 0.5 }}
		r := request("shops", time.Hour)
		r.Rate, r.Burst, r.MaxRunning = 4, 2, 0
		_, err := l.Admit(r)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Admit(r)
		Expect(err).To(Equal(&limit.RefusedError{Reason: limit.ReasonRate, RetryAfter: 500 * time.Millisecond}))
		now = now.Add(500 * time.Millisecond)
		_, err = l.Admit(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Demand("shops")).To(BeNumerically("~", 0.6, 0.1))
	})

	It("delays an accepted request until there is capacity", func() {
		l := &limit.Limiter{}
		r := limit.Request{Pool: "plume", Deadline: time.Now().Add(time.Hour), ServiceTime: time.Second, MaxRunning: 1}
		release, err := l.Admit(r)
		Expect(err).NotTo(HaveOccurred())
		var g errgroup.Group
		admitted := make(chan struct{})
		g.Go(func() error {
			defer close(admitted)
			second, err := l.Admit(r)
			second()
			return err
		})
		Consistently(admitted, 50*time.Millisecond).ShouldNot(BeClosed())
		release()
		release()
		Expect(g.Wait()).To(Succeed())
	})
})

var _ = Describe("A cancelled request", func() {
	It("gives its place to the next request", func() {
		l := &limit.Limiter{}
		r := limit.Request{Pool: "plume", Deadline: time.Now().Add(time.Hour), ServiceTime: time.Second, MaxRunning: 1}
		release, err := l.Admit(r)
		Expect(err).NotTo(HaveOccurred())
		cancelled := make(chan struct{})
		close(cancelled)
		withdrawn := r
		withdrawn.Cancelled = cancelled
		_, err = l.Admit(withdrawn)
		Expect(err).To(Equal(&limit.RefusedError{Reason: limit.ReasonCancelled}))
		release()
		release, err = l.Admit(r)
		Expect(err).NotTo(HaveOccurred())
		release()
	})
})

var _ = Describe("The share of a node", func() {
	It("adds up to the full limit if all nodes are reachable, and to the share of the reachable ones if some are not", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			demand := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 9).Draw(t, "demand")
			nodes := len(demand) + rapid.IntRange(0, 5).Draw(t, "unreachable")
			sum := 0.0
			total := 0.0
			for _, d := range demand {
				total += d
			}
			for _, ownDemand := range demand {
				sum += limit.Share(ownDemand, total-ownDemand, len(demand), nodes)
			}
			if want := float64(len(demand)) / float64(nodes); math.Abs(sum-want) > 1e-9 {
				t.Fatalf("the shares of %d of %d nodes add up to %v", len(demand), nodes, sum)
			}
		})
		Expect(limit.Share(50, 0, 1, 7)).To(BeNumerically("~", 1.0/7, 1e-9))
	})
})

var _ = Describe("The backoff before a retry", func() {
	It("grows with full jitter, is longer when the budget is exhausted, and never refuses a retry", func() {
		Expect(limit.Backoff(1, false, 0.5)).To(Equal(10 * time.Millisecond))
		Expect(limit.Backoff(3, false, 0.5)).To(Equal(40 * time.Millisecond))
		Expect(limit.Backoff(30, false, 1)).To(Equal(2 * time.Second))
		Expect(limit.Backoff(1, true, 0.5)).To(Equal(500 * time.Millisecond))
		b := &limit.RetryBackoff{}
		longest := time.Duration(0)
		for range 200 {
			longest = max(longest, b.NextBackoff(1))
		}
		Expect(longest).To(BeNumerically(">", 20*time.Millisecond))
	})
})
