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

// fakeCloud is a cloud that can refuse reclaimable starts in a zone and lose its
// responses.
type fakeCloud struct {
	mu            sync.Mutex
	running       []fleet.Instance
	refusedZone   fleet.ZoneName
	loseResponses bool
}

func (c *fakeCloud) start(_ context.Context, s platform.StartRequest) (i fleet.Instance, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Zone == c.refusedZone && s.Market == fleet.MarketReclaimable {
		return i, &platform.NotExecutedError{Service: "cloud", Cause: context.Canceled}
	}
	i = fleet.Instance{ID: fleet.InstanceID(s.Tag), Pool: s.Pool, Zone: s.Zone, Class: s.Class, Market: s.Market, Tag: s.Tag}
	c.running = append(c.running, i)
	if c.loseResponses {
		return fleet.Instance{}, &platform.UnknownOutcomeError{Service: "cloud", Cause: context.DeadlineExceeded}
	}
	return i, nil
}

func (c *fakeCloud) list() []fleet.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]fleet.Instance(nil), c.running...)
}

var _ = Describe("The controller", func() {
	var (
		log    *standin.Log
		cloud  *fakeCloud
		offers []fleet.Offer
	)

	newController := func(ctx context.Context, name fleet.NodeName) *capacity.Controller {
		leases := &lease.Registry{Node: fleet.NodeRef{Name: name, Incarnation: 1}}
		leases.Stream = newStream(log, leases)
		ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		var g errgroup.Group
		g.Go(func() error { return leases.Stream.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			Expect(g.Wait()).To(Succeed())
		})
		Expect(leases.Stream.WaitReady(ctx)).To(Succeed())
		return &capacity.Controller{
			Leases: leases,
			Cloud:  &platform.Cloud{StartFunc: cloud.start},
			Pools: func() []fleet.Pool {
				return []fleet.Pool{{Name: "plume", Slots: 8, Workers: fleet.Range{Min: 2, Max: 6}, Offers: offers}}
			},
			Instances:    cloud.list,
			Demand:       func(fleet.PoolName) capacity.Demand { return capacity.Demand{} },
			Candidate:    func() bool { return true },
			ActsInOutage: func() bool { return true },
			Retired:      func() []fleet.Instance { return nil },
		}
	}

	BeforeEach(func() {
		log, cloud = &standin.Log{}, &fakeCloud{}
		offers = []fleet.Offer{
			{Zone: "a", Class: "small", Market: fleet.MarketReclaimable, HourlyPrice: 10},
			{Zone: "b", Class: "small", Market: fleet.MarketReclaimable, HourlyPrice: 12},
			{Zone: "b", Class: "small", Market: fleet.MarketOnDemand, HourlyPrice: 40},
		}
	})

	It("starts each missing instance once, although two nodes try", func(ctx context.Context) {
		first, second := newController(ctx, "one"), newController(ctx, "two")
		for range 4 {
			first.Step(ctx)
			second.Step(ctx)
		}
		Expect(cloud.list()).To(HaveLen(4))
	}, NodeTimeout(time.Minute))

	It("does not repeat a start whose response was lost", func(ctx context.Context) {
		cloud.loseResponses = true
		c := newController(ctx, "one")
		for range 4 {
			c.Step(ctx)
		}
		Expect(cloud.list()).To(HaveLen(4))
	}, NodeTimeout(time.Minute))

	It("starts on-demand instances when a zone refuses reclaimable ones", func(ctx context.Context) {
		cloud.refusedZone = "a"
		c := newController(ctx, "one")
		Eventually(func() map[fleet.Market]int {
			c.Step(ctx)
			markets := map[fleet.Market]int{}
			for _, i := range cloud.list() {
				markets[i.Market]++
			}
			return markets
		}).WithTimeout(30 * time.Second).Should(HaveKeyWithValue(fleet.MarketOnDemand, 2))
	}, NodeTimeout(time.Minute))

	It("continues with a limited number of starts while the log is down", func(ctx context.Context) {
		c := newController(ctx, "one")
		log.Set(standin.StateDown)
		Eventually(func() int {
			c.Step(ctx)
			return len(cloud.list())
		}).WithTimeout(40 * time.Second).Should(Equal(4))
		cloud.mu.Lock()
		cloud.running = nil
		cloud.mu.Unlock()
		for range 5 {
			c.Step(ctx)
		}
		Expect(cloud.list()).To(BeEmpty())
	}, NodeTimeout(time.Minute))
})

// newStream returns a lease stream over a stand-in log.
func newStream(l *standin.Log, leases *lease.Registry) *journal.Stream {
	return &journal.Stream{
		Log:           l.Client(),
		Name:          platform.StreamLease,
		Apply:         leases.Apply,
		AppendTimeout: time.Second,
	}
}
