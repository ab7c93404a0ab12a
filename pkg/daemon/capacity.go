package daemon

import (
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/capacity"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/lease"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/router"
)

// Names of the services that manage the number of instances.
const (
	ServiceLease    kernel.ServiceName = "lease"
	ServiceCapacity kernel.ServiceName = "capacity"
)

// Names of duties, each of which is assigned to one live node. dutyTrial is a prefix
// to which the digest of the content is appended.
const (
	dutyCapacity = "capacity"
	dutyRollout  = "rollout"
	dutyTrial    = "trial/"
)

// leaseService returns the service that reads the lease stream.
func (d *Daemon) leaseService() (kernel.Service, error) {
	registry := &lease.Registry{Stream: d.newStream(platform.StreamLease), Node: d.node}
	registry.Stream.Apply, registry.Stream.Save, registry.Stream.Load = registry.Apply, registry.Save, registry.Load
	return backgroundService(ServiceLease, registry, registry.Stream.Run), nil
}

// dutyDependencies holds the services that a duty under a lease uses.
type dutyDependencies struct {
	leases *lease.Registry
	router *router.Router
	roster *roster.Roster
	config *config.Store
}

// dutyDependencies looks up the services that a duty under a lease uses.
func (d *Daemon) dutyDependencies() (deps dutyDependencies, err error) {
	if deps.leases, err = kernel.Find[*lease.Registry](&d.kernel, ServiceLease); err != nil {
		return deps, err
	}
	if deps.router, err = kernel.Find[*router.Router](&d.kernel, ServiceRouter); err != nil {
		return deps, err
	}
	if deps.roster, err = kernel.Find[*roster.Roster](&d.kernel, ServiceRoster); err != nil {
		return deps, err
	}
	deps.config, err = kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	return deps, err
}

// capacityService returns the service that keeps each pool at its required number
// of instances.
func (d *Daemon) capacityService() (kernel.Service, error) {
	deps, err := d.dutyDependencies()
	if err != nil {
		return kernel.Service{}, err
	}
	c := &capacity.Controller{
		Leases:       deps.leases,
		Cloud:        d.clients.Cloud,
		Pools:        configuredPools(deps.config),
		Instances:    deps.roster.Instances,
		Demand:       func(pool fleet.PoolName) capacity.Demand { return capacity.Demand{Running: deps.router.Demand(pool)} },
		Candidate:    func() bool { return deps.roster.Loaded() && !d.draining.Load() && d.peers.Chosen(dutyCapacity) },
		ActsInOutage: func() bool { return d.peers.Chosen(dutyCapacity) },
		Retire: func(i fleet.Instance) {
			deps.roster.Report(roster.ConditionReport{Instance: i.Ref(), Condition: fleet.ConditionLeaving, Source: roster.SourceRetire})
		},
		Retired:  func() []fleet.Instance { return deps.roster.ReportedBy(roster.SourceRetire) },
		Idle:     func(i fleet.Instance) bool { return deps.router.Idle(i.Ref()) },
		OnAction: d.logCapacityAction,
	}
	return backgroundService(ServiceCapacity, c, c.Run), nil
}

// configuredPools returns a function that returns the pools of the configuration in
// force.
func configuredPools(store *config.Store) func() []fleet.Pool {
	return func() []fleet.Pool {
		if active := store.Current(); active != nil {
			return active.Document.Pools
		}
		return nil
	}
}

// logCapacityAction logs an action of the capacity controller.
func (d *Daemon) logCapacityAction(a capacity.Action, pool fleet.PoolName, location capacity.Location, err error) {
	ids := map[capacity.Action]event.ID{
		capacity.ActionStarted:     event.InstanceStarted,
		capacity.ActionRefused:     event.StartRefused,
		capacity.ActionUnconfirmed: event.StartUnconfirmed,
		capacity.ActionLost:        event.StartLost,
		capacity.ActionRetiring:    event.InstanceRetiring,
		capacity.ActionStopped:     event.InstanceStopped,
	}
	d.Logs.Emit(ids[a],
		zap.String("pool", string(pool)),
		zap.String("zone", string(location.Zone)),
		zap.String("class", string(location.Class)),
		zap.String("market", string(location.Market)),
		zap.Error(err))
}
