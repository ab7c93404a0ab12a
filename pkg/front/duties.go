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

// dutiesService competes for the duties and performs them while this node holds them.
func (f *Front) dutiesService() kernel.Service {
	done := make(chan struct{})
	cloud := platform.NewCloud(f.Settings.Cloud.Address)
	cloud.Responses = &f.intake.services
	runner := &duty.Runner{
		Lease: duty.Lease{
			Store: duty.Store{Newest: f.store.Newest, AppendAt: f.store.AppendAt},
			Self:  f.self,
			TTL:   f.Settings.Bounds.LeaseTTL, Started: f.startInstant,
		},
		Cloud:          duty.Cloud{ReportUsage: cloud.ReportUsage, Scale: cloud.Scale},
		HeldByPeer:     f.heldByPeer,
		Rank:           f.peers.DutyRank,
		WallClock:      f.correctedTime,
		SumUsage:       f.usageCounter.Sum,
		DesiredScales:  f.desiredScales,
		ReportDeadline: f.Settings.Bounds.UsageDeadline,
		Logs:           f.Logs,
	}
	if f.Settings.Cloud.Usage {
		runner.Window = f.Settings.Bounds.UsageWindow
	}
	return kernel.Service{
		Name: ServiceDuties,
		Done: done,
		Start: func(ctx context.Context) error {
			ctx, cancel := context.WithCancel(ctx)
			f.cancelDuties = cancel
			f.group.Go(func() error {
				defer close(done)
				if f.Settings.Cloud.Address != "" {
					runner.Run(ctx, f.holdsDuties.Store)
				}
				return nil
			})
			return nil
		},
		Drain: func(context.Context) error {
			f.cancelDuties()
			return nil
		},
	}
}

// heldByPeer reports whether a peer that is not silent holds the duties.
func (f *Front) heldByPeer() bool {
	name, _ := f.peers.DutyHolder()
	return name != ""
}

// desiredScales returns the scale requests that should be in force, sorted by pool
// and then by the number of missing endpoints, largest first.
func (f *Front) desiredScales(refused func(platform.ScaleRequest) bool) []duty.DesiredScale {
	c := f.config.Load()
	if c == nil || !f.Settings.Cloud.Scale {
		return nil
	}
	f.dutyMu.Lock()
	defer f.dutyMu.Unlock()
	var desired []duty.DesiredScale
	demand := f.totalDemand()
	for _, p := range c.Pools {
		if p.Scale != nil {
			desired = append(desired, f.poolScales(p, demand[p.Name], refused)...)
		}
	}
	slices.SortFunc(desired, func(a, b duty.DesiredScale) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(b.Count-b.Present, a.Count-a.Present), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return desired
}

// poolScales returns the desired scale of a pool, or nil until its demand is
// measured or its initial endpoints are counted.
func (f *Front) poolScales(p serving.Pool, demand float64, refused func(platform.ScaleRequest) bool) []duty.DesiredScale {
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
	supplies := make([]provision.Supply, 0, len(f.Settings.DataCentres))
	for _, name := range f.Settings.DataCentres {
		request := platform.ScaleRequest{Pool: p.Name, DataCentre: name, Market: fleet.MarketReclaimable}
		supplies = append(supplies, provision.Supply{
			DataCentre:             name,
			Reclaimable:            present[name][fleet.MarketReclaimable],
			ReclaimableUnavailable: reclaimed[name] || refused(request),
		})
	}
	slices.SortFunc(supplies, func(a, b provision.Supply) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	now := clock.Now()
	measured := f.demand.Measured(now)
	initial := 0
	if !measured {
		count := f.initialCounts[p.Name]
		if count == nil {
			return nil
		}
		complete := false
		if initial, complete = count.Complete(now); !complete {
			return nil
		}
	}
	if f.trends[p.Name] == nil {
		f.trends[p.Name], f.holds[p.Name] = &provision.Trend{}, &provision.Hold{}
	}
	demand = f.observeReported(p.Name, demand, now)
	forecast := demand
	if measured {
		// The rise from nothing when callers arrive says nothing of the growth after it.
		forecast = f.trends[p.Name].Forecast(demand, p.Scale.BootTime, now)
	}
	policy := provision.DefaultPolicy
	// Where speeds are known endpoint by endpoint, requests go to the engines that have room,
	// and the plan may be closer.
	known := f.pace.Pool(p.Name).Uneven
	if !known {
		policy.LossUtilisation = policy.Utilisation
	}
	targets := provision.Plan(policy, policy.Require(forecast, measured, initial), *p.Scale, supplies)
	if known {
		f.holds[p.Name].Apply(targets, supplies, *p.Scale, now)
	}
	desired := make([]duty.DesiredScale, 0, 2*len(targets))
	for _, t := range targets {
		for market, n := range map[fleet.Market]int{fleet.MarketOnDemand: t.OnDemand, fleet.MarketReclaimable: t.Reclaimable} {
			desired = append(desired, duty.DesiredScale{
				ScaleRequest: platform.ScaleRequest{Pool: p.Name, DataCentre: t.DataCentre, Market: market, Count: n},
				Present:      present[t.DataCentre][market],
			})
		}
	}
	f.logPlan(p.Name, demand, forecast, targets)
	return desired
}

// countInitialEndpoints counts the endpoints that each pool has before its demand is
// measured. They register one after the other, so the count is updated repeatedly.
func (f *Front) countInitialEndpoints() {
	c := f.config.Load()
	now := clock.Now()
	if c == nil || f.demand.Measured(now) {
		return
	}
	f.dutyMu.Lock()
	defer f.dutyMu.Unlock()
	for name := range c.Pools {
		if f.initialCounts[name] == nil {
			f.initialCounts[name] = &provision.InitialCount{}
		}
		f.initialCounts[name].Observe(len(f.directory.Endpoints(name)), now)
	}
}

// observeDemand follows the demand that the nodes report on each pool, so that a node that
// gets the duties while reports are missing knows what they were.
func (f *Front) observeDemand() {
	c := f.config.Load()
	if c == nil || !f.Settings.Cloud.Scale {
		return
	}
	f.dutyMu.Lock()
	defer f.dutyMu.Unlock()
	demand := f.totalDemand()
	for name, p := range c.Pools {
		if p.Scale != nil {
			f.observeReported(name, demand[name], clock.Now())
		}
	}
}

// observeReported returns the demand on a pool to plan for, given the sum that the nodes
// report now. The caller holds the lock.
func (f *Front) observeReported(pool fleet.PoolName, sum float64, now clock.Instant) float64 {
	r := f.reported[pool]
	if r == nil {
		r = &provision.ReportedDemand{}
		f.reported[pool] = r
	}
	return r.Observe(sum, now)
}

// logPlan logs the targets of a pool when they change.
func (f *Front) logPlan(pool fleet.PoolName, demand, forecast float64, targets []provision.Target) {
	if slices.Equal(f.lastPlans[pool], targets) {
		return
	}
	f.lastPlans[pool] = targets
	f.Logs.Emit(event.PlanChanged, zap.String("pool", string(pool)), zap.Float64("demand", demand), zap.Float64("forecast", forecast), zap.Any("counts", targets),
		zap.Any("speeds", f.engines.Speeds(pool)))
}
