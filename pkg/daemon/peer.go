package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/member"
	"github.com/skylarkloom/skylarkloom/pkg/peer"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/router"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
)

// Names of the services that communicate with peers.
const (
	// ServicePeerExchange exchanges state with peers; its value is a *peer.Service.
	ServicePeerExchange kernel.ServiceName = "peer"
	// ServicePeerListener listens for peers.
	ServicePeerListener kernel.ServiceName = "peers"
)

const (
	// smallFleetNodes is the maximum number of nodes of a small fleet, in which each
	// node polls every endpoint and appends to the log directly.
	smallFleetNodes = 8
	// logWriterInterval is the minimum time between two appends of a log writer to
	// one stream.
	logWriterInterval = 100 * time.Millisecond
	// exchangeErrorLogInterval is the minimum time between two events on failed
	// exchanges.
	exchangeErrorLogInterval = 10 * time.Second
)

// peerExchangeService returns the service that exchanges state with peers.
func (d *Daemon) peerExchangeService() (kernel.Service, error) {
	store, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	instanceRoster, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return kernel.Service{}, err
	}
	r, err := kernel.Find[*router.Router](&d.kernel, ServiceRouter)
	if err != nil {
		return kernel.Service{}, err
	}
	poller, err := kernel.Find[*router.Poller](&d.kernel, ServicePoller)
	if err != nil {
		return kernel.Service{}, err
	}
	s := &peer.Service{
		Self:             member.Node{Ref: d.node, DataCentre: d.Settings.DataCentre, Address: d.Settings.Peers.Address},
		Seed:             uint64(d.Incarnation),
		Revision:         store.Revision,
		CurrentConfig:    currentConfig(store),
		ApplyConfig:      d.configReceiver(store),
		OnCondition:      func(rep roster.ConditionReport) { instanceRoster.Report(rep) },
		OnLivenessChange: d.logPeerLiveness,
		OnExchangeError:  d.exchangeErrorLogger(),
	}
	for _, p := range d.Settings.Peers.Nodes {
		s.Peers = append(s.Peers, peer.Peer{Name: p.Name, DataCentre: p.DataCentre, Address: p.Address})
	}
	if err := d.dialPeers(s); err != nil {
		return kernel.Service{}, err
	}
	previous := instanceRoster.Reported
	instanceRoster.Reported = func(rep roster.ConditionReport) {
		previous(rep)
		s.PublishCondition(rep)
	}
	d.sharePolling(s, instanceRoster, r, poller)
	d.peers = s
	return backgroundService(ServicePeerExchange, s, s.Run), nil
}

// currentConfig returns a function that returns the configuration in force.
func currentConfig(store *config.Store) func() (config.Change, bool) {
	return func() (config.Change, bool) {
		c := store.Current()
		if c == nil {
			return config.Change{}, false
		}
		return c.Change, true
	}
}

// configReceiver returns a function that stores a configuration received from a
// peer.
func (d *Daemon) configReceiver(store *config.Store) func(config.Change) error {
	return func(c config.Change) error {
		if err := store.Receive(c); err != nil {
			return err
		}
		d.Logs.Emit(event.ConfigReceived, zap.Uint64("revision", uint64(c.Revision)))
		return nil
	}
}

// logPeerLiveness logs that a peer became alive or silent.
func (d *Daemon) logPeerLiveness(n member.Node, alive bool) {
	id := event.PeerSilent
	if alive {
		id = event.PeerResponding
	}
	d.Logs.Emit(id, zap.String("node", string(n.Ref.Name)), zap.Uint64("incarnation", uint64(n.Ref.Incarnation)))
}

// exchangeErrorLogger returns a function that logs failed exchanges at a limited
// rate.
func (d *Daemon) exchangeErrorLogger() func(peer.Peer, error) {
	throttle := rate.Sometimes{Interval: exchangeErrorLogInterval}
	return func(p peer.Peer, err error) {
		throttle.Do(func() { d.Logs.Emit(event.PeerExchangeFailed, zap.String("node", string(p.Name)), zap.Error(err)) })
	}
}

// dialPeers sets the client of the service and registers the metrics of its
// traffic.
func (d *Daemon) dialPeers(s *peer.Service) error {
	token, err := d.Settings.Peers.Token.Read()
	if err != nil {
		return err
	}
	scheme, authorities, err := peerAuthorities(d.Settings.Peers.TLS)
	if err != nil {
		return err
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:        d.peerTraffic.WrapDial(dialer.DialContext),
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		Protocols:          peerProtocols(),
		TLSClientConfig:    &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities},
	}
	client := &http.Client{Transport: transport}
	s.Exchange = peer.Dial(client, scheme, token)
	if d.forwarder != nil {
		s.LogWriter, d.forwarder.Writer = d.logWriter, s.Writer
		d.forwarder.RemoteAppend = peer.DialAppend(client, scheme, token)
	}
	counter := func(name, help string, value func() float64) {
		d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
	}
	counter("skylarkloom_peer_sent_bytes_total", "Bytes sent to other nodes.", func() float64 { return float64(d.peerTraffic.Sent.Load()) })
	counter("skylarkloom_peer_received_bytes_total", "Bytes received from other nodes.", func() float64 { return float64(d.peerTraffic.Received.Load()) })
	counter("skylarkloom_peer_exchanges_total", "Exchanges started by this node.", func() float64 { return float64(s.Stats().Exchanges) })
	counter("skylarkloom_peer_failures_total", "Exchanges that failed.", func() float64 { return float64(s.Stats().Failures) })
	return nil
}

// useLogWriters makes a node of a large fleet append to the log through the log
// writers of its data centre.
func (d *Daemon) useLogWriters() {
	if d.countNodes() <= smallFleetNodes {
		return
	}
	d.logWriter = &peer.LogWriter{Log: d.clients.Log, MinInterval: logWriterInterval}
	d.forwarder = &peer.Forwarder{Local: d.logWriter}
	d.clients.Log = &platform.Log{AppendFunc: d.forwarder.Append, ReadFunc: d.clients.Log.ReadFunc}
}

// peerProtocols returns HTTP/2 only, whose header compression keeps messages
// small.
func peerProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// peerAuthorities returns the URL scheme for peers and the certificate authorities
// to trust; a nil pool means those of the system.
func peerAuthorities(t settings.TLS) (scheme string, pool *x509.CertPool, err error) {
	if t == (settings.TLS{}) {
		return "http", nil, nil
	}
	if t.Authorities == "" {
		return "https", nil, nil
	}
	data, err := os.ReadFile(t.Authorities)
	if err != nil {
		return "", nil, err
	}
	pool = x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return "", nil, errors.Newf("no PEM certificate found in %s", t.Authorities)
	}
	return "https", pool, nil
}

// peerListenerService returns the listener for peers, or a service that does nothing if
// the settings give no address.
func (d *Daemon) peerListenerService() (kernel.Service, error) {
	p := d.Settings.Peers
	if p.Address == "" {
		return kernel.Service{Name: ServicePeerListener}, nil
	}
	token, err := p.Token.Read()
	if err != nil {
		return kernel.Service{}, err
	}
	l := &listener{
		settings:     settings.Listener{Address: p.Address, TLS: p.TLS},
		handler:      d.peers.Handler(token),
		protocols:    peerProtocols(),
		wrapListener: d.peerTraffic.WrapListener,
	}
	return l.service(ServicePeerListener), nil
}

// alive reports whether a node is considered alive. Without peers every node is.
func (d *Daemon) alive(n fleet.NodeRef) bool {
	return len(d.peers.Peers) == 0 || d.peers.Alive(n)
}

// wireLoad is the encoding of a load report between peers.
type wireLoad struct {
	Running int          `cbor:"1,keyasint,omitempty"`
	Waiting int          `cbor:"2,keyasint,omitempty"`
	Slots   int          `cbor:"3,keyasint,omitempty"`
	Cache   fleet.Tokens `cbor:"4,keyasint,omitempty"`
	Model   string       `cbor:"5,keyasint,omitempty"`
	Version string       `cbor:"6,keyasint,omitempty"`
	Role    string       `cbor:"7,keyasint,omitempty"`
	Crashes int          `cbor:"8,keyasint,omitempty"`
}

// sharePolling divides the polling of endpoints among the nodes of a large fleet
// and exchanges the load reports with peers.
func (d *Daemon) sharePolling(s *peer.Service, instanceRoster *roster.Roster, r *router.Router, p *router.Poller) {
	index := &instanceIndex{roster: instanceRoster}
	if d.countNodes() > smallFleetNodes {
		p.Assigned = func(id fleet.InstanceID) bool {
			i, ok := index.byID(id)
			return ok && s.IsPoller(i)
		}
	}
	p.OnReport = func(m router.EngineLoad) {
		i, ok := index.byID(m.Instance.ID)
		data, err := record.Marshal(wireLoad(m.Load))
		if ok && err == nil && len(s.Peers) > 0 {
			s.ReportLoad(i, data)
		}
	}
	s.OnLoad = func(l peer.Load) {
		ref, ok := index.bySubject(l.Subject)
		var v wireLoad
		if ok && record.Unmarshal(l.Data, &v) == nil {
			r.MergeReport(router.EngineLoad{Instance: ref, Load: engine.Load(v), At: l.Observed})
		}
	}
}

// instanceIndex looks up instances of the roster by ID and by subject. The index
// of subjects is rebuilt when the roster returns another list.
type instanceIndex struct {
	roster *roster.Roster

	mu        sync.Mutex
	instances []fleet.Instance
	subjects  map[member.Subject]fleet.InstanceRef
}

func (x *instanceIndex) byID(id fleet.InstanceID) (i fleet.Instance, ok bool) {
	instances := x.roster.Instances()
	n := slices.IndexFunc(instances, func(i fleet.Instance) bool { return i.ID == id })
	if n < 0 {
		return i, false
	}
	return instances[n], true
}

func (x *instanceIndex) bySubject(s member.Subject) (fleet.InstanceRef, bool) {
	instances := x.roster.Instances()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.subjects == nil || len(instances) != len(x.instances) || (len(instances) > 0 && &instances[0] != &x.instances[0]) {
		x.instances, x.subjects = instances, make(map[member.Subject]fleet.InstanceRef, len(instances))
		for _, i := range instances {
			x.subjects[member.InstanceSubject(i.Ref())] = i.Ref()
		}
	}
	ref, ok := x.subjects[s]
	return ref, ok
}
