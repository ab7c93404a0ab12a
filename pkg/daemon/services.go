package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/operator"
	"github.com/skylarkloom/skylarkloom/pkg/order"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/router"
	"github.com/skylarkloom/skylarkloom/pkg/suspect"
)

// pollEvery is how often the instance list and the notices are read.
const pollEvery = 500 * time.Millisecond

// largeListEvery is how often a node of a large fleet reads the whole list.
const largeListEvery = 5 * time.Second

// newStream returns a stream whose failures are logged.
func (d *Daemon) newStream(name platform.StreamName) *journal.Stream {
	stream := zap.String("stream", string(name))
	s := &journal.Stream{
		Log:  d.clients.Log,
		Name: name,
		Unreadable: func(pos record.Position, err error) {
			d.Logs.Emit(event.LogRecordUnreadable, stream, zap.Uint64("offset", uint64(pos.Offset)), zap.Error(err))
		},
		Failed: func(op journal.Operation, err error) {
			id := event.LogReadFailed
			if op == journal.OperationAppend {
				id = event.LogAppendFailed
			}
			d.Logs.Emit(id, stream, zap.Error(err))
		},
		Recovered: func(from, asOf fleet.Offset) {
			d.Logs.Emit(event.LogEntriesExpired, stream, zap.Uint64("from", uint64(from)), zap.Uint64("snapshot", uint64(asOf)))
		},
	}
	s.ShouldSnapshot = func() bool {
		_, other := d.peers.Writer(name)
		return !other
	}
	d.streams = append(d.streams, s)
	return s
}

func (d *Daemon) configService() (kernel.Service, error) {
	k := &config.Store{
		Changed: func(c config.Change) {
			d.Logs.Emit(event.ConfigInForce, zap.Uint64("revision", uint64(c.Revision)), zap.String("author", c.Author))
		},
		Invalid: func(c config.Change, err error) {
			d.Logs.Emit(event.ConfigUnreadable, zap.Uint64("revision", uint64(c.Revision)), zap.Error(err))
		},
	}
	s := d.newStream(platform.StreamConfig)
	s.Apply, s.Save, s.Load = k.Apply, k.Save, k.Load
	k.Stream = s
	return running(ServiceConfig, k, s.Run), nil
}

// listEvery returns how often the whole instance list is read. Every node of a
// large fleet reads a long list, so it does so less often; the news that cannot
// wait come by the notices and from peers.
func (d *Daemon) listEvery() time.Duration {
	if d.countNodes() > smallFleet {
		return largeListEvery
	}
	return pollEvery
}

func (d *Daemon) rosterService() (kernel.Service, error) {
	r := &roster.Roster{}
	p := &roster.Poller{
		Roster:       r,
		List:         d.clients.List,
		Cloud:        d.clients.Cloud,
		Interval:     pollEvery,
		ListInterval: d.listEvery(),
		Failed:       func(err error) { d.Logs.Emit(event.InstanceListFailed, zap.Error(err)) },
	}
	return running(ServiceRoster, r, p.Run), nil
}

func (d *Daemon) routerService() (kernel.Service, error) {
	known, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return kernel.Service{}, err
	}
	keeper, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	r := &router.Router{Roster: known, Client: d.client, OrderClient: newClient(false), Weights: weights(keeper)}
	r.OnAvoid = func(i fleet.Instance, until time.Time) {
		d.Logs.Emit(event.EndpointAvoided, zap.String("instance", string(i.ID)), zap.Time("until", until))
	}
	known.Reported = func(m roster.Report) {
		r.HandleInstanceReport(m)
		id := event.InstanceLeaving
		if m.Condition == fleet.ConditionGone {
			id = event.InstanceTerminated
		}
		d.Logs.Emit(id, zap.String("instance", string(m.Instance.ID)), zap.String("source", string(m.Source)))
	}
	return kernel.Service{Name: ServiceRouter, Value: r}, nil
}

func (d *Daemon) orderService() (kernel.Service, error) {
	desk := &order.Executor{Node: d.node, NotStarted: endpoint.NotStarted}
	for n := range d.Settings.Orders.Partitions {
		p := &order.Partition{Stream: d.newStream(platform.OrderStream(n))}
		p.Stream.Apply, p.Stream.Applied = p.Apply, p.Applied
		p.Stream.Save, p.Stream.Load = p.Save, p.Load
		desk.Partitions = append(desk.Partitions, p)
		d.required = append(d.required, p.Stream)
	}
	server := &order.Worker{
		Executor:  desk,
		Alive:     d.alive,
		Candidate: d.peers.Candidate,
	}
	run := func(ctx context.Context) error {
		g, ctx := errgroup.WithContext(ctx)
		for _, p := range desk.Partitions {
			g.Go(func() error { return p.Stream.Run(ctx) })
		}
		g.Go(func() error { return server.Run(ctx) })
		return g.Wait()
	}
	s := running(ServiceOrder, desk, run)
	s.Drain = server.Drain
	return s, nil
}

func (d *Daemon) entryService() (kernel.Service, error) {
	keeper, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	r, err := kernel.Find[*router.Router](&d.kernel, ServiceRouter)
	if err != nil {
		return kernel.Service{}, err
	}
	desk, err := kernel.Find[*order.Executor](&d.kernel, ServiceOrder)
	if err != nil {
		return kernel.Service{}, err
	}
	guard, err := kernel.Find[*suspect.Guard](&d.kernel, ServiceSuspect)
	if err != nil {
		return kernel.Service{}, err
	}
	runner := &generation.Runner{Pick: guard.Pick, Pause: d.admitter.pause}
	h := &entry.Handler{
		Config:      keeper.Current,
		Generate:    runner.Run,
		CallService: r.Call,
		Executor:    desk,
		Admit:       d.admitter.admit,
		Linger:      d.Settings.Shutdown.UnreadyDelay / 2,
	}
	desk.Send = func(ctx context.Context, o order.Order) (reply order.Reply, err error) {
		reply, err = h.Execute(ctx, o, r.Send)
		if !o.Request.Repeatable {
			reply.Cost = price(keeper, o.Request.Pool).Call
		}
		return reply, err
	}
	return kernel.Service{Name: ServiceEntry, Value: h, Drain: h.Drain}, nil
}

func (d *Daemon) callersService() (kernel.Service, error) {
	h, err := kernel.Find[*entry.Handler](&d.kernel, ServiceEntry)
	if err != nil {
		return kernel.Service{}, err
	}
	d.callers = &listener{settings: d.Settings.Callers, handler: h.Routes(), connection: h.ConnContext}
	return d.callers.service(ServiceCallers), nil
}

func (d *Daemon) operatorService() (kernel.Service, error) {
	token, err := d.Settings.Operators.Token.Read()
	if err != nil {
		return kernel.Service{}, err
	}
	keeper, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	desk, err := kernel.Find[*order.Executor](&d.kernel, ServiceOrder)
	if err != nil {
		return kernel.Service{}, err
	}
	h := &operator.Handler{
		Token:   token,
		Keeper:  keeper,
		Ready:   d.ready,
		Status:  d.Status,
		Metrics: promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}),
		Order: func(ref fleet.KeyRef) (edge.State, bool) {
			o, ok := desk.Get(ref)
			return entry.OrderState(o), ok
		},
	}
	if err := d.operate(h); err != nil {
		return kernel.Service{}, err
	}
	d.operator = &listener{settings: d.Settings.Operators, handler: h.Routes()}
	return d.operator.service(ServiceOperator), nil
}

var (
	errNoConfig = errors.New("no configuration is in force yet")

	errDraining  = errors.New("the node is draining")
	errNoRouting = errors.New("the instance list has not been read yet")
	errCatchUp   = errors.New("the streams of the log are being read")
)

// catchUpLimit bounds how long a starting node waits, not ready, for its
// streams. A node that cannot read the log goes on without: it serves chat and
// refuses orders.
const catchUpLimit = 5 * time.Second

func (d *Daemon) catchingUp() bool {
	if time.Since(d.started) > catchUpLimit {
		return false
	}
	return slices.ContainsFunc(d.streams, func(s *journal.Stream) bool { return !s.Ready() })
}

// ready returns nil if the node can serve callers.
func (d *Daemon) ready() error {
	keeper, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return err
	}
	h, err := kernel.Find[*entry.Handler](&d.kernel, ServiceEntry)
	if err != nil {
		return err
	}
	known, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return err
	}
	switch {
	case d.leaving.Load() || h.Draining():
		return errDraining
	case keeper.Current() == nil:
		return errNoConfig
	case !known.Loaded():
		return errNoRouting
	case d.catchingUp():
		return errCatchUp
	default:
		return nil
	}
}

// Ready reports whether the node can serve callers.
func (d *Daemon) Ready() bool { return d.ready() == nil }

// Status returns what the node knows of itself and the fleet.
func (d *Daemon) Status() operate.Status {
	s := operate.Status{
		Node:       d.node.Name,
		DataCentre: d.Settings.DataCentre,
		Time:       time.Now(),
		Ready:      d.Ready(),
		Streams:    map[platform.StreamName]journal.Stats{},
		Degraded:   d.degraded(),
		Nodes:      d.peers.Nodes(),
	}
	if k, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig); err == nil {
		s.Revision = k.Revision()
	}
	if r, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster); err == nil {
		s.Instances = r.Instances()
	}
	for _, t := range d.streams {
		s.Streams[t.Name] = t.Stats()
	}
	return s
}
