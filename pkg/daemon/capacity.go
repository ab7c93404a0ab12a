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

// The names of the services that start instances.
const (
	ServiceLease    kernel.ServiceName = "lease"
	ServiceCapacity kernel.ServiceName = "capacity"
)

// The duties that fall to one of the living nodes.
const (
	dutyCapacity = "capacity"
	dutyRollout  = "rollout"
	dutyTrial    = "trial/"
)

// leaseService follows the lease stream.
func (d *Daemon) leaseService() (kernel.Service, error) {
	b := &lease.Registry{Stream: d.newStream(platform.StreamLease), Node: d.node}
	b.Stream.Apply, b.Stream.Save, b.Stream.Load = b.Apply, b.Save, b.Load
	return running(ServiceLease, b, b.Stream.Run), nil
}

// dutyParts are the services that a duty under a lease works with.
type dutyParts struct {
	book   *lease.Registry
	router *router.Router
	roster *roster.Roster
	config *config.Store
}

func (d *Daemon) dutyParts() (p dutyParts, err error) {
	if p.book, err = kernel.Find[*lease.Registry](&d.kernel, ServiceLease); err != nil {
		return p, err
	}
	if p.router, err = kernel.Find[*router.Router](&d.kernel, ServiceRouter); err != nil {
		return p, err
	}
	if p.roster, err = kernel.Find[*roster.Roster](&d.kernel, ServiceRoster); err != nil {
		return p, err
	}
	p.config, err = kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	return p, err
}

// capacityService keeps the pools at the instances that they need.
func (d *Daemon) capacityService() (kernel.Service, error) {
	p, err := d.dutyParts()
	if err != nil {
		return kernel.Service{}, err
	}
	c := &capacity.Controller{
		Leases:       p.book,
		Cloud:        d.clients.Cloud,
		Pools:        pools(p.config),
		Instances:    p.roster.Instances,
		Demand:       func(pool fleet.PoolName) capacity.Demand { return capacity.Demand{Running: p.router.Demand(pool)} },
		Candidate:    func() bool { return p.roster.Loaded() && !d.leaving.Load() && d.peers.Chosen(dutyCapacity) },
		ActsInOutage: func() bool { return d.peers.Chosen(dutyCapacity) },
		Retire: func(i fleet.Instance) {
			p.roster.Report(roster.Report{Instance: i.Ref(), Condition: fleet.ConditionLeaving, Source: roster.SourceRetire})
		},
		Retired:  func() []fleet.Instance { return p.roster.ReportedBy(roster.SourceRetire) },
		Idle:     func(i fleet.Instance) bool { return p.router.Idle(i.Ref()) },
		OnAction: d.capacityDid,
	}
	return running(ServiceCapacity, c, c.Run), nil
}

// pools returns the pools of the configuration in force.
func pools(k *config.Store) func() []fleet.Pool {
	return func() []fleet.Pool {
		if force := k.Current(); force != nil {
			return force.Document.Pools
		}
		return nil
	}
}

func (d *Daemon) capacityDid(a capacity.Action, pool fleet.PoolName, place capacity.Location, err error) {
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
		zap.String("zone", string(place.Zone)),
		zap.String("class", string(place.Class)),
		zap.String("market", string(place.Market)),
		zap.Error(err))
}
