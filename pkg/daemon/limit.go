package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/limit"
	"github.com/skylarkloom/skylarkloom/pkg/router"
)

// ServiceLimiter is the name of the service that admits requests; its value is a
// *limit.Limiter.
const ServiceLimiter kernel.ServiceName = "limit"

// Intervals of the limit service.
const (
	// resizeInterval is the interval between updates of the concurrency limits and
	// the quota shares.
	resizeInterval = 100 * time.Millisecond
	// refusalLogInterval is the minimum time between two events on refusals.
	refusalLogInterval = 10 * time.Second
)

// admitter connects the limiter with the entry handler and the router.
type admitter struct {
	limiter      *limit.Limiter
	router       *router.Router
	retryBackoff limit.RetryBackoff
	nodeCount    int
	refused      *prometheus.CounterVec
	logRefusal   func(r limit.Request, reason limit.Reason)

	// aliveNodes returns how many nodes are alive, this one included.
	aliveNodes func() (count int)
	// fleetDemand returns the demand of an account on all nodes.
	fleetDemand func(account fleet.AccountName) float64

	mu        sync.Mutex
	seenPools map[fleet.PoolName]bool
	shares    map[fleet.AccountName]float64
}

// accountShare is the Share function of the limiter.
func (a *admitter) accountShare(account fleet.AccountName) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if share, ok := a.shares[account]; ok {
		return share
	}
	return limit.Share(0, 0, 1, a.nodeCount)
}

// updateShares recalculates the shares from the demand on this node and the demand
// that peers report.
func (a *admitter) updateShares() {
	alive := a.aliveNodes()
	shares := make(map[fleet.AccountName]float64)
	for account, local := range a.limiter.Demands() {
		others := max(0, a.fleetDemand(account)-local)
		shares[account] = limit.Share(local, others, alive, a.nodeCount)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares = shares
}

// admit is the Admit function of the entry handler.
func (a *admitter) admit(admission entry.Admission) (release func(), err error) {
	r := limit.Request{
		Account:     admission.Account.Name,
		Pool:        admission.Pool.Name,
		Priority:    admission.Policy.Priority.Value,
		Deadline:    admission.Deadline,
		Rate:        admission.Policy.Rate.Value,
		Burst:       admission.Policy.Burst.Value,
		ServiceTime: a.router.Forecast(admission.Pool.Name, admission.PromptTokens, admission.MaxTokens),
		MaxRunning:  a.router.ConcurrencyLimit(admission.Pool.Name, a.nodeCount),
		Cancelled:   admission.Disconnected,
	}
	a.mu.Lock()
	a.seenPools[r.Pool] = true
	a.mu.Unlock()
	release, err = a.limiter.Admit(r)
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		a.refused.WithLabelValues(string(r.Account), string(r.Pool), string(refused.Reason)).Inc()
		if refused.Reason != limit.ReasonCancelled {
			a.logRefusal(r, refused.Reason)
		}
		return nil, &entry.RefusedError{
			Reason:     refused.Error(),
			RetryAfter: refused.RetryAfter,
			OverQuota:  refused.Reason == limit.ReasonRate,
		}
	}
	if err == nil {
		a.retryBackoff.Deposit()
	}
	return release, err
}

// run updates the concurrency limits and the quota shares until the context ends. The
// updates of the limits let waiting requests use new capacity while no request
// arrives or ends.
func (a *admitter) run(ctx context.Context) error {
	interval.Run(ctx, resizeInterval, func(context.Context) {
		a.resizeLimits()
		a.updateShares()
	})
	return nil
}

// resizeLimits sets the concurrency limit of every pool that has had a request.
func (a *admitter) resizeLimits() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for pool := range a.seenPools {
		a.limiter.Resize(pool, a.router.ConcurrencyLimit(pool, a.nodeCount))
	}
}

// backOff is the Pause function of the generation runner.
func (a *admitter) backOff(ctx context.Context, retry int) error {
	t := time.NewTimer(a.retryBackoff.NextBackoff(retry))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// limitService returns the service that admits requests. The share of an account's
// quota depends on the demand that peers report.
func (d *Daemon) limitService() (kernel.Service, error) {
	r, err := kernel.Find[*router.Router](&d.kernel, ServiceRouter)
	if err != nil {
		return kernel.Service{}, err
	}
	a := &admitter{
		limiter:   &limit.Limiter{},
		router:    r,
		nodeCount: d.countNodes(),
		seenPools: make(map[fleet.PoolName]bool),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_refused_total",
			Help: "Requests that the limiter refused.",
		}, []string{"account", "pool", "reason"}),
	}
	a.limiter.Share = a.accountShare
	a.aliveNodes = d.countAlive
	a.fleetDemand = func(account fleet.AccountName) float64 { return d.peers.AccountDemand(account).Fleet }
	d.peers.Demand = a.limiter.Demands
	throttle := rate.Sometimes{Interval: refusalLogInterval}
	a.logRefusal = func(r limit.Request, reason limit.Reason) {
		throttle.Do(func() {
			d.Logs.Emit(event.RequestsRefused, zap.String("account", string(r.Account)), zap.String("pool", string(r.Pool)), zap.String("reason", string(reason)))
		})
	}
	d.registry.MustRegister(a.refused)
	d.admitter = a
	return backgroundService(ServiceLimiter, a.limiter, a.run), nil
}

// countAlive returns how many entry nodes are alive, this one included.
func (d *Daemon) countAlive() int {
	count := 1
	for _, n := range d.peers.Nodes() {
		if n.Alive && n.Name != d.Settings.Node {
			count++
		}
	}
	return count
}

// countNodes returns how many entry nodes the settings list, this one included.
func (d *Daemon) countNodes() int {
	count := 1
	for _, p := range d.Settings.Peers.Nodes {
		if p.Name != d.Settings.Node {
			count++
		}
	}
	return count
}
