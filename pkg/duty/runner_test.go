package duty_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/duty"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
	"github.com/skylarkloom/skylarkloom/platform"
)

// cloudStub stands in for the platform's API for duties.
type cloudStub struct {
	mu       sync.Mutex
	reports  map[int64][]int64
	fences   []fleet.Fence
	accepted []platform.ScaleRequest
	refuse   bool
	// requested is the number of scale requests received, including refused ones.
	requested int
}

func (c *cloudStub) api() duty.Cloud {
	return duty.Cloud{
		ReportUsage: func(_ context.Context, holder platform.DutyHolder, window int64, counts map[fleet.AccountName]int64) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.reports[window] = append(c.reports[window], counts["acc"])
			c.fences = append(c.fences, holder.Fence)
			return nil
		},
		Scale: func(_ context.Context, _ platform.DutyHolder, request platform.ScaleRequest) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.requested++
			if c.refuse {
				return platform.ErrNoCapacity
			}
			c.accepted = append(c.accepted, request)
			return nil
		},
	}
}

// locked calls f with the lock held.
func (c *cloudStub) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// lockedStore serves the topic to several runners.
func lockedStore(t *topicStub) duty.Store {
	var mu sync.Mutex
	inner := t.store()
	return duty.Store{
		Newest: func(ctx context.Context, name platform.Topic) (platform.Batch, error) {
			mu.Lock()
			defer mu.Unlock()
			return inner.Newest(ctx, name)
		},
		AppendAt: func(ctx context.Context, name platform.Topic, r platform.Record, at fleet.Offset) error {
			mu.Lock()
			defer mu.Unlock()
			return inner.AppendAt(ctx, name, r, at)
		},
	}
}

var _ = Describe("The runner of the duties", func() {
	const window = 500 * time.Millisecond

	// start starts a runner that runs until stop is called.
	start := func(store duty.Store, name fleet.NodeName, cloud *cloudStub, sum func(usage.Window) map[fleet.AccountName]int64, desiredCount func() int) (stop func()) {
		runner := &duty.Runner{
			Lease:      duty.Lease{Store: store, Self: fleet.NodeRef{Name: name, Incarnation: 1}, TTL: leaseTTL},
			Cloud:      cloud.api(),
			HeldByPeer: func() bool { return false },
			Rank:       func() int { return 0 },
			WallClock:  time.Now,
			SumUsage:   sum,
			Window:     window, ReportDeadline: 10 * time.Second,
			DesiredScales: func(func(platform.ScaleRequest) bool) []duty.DesiredScale {
				return []duty.DesiredScale{{ScaleRequest: platform.ScaleRequest{Pool: "p", DataCentre: "x", Market: fleet.MarketOnDemand, Count: desiredCount()}}}
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error {
			runner.Run(ctx, func(bool) {})
			return nil
		})
		return func() {
			cancel()
			Expect(group.Wait()).To(Succeed())
		}
	}

	It("reports no window with different counts, also after another node acquires the duties", func() {
		store, cloud := lockedStore(&topicStub{}), &cloudStub{reports: map[int64][]int64{}}
		stopFirst := start(store, "a", cloud, func(usage.Window) map[fleet.AccountName]int64 { return map[fleet.AccountName]int64{"acc": 7} }, func() int { return 2 })
		windows := func() (n int) { cloud.locked(func() { n = len(cloud.reports) }); return n }
		Eventually(windows, eventuallyTimeout).Should(BeNumerically(">", 1))
		stopFirst()
		before := windows()
		// The successor has different counts, but must not change fixed ones.
		stopSecond := start(store, "b", cloud, func(usage.Window) map[fleet.AccountName]int64 { return map[fleet.AccountName]int64{"acc": 9} }, func() int { return 2 })
		Eventually(windows, eventuallyTimeout).Should(BeNumerically(">", before+1))
		stopSecond()
		cloud.locked(func() {
			for w, counts := range cloud.reports {
				for _, c := range counts {
					Expect(c).To(Equal(counts[0]), "window %d", w)
				}
			}
			for i := 1; i < len(cloud.fences); i++ {
				Expect(cloud.fences[i]).To(BeNumerically(">=", cloud.fences[i-1]))
			}
		})
	})

	It("reports only windows that begin later after it has replaced an unreadable record", func() {
		cloud := &cloudStub{reports: map[int64][]int64{}}
		store := lockedStore(&topicStub{records: []platform.Record{{Key: "duties", Value: []byte("[")}}})
		began := time.Now()
		stop := start(store, "a", cloud, func(usage.Window) map[fleet.AccountName]int64 { return map[fleet.AccountName]int64{"acc": 7} }, func() int { return 2 })
		Eventually(func() (n int) { cloud.locked(func() { n = len(cloud.reports) }); return n }, 2*eventuallyTimeout).Should(BeNumerically(">", 1))
		stop()
		cloud.locked(func() {
			for w := range cloud.reports {
				Expect(usage.Window(w)).To(BeNumerically(">=", usage.WindowAt(began, window)))
			}
		})
	})

	It("sends a scale request once while it is pending, and scales down only after a delay", func() {
		store, cloud := lockedStore(&topicStub{}), &cloudStub{reports: map[int64][]int64{}}
		var mu sync.Mutex
		count := 4
		stop := start(store, "a", cloud, func(usage.Window) map[fleet.AccountName]int64 { return nil }, func() int { mu.Lock(); defer mu.Unlock(); return count })
		accepted := func() (counts []int) {
			cloud.locked(func() {
				for _, s := range cloud.accepted {
					counts = append(counts, s.Count)
				}
			})
			return counts
		}
		Eventually(accepted, eventuallyTimeout).Should(Equal([]int{4}))
		mu.Lock()
		count = 1
		mu.Unlock()
		Consistently(accepted).Should(Equal([]int{4}))
		Eventually(accepted, eventuallyTimeout).Should(ContainElement(1))
		stop()
	})

	// Guards against incomplete counts after the holder is killed: nodes learn late
	// which node to report their counts to.
	It("waits as a new holder for the counts of all nodes before it fixes a window", func() {
		store, cloud := lockedStore(&topicStub{}), &cloudStub{reports: map[int64][]int64{}}
		startedAt := time.Now()
		sum := func(usage.Window) map[fleet.AccountName]int64 {
			if time.Since(startedAt) < 1500*time.Millisecond {
				return map[fleet.AccountName]int64{"acc": 1}
			}
			return map[fleet.AccountName]int64{"acc": 9}
		}
		stop := start(store, "a", cloud, sum, func() int { return 0 })
		defer stop()
		Eventually(func() (n int) { cloud.locked(func() { n = len(cloud.reports) }); return n }, eventuallyTimeout).Should(BeNumerically(">", 2))
		cloud.locked(func() {
			for w, counts := range cloud.reports {
				Expect(counts).To(HaveEach(int64(9)), "window %d", w)
			}
		})
	})

	It("does not repeat a scale request at once that a market refused", func() {
		store, cloud := lockedStore(&topicStub{}), &cloudStub{reports: map[int64][]int64{}, refuse: true}
		stop := start(store, "a", cloud, func(usage.Window) map[fleet.AccountName]int64 { return nil }, func() int { return 4 })
		defer stop()
		requested := func() (n int) { cloud.locked(func() { n = cloud.requested }); return n }
		Eventually(requested, eventuallyTimeout).Should(Equal(1))
		Consistently(requested, "1s").Should(Equal(1), "four endpoints are still desired")
	})
})

const eventuallyTimeout = 10 * time.Second
