// Package front puts a node together that serves callers on the users'
// platform: its services, their order, and how they find each other.
package front

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/justinas/alice"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/feed"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/gateway"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
	"github.com/skylarkloom/skylarkloom/platform"
)

// The names under which services find each other.
const (
	ServiceConfig    kernel.ServiceName = "config"
	ServiceDirectory kernel.ServiceName = "directory"
	ServiceGossip    kernel.ServiceName = "fellows"
	ServiceDuties    kernel.ServiceName = "duties"
	ServiceMetrics   kernel.ServiceName = "metrics"
	ServiceCallers   kernel.ServiceName = "callers"
	ServiceProbe     kernel.ServiceName = "probe"
)

const (
	// configWait is how long a read waits for a new configuration. A confirmation is
	// as old as the read that brought it, so twice this and an exchange must stay
	// below skipConfigAge.
	configWait = 700 * time.Millisecond
	// directoryPace is the pause between reads of the endpoints' entries. Together
	// with one exchange it is well below the time within which a leaving endpoint
	// must get no more work.
	directoryPace = 550 * time.Millisecond
	// mostNews bounds the changes of entries that one reply passes on; it has to
	// fit a datagram.
	mostNews = 128
	// skipConfigAge and skipEntriesAge are how old another node's reading may be to
	// serve instead of an own one; well below the bounds on both.
	skipConfigAge  = 2200 * time.Millisecond
	skipEntriesAge = 1300 * time.Millisecond
	// revokeMargin is kept between the age of a confirmation and the bound on
	// revoked keys, for the way of a request to its endpoint.
	revokeMargin = 400 * time.Millisecond
	// sweepEvery is the pause between rounds of housekeeping.
	sweepEvery = time.Second
	// headerTimeout and idleTimeout bound callers before a configuration does.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// assumedNodes is how many nodes share the limits until they are known.
	assumedNodes = 8
	// noticeTime is how long a stopping node serves on until the balancer, which
	// asks once a second, has missed it twice.
	noticeTime = 2600 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 300 * time.Millisecond
)

// Front is one node. Settings must be set.
type Front struct {
	Settings platform.Settings
	Logs     *event.Logs
	// Notice is how long a stopping node serves on until the balancer has seen
	// that it leaves; 0 is the platform's usual time.
	ShutdownDelay time.Duration

	kernel kernel.Kernel
	group  errgroup.Group
	cancel context.CancelFunc
	store  *platform.Store
	self   fleet.NodeRef
	// startedAt and startedOn are the time of day and the instant of the start.
	startedAt time.Time
	startedOn clock.Instant

	// configMu orders the writers of config and document.
	configMu sync.Mutex
	config   atomic.Pointer[gateway.Config]
	// document is the configuration as the operator wrote it.
	document                 atomic.Pointer[[]byte]
	configFeed, endpointFeed feed.Follower
	// newest is the newest version that any node is known to have.
	newest atomic.Int64
	// directoryRead is the instant of the last reading of the endpoints.
	directoryRead atomic.Int64

	fellows   gossip.Table
	exchange  gossip.Exchange
	lender    *http.Server
	borrower  http.Client
	borrowing atomic.Bool
	// met tells that the store has told which nodes there are.
	met    atomic.Bool
	holds  atomic.Bool
	resign context.CancelFunc
	ledger usage.Ledger
	ward   quarantine.Tracker
	demand provision.DemandMeter
	// dutyMu guards plan and initial.
	dutyMu  sync.Mutex
	plan    map[fleet.PoolName][]provision.Target
	initial map[fleet.PoolName]*provision.InitialCount

	counters  *counters
	directory directory.Directory
	history   directory.History
	tracker   placement.Tracker
	quotas    allotment.Quotas
	retries   allotment.RetryBudget
	pool      forward.Pool
	leaving   atomic.Bool
	callers   *http.Server
	probe     *http.Server
}

// Start starts the services. The context bounds their lives.
func (f *Front) Start(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "start node %s", f.Settings.Node) }()
	ctx, f.cancel = context.WithCancel(ctx)
	f.store = platform.NewStore(f.Settings.Store.Address)
	f.startedAt, f.startedOn = time.Now(), clock.Now()
	f.self = fleet.NodeRef{Name: f.Settings.Node, Incarnation: fleet.Incarnation(f.startedAt.UnixNano())}
	f.plan = make(map[fleet.PoolName][]provision.Target)
	f.initial = make(map[fleet.PoolName]*provision.InitialCount)
	f.fellows.Self, f.fellows.DataCentre = f.self.Name, f.Settings.DataCentre
	f.fellows.OnConsumed = f.quotas.AddPeerUsage
	f.tracker.DataCentreUnreachable = func(name fleet.DataCentreName) bool { return f.fellows.Unreachable(name, clock.Now()) }
	f.directory.Changed = f.endpointChanged
	f.fellows.OnLivenessChange = f.fellowChanged
	f.ward.OnQuarantined = f.convicted
	bounds := f.Settings.Bounds
	f.counters = newCounters()
	f.pool.OnOpen = f.counters.opened.Inc
	f.quotas.Slack = bounds.QuotaSlack
	if !f.Settings.FirstStart {
		f.quotas.Started = f.startedOn
	}
	f.retries.Ratio, f.retries.Slack, f.retries.Window = bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow
	for _, s := range []kernel.Service{
		f.configService(),
		f.directoryService(),
		f.fellowsService(),
		f.dutiesService(),
		f.metricsService(),
		f.callersService(),
		f.probeService(),
	} {
		if err = f.kernel.Add(s); err != nil {
			return err
		}
	}
	if err = f.kernel.Start(ctx); err != nil {
		return err
	}
	f.Logs.Emit(event.NodeStarted, zap.String("node", string(f.Settings.Node)), zap.String("callers", f.Settings.CallerAddress))
	return nil
}

// Stop lets the balancer see that the node leaves, finishes the requests in
// flight within the grace, and ends the services.
func (f *Front) Stop(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "stop node %s", f.Settings.Node) }()
	ctx, cancel := context.WithTimeout(ctx, f.Settings.Bounds.ShutdownGrace-stopMargin)
	defer cancel()
	f.Logs.Emit(event.NodeDraining)
	f.leaving.Store(true)
	select {
	case <-time.After(cmp.Or(f.ShutdownDelay, noticeTime)):
	case <-ctx.Done():
	}
	err = errors.CombineErrors(err, f.kernel.Drain(ctx))
	f.cancel()
	err = errors.CombineErrors(err, f.kernel.Stop(ctx))
	err = errors.CombineErrors(err, f.group.Wait())
	f.Logs.Emit(event.NodeStopped)
	return err
}

// run starts a part of a service and returns its done channel.
func (f *Front) run(part func()) <-chan struct{} {
	done := make(chan struct{})
	f.group.Go(func() error {
		defer close(done)
		part()
		return nil
	})
	return done
}

func (f *Front) callersService() kernel.Service {
	done := make(chan struct{})
	s := kernel.Service{Name: ServiceCallers, Done: done}
	s.Start = func(ctx context.Context) error {
		f.callers = &http.Server{
			Handler:           alice.New().Then(f.handler()),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			BaseContext:       func(net.Listener) context.Context { return ctx },
		}
		return f.serve(ctx, f.callers, f.Settings.CallerAddress, done)
	}
	s.Drain = func(ctx context.Context) error { return f.callers.Shutdown(ctx) }
	s.Stop = func(context.Context) error { return f.callers.Close() }
	return s
}

func (f *Front) probeService() kernel.Service {
	done := make(chan struct{})
	s := kernel.Service{Name: ServiceProbe, Done: done}
	s.Start = func(ctx context.Context) error {
		f.probe = &http.Server{Handler: http.HandlerFunc(f.ready), ReadHeaderTimeout: headerTimeout}
		return f.serve(ctx, f.probe, f.Settings.ProbeAddress, done)
	}
	s.Stop = func(context.Context) error { return f.probe.Close() }
	return s
}

// serve listens and serves until the server is closed.
func (f *Front) serve(ctx context.Context, server *http.Server, address string, done chan struct{}) error {
	var listen net.ListenConfig
	l, err := listen.Listen(ctx, "tcp", address)
	if err != nil {
		close(done)
		return err
	}
	f.group.Go(func() error {
		defer close(done)
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// ready answers the balancer.
func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if f.leaving.Load() || f.config.Load() == nil || f.directoryRead.Load() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *Front) handler() http.Handler {
	return &gateway.Handler{
		Config: func() gateway.Config {
			if c := f.config.Load(); c != nil {
				return *c
			}
			return gateway.Config{}
		},
		Endpoints:     f.directory.Endpoints,
		Nodes:         f.nodes,
		IsQuarantined: func(content uint64) bool { return f.ward.Quarantined(quarantine.ContentHash(content)) },
		RecordFailure: f.broke,
		RecordStart:   f.began,
		RecordDemand:  f.demand.Add,
		OnFinish:      f.counters.finished,
		Tracker:       &f.tracker,
		Quotas:        &f.quotas,
		Retries:       &f.retries,
		Pool:          &f.pool,
		Logs:          f.Logs,
		DataCentre:    f.Settings.DataCentre,
		MaxKeyAge:     f.keyAge(),
		Random:        rand.Float64,
		Draining:      f.leaving.Load,
	}
}

func (f *Front) keyAge() time.Duration {
	if !f.Settings.Bounds.StrictRevocation {
		return time.Hour
	}
	return f.Settings.Bounds.MaxRevocationDelay - revokeMargin
}

// housekeep expires what is kept for a while.
func (f *Front) housekeep(context.Context) {
	f.directory.Expire(clock.Now())
	f.pool.CloseExpired(time.Now())
	f.expire()
	f.countInitial()
	f.tracker.Prune(func(id fleet.InstanceID) bool {
		_, ok := f.directory.Find(id)
		return ok
	})
}

func (f *Front) fellowChanged(node fleet.NodeName, heard bool) {
	id := event.NodeSilent
	if heard {
		id = event.NodeResponding
	}
	f.Logs.Emit(id, zap.String("peer", string(node)))
}

// Endpoints returns the endpoints of a pool that take requests.
func (f *Front) ReadyEndpoints(pool fleet.PoolName) []serving.Endpoint {
	var ready []serving.Endpoint
	for _, e := range f.directory.Endpoints(pool) {
		if e.State == serving.StateReady {
			ready = append(ready, e)
		}
	}
	return ready
}
