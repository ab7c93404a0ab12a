// Package daemon assembles an entry node from its settings: it creates the
// services, registers them with the kernel in start order and connects them.
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

// Names under which the kernel registers the services.
const (
	ServicePlatform         kernel.ServiceName = "platform"
	ServiceJournal          kernel.ServiceName = "journal"
	ServiceConfig           kernel.ServiceName = "config"
	ServiceRoster           kernel.ServiceName = "roster"
	ServiceRouter           kernel.ServiceName = "router"
	ServiceSuspect          kernel.ServiceName = "suspect"
	ServiceOrder            kernel.ServiceName = "order"
	ServiceEntry            kernel.ServiceName = "entry"
	ServiceCallerListener   kernel.ServiceName = "callers"
	ServiceOperatorListener kernel.ServiceName = "operators"
)

// Limits of the connections to the platform and to endpoints.
const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 256
	maxIdleConns        = 4096
)

// Daemon is an entry node. Settings must be set and validated.
type Daemon struct {
	Settings settings.Settings
	Logs     *event.Logs
	// Incarnation distinguishes restarts of the node; 0 means the start time in
	// nanoseconds.
	Incarnation fleet.Incarnation

	kernel     kernel.Kernel
	node       fleet.NodeRef
	httpClient *http.Client
	clients    platformClients
	registry   *prometheus.Registry
	cancel     context.CancelFunc
	streams    []*journal.Stream
	// orderStreams are the streams whose records Drain waits for.
	orderStreams     []*journal.Stream
	startTime        time.Time
	draining         atomic.Bool
	callerListener   *listener
	operatorListener *listener
	admitter         *admitter
	peers            *peer.Service
	peerTraffic      peer.Traffic
	logWriter        *peer.LogWriter
	forwarder        *peer.Forwarder
}

// platformClients holds the clients of the platform's services.
type platformClients struct {
	Log          *platform.Log
	InstanceList *platform.InstanceList
	Cloud        *platform.Cloud
}

// Start starts the services. Their background work ends with the context.
func (d *Daemon) Start(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "start node %s", d.Settings.Node) }()
	ctx, d.cancel = context.WithCancel(ctx)
	if d.Incarnation == 0 {
		d.Incarnation = fleet.Incarnation(time.Now().UnixNano())
	}
	d.startTime = time.Now()
	d.node = fleet.NodeRef{Name: d.Settings.Node, Incarnation: d.Incarnation}
	d.httpClient = newHTTPClient(true)
	d.registry = prometheus.NewRegistry()
	if err := d.dialPlatform(); err != nil {
		return err
	}
	d.useLogWriters()
	for _, newService := range []func() (kernel.Service, error){
		d.configService,
		d.rosterService,
		d.routerService,
		d.pollerService,
		d.peerExchangeService,
		d.peerListenerService,
		d.limitService,
		d.orderService,
		d.leaseService,
		d.suspectService,
		d.entryService,
		d.capacityService,
		d.rolloutService,
		d.ledgerService,
		d.metricsService,
		d.operatorListenerService,
		d.callerListenerService,
	} {
		s, err := newService()
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
	d.Logs.Emit(event.NodeStarted, zap.String("node", string(d.node.Name)), zap.String("callers", d.CallerAddress()), zap.String("operators", d.OperatorAddress()))
	return nil
}

// CallerAddress returns the listen address for callers.
func (d *Daemon) CallerAddress() string { return d.callerListener.address() }

// OperatorAddress returns the listen address for operators.
func (d *Daemon) OperatorAddress() string { return d.operatorListener.address() }

// newHTTPClient returns an HTTP client for endpoints and the platform. Without reuse
// it opens a connection for each request.
func newHTTPClient(reuse bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		// Redirects are passed on to the caller; the node must not be led to
		// another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			DisableKeepAlives:   !reuse,
		},
	}
}

// dialPlatform creates the clients of the platform's services.
func (d *Daemon) dialPlatform() error {
	p := d.Settings.Platform
	token, err := p.Token.Read()
	if err != nil {
		return err
	}
	d.clients = platformClients{
		Log:          platform.DialLog(p.Log, token, d.httpClient),
		InstanceList: platform.DialInstanceList(p.InstanceList, token, d.httpClient),
		Cloud:        platform.DialCloud(p.Cloud, token, d.httpClient),
	}
	return nil
}
