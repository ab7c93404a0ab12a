package daemon

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/burn"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/ledger"
	"github.com/skylarkloom/skylarkloom/pkg/metrics"
	"github.com/skylarkloom/skylarkloom/pkg/operator"
	"github.com/skylarkloom/skylarkloom/pkg/order"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/suspect"
)

// ServiceMetrics is the name of the service that observes the node; its value
// is a *observer.
const ServiceMetrics kernel.ServiceName = "metrics"

const (
	// observeEvery is how often it is looked at what does not work.
	observeEvery = time.Second
	// lagLimit is the age of the last read from which a stream counts as behind.
	// It is above the time that a read waits at the end of a stream.
	lagLimit = 5 * time.Second
	// failureNews is how long a failed append tells that the log takes none. A
	// stream that is seldom written would else count as broken until the next
	// append.
	failureNews = 15 * time.Second
)

// observer holds what operators see of the node's work.
type observer struct {
	set         metrics.Set
	burn        burn.Recorder
	degradation operator.DegradationTracker
}

// metricsService observes the requests that the entry service finishes and
// what does not work.
func (d *Daemon) metricsService() (kernel.Service, error) {
	h, err := kernel.Find[*entry.Handler](&d.kernel, ServiceEntry)
	if err != nil {
		return kernel.Service{}, err
	}
	keeper, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	known, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return kernel.Service{}, err
	}
	o := &observer{}
	o.set.Document = func() *fleet.Document { return document(keeper) }
	o.set.Read = func() metrics.Sample {
		return metrics.Sample{
			InFlight:  h.InFlight(),
			Ready:     d.Ready(),
			Revision:  keeper.Revision(),
			Instances: known.Instances(),
			Streams:   d.streamSamples(time.Now()),
			Degraded:  o.degradation.List(),
		}
	}
	if err := d.registry.Register(&o.set); err != nil {
		return kernel.Service{}, err
	}
	earlier := h.Finished
	h.Finished = func(r entry.Report) {
		if earlier != nil {
			earlier(r)
		}
		o.finished(r, document(keeper))
	}
	return running(ServiceMetrics, o, func(ctx context.Context) error { return d.observe(ctx, o) }), nil
}

func document(k *config.Store) *fleet.Document {
	c := k.Current()
	if c == nil {
		return nil
	}
	return &c.Document
}

// finished counts a request for the metrics and the burn report.
func (o *observer) finished(r entry.Report, doc *fleet.Document) {
	o.set.Observe(r)
	if doc == nil {
		return
	}
	p := doc.Policy(r.Account, r.Pool, r.Start)
	v := burn.Judge(r, p)
	o.set.RecordVerdict(r, p.Objective.Value, v)
	o.burn.Add(burn.AccountPool{Account: r.Account, Pool: r.Pool}, p.Objective.Value, v)
}

// observe looks at what does not work until the context ends.
func (d *Daemon) observe(ctx context.Context, o *observer) error {
	interval.Run(ctx, observeEvery, func(context.Context) {
		now := time.Now()
		began, ended := o.degradation.Observe(now, d.broken(now))
		for _, what := range began {
			d.Logs.Emit(event.OperatorDegraded, zap.String("what", what))
		}
		for _, what := range ended {
			d.Logs.Emit(event.OperatorRestored, zap.String("what", what))
		}
	})
	return nil
}

// broken lists what does not work.
func (d *Daemon) broken(now time.Time) (list []string) {
	if err := d.ready(); err != nil {
		list = append(list, "not ready: "+err.Error())
	}
	for _, s := range d.streamSamples(now) {
		if !s.Healthy {
			list = append(list, fmt.Sprintf("stream %s: the log takes no appends", s.Name))
		}
		if s.Lag > lagLimit || s.Lag == 0 {
			list = append(list, fmt.Sprintf("stream %s: the log does not answer reads", s.Name))
		}
	}
	for _, name := range d.peers.SilentDataCentres() {
		list = append(list, fmt.Sprintf("data centre %s: none of its nodes is heard of", name))
	}
	return list
}

// streamSamples returns the state of each stream that the node follows.
func (d *Daemon) streamSamples(now time.Time) []metrics.Stream {
	list := make([]metrics.Stream, 0, len(d.streams))
	for _, s := range d.streams {
		t := metrics.Stream{Name: s.Name, Stats: s.Stats()}
		t.Healthy = s.Healthy() || now.Sub(t.Stats.LastFailure) >= failureNews
		if !t.Stats.LastRead.IsZero() {
			t.Lag = now.Sub(t.Stats.LastRead)
		}
		list = append(list, t)
	}
	return list
}

func (d *Daemon) degraded() []operate.Degraded {
	o, err := kernel.Find[*observer](&d.kernel, ServiceMetrics)
	if err != nil {
		return nil
	}
	return o.degradation.List()
}

// operate sets the functions of the operators' side that report on work done.
func (d *Daemon) operate(h *operator.Handler) error {
	o, err := kernel.Find[*observer](&d.kernel, ServiceMetrics)
	if err != nil {
		return err
	}
	book, err := kernel.Find[*ledger.Bill](&d.kernel, ServiceLedger)
	if err != nil {
		return err
	}
	desk, err := kernel.Find[*order.Executor](&d.kernel, ServiceOrder)
	if err != nil {
		return err
	}
	known, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return err
	}
	h.Burn = func() burn.NodeReport {
		return burn.NodeReport{Node: d.node.Name, Since: d.started, Series: o.burn.Series()}
	}
	guard, err := kernel.Find[*suspect.Guard](&d.kernel, ServiceSuspect)
	if err != nil {
		return err
	}
	h.Suspects = func() []operate.Suspect { return suspects(guard.Registry) }
	h.Release = guard.Registry.Release
	h.Bill = func() operate.Bill { return bill(book, desk, known.Instances()) }
	return nil
}

// suspects lists the contents under suspicion, and those convicted.
func suspects(b *suspect.Registry) []operate.Suspect {
	list := []operate.Suspect{}
	for _, c := range b.Cases() {
		list = append(list, operate.Suspect{
			Content: c.Content.String(),
			Pool:    c.Pool,
			Verdict: c.Verdict,
			Crashes: len(c.Crashes),
			Expires: c.Expires,
		})
	}
	return list
}

// Describe sends the descriptions of the node's metrics.
func (d *Daemon) Describe(ch chan<- *prometheus.Desc) { d.registry.Describe(ch) }

// bill adds up the charges of tokens and of orders, and what instances cost.
func bill(book *ledger.Bill, desk *order.Executor, instances []fleet.Instance) (b operate.Bill) {
	sums := map[burn.AccountPool]operate.Line{}
	book.Each(func(l ledger.Line, t ledger.Total) {
		if day, err := time.Parse(time.DateOnly, string(l.Day)); err == nil && (b.Since.IsZero() || day.Before(b.Since)) {
			b.Since = day
		}
		n := burn.AccountPool{Account: l.Account, Pool: l.Pool}
		s := sums[n]
		s.Requests += t.Requests
		s.Prompt += t.Prompt
		s.Generated += t.Generated
		s.Recomputed += t.Recomputed
		s.Charged += t.Cost
		sums[n] = s
	})
	for _, p := range desk.Partitions {
		p.Bill(func(account fleet.AccountName, pool fleet.PoolName, t order.Total) {
			n := burn.AccountPool{Account: account, Pool: pool}
			s := sums[n]
			s.Requests += t.Orders
			s.Charged += t.Cost
			sums[n] = s
		})
	}
	for n, s := range sums {
		s.Account, s.Pool = n.Account, n.Pool
		b.Lines = append(b.Lines, s)
	}
	slices.SortFunc(b.Lines, func(x, y operate.Line) int {
		return cmp.Or(cmp.Compare(x.Account, y.Account), cmp.Compare(x.Pool, y.Pool))
	})
	b.Costs = costs(instances)
	return b
}

// costs adds up the prices of instances by pool and market.
func costs(instances []fleet.Instance) (list []operate.Cost) {
	for _, i := range instances {
		if i.Condition == fleet.ConditionGone {
			continue
		}
		at := slices.IndexFunc(list, func(c operate.Cost) bool { return c.Pool == i.Pool && c.Market == i.Market })
		if at < 0 {
			at = len(list)
			list = append(list, operate.Cost{Pool: i.Pool, Market: i.Market})
		}
		list[at].Instances++
		list[at].Hourly += i.Hourly
	}
	slices.SortFunc(list, func(x, y operate.Cost) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Market, y.Market))
	})
	return list
}
