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

// ServiceLimit admits requests; its value is a *limit.Limiter.
const ServiceLimit kernel.ServiceName = "limit"

// Intervals of the limits.
const (
	// resizeEvery is how often the room of waiting requests is looked at anew.
	resizeEvery = 100 * time.Millisecond
	// refusalsEvery is the least time between two events on refusals.
	refusalsEvery = 10 * time.Second
)

// admitter connects the limits with the callers' side and the router.
type admitter struct {
	limiter *limit.Limiter
	router  *router.Router
	budget  limit.RetryBudget
	nodes   int
	refused *prometheus.CounterVec
	log     func(r limit.Request, reason limit.Reason)

	// peers returns how many nodes are heard, this one included, and the demand
	// of an account on all of them.
	peers  func() (present int)
	demand func(account fleet.AccountName) float64

	mu     sync.Mutex
	pools  map[fleet.PoolName]bool
	shares map[fleet.AccountName]float64
}

// share is the limiter's Share.
func (a *admitter) share(account fleet.AccountName) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if share, ok := a.shares[account]; ok {
		return share
	}
	return limit.Share(0, 0, 1, a.nodes)
}

// split works the shares out anew from the demand that is seen and heard of.
func (a *admitter) split() {
	present := a.peers()
	shares := make(map[fleet.AccountName]float64)
	for account, own := range a.limiter.Demands() {
		others := max(0, a.demand(account)-own)
		shares[account] = limit.Share(own, others, present, a.nodes)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares = shares
}

// admit is the entry handler's Admit.
func (a *admitter) admit(q entry.Admission) (release func(), err error) {
	r := limit.Request{
		Account:     q.Account.Name,
		Pool:        q.Pool.Name,
		Priority:    q.Policy.Priority.Value,
		Deadline:    q.Deadline,
		Rate:        q.Policy.Rate.Value,
		Burst:       q.Policy.Burst.Value,
		ServiceTime: a.router.Forecast(q.Pool.Name, q.Prompt, q.Max),
		MaxRunning:  a.router.ConcurrencyLimit(q.Pool.Name, a.nodes),
		Cancelled:   q.Disconnected,
	}
	a.mu.Lock()
	a.pools[r.Pool] = true
	a.mu.Unlock()
	release, err = a.limiter.Admit(r)
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		a.refused.WithLabelValues(string(r.Account), string(r.Pool), string(refused.Reason)).Inc()
		if refused.Reason != limit.ReasonCancelled {
			a.log(r, refused.Reason)
		}
		return nil, &entry.RefusedError{
			Reason:     refused.Error(),
			RetryAfter: refused.RetryAfter,
			OverQuota:  refused.Reason == limit.ReasonRate,
		}
	}
	if err == nil {
		a.budget.Deposit()
	}
	return release, err
}

// run gives waiting requests the room that opens without their doing, and keeps
// the shares of the limits.
func (a *admitter) run(ctx context.Context) error {
	interval.Run(ctx, resizeEvery, func(context.Context) {
		a.resize()
		a.split()
	})
	return nil
}

func (a *admitter) resize() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for pool := range a.pools {
		a.limiter.Resize(pool, a.router.ConcurrencyLimit(pool, a.nodes))
	}
}

// pause is the generation runner's Pause.
func (a *admitter) pause(ctx context.Context, retry int) error {
	t := time.NewTimer(a.budget.NextBackoff(retry))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// limitService admits requests. The share of an account's limit goes by the
// demand that the peers report.
func (d *Daemon) limitService() (kernel.Service, error) {
	r, err := kernel.Find[*router.Router](&d.kernel, ServiceRouter)
	if err != nil {
		return kernel.Service{}, err
	}
	a := &admitter{
		limiter: &limit.Limiter{},
		router:  r,
		nodes:   d.countNodes(),
		pools:   make(map[fleet.PoolName]bool),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_refused_total",
			Help: "Requests that the limits did not admit.",
		}, []string{"account", "pool", "reason"}),
	}
	a.limiter.Share = a.share
	a.peers = d.countAlive
	a.demand = func(account fleet.AccountName) float64 { return d.peers.AccountDemand(account).Fleet }
	d.peers.Demand = a.limiter.Demands
	sometimes := rate.Sometimes{Interval: refusalsEvery}
	a.log = func(r limit.Request, reason limit.Reason) {
		sometimes.Do(func() {
			d.Logs.Emit(event.RequestsRefused, zap.String("account", string(r.Account)), zap.String("pool", string(r.Pool)), zap.String("reason", string(reason)))
		})
	}
	d.registry.MustRegister(a.refused)
	d.admitter = a
	return running(ServiceLimit, a.limiter, a.run), nil
}

// countAlive returns how many entry nodes are heard of, this one included.
func (d *Daemon) countAlive() int {
	count := 1
	for _, n := range d.peers.Nodes() {
		if n.Alive && n.Name != d.Settings.Node {
			count++
		}
	}
	return count
}

// countNodes returns how many entry nodes the settings name, this one included.
func (d *Daemon) countNodes() int {
	count := 1
	for _, p := range d.Settings.Peers.Nodes {
		if p.Name != d.Settings.Node {
			count++
		}
	}
	return count
}
