// Package daemon puts one entry node together from its settings: the services
// of the kernel, their order, and how they find each other.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/peer"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
)

// The names under which services find each other.
const (
	ServicePlatform kernel.ServiceName = "platform"
	ServiceJournal  kernel.ServiceName = "journal"
	ServiceConfig   kernel.ServiceName = "config"
	ServiceRoster   kernel.ServiceName = "roster"
	ServiceRouter   kernel.ServiceName = "router"
	ServiceSuspect  kernel.ServiceName = "suspect"
	ServiceOrder    kernel.ServiceName = "order"
	ServiceEntry    kernel.ServiceName = "entry"
	ServiceCallers  kernel.ServiceName = "callers"
	ServiceOperator kernel.ServiceName = "operators"
)

// Limits of the connections to platform and endpoints.
const (
	dialTimeout     = 2 * time.Second
	idlePerHost     = 256
	idleConnections = 4096
)

// Daemon is one entry node. Settings must be set and checked.
type Daemon struct {
	Settings settings.Settings
	Logs     *event.Logs
	// Incarnation tells the lives of the node apart; 0 takes the clock's.
	Incarnation fleet.Incarnation

	kernel   kernel.Kernel
	node     fleet.NodeRef
	client   *http.Client
	clients  Clients
	registry *prometheus.Registry
	cancel   context.CancelFunc
	streams  []*journal.Stream
	// required are the streams whose records a stop waits for.
	required []*journal.Stream
	started  time.Time
	leaving  atomic.Bool
	callers  *listener
	operator *listener
	admitter *admitter
	peers    *peer.Service
	traffic  peer.Traffic
	gatherer *peer.LogWriter
	forward  *peer.Forwarder
}

// Clients are the clients of the platform's services.
type Clients struct {
	Log   *platform.Log
	List  *platform.InstanceList
	Cloud *platform.Cloud
}

// Start starts the services. The context bounds their lives.
func (d *Daemon) Start(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "start node %s", d.Settings.Node) }()
	ctx, d.cancel = context.WithCancel(ctx)
	if d.Incarnation == 0 {
		d.Incarnation = fleet.Incarnation(time.Now().UnixNano())
	}
	d.started = time.Now()
	d.node = fleet.NodeRef{Name: d.Settings.Node, Incarnation: d.Incarnation}
	d.client = newClient(true)
	d.registry = prometheus.NewRegistry()
	if err := d.dial(); err != nil {
		return err
	}
	d.gather()
	for _, add := range []func() (kernel.Service, error){
		d.configService,
		d.rosterService,
		d.routerService,
		d.pollerService,
		d.peerService,
		d.peersService,
		d.limitService,
		d.orderService,
		d.leaseService,
		d.suspectService,
		d.entryService,
		d.capacityService,
		d.rolloutService,
		d.ledgerService,
		d.metricsService,
		d.operatorService,
		d.callersService,
	} {
		s, err := add()
		if err != nil {
			return err
		}
		if err := d.kernel.Add(s); err != nil {
			return err
		}
	}
	if err := d.kernel.Start(ctx); err != nil {
		d.cancel()
		return err
	}
	d.Logs.Emit(event.NodeStarted, zap.String("node", string(d.node.Name)), zap.String("callers", d.Callers()), zap.String("operators", d.Operators()))
	return nil
}

// Callers returns the address that callers use.
func (d *Daemon) Callers() string { return d.callers.address() }

// Operators returns the address that operators use.
func (d *Daemon) Operators() string { return d.operator.address() }

// newClient returns a client of endpoints and platform. Without reuse it opens a
// connection for each request.
func newClient(reuse bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		// A redirect is the caller's to follow; it must not lead the node elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        idleConnections,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			DisableKeepAlives:   !reuse,
		},
	}
}

func (d *Daemon) dial() error {
	p := d.Settings.Platform
	token, err := p.Token.Read()
	if err != nil {
		return err
	}
	d.clients = Clients{
		Log:   platform.DialLog(p.Log, token, d.client),
		List:  platform.DialInstanceList(p.InstanceList, token, d.client),
		Cloud: platform.DialCloud(p.Cloud, token, d.client),
	}
	return nil
}
