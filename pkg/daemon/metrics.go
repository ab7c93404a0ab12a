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
// is an *observer.
const ServiceMetrics kernel.ServiceName = "metrics"

const (
	// observeInterval is the interval between checks for faults.
	observeInterval = time.Second
	// maxReadLag is the maximum age of the last read of a stream; above it, the log
	// counts as not responding to reads. It exceeds the time that a read waits at
	// the end of a stream.
	maxReadLag = 5 * time.Second
	// appendFailureWindow is how long a stream counts as failing after a failed
	// append. Without it a stream that is seldom written would count as failing
	// until the next append.
	appendFailureWindow = 15 * time.Second
)

// observer collects the metrics, the burn rates and the faults that operators see.
type observer struct {
	metrics     metrics.Set
	burn        burn.Recorder
	degradation operator.DegradationTracker
}

// metricsService returns the service that observes faults and the requests that the
// entry service finishes.
func (d *Daemon) metricsService() (kernel.Service, error) {
	h, err := kernel.Find[*entry.Handler](&d.kernel, ServiceEntry)
	if err != nil {
		return kernel.Service{}, err
	}
	store, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	instanceRoster, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return kernel.Service{}, err
	}
	o := &observer{}
	o.metrics.Document = func() *fleet.Document { return activeDocument(store) }
	o.metrics.Read = func() metrics.Sample {
		return metrics.Sample{
			InFlight:  h.InFlight(),
			Ready:     d.Ready(),
			Revision:  store.Revision(),
			Instances: instanceRoster.Instances(),
			Streams:   d.streamSamples(time.Now()),
			Degraded:  o.degradation.List(),
		}
	}
	if err := d.registry.Register(&o.metrics); err != nil {
		return kernel.Service{}, err
	}
	previous := h.Finished
	h.Finished = func(r entry.Report) {
		if previous != nil {
			previous(r)
		}
		o.recordRequest(r, activeDocument(store))
	}
	return backgroundService(ServiceMetrics, o, func(ctx context.Context) error { return d.observeDegradation(ctx, o) }), nil
}

// activeDocument returns the configuration document in force, or nil.
func activeDocument(store *config.Store) *fleet.Document {
	c := store.Current()
	if c == nil {
		return nil
	}
	return &c.Document
}

// recordRequest counts a finished request for the metrics and the burn report.
func (o *observer) recordRequest(r entry.Report, doc *fleet.Document) {
	o.metrics.Observe(r)
	if doc == nil {
		return
	}
	p := doc.Policy(r.Account, r.Pool, r.Start)
	v := burn.Judge(r, p)
	o.metrics.RecordVerdict(r, p.Objective.Value, v)
	o.burn.Add(burn.AccountPool{Account: r.Account, Pool: r.Pool}, p.Objective.Value, v)
}

// observeDegradation checks for faults until the context ends, and logs when one
// begins or ends.
func (d *Daemon) observeDegradation(ctx context.Context, o *observer) error {
	interval.Run(ctx, observeInterval, func(context.Context) {
		now := time.Now()
		began, ended := o.degradation.Observe(now, d.listFaults(now))
		for _, fault := range began {
			d.Logs.Emit(event.OperatorDegraded, zap.String("what", fault))
		}
		for _, fault := range ended {
			d.Logs.Emit(event.OperatorRestored, zap.String("what", fault))
		}
	})
	return nil
}

// listFaults returns a description of each current fault.
func (d *Daemon) listFaults(now time.Time) (list []string) {
	if err := d.ready(); err != nil {
		list = append(list, "not ready: "+err.Error())
	}
	for _, s := range d.streamSamples(now) {
		if !s.Healthy {
			list = append(list, fmt.Sprintf("stream %s: the log takes no appends", s.Name))
		}
		if s.Lag > maxReadLag || s.Lag == 0 {
			list = append(list, fmt.Sprintf("stream %s: the log does not answer reads", s.Name))
		}
	}
	for _, name := range d.peers.SilentDataCentres() {
		list = append(list, fmt.Sprintf("data centre %s: none of its nodes is heard of", name))
	}
	return list
}

// streamSamples returns the state of each stream that the node reads.
func (d *Daemon) streamSamples(now time.Time) []metrics.Stream {
	list := make([]metrics.Stream, 0, len(d.streams))
	for _, s := range d.streams {
		t := metrics.Stream{Name: s.Name, Stats: s.Stats()}
		t.Healthy = s.Healthy() || now.Sub(t.Stats.LastFailure) >= appendFailureWindow
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

// addReports sets the functions of the operator handler for the burn report, the
// suspects and the bill.
func (d *Daemon) addReports(h *operator.Handler) error {
	o, err := kernel.Find[*observer](&d.kernel, ServiceMetrics)
	if err != nil {
		return err
	}
	ledgerBill, err := kernel.Find[*ledger.Bill](&d.kernel, ServiceLedger)
	if err != nil {
		return err
	}
	executor, err := kernel.Find[*order.Executor](&d.kernel, ServiceOrder)
	if err != nil {
		return err
	}
	instanceRoster, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return err
	}
	h.Burn = func() burn.NodeReport {
		return burn.NodeReport{Node: d.node.Name, Since: d.startTime, Series: o.burn.Series()}
	}
	guard, err := kernel.Find[*suspect.Guard](&d.kernel, ServiceSuspect)
	if err != nil {
		return err
	}
	h.Suspects = func() []operate.Suspect { return suspects(guard.Registry) }
	h.Release = guard.Registry.Release
	h.Bill = func() operate.Bill { return bill(ledgerBill, executor, instanceRoster.Instances()) }
	return nil
}

// suspects lists the suspect and the quarantined contents.
func suspects(registry *suspect.Registry) []operate.Suspect {
	list := []operate.Suspect{}
	for _, c := range registry.Cases() {
		list = append(list, operate.Suspect{
			Content: c.Digest.String(),
			Pool:    c.Pool,
			Verdict: c.Verdict,
			Crashes: len(c.Crashes),
			Expires: c.Expires,
		})
	}
	return list
}

// Describe sends the descriptors of the node's metrics.
func (d *Daemon) Describe(ch chan<- *prometheus.Desc) { d.registry.Describe(ch) }

// bill adds up the charges for tokens and orders, and the costs of instances.
func bill(ledgerBill *ledger.Bill, executor *order.Executor, instances []fleet.Instance) (b operate.Bill) {
	sums := map[burn.AccountPool]operate.Line{}
	ledgerBill.Each(func(l ledger.Line, t ledger.Total) {
		if day, err := time.Parse(time.DateOnly, string(l.Day)); err == nil && (b.Since.IsZero() || day.Before(b.Since)) {
			b.Since = day
		}
		key := burn.AccountPool{Account: l.Account, Pool: l.Pool}
		line := sums[key]
		line.Requests += t.Requests
		line.Prompt += t.Prompt
		line.Generated += t.Generated
		line.Recomputed += t.Recomputed
		line.Charged += t.Cost
		sums[key] = line
	})
	for _, p := range executor.Partitions {
		p.Bill(func(account fleet.AccountName, pool fleet.PoolName, t order.DoneTotal) {
			key := burn.AccountPool{Account: account, Pool: pool}
			line := sums[key]
			line.Requests += t.Orders
			line.Charged += t.Cost
			sums[key] = line
		})
	}
	for key, line := range sums {
		line.Account, line.Pool = key.Account, key.Pool
		b.Lines = append(b.Lines, line)
	}
	slices.SortFunc(b.Lines, func(x, y operate.Line) int {
		return cmp.Or(cmp.Compare(x.Account, y.Account), cmp.Compare(x.Pool, y.Pool))
	})
	b.Costs = costs(instances)
	return b
}

// costs adds up the hourly prices of instances by pool and market.
func costs(instances []fleet.Instance) (list []operate.Cost) {
	for _, i := range instances {
		if i.Condition == fleet.ConditionGone {
			continue
		}
		index := slices.IndexFunc(list, func(c operate.Cost) bool { return c.Pool == i.Pool && c.Market == i.Market })
		if index < 0 {
			index = len(list)
			list = append(list, operate.Cost{Pool: i.Pool, Market: i.Market})
		}
		list[index].Instances++
		list[index].HourlyPrice += i.HourlyPrice
	}
	slices.SortFunc(list, func(x, y operate.Cost) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Market, y.Market))
	})
	return list
}
