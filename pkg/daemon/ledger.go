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

// ServiceLedger is the name of the service that writes and adds up charges; its
// value is a *ledger.Bill.
const ServiceLedger kernel.ServiceName = "ledger"

// ledgerService returns the service that charges the requests that the entry
// service finishes.
func (d *Daemon) ledgerService() (kernel.Service, error) {
	h, err := kernel.Find[*entry.Handler](&d.kernel, ServiceEntry)
	if err != nil {
		return kernel.Service{}, err
	}
	store, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
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
		Help: "Charges that were dropped because the log accepts none and the queue is full.",
	}, func() float64 { return float64(w.Dropped()) }))
	previous := h.Finished
	h.Finished = func(r entry.Report) {
		if previous != nil {
			previous(r)
		}
		d.charge(w, poolPrice(store, r.Pool), r)
	}
	b := &ledger.Bill{Stream: d.newStream(platform.StreamCharge)}
	b.Stream.Apply, b.Stream.Save, b.Stream.Load = b.Apply, b.Save, b.Load
	run := func(ctx context.Context) error {
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return b.Stream.Run(ctx) })
		g.Go(func() error { return w.Run(ctx) })
		return g.Wait()
	}
	return backgroundService(ServiceLedger, b, run), nil
}

// poolPrice returns the price of a pool's requests in the configuration in force.
func poolPrice(store *config.Store, pool fleet.PoolName) fleet.Price {
	active := store.Current()
	if active == nil {
		return fleet.Price{}
	}
	p, _ := active.Document.Pool(pool)
	return p.Price
}

// charge queues the charge of a request that succeeded or had tokens recomputed. An
// order without tokens is charged by its settle record.
func (d *Daemon) charge(w *ledger.Writer, p fleet.Price, r entry.Report) {
	tokens := r.Prompt + r.Generated + r.Recomputed
	succeeded := r.Outcome == fleet.OutcomeDone && r.Status < http.StatusBadRequest
	if r.Account == "" || !succeeded && r.Recomputed == 0 || r.Keyed && tokens == 0 {
		return
	}
	c := record.Charge{Request: r.ID, Account: r.Account, Pool: r.Pool, Recomputed: r.Recomputed, Keyed: r.Keyed}
	if succeeded {
		c.Prompt, c.Generated = r.Prompt, r.Generated
		c.Cost = p.Charge(r.Prompt, r.Generated)
	}
	if !w.Charge(c) {
		d.Logs.Emit(event.ChargeDropped, zap.String("request", string(r.ID)))
	}
}
