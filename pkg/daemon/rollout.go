package daemon

import (
	"context"

	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/rollout"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/router"
)

// ServiceRollout is the name of the service that rolls out model versions.
const ServiceRollout kernel.ServiceName = "rollout"

// rolloutService returns the service that loads the configured model version on the
// engines.
func (d *Daemon) rolloutService() (kernel.Service, error) {
	deps, err := d.dutyDependencies()
	if err != nil {
		return kernel.Service{}, err
	}
	c := &rollout.Controller{
		Leases:    deps.leases,
		Pools:     modelPools(deps.config),
		Endpoints: func(pool fleet.PoolName) []rollout.Endpoint { return rolloutEndpoints(deps.roster, deps.router, pool) },
		Command: func(ctx context.Context, i fleet.Instance, c engine.Command) error {
			return endpoint.DialEngine(i, d.httpClient).CommandFunc(ctx, c)
		},
		Candidate: func() bool { return deps.roster.Loaded() && !d.draining.Load() && d.peers.Chosen(dutyRollout) },
		OnStep: func(s rollout.Step, pool fleet.PoolName, err error) {
			id := event.RolloutStep
			if err != nil {
				id = event.RolloutFailed
			}
			d.Logs.Emit(id, zap.String("pool", string(pool)), zap.String("instance", string(s.Instance.ID)), zap.String("step", string(s.Action)), zap.Error(err))
		},
	}
	return backgroundService(ServiceRollout, c, c.Run), nil
}

// rolloutEndpoints returns the live endpoints of a pool with their loaded versions.
func rolloutEndpoints(instanceRoster *roster.Roster, r *router.Router, pool fleet.PoolName) (list []rollout.Endpoint) {
	for _, i := range instanceRoster.LiveInPool(pool) {
		load := r.Load(i.Ref())
		list = append(list, rollout.Endpoint{
			Instance: i,
			Model:    load.Model,
			Version:  load.Version,
			Idle:     r.Idle(i.Ref()),
		})
	}
	return list
}

// modelPools returns a function that returns the pools of model engines in the
// configuration in force.
func modelPools(store *config.Store) func() []fleet.Pool {
	pools := configuredPools(store)
	return func() (models []fleet.Pool) {
		for _, p := range pools() {
			if p.Kind == fleet.KindModel {
				models = append(models, p)
			}
		}
		return models
	}
}
