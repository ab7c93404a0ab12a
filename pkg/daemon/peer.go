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

// The services of the peers.
const (
	// ServicePeer exchanges news with other nodes; its value is a *peer.Service.
	ServicePeer  kernel.ServiceName = "peer"
	ServicePeers kernel.ServiceName = "peers"
)

const (
	// smallFleet is up to how many nodes each one polls every endpoint and
	// appends to the log for itself.
	smallFleet = 8
	// gatherEvery is the least time between two appends of a log writer to one
	// stream.
	gatherEvery = 100 * time.Millisecond
	// failuresEvery is the least time between two events on failed exchanges.
	failuresEvery = 10 * time.Second
)

// peerService exchanges news with the other nodes.
func (d *Daemon) peerService() (kernel.Service, error) {
	keeper, err := kernel.Find[*config.Store](&d.kernel, ServiceConfig)
	if err != nil {
		return kernel.Service{}, err
	}
	known, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
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
		Revision:         keeper.Revision,
		CurrentConfig:    inForce(keeper),
		ApplyConfig:      d.learn(keeper),
		OnMark:           func(m roster.Report) { known.Report(m) },
		OnLivenessChange: d.peerChanged,
		OnExchangeError:  d.exchangeFailed(),
	}
	for _, p := range d.Settings.Peers.Nodes {
		s.Peers = append(s.Peers, peer.Peer{Name: p.Name, DataCentre: p.DataCentre, Address: p.Address})
	}
	if err := d.dialPeers(s); err != nil {
		return kernel.Service{}, err
	}
	local := known.Reported
	known.Reported = func(m roster.Report) {
		local(m)
		s.PublishMark(m)
	}
	d.shareLoads(s, known, r, poller)
	d.peers = s
	return running(ServicePeer, s, s.Run), nil
}

func inForce(k *config.Store) func() (config.Change, bool) {
	return func() (config.Change, bool) {
		c := k.Current()
		if c == nil {
			return config.Change{}, false
		}
		return c.Change, true
	}
}

func (d *Daemon) learn(k *config.Store) func(config.Change) error {
	return func(c config.Change) error {
		if err := k.Receive(c); err != nil {
			return err
		}
		d.Logs.Emit(event.ConfigReceived, zap.Uint64("revision", uint64(c.Revision)))
		return nil
	}
}

func (d *Daemon) peerChanged(n member.Node, alive bool) {
	id := event.PeerSilent
	if alive {
		id = event.PeerAlive
	}
	d.Logs.Emit(id, zap.String("node", string(n.Ref.Name)), zap.Uint64("incarnation", uint64(n.Ref.Incarnation)))
}

func (d *Daemon) exchangeFailed() func(peer.Peer, error) {
	sometimes := rate.Sometimes{Interval: failuresEvery}
	return func(p peer.Peer, err error) {
		sometimes.Do(func() { d.Logs.Emit(event.PeerFailed, zap.String("node", string(p.Name)), zap.Error(err)) })
	}
}

// dialPeers gives the service its client and the metrics of its traffic.
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
		DialContext:        d.traffic.WrapDial(dialer.DialContext),
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		Protocols:          peerProtocols(),
		TLSClientConfig:    &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities},
	}
	client := &http.Client{Transport: transport}
	s.Exchange = peer.Dial(client, scheme, token)
	if d.forward != nil {
		s.LogWriter, d.forward.Writer = d.gatherer, s.Writer
		d.forward.RemoteAppend = peer.DialAppend(client, scheme, token)
	}
	counter := func(name, help string, value func() float64) {
		d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
	}
	counter("skylarkloom_peer_sent_bytes_total", "Bytes sent to other nodes.", func() float64 { return float64(d.traffic.Sent.Load()) })
	counter("skylarkloom_peer_received_bytes_total", "Bytes received from other nodes.", func() float64 { return float64(d.traffic.Received.Load()) })
	counter("skylarkloom_peer_exchanges_total", "Exchanges begun by this node.", func() float64 { return float64(s.Stats().Exchanges) })
	counter("skylarkloom_peer_failures_total", "Exchanges that failed.", func() float64 { return float64(s.Stats().Failures) })
	return nil
}

// gather makes the log client of a large fleet's node append through the log
// writers of its data centre.
func (d *Daemon) gather() {
	if d.countNodes() <= smallFleet {
		return
	}
	d.gatherer = &peer.LogWriter{Log: d.clients.Log, MinInterval: gatherEvery}
	d.forward = &peer.Forwarder{Local: d.gatherer}
	d.clients.Log = &platform.Log{AppendFunc: d.forward.Append, ReadFunc: d.clients.Log.ReadFunc}
}

// peerProtocols is HTTP/2 alone, whose header compression keeps messages small.
func peerProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

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
		return "", nil, errors.Newf("file %s holds no certificate", t.Authorities)
	}
	return "https", pool, nil
}

// peersService listens for the other nodes, if the settings give an address.
func (d *Daemon) peersService() (kernel.Service, error) {
	p := d.Settings.Peers
	if p.Address == "" {
		return kernel.Service{Name: ServicePeers}, nil
	}
	token, err := p.Token.Read()
	if err != nil {
		return kernel.Service{}, err
	}
	l := &listener{
		settings:  settings.Listener{Address: p.Address, TLS: p.TLS},
		handler:   d.peers.Handler(token),
		protocols: peerProtocols(),
		wrap:      d.traffic.WrapListener,
	}
	return l.service(ServicePeers), nil
}

// alive reports whether a node is believed to live. Without peers every one is.
func (d *Daemon) alive(n fleet.NodeRef) bool {
	return len(d.peers.Peers) == 0 || d.peers.Alive(n)
}

// load is a load report as it goes to peers.
type load struct {
	Running int          `cbor:"1,keyasint,omitempty"`
	Waiting int          `cbor:"2,keyasint,omitempty"`
	Slots   int          `cbor:"3,keyasint,omitempty"`
	Cache   fleet.Tokens `cbor:"4,keyasint,omitempty"`
	Model   string       `cbor:"5,keyasint,omitempty"`
	Version string       `cbor:"6,keyasint,omitempty"`
	Role    string       `cbor:"7,keyasint,omitempty"`
	Crashes int          `cbor:"8,keyasint,omitempty"`
}

// shareLoads splits the polling of a large fleet's endpoints among its nodes
// and exchanges the reports.
func (d *Daemon) shareLoads(s *peer.Service, known *roster.Roster, r *router.Router, p *router.Poller) {
	index := &instanceIndex{known: known}
	if d.countNodes() > smallFleet {
		p.Assigned = func(id fleet.InstanceID) bool {
			i, ok := index.named(id)
			return ok && s.IsPoller(i)
		}
	}
	p.OnReport = func(m router.Report) {
		i, ok := index.named(m.Instance.ID)
		data, err := record.Marshal(load(m.Load))
		if ok && err == nil && len(s.Peers) > 0 {
			s.ReportLoad(i, data)
		}
	}
	s.OnLoad = func(l peer.Load) {
		ref, ok := index.subject(l.Subject)
		var v load
		if ok && record.Unmarshal(l.Data, &v) == nil {
			r.MergeReport(router.Report{Instance: ref, Load: engine.Load(v), At: l.Observed})
		}
	}
}

// instanceIndex finds instances of the roster by name and by subject.
type instanceIndex struct {
	known *roster.Roster

	mu       sync.Mutex
	view     []fleet.Instance
	subjects map[member.Subject]fleet.InstanceRef
}

func (x *instanceIndex) named(id fleet.InstanceID) (i fleet.Instance, ok bool) {
	view := x.known.Instances()
	n := slices.IndexFunc(view, func(i fleet.Instance) bool { return i.ID == id })
	if n < 0 {
		return i, false
	}
	return view[n], true
}

func (x *instanceIndex) subject(s member.Subject) (fleet.InstanceRef, bool) {
	view := x.known.Instances()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.subjects == nil || len(view) != len(x.view) || (len(view) > 0 && &view[0] != &x.view[0]) {
		x.view, x.subjects = view, make(map[member.Subject]fleet.InstanceRef, len(view))
		for _, i := range view {
			x.subjects[member.InstanceSubject(i.Ref())] = i.Ref()
		}
	}
	ref, ok := x.subjects[s]
	return ref, ok
}
