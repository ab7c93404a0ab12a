package capacity_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/capacity"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/lease"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

// cloud is a cloud of function fields: it may refuse a zone or lose its answers.
type cloud struct {
	mu      sync.Mutex
	running []fleet.Instance
	refuse  fleet.ZoneName
	lose    bool
}

func (c *cloud) start(_ context.Context, s platform.StartRequest) (i fleet.Instance, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Zone == c.refuse && s.Market == fleet.MarketReclaimable {
		return i, &platform.NotExecutedError{Service: "cloud", Cause: context.Canceled}
	}
	i = fleet.Instance{ID: fleet.InstanceID(s.Tag), Pool: s.Pool, Zone: s.Zone, Class: s.Class, Market: s.Market, Tag: s.Tag}
	c.running = append(c.running, i)
	if c.lose {
		return fleet.Instance{}, &platform.UnknownOutcomeError{Service: "cloud", Cause: context.DeadlineExceeded}
	}
	return i, nil
}

func (c *cloud) list() []fleet.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]fleet.Instance(nil), c.running...)
}

var _ = Describe("The keeper", func() {
	var (
		log    *standin.Log
		world  *cloud
		offers []fleet.Offer
	)

	keeper := func(ctx context.Context, name fleet.NodeName) *capacity.Controller {
		b := &lease.Registry{Node: fleet.NodeRef{Name: name, Incarnation: 1}}
		b.Stream = newStream(log, b)
		ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		var g errgroup.Group
		g.Go(func() error { return b.Stream.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			Expect(g.Wait()).To(Succeed())
		})
		Expect(b.Stream.WaitReady(ctx)).To(Succeed())
		return &capacity.Controller{
			Leases: b,
			Cloud:  &platform.Cloud{StartFunc: world.start},
			Pools: func() []fleet.Pool {
				return []fleet.Pool{{Name: "plume", Slots: 8, Workers: fleet.Range{Min: 2, Max: 6}, Offers: offers}}
			},
			Instances:    world.list,
			Demand:       func(fleet.PoolName) capacity.Demand { return capacity.Demand{} },
			Candidate:    func() bool { return true },
			ActsInOutage: func() bool { return true },
			Retired:      func() []fleet.Instance { return nil },
		}
	}

	BeforeEach(func() {
		log, world = &standin.Log{}, &cloud{}
		offers = []fleet.Offer{
			{Zone: "a", Class: "small", Market: fleet.MarketReclaimable, Hourly: 10},
			{Zone: "b", Class: "small", Market: fleet.MarketReclaimable, Hourly: 12},
			{Zone: "b", Class: "small", Market: fleet.MarketOnDemand, Hourly: 40},
		}
	})

	It("starts what is missing once, though two nodes try", func(ctx context.Context) {
		first, second := keeper(ctx, "one"), keeper(ctx, "two")
		for range 4 {
			first.Step(ctx)
			second.Step(ctx)
		}
		Expect(world.list()).To(HaveLen(4))
	}, NodeTimeout(time.Minute))

	It("does not start again what it started without an answer", func(ctx context.Context) {
		world.lose = true
		k := keeper(ctx, "one")
		for range 4 {
			k.Step(ctx)
		}
		Expect(world.list()).To(HaveLen(4))
	}, NodeTimeout(time.Minute))

	It("falls over to another market when a zone refuses", func(ctx context.Context) {
		world.refuse = "a"
		k := keeper(ctx, "one")
		Eventually(func() map[fleet.Market]int {
			k.Step(ctx)
			markets := map[fleet.Market]int{}
			for _, i := range world.list() {
				markets[i.Market]++
			}
			return markets
		}).WithTimeout(30 * time.Second).Should(HaveKeyWithValue(fleet.MarketOnDemand, 2))
	}, NodeTimeout(time.Minute))

	It("goes on with few starts while the log is down", func(ctx context.Context) {
		k := keeper(ctx, "one")
		log.Set(standin.StateDown)
		Eventually(func() int {
			k.Step(ctx)
			return len(world.list())
		}).WithTimeout(40 * time.Second).Should(Equal(4))
		world.mu.Lock()
		world.running = nil
		world.mu.Unlock()
		for range 5 {
			k.Step(ctx)
		}
		Expect(world.list()).To(BeEmpty())
	}, NodeTimeout(time.Minute))
})

// newStream returns a lease stream over a stand-in log.
func newStream(l *standin.Log, b *lease.Registry) *journal.Stream {
	return &journal.Stream{
		Log:           l.Client(),
		Name:          platform.StreamLease,
		Apply:         b.Apply,
		AppendTimeout: time.Second,
	}
}
