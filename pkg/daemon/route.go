package daemon

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/route"
	"github.com/skylarkloom/skylarkloom/pkg/router"
)

// ServicePoller is the name of the service that reads the load and the cache events
// of the engines.
const ServicePoller kernel.ServiceName = "poller"

// routeWeights returns a function that returns the routing weights of an account in
// the configuration in force.
func routeWeights(store *config.Store) func(fleet.AccountName, fleet.PoolName) route.Weights {
	return func(account fleet.AccountName, pool fleet.PoolName) route.Weights {
		active := store.Current()
		if active == nil {
			return route.Weights{Latency: 1, Recompute: 1}
		}
		p := active.Document.Policy(account, pool, time.Now())
		return route.Weights{Latency: p.LatencyWeight.Value, Recompute: p.RecomputeWeight.Value}
	}
}

// isEnginePool returns a function that reports whether a pool has model engines.
func isEnginePool(store *config.Store) func(fleet.PoolName) bool {
	return func(name fleet.PoolName) bool {
		active := store.Current()
		if active == nil {
			return false
		}
		p, ok := active.Document.Pool(name)
		return ok && p.Kind == fleet.KindModel
	}
}

func (d *Daemon) pollerService() (kernel.Service, error) {
	r, err := kernel.Find[*router.Router](&d.kernel, ServiceRouter)
	if err != nil {
		return kernel.Service{}, err
	}
	store, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	p := &router.Poller{Router: r, IsEngine: isEnginePool(store)}
	return backgroundService(ServicePoller, p, p.Run), nil
}
