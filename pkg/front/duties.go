package front

import (
	"cmp"
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/duty"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

// dutiesService seeks the duties and does them while the node holds them.
func (f *Front) dutiesService() kernel.Service {
	done := make(chan struct{})
	cloud := platform.NewCloud(f.Settings.Cloud.Address)
	keeper := &duty.Runner{
		Lease: duty.Lease{
			Store: duty.Store{Newest: f.store.Newest, AppendAt: f.store.AppendAt},
			Self:  f.self,
			TTL:   f.Settings.Bounds.LeaseTTL, Started: f.startedOn,
		},
		Cloud:          duty.Cloud{ReportUsage: cloud.ReportUsage, Scale: cloud.Scale},
		HeldByPeer:     f.held,
		Rank:           f.fellows.DutyRank,
		WallClock:      f.trueTime,
		SumUsage:       f.ledger.Sum,
		Orders:         f.orders,
		ReportDeadline: f.Settings.Bounds.UsageDeadline,
		Logs:           f.Logs,
	}
	if f.Settings.Cloud.Usage {
		keeper.Window = f.Settings.Bounds.UsageWindow
	}
	return kernel.Service{
		Name: ServiceDuties,
		Done: done,
		Start: func(ctx context.Context) error {
			ctx, cancel := context.WithCancel(ctx)
			f.resign = cancel
			f.group.Go(func() error {
				defer close(done)
				if f.Settings.Cloud.Address != "" {
					keeper.Run(ctx, f.holds.Store)
				}
				return nil
			})
			return nil
		},
		Drain: func(context.Context) error {
			f.resign()
			return nil
		},
	}
}

// held tells whether another node that is heard of holds the duties.
func (f *Front) held() bool {
	name, _ := f.fellows.DutyHolder()
	return name != ""
}

// orders returns the orders of endpoints that should be in force.
func (f *Front) orders(refused func(platform.Order) bool) []duty.DesiredOrder {
	c := f.config.Load()
	if c == nil || !f.Settings.Cloud.Scale {
		return nil
	}
	f.dutyMu.Lock()
	defer f.dutyMu.Unlock()
	var wants []duty.DesiredOrder
	demand := f.demands()
	for _, p := range c.Pools {
		if p.Scale != nil {
			wants = append(wants, f.poolOrders(p, demand[p.Name], refused)...)
		}
	}
	slices.SortFunc(wants, func(a, b duty.DesiredOrder) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(b.Count-b.Present, a.Count-a.Present), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return wants
}

// poolOrders plans the endpoints of one pool.
func (f *Front) poolOrders(p serving.Pool, demand float64, refused func(platform.Order) bool) []duty.DesiredOrder {
	present := make(map[fleet.DataCentreName]map[fleet.Market]int)
	reclaimed := make(map[fleet.DataCentreName]bool)
	for _, e := range f.directory.Endpoints(p.Name) {
		if present[e.DataCentre] == nil {
			present[e.DataCentre] = make(map[fleet.Market]int)
		}
		if e.State == serving.StateReady {
			present[e.DataCentre][e.Market]++
		} else if e.Market == fleet.MarketReclaimable && e.Leaves > 0 {
			reclaimed[e.DataCentre] = true
		}
	}
	places := make([]provision.Supply, 0, len(f.Settings.DataCentres))
	for _, name := range f.Settings.DataCentres {
		order := platform.Order{Pool: p.Name, DataCentre: name, Market: fleet.MarketReclaimable}
		places = append(places, provision.Supply{
			DataCentre:             name,
			Reclaimable:            present[name][fleet.MarketReclaimable],
			ReclaimableUnavailable: reclaimed[name] || refused(order),
		})
	}
	slices.SortFunc(places, func(a, b provision.Supply) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	now := clock.Now()
	measured := f.demand.Measured(now)
	initial := 0
	if !measured {
		census := f.initial[p.Name]
		if census == nil {
			return nil
		}
		complete := false
		if initial, complete = census.Complete(now); !complete {
			return nil
		}
	}
	policy := provision.DefaultPolicy
	need := policy.RequiredEngines(demand, measured, initial)
	counts := provision.Plan(policy, need, *p.Scale, places)
	wants := make([]duty.DesiredOrder, 0, 2*len(counts))
	for _, c := range counts {
		for market, n := range map[fleet.Market]int{fleet.MarketOnDemand: c.OnDemand, fleet.MarketReclaimable: c.Reclaimable} {
			wants = append(wants, duty.DesiredOrder{
				Order:   platform.Order{Pool: p.Name, DataCentre: c.DataCentre, Market: market, Count: n},
				Present: present[c.DataCentre][market],
			})
		}
	}
	f.planned(p.Name, demand, counts)
	return wants
}

// countInitial counts the endpoints that a pool had before its demand was
// measured. They register one after the other.
func (f *Front) countInitial() {
	c := f.config.Load()
	now := clock.Now()
	if c == nil || f.demand.Measured(now) {
		return
	}
	f.dutyMu.Lock()
	defer f.dutyMu.Unlock()
	for name := range c.Pools {
		if f.initial[name] == nil {
			f.initial[name] = &provision.InitialCount{}
		}
		f.initial[name].Observe(len(f.directory.Endpoints(name)), now)
	}
}

// planned logs a plan when it changes.
func (f *Front) planned(pool fleet.PoolName, demand float64, counts []provision.Target) {
	if slices.Equal(f.plan[pool], counts) {
		return
	}
	f.plan[pool] = counts
	f.Logs.Emit(event.PlanChanged, zap.String("pool", string(pool)), zap.Float64("demand", demand), zap.Any("counts", counts))
}
