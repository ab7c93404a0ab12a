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
	b := &lease.Book{Stream: d.newStream(platform.StreamLease), Node: d.node}
	b.Stream.Apply, b.Stream.Save, b.Stream.Load = b.Apply, b.Save, b.Load
	return running(ServiceLease, b, b.Stream.Run), nil
}

// capacityService keeps the pools at the instances that they need.
func (d *Daemon) capacityService() (kernel.Service, error) {
	b, err := kernel.Find[*lease.Book](&d.kernel, ServiceLease)
	if err != nil {
		return kernel.Service{}, err
	}
	r, err := kernel.Find[*router.Router](&d.kernel, ServiceRouter)
	if err != nil {
		return kernel.Service{}, err
	}
	known, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return kernel.Service{}, err
	}
	k, err := kernel.Find[*config.Keeper](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	c := &capacity.Keeper{
		Book:      b,
		Cloud:     d.clients.Cloud,
		Pools:     pools(k),
		Instances: known.Instances,
		Demand:    func(pool fleet.PoolName) capacity.Demand { return capacity.Demand{Running: r.Demand(pool)} },
		Candidate: func() bool { return known.Read() && !d.leaving.Load() && d.peers.Chosen(dutyCapacity) },
		Stands:    func() bool { return d.peers.Chosen(dutyCapacity) },
		Retire: func(i fleet.Instance) {
			known.Mark(roster.Mark{Instance: i.Ref(), Condition: fleet.ConditionLeaving, Source: roster.SourceRetire})
		},
		Retired: func() []fleet.Instance { return known.From(roster.SourceRetire) },
		Idle:    func(i fleet.Instance) bool { return r.Idle(i.Ref()) },
		Did:     d.capacityDid,
	}
	return running(ServiceCapacity, c, c.Run), nil
}

// pools returns the pools of the configuration in force.
func pools(k *config.Keeper) func() []fleet.Pool {
	return func() []fleet.Pool {
		if force := k.Current(); force != nil {
			return force.Document.Pools
		}
		return nil
	}
}

func (d *Daemon) capacityDid(a capacity.Action, pool fleet.PoolName, place capacity.Place, err error) {
	ids := map[capacity.Action]event.ID{
		capacity.ActionStarted:  event.InstanceStarted,
		capacity.ActionRefused:  event.StartRefused,
		capacity.ActionUnsure:   event.StartUnsure,
		capacity.ActionLost:     event.StartLost,
		capacity.ActionRetiring: event.InstanceRetiring,
		capacity.ActionStopped:  event.InstanceStopped,
	}
	d.Logs.Emit(ids[a],
		zap.String("pool", string(pool)),
		zap.String("zone", string(place.Zone)),
		zap.String("class", string(place.Class)),
		zap.String("market", string(place.Market)),
		zap.Error(err))
}
