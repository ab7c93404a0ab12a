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

// rosterPollInterval is the interval between reads of the reclaim notices, and of
// the instance list in a small fleet.
const rosterPollInterval = 500 * time.Millisecond

// largeFleetListInterval is the interval between reads of the full instance list
// in a large fleet.
const largeFleetListInterval = 5 * time.Second

// newStream returns a stream of the log that reports its failures as events.
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
		Recovered: func(from, nextOffset fleet.Offset) {
			d.Logs.Emit(event.LogEntriesExpired, stream, zap.Uint64("from", uint64(from)), zap.Uint64("snapshot", uint64(nextOffset)))
		},
	}
	s.ShouldSnapshot = func() bool {
		_, remote := d.peers.Writer(name)
		return !remote
	}
	d.streams = append(d.streams, s)
	return s
}

func (d *Daemon) configService() (kernel.Service, error) {
	store := &config.Store{
		OnChange: func(c config.Change) {
			d.Logs.Emit(event.ConfigInForce, zap.Uint64("revision", uint64(c.Revision)), zap.String("author", c.Author))
		},
		OnInvalid: func(c config.Change, err error) {
			d.Logs.Emit(event.ConfigUnreadable, zap.Uint64("revision", uint64(c.Revision)), zap.Error(err))
		},
	}
	s := d.newStream(platform.StreamConfig)
	s.Apply, s.Save, s.Load = store.Apply, store.Save, store.Load
	store.Stream = s
	return backgroundService(ServiceConfig, store, s.Run), nil
}

// listInterval returns the interval between reads of the full instance list. The
// list of a large fleet is long and every node reads it, so it is read less often;
// urgent changes arrive as notices and from peers.
func (d *Daemon) listInterval() time.Duration {
	if d.countNodes() > smallFleetNodes {
		return largeFleetListInterval
	}
	return rosterPollInterval
}

func (d *Daemon) rosterService() (kernel.Service, error) {
	r := &roster.Roster{}
	p := &roster.Poller{
		Roster:       r,
		List:         d.clients.InstanceList,
		Cloud:        d.clients.Cloud,
		Interval:     rosterPollInterval,
		ListInterval: d.listInterval(),
		Failed:       func(err error) { d.Logs.Emit(event.InstanceListFailed, zap.Error(err)) },
	}
	return backgroundService(ServiceRoster, r, p.Run), nil
}

func (d *Daemon) routerService() (kernel.Service, error) {
	instanceRoster, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return kernel.Service{}, err
	}
	store, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	r := &router.Router{Roster: instanceRoster, Client: d.httpClient, OrderClient: newHTTPClient(false), Weights: routeWeights(store)}
	r.OnAvoid = func(i fleet.Instance, until time.Time) {
		d.Logs.Emit(event.EndpointAvoided, zap.String("instance", string(i.ID)), zap.Time("until", until))
	}
	instanceRoster.Reported = func(rep roster.ConditionReport) {
		r.HandleInstanceReport(rep)
		id := event.InstanceLeaving
		if rep.Condition == fleet.ConditionGone {
			id = event.InstanceTerminated
		}
		d.Logs.Emit(id, zap.String("instance", string(rep.Instance.ID)), zap.String("source", string(rep.Source)))
	}
	return kernel.Service{Name: ServiceRouter, Value: r}, nil
}

func (d *Daemon) orderService() (kernel.Service, error) {
	executor := &order.Executor{Node: d.node, NotStarted: endpoint.NotStarted}
	for n := range d.Settings.Orders.Partitions {
		p := &order.Partition{Stream: d.newStream(platform.OrderStream(n))}
		p.Stream.Apply, p.Stream.Applied = p.Apply, p.Applied
		p.Stream.Save, p.Stream.Load = p.Save, p.Load
		executor.Partitions = append(executor.Partitions, p)
		d.orderStreams = append(d.orderStreams, p.Stream)
	}
	worker := &order.Worker{
		Executor:  executor,
		Alive:     d.alive,
		Candidate: d.peers.Candidate,
	}
	run := func(ctx context.Context) error {
		g, ctx := errgroup.WithContext(ctx)
		for _, p := range executor.Partitions {
			g.Go(func() error { return p.Stream.Run(ctx) })
		}
		g.Go(func() error { return worker.Run(ctx) })
		return g.Wait()
	}
	s := backgroundService(ServiceOrder, executor, run)
	s.Drain = worker.Drain
	return s, nil
}

func (d *Daemon) entryService() (kernel.Service, error) {
	store, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	r, err := kernel.Find[*router.Router](&d.kernel, ServiceRouter)
	if err != nil {
		return kernel.Service{}, err
	}
	executor, err := kernel.Find[*order.Executor](&d.kernel, ServiceOrder)
	if err != nil {
		return kernel.Service{}, err
	}
	guard, err := kernel.Find[*suspect.Guard](&d.kernel, ServiceSuspect)
	if err != nil {
		return kernel.Service{}, err
	}
	runner := &generation.Runner{Pick: guard.Pick, Pause: d.admitter.backOff}
	h := &entry.Handler{
		Config:        store.Current,
		Generate:      runner.Run,
		CallService:   r.Call,
		Executor:      executor,
		Admit:         d.admitter.admit,
		DrainIdleTime: d.Settings.Shutdown.UnreadyDelay / 2,
	}
	executor.Send = func(ctx context.Context, o order.Order) (response order.Response, err error) {
		response, err = h.Execute(ctx, o, r.Send)
		if !o.Request.Repeatable {
			response.Cost = poolPrice(store, o.Request.Pool).Call
		}
		return response, err
	}
	return kernel.Service{Name: ServiceEntry, Value: h, Drain: h.Drain}, nil
}

func (d *Daemon) callerListenerService() (kernel.Service, error) {
	h, err := kernel.Find[*entry.Handler](&d.kernel, ServiceEntry)
	if err != nil {
		return kernel.Service{}, err
	}
	d.callerListener = &listener{settings: d.Settings.Callers, handler: h.Routes(), connContext: h.ConnContext}
	return d.callerListener.service(ServiceCallerListener), nil
}

func (d *Daemon) operatorListenerService() (kernel.Service, error) {
	token, err := d.Settings.Operators.Token.Read()
	if err != nil {
		return kernel.Service{}, err
	}
	store, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	executor, err := kernel.Find[*order.Executor](&d.kernel, ServiceOrder)
	if err != nil {
		return kernel.Service{}, err
	}
	h := &operator.Handler{
		Token:       token,
		ConfigStore: store,
		Ready:       d.ready,
		Status:      d.Status,
		Metrics:     promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}),
		Order: func(ref fleet.KeyRef) (edge.State, bool) {
			o, ok := executor.Get(ref)
			return entry.OrderState(o), ok
		},
	}
	if err := d.addReports(h); err != nil {
		return kernel.Service{}, err
	}
	d.operatorListener = &listener{settings: d.Settings.Operators, handler: h.Routes()}
	return d.operatorListener.service(ServiceOperatorListener), nil
}

var (
	errNoConfig = errors.New("no configuration is in force yet")

	errDraining            = errors.New("the node is draining")
	errInstanceListNotRead = errors.New("the instance list has not been read yet")
	errCatchingUp          = errors.New("the streams of the log are being read")
)

// catchUpTimeout is how long a starting node stays not ready while it reads its
// streams. A node that cannot read the log then becomes ready without them: it
// serves chat requests and refuses orders.
const catchUpTimeout = 5 * time.Second

// catchingUp reports whether the node is still reading its streams after the
// start.
func (d *Daemon) catchingUp() bool {
	if time.Since(d.startTime) > catchUpTimeout {
		return false
	}
	return slices.ContainsFunc(d.streams, func(s *journal.Stream) bool { return !s.Ready() })
}

// ready returns nil if the node can serve callers, or the reason why it cannot.
func (d *Daemon) ready() error {
	store, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return err
	}
	h, err := kernel.Find[*entry.Handler](&d.kernel, ServiceEntry)
	if err != nil {
		return err
	}
	instanceRoster, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return err
	}
	switch {
	case d.draining.Load() || h.Draining():
		return errDraining
	case store.Current() == nil:
		return errNoConfig
	case !instanceRoster.Loaded():
		return errInstanceListNotRead
	case d.catchingUp():
		return errCatchingUp
	default:
		return nil
	}
}

// Ready reports whether the node can serve callers.
func (d *Daemon) Ready() bool { return d.ready() == nil }

// Status returns the state of the node and of the fleet as the node sees it.
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
	if store, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig); err == nil {
		s.Revision = store.Revision()
	}
	if r, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster); err == nil {
		s.Instances = r.Instances()
	}
	for _, t := range d.streams {
		s.Streams[t.Name] = t.Stats()
	}
	return s
}
