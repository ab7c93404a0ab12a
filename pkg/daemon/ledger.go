package daemon

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/ledger"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// ServiceLedger is the name of the service that follows the charges; its value
// is a *ledger.Book.
const ServiceLedger kernel.ServiceName = "ledger"

// ledgerService charges the requests that the entry service finishes.
func (d *Daemon) ledgerService() (kernel.Service, error) {
	h, err := kernel.Find[*entry.Handler](&d.kernel, ServiceEntry)
	if err != nil {
		return kernel.Service{}, err
	}
	k, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	w := &ledger.Writer{
		Log:  d.clients.Log,
		Node: d.node,
		Failed: func(err error) {
			d.Logs.Emit(event.LogAppendFailed, zap.String("stream", string(platform.StreamCharge)), zap.Error(err))
		},
	}
	d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "skylarkloom_charges_dropped_total",
		Help: "Charges that were dropped because the log takes none and the queue is full.",
	}, func() float64 { return float64(w.Dropped()) }))
	earlier := h.Finished
	h.Finished = func(r entry.Report) {
		if earlier != nil {
			earlier(r)
		}
		d.charge(w, price(k, r.Pool), r)
	}
	b := &ledger.Bill{Stream: d.newStream(platform.StreamCharge)}
	b.Stream.Apply, b.Stream.Save, b.Stream.Load = b.Apply, b.Save, b.Load
	run := func(ctx context.Context) error {
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return b.Stream.Run(ctx) })
		g.Go(func() error { return w.Run(ctx) })
		return g.Wait()
	}
	return running(ServiceLedger, b, run), nil
}

// price returns what a pool's requests are charged by the configuration in force.
func price(k *config.Store, pool fleet.PoolName) fleet.Price {
	force := k.Current()
	if force == nil {
		return fleet.Price{}
	}
	p, _ := force.Document.Pool(pool)
	return p.Price
}

// charge queues the charge of a request that was answered. An order without
// tokens is charged by its settle record.
func (d *Daemon) charge(w *ledger.Writer, p fleet.Price, r entry.Report) {
	tokens := r.Prompt + r.Generated + r.Recomputed
	answered := r.Outcome == fleet.OutcomeDone && r.Status < http.StatusBadRequest
	if r.Account == "" || !answered && r.Recomputed == 0 || r.Keyed && tokens == 0 {
		return
	}
	c := record.Charge{Request: r.ID, Account: r.Account, Pool: r.Pool, Recomputed: r.Recomputed, Keyed: r.Keyed}
	if answered {
		c.Prompt, c.Generated = r.Prompt, r.Generated
		c.Cost = p.Charge(r.Prompt, r.Generated)
	}
	if !w.Charge(c) {
		d.Logs.Emit(event.ChargeDropped, zap.String("request", string(r.ID)))
	}
}
