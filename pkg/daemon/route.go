package daemon

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/route"
	"github.com/skylarkloom/skylarkloom/pkg/router"
)

// ServicePoller reads the load and the cache events of the engines.
const ServicePoller kernel.ServiceName = "poller"

// weights returns what accounts pay attention to, by the configuration in force.
func weights(k *config.Store) func(fleet.AccountName, fleet.PoolName) route.Weights {
	return func(account fleet.AccountName, pool fleet.PoolName) route.Weights {
		force := k.Current()
		if force == nil {
			return route.Weights{Latency: 1, Recompute: 1}
		}
		p := force.Document.Policy(account, pool, time.Now())
		return route.Weights{Latency: p.LatencyWeight.Value, Recompute: p.RecomputeWeight.Value}
	}
}

// engines reports which pools have model engines.
func engines(k *config.Store) func(fleet.PoolName) bool {
	return func(name fleet.PoolName) bool {
		force := k.Current()
		if force == nil {
			return false
		}
		p, ok := force.Document.Pool(name)
		return ok && p.Kind == fleet.KindModel
	}
}

func (d *Daemon) pollerService() (kernel.Service, error) {
	r, err := kernel.Find[*router.Router](&d.kernel, ServiceRouter)
	if err != nil {
		return kernel.Service{}, err
	}
	k, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	p := &router.Poller{Router: r, IsEngine: engines(k)}
	return running(ServicePoller, p, p.Run), nil
}
