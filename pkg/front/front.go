// Package front assembles a node that serves callers on the users' platform from
// its services, which it starts and stops in a fixed order.
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
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/feed"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/gateway"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/pace"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	serviceclient "github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/returning"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
	"github.com/skylarkloom/skylarkloom/platform"
)

// The names of the node's services.
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
	// configWait is how long a read waits for a new configuration. A confirmation
	// counts from the time at which its read was sent, so twice this wait plus the
	// time of one exchange must stay below maxPeerConfigAge.
	configWait = 700 * time.Millisecond
	// directoryPause is the pause between reads of the endpoint directory. Together
	// with the time of one exchange it is well below the time within which a draining
	// endpoint must stop receiving work.
	directoryPause = 550 * time.Millisecond
	// maxDeltaChanges is the maximum number of directory changes in one reply, which
	// has to fit into a datagram.
	maxDeltaChanges = 128
	// maxPeerConfigAge and maxPeerDirectoryAge are the maximum ages of a peer's read
	// that replaces a read by this node. Both are well below the maximum age at which
	// the configuration and the directory may still be used.
	maxPeerConfigAge    = 2200 * time.Millisecond
	maxPeerDirectoryAge = 1300 * time.Millisecond
	// revokeMargin is subtracted from the time within which a revoked key must be
	// refused. It covers the time until a request reaches its endpoint.
	revokeMargin = 400 * time.Millisecond
	// housekeepInterval is the pause between two runs of housekeep.
	housekeepInterval = time.Second
	// assumedNodes is the usual number of nodes in a deployment. At least as many are
	// assumed to share the limits until the list of nodes has been read.
	assumedNodes = 8
	// defaultShutdownDelay is how long a node continues to serve after its readiness
	// probe fails. The load balancer probes once a second; this covers two failed probes.
	defaultShutdownDelay = 2600 * time.Millisecond
	// shutdownMargin is the part of the grace period reserved for the exit of the process.
	// A node with a fifth of a core needs most of it to close its connections.
	shutdownMargin = 500 * time.Millisecond
	// finalResponseTime is the part of the grace period before that in which callers whose
	// requests are still under way receive their final response.
	finalResponseTime = 400 * time.Millisecond
	// exitDelay is how long of that Stop waits for goroutines that have not returned.
	exitDelay = 100 * time.Millisecond
)

// Front is a node that serves callers. Settings must be set.
type Front struct {
	Settings platform.Settings
	Logs     *event.Logs
	// ShutdownDelay is how long the node continues to serve after its readiness probe
	// fails, so that the load balancer stops sending it requests; 0 stands for
	// defaultShutdownDelay.
	ShutdownDelay time.Duration

	kernel kernel.Kernel
	group  errgroup.Group
	cancel context.CancelFunc
	store  *platform.Store
	self   fleet.NodeRef
	// startTime and startInstant are the wall-clock time and the instant of the start.
	startTime    time.Time
	startInstant clock.Instant

	// configMu serialises the writers of config and document.
	configMu sync.Mutex
	config   atomic.Pointer[gateway.Config]
	// document is the encoded configuration as published by the operator.
	document                 atomic.Pointer[[]byte]
	configFeed, endpointFeed feed.Follower
	nodesFeed                feed.Follower
	// newestConfigVersion is the newest configuration version known to be in force on
	// any node.
	newestConfigVersion atomic.Int64
	// directoryReadAt is the latest instant at which the directory was known to be
	// complete.
	directoryReadAt atomic.Int64

	peers            gossip.Table
	exchange         gossip.Exchange
	snapshotServer   *http.Server
	snapshotClient   http.Client
	fetchingSnapshot atomic.Bool
	// nodesLoaded is set once the list of nodes has been read from the store.
	nodesLoaded  atomic.Bool
	holdsDuties  atomic.Bool
	cancelDuties context.CancelFunc
	usageCounter usage.Counter
	quarantine   quarantine.Tracker
	crashes      quarantine.Detector
	// unstored wakes storeCrashes.
	unstored chan struct{}
	// repliesMu guards replies, the last reply of each peer.
	repliesMu sync.Mutex
	replies   map[fleet.NodeName]peerReply
	demand    provision.DemandMeter
	engines   provision.EngineModel
	// dutyMu guards lastPlans, initialCounts, reported, trends and holds.
	dutyMu        sync.Mutex
	lastPlans     map[fleet.PoolName][]provision.Target
	initialCounts map[fleet.PoolName]*provision.InitialCount
	trends        map[fleet.PoolName]*provision.Trend
	reported      map[fleet.PoolName]*provision.ReportedDemand
	holds         map[fleet.PoolName]*provision.Hold

	metrics   *requestMetrics
	directory directory.Directory
	history   directory.History
	tracker   placement.Tracker
	pace      pace.Model
	quotas    allotment.QuotaLimiter
	retries   allotment.RetryBudget
	waiting   waiting.Queues
	returns   returning.Schedule
	visitors  returning.Visitors
	// short is whether housekeep last found too little room for the requests.
	short       bool
	canary      canary.Tracker
	connections forward.Pool
	// shutdown is the state of a planned stop.
	shutdown       gateway.Shutdown
	callerConns    connection.Tracker
	callerListener net.Listener
	callerServer   *http.Server
	probeServer    *http.Server
	intake         nodeIntake
}

// Start starts the services, which run within the context.
func (f *Front) Start(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "start node %s", f.Settings.Node) }()
	ctx, f.cancel = context.WithCancel(ctx)
	f.store = platform.NewStore(f.Settings.Store.Address)
	f.startTime, f.startInstant = time.Now(), clock.Now()
	f.self = fleet.NodeRef{Name: f.Settings.Node, Incarnation: fleet.Incarnation(f.startTime.UnixNano())}
	f.lastPlans = make(map[fleet.PoolName][]provision.Target)
	f.initialCounts = make(map[fleet.PoolName]*provision.InitialCount)
	f.trends = make(map[fleet.PoolName]*provision.Trend)
	f.reported = make(map[fleet.PoolName]*provision.ReportedDemand)
	f.holds = make(map[fleet.PoolName]*provision.Hold)
	f.peers.Self, f.peers.DataCentre = f.self.Name, f.Settings.DataCentre
	f.peers.OnConsumed, f.peers.OnFirstReport = f.quotas.AddPeerUsage, f.quotas.Adopt
	f.tracker.DataCentreSilent = func(name fleet.DataCentreName) bool { return f.peers.DataCentreSilent(name, clock.Now()) }
	f.tracker.PoolPrefillRate = func(pool fleet.PoolName) float64 { return f.engines.Speeds(pool).Prefill }
	f.tracker.OnPrefill = f.engines.AddPrefill
	f.tracker.Pace = &f.pace
	f.engines.Usual = f.usualSpeeds
	f.directory.OnChange = f.logEndpointChange
	f.peers.OnLivenessChange = f.logPeerLiveness
	f.quarantine.OnQuarantined = func(q quarantine.Quarantine, found bool) { f.handleQuarantined(ctx, q, found) }
	f.unstored = make(chan struct{}, 1)
	f.quarantine.OnUnstored = f.noteUnstored
	f.crashes.Probe, f.crashes.OnCrash = f.connections.Probe, f.recordCrash
	f.crashes.Go = func(fn func(context.Context)) {
		f.group.Go(func() error {
			fn(ctx)
			return nil
		})
	}
	f.configureCanary()
	bounds := f.Settings.Bounds
	f.metrics = newRequestMetrics()
	f.intake.setLimits(intake.Bytes(f.Settings.MemoryMB)<<20, f.Settings.Sockets, f.metrics.countRefusedCaller)
	f.intake.endpoints.OnRefused = f.metrics.countRefusedResponse
	f.connections.OnOpen, f.connections.Budget = f.metrics.connectionsOpened.Inc, &f.intake.endpoints
	f.store.Responses = &f.intake.services
	f.snapshotClient.Transport = serviceclient.NewTransport()
	f.waiting.Random, f.returns.Random, f.returns.Started = rand.Float64, rand.Float64, f.startTime
	f.quotas.Slack, f.quotas.Tolerance, f.quotas.Window = bounds.QuotaSlack, bounds.QuotaTolerance, bounds.QuotaWindow
	if !f.Settings.FirstStart {
		f.quotas.Started, f.retries.Started = f.startInstant, f.startInstant
	}
	f.retries.Ratio, f.retries.Slack, f.retries.Window = bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow
	for _, s := range []kernel.Service{
		f.configService(),
		f.directoryService(),
		f.gossipService(),
		f.dutiesService(),
		f.rolloutsService(),
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

// Stop fails the readiness probe, waits for the shutdown delay, refuses further requests,
// lets those in flight finish within the grace period and stops the services.
func (f *Front) Stop(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "stop node %s", f.Settings.Node) }()
	lifetime := f.Settings.Bounds.ShutdownGrace - shutdownMargin
	ctx, cancel := context.WithTimeout(ctx, lifetime)
	defer cancel()
	f.Logs.Emit(event.NodeDraining, zap.Duration("lifetime", lifetime))
	f.shutdown.Begin(time.Now().Add(lifetime - finalResponseTime))
	select {
	case <-time.After(cmp.Or(f.ShutdownDelay, defaultShutdownDelay)):
	case <-f.shutdown.End().Done():
	case <-ctx.Done():
	}
	err = errors.CombineErrors(err, f.kernel.Drain(ctx))
	f.cancel()
	err = errors.CombineErrors(err, f.kernel.Stop(ctx))
	err = errors.CombineErrors(err, f.waitForGroup(ctx))
	f.Logs.Emit(event.NodeStopped)
	return err
}

// waitForGroup waits until all goroutines of the node have returned, or until exitDelay
// after the end of the context.
func (f *Front) waitForGroup(ctx context.Context) error {
	returned := make(chan struct{})
	var waiting errgroup.Group
	waiting.Go(func() error {
		defer close(returned)
		return f.group.Wait()
	})
	select {
	case <-returned:
		return waiting.Wait()
	case <-ctx.Done():
	}
	select {
	case <-returned:
		return waiting.Wait()
	case <-time.After(exitDelay):
		return errors.New("goroutines were still running at the end of the grace period")
	}
}

// goWithDone runs fn in a goroutine and returns a channel that is closed when fn
// returns.
func (f *Front) goWithDone(fn func()) <-chan struct{} {
	done := make(chan struct{})
	f.group.Go(func() error {
		defer close(done)
		fn()
		return nil
	})
	return done
}

func (f *Front) probeService() kernel.Service {
	done := make(chan struct{})
	s := kernel.Service{Name: ServiceProbe, Done: done}
	s.Start = func(ctx context.Context) error {
		f.probeServer = &http.Server{Handler: http.HandlerFunc(f.serveReadiness)}
		_, err := f.serve(ctx, f.probeServer, otherGuard(&f.intake.probe), f.Settings.ProbeAddress, done)
		return err
	}
	s.Stop = func(context.Context) error { return f.probeServer.Close() }
	return s
}

// serve listens on an address and serves in the background, through a guard, until the
// server or the listener is closed. It closes done afterwards, or if it cannot listen.
func (f *Front) serve(ctx context.Context, server *http.Server, guard *connection.Guard, address string, done chan struct{}) (listener net.Listener, err error) {
	var listenConfig net.ListenConfig
	listener, err = listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		close(done)
		return nil, err
	}
	listener = guardServer(server, guard, listener)
	f.group.Go(func() error {
		defer close(done)
		if err := server.Serve(listener); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
			return err
		}
		return nil
	})
	return listener, nil
}

// serveReadiness handles the load balancer's readiness probe. The node is ready once
// it has a configuration and has read the endpoint directory, until it drains.
func (f *Front) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if f.shutdown.Begun() || f.config.Load() == nil || f.directoryReadAt.Load() == 0 {
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
		Endpoints:      f.directory.Endpoints,
		Accepts:        func(e serving.Endpoint) bool { return f.directory.Accepts(e.ID, e.Born) },
		MarkLeaving:    func(id fleet.InstanceID, born int64) bool { return f.directory.MarkLeaving(id, born, clock.Now()) },
		UnixTime:       func(at clock.Instant) int64 { return f.correctedTime().Add(at.Sub(clock.Now())).UnixMilli() },
		Nodes:          f.nodes,
		IsQuarantined:  func(subjects []quarantine.Subject) bool { return f.quarantine.Quarantined(subjects, clock.Now()) },
		RecordBroken:   f.crashes.RecordBroken,
		RecordServed:   f.quarantine.RecordServed,
		RecordStarted:  f.quarantine.RecordStarted,
		RecordStart:    f.recordStart,
		RecordDemand:   f.demand.Add,
		OnFinish:       f.metrics.observe,
		OnCallerLeft:   f.metrics.countCallerLeft,
		OnAnnouncement: f.metrics.countAnnouncement,
		OnUnread:       f.metrics.countUnread,
		OnWait:         f.metrics.observeWait,
		OnReturn:       f.metrics.countReturn,
		Tracker:        &f.tracker,
		Waiting:        &f.waiting,
		Returns:        &f.returns,
		Visitors:       &f.visitors,
		Versions:       &f.canary,
		Engines:        &f.engines,
		Quotas:         &f.quotas,
		Retries:        &f.retries,
		Pool:           &f.connections,
		Logs:           f.Logs,
		DataCentre:     f.Settings.DataCentre,
		MaxKeyAge:      f.maxKeyAge(),
		Random:         rand.Float64,
		Shutdown:       &f.shutdown,
	}
}

// maxKeyAge returns the maximum age of the configuration's confirmation at which
// account keys are accepted.
func (f *Front) maxKeyAge() time.Duration {
	if !f.Settings.Bounds.StrictRevocation {
		return time.Hour
	}
	return f.Settings.Bounds.MaxRevocationDelay - revokeMargin
}

// housekeep removes expired state and updates the initial endpoint counts and the demand.
func (f *Front) housekeep(context.Context) {
	f.directory.Expire(clock.Now())
	f.connections.CloseExpired(time.Now())
	f.expireGossipState()
	f.updatePace()
	f.countInitialEndpoints()
	// No digest comes any more from nodes that became silent.
	f.applyShortage()
	f.logShortage()
	f.observeDemand()
	f.tracker.Prune(func(id fleet.InstanceID) bool {
		_, ok := f.directory.Find(id)
		return ok
	}, clock.Now())
}

func (f *Front) logPeerLiveness(peer fleet.NodeName, live bool) {
	id := event.NodeSilent
	if live {
		id = event.NodeResponding
	}
	f.Logs.Emit(id, zap.String("peer", string(peer)))
}

// ReadyEndpoints returns the endpoints of a pool that accept requests.
func (f *Front) ReadyEndpoints(pool fleet.PoolName) []serving.Endpoint {
	var ready []serving.Endpoint
	for _, e := range f.directory.Endpoints(pool) {
		if e.State == serving.StateReady {
			ready = append(ready, e)
		}
	}
	return ready
}
