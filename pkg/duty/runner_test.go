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

// office is a stand-in of the API for duties.
type office struct {
	mu      sync.Mutex
	reports map[int64][]int64
	fences  []fleet.Fence
	orders  []platform.Order
	refuse  bool
	// asked counts the orders, the refused ones included.
	asked int
}

func (o *office) cloud() duty.Cloud {
	return duty.Cloud{
		ReportUsage: func(_ context.Context, right platform.Right, window int64, counts map[fleet.AccountName]int64) error {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.reports[window] = append(o.reports[window], counts["acc"])
			o.fences = append(o.fences, right.Fence)
			return nil
		},
		Scale: func(_ context.Context, _ platform.Right, order platform.Order) error {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.asked++
			if o.refuse {
				return platform.ErrNoneToBeHad
			}
			o.orders = append(o.orders, order)
			return nil
		},
	}
}

func (o *office) read(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
}

// lockedTopic serves the topic to several keepers.
func lockedTopic(t *topic) duty.Store {
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

var _ = Describe("Keeping the duties", func() {
	const window = 500 * time.Millisecond

	// run runs a keeper until stop is called.
	run := func(store duty.Store, name fleet.NodeName, o *office, sum func(usage.Window) map[fleet.AccountName]int64, want func() int) (stop func()) {
		k := &duty.Runner{
			Lease:      duty.Lease{Store: store, Self: fleet.NodeRef{Name: name, Incarnation: 1}, TTL: lease},
			Cloud:      o.cloud(),
			HeldByPeer: func() bool { return false },
			Rank:       func() int { return 0 },
			WallClock:  time.Now,
			SumUsage:   sum,
			Window:     window, ReportDeadline: 10 * time.Second,
			Orders: func(func(platform.Order) bool) []duty.DesiredOrder {
				return []duty.DesiredOrder{{Order: platform.Order{Pool: "p", DataCentre: "x", Market: fleet.MarketOnDemand, Count: want()}}}
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error {
			k.Run(ctx, func(bool) {})
			return nil
		})
		return func() {
			cancel()
			Expect(group.Wait()).To(Succeed())
		}
	}

	It("reports each window once, and a successor never with other counts", func() {
		store, o := lockedTopic(&topic{}), &office{reports: map[int64][]int64{}}
		first := run(store, "a", o, func(usage.Window) map[fleet.AccountName]int64 { return map[fleet.AccountName]int64{"acc": 7} }, func() int { return 2 })
		windows := func() (n int) { o.read(func() { n = len(o.reports) }); return n }
		Eventually(windows, soon).Should(BeNumerically(">", 1))
		first()
		before := windows()
		// The successor counted differently: what was fixed stays as it was.
		second := run(store, "b", o, func(usage.Window) map[fleet.AccountName]int64 { return map[fleet.AccountName]int64{"acc": 9} }, func() int { return 2 })
		Eventually(windows, soon).Should(BeNumerically(">", before+1))
		second()
		o.read(func() {
			for w, counts := range o.reports {
				for _, c := range counts {
					Expect(c).To(Equal(counts[0]), "window %d", w)
				}
			}
			for i := 1; i < len(o.fences); i++ {
				Expect(o.fences[i]).To(BeNumerically(">=", o.fences[i-1]))
			}
		})
	})

	It("gives an order once while it is met or under way, and fewer only after a while", func() {
		store, o := lockedTopic(&topic{}), &office{reports: map[int64][]int64{}}
		var mu sync.Mutex
		count := 4
		stop := run(store, "a", o, func(usage.Window) map[fleet.AccountName]int64 { return nil }, func() int { mu.Lock(); defer mu.Unlock(); return count })
		orders := func() (counts []int) {
			o.read(func() {
				for _, order := range o.orders {
					counts = append(counts, order.Count)
				}
			})
			return counts
		}
		Eventually(orders, soon).Should(Equal([]int{4}))
		mu.Lock()
		count = 1
		mu.Unlock()
		Consistently(orders).Should(Equal([]int{4}))
		Eventually(orders, soon).Should(ContainElement(1))
		stop()
	})

	// The load pattern: the holder is killed, and the nodes learn late to whom to
	// tell their counts.
	It("waits for the counts of all nodes before a new holder fixes a window", func() {
		store, o := lockedTopic(&topic{}), &office{reports: map[int64][]int64{}}
		began := time.Now()
		sum := func(usage.Window) map[fleet.AccountName]int64 {
			if time.Since(began) < 1500*time.Millisecond {
				return map[fleet.AccountName]int64{"acc": 1}
			}
			return map[fleet.AccountName]int64{"acc": 9}
		}
		stop := run(store, "a", o, sum, func() int { return 0 })
		defer stop()
		Eventually(func() (n int) { o.read(func() { n = len(o.reports) }); return n }, soon).Should(BeNumerically(">", 2))
		o.read(func() {
			for w, counts := range o.reports {
				Expect(counts).To(HaveEach(int64(9)), "window %d", w)
			}
		})
	})

	It("does not ask a market again and again that had none", func() {
		store, o := lockedTopic(&topic{}), &office{reports: map[int64][]int64{}, refuse: true}
		stop := run(store, "a", o, func(usage.Window) map[fleet.AccountName]int64 { return nil }, func() int { return 4 })
		defer stop()
		asked := func() (n int) { o.read(func() { n = o.asked }); return n }
		Eventually(asked, soon).Should(Equal(1))
		Consistently(asked, "1s").Should(Equal(1), "the plan still wants four")
	})
})

const soon = 10 * time.Second
