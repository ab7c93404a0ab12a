// Package trial runs the trial fleet: entry nodes and stand-ins for the platform and
// the endpoints in one process, for demonstrations and black-box tests. It is
// unrelated to the trials of suspect contents in package suspect.
package trial

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/daemon"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

// Pools, zones and data centres of the trial fleet.
const (
	PoolModel        fleet.PoolName       = "loom-servers"
	PoolService      fleet.PoolName       = "cart-desk"
	ZoneFirst        fleet.ZoneName       = "dezerter-1"
	ZoneSecond       fleet.ZoneName       = "didube-1"
	DataCentreFirst  fleet.DataCentreName = "tb-dezerter"
	DataCentreSecond fleet.DataCentreName = "tb-didube"
)

// Sizes and timings of the trial fleet.
const (
	enginesPerZone     = 3
	servicesPerZone    = 2
	instanceCount      = 2 * (enginesPerZone + servicesPerZone)
	slotsPerEngine     = 16
	timePerToken       = 5 * time.Millisecond
	timePerPromptToken = 100 * time.Microsecond
	logDelay           = 2 * time.Millisecond
	listLag            = 300 * time.Millisecond
	readyTimeout       = 20 * time.Second
	readyPoll          = 20 * time.Millisecond
	unreadyDelay       = 300 * time.Millisecond
	hourlyPriceFirst   = fleet.MicroCents(90_000_000)
	hourlyPriceSecond  = fleet.MicroCents(110_000_000)
)

// Keys holds the bearer keys of the trial fleet's accounts.
var Keys = map[fleet.AccountName]string{
	"dezerter-sellers": "trial-key-of-the-dezerter-sellers",
	"season-plans":     "trial-key-of-the-season-plans",
}

// Trial is the trial fleet. The zero value is ready to start.
type Trial struct {
	Logs *event.Logs

	Log   *standin.Log
	Cloud *standin.Cloud
	Runs  *standin.Runs
	Nodes []*daemon.Daemon
	// Token is the bearer token of operators and peers. Start generates it.
	Token string
	// StandinsOnly starts no nodes, for daemons that run as separate processes.
	StandinsOnly bool
	// Engine creates an engine, and Slots is the number of concurrent requests per
	// engine in the configuration. Zero values select the defaults of the trial fleet.
	Engine func() *standin.Engine
	Slots  int

	servers  []*standin.Server
	platform settings.Platform
	peers    []settings.Peer
	balancer *balancer
	folder   string
}

// Start starts the stand-ins, publishes a configuration and starts three nodes
// in two data centres. It returns when every node is ready. With StandinsOnly it
// returns without starting nodes.
func (t *Trial) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.CombineErrors(errors.Wrap(err, "start the trial fleet"), t.Stop(context.WithoutCancel(ctx)))
		}
	}()
	if t.folder, err = os.MkdirTemp("", "skylarkloom-try"); err != nil {
		return err
	}
	if err := t.writeToken(); err != nil {
		return err
	}
	t.Log = &standin.Log{Delay: logDelay}
	t.Runs = &standin.Runs{}
	t.Cloud = &standin.Cloud{
		Engine:         func(fleet.PoolName) *standin.Engine { return t.newEngine() },
		Service:        func(fleet.PoolName) *standin.Service { return &standin.Service{Runs: t.Runs} },
		Kinds:          map[fleet.PoolName]fleet.Kind{PoolModel: fleet.KindModel, PoolService: fleet.KindService},
		DataCentres:    map[fleet.ZoneName]fleet.DataCentreName{ZoneFirst: DataCentreFirst, ZoneSecond: DataCentreSecond},
		Lag:            listLag,
		ReplaceCrashed: true,
	}
	if err := t.publishConfig(); err != nil {
		return err
	}
	if err := t.startInstances(); err != nil {
		return err
	}
	if err := t.servePlatform(); err != nil || t.StandinsOnly {
		return err
	}
	if err := t.startNodes(ctx); err != nil {
		return err
	}
	return awaitReady(ctx, t.ready)
}

func (t *Trial) newEngine() *standin.Engine {
	if t.Engine != nil {
		return t.Engine()
	}
	return &standin.Engine{TokenTime: timePerToken, PromptTokenTime: timePerPromptToken, Slots: slotsPerEngine}
}

// document returns the initial configuration, with Slots if it is set.
func (t *Trial) document() []byte {
	if t.Slots == 0 {
		return Document()
	}
	return bytes.Replace(Document(), fmt.Appendf(nil, "slots: %d", slotsPerEngine), fmt.Appendf(nil, "slots: %d", t.Slots), 1)
}

func (t *Trial) writeToken() error {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	t.Token = hex.EncodeToString(b[:])
	return os.WriteFile(t.tokenFile(), []byte(t.Token), 0o600)
}

func (t *Trial) tokenFile() string { return filepath.Join(t.folder, "token") }

// Document returns the initial configuration of the trial fleet.
func Document() []byte {
	return fmt.Appendf(nil, `defaults:
  deadline: 30s
pools:
  - name: %s
    kind: model
    model: loom
    slots: %d
    workers: {min: 3, max: 12}
    weights: {latency: 2}
    price: {prompt: 10, generated: 50}
    offers:
      - {zone: %s, datacentre: %s, class: small, market: reclaimable, hourly: %d}
      - {zone: %s, datacentre: %s, class: small, market: reclaimable, hourly: %d}
  - name: %s
    kind: service
    workers: {min: 2, max: 6}
    price: {call: 7000}
    offers:
      - {zone: %s, datacentre: %s, class: small, market: reclaimable, hourly: %d}
      - {zone: %s, datacentre: %s, class: small, market: reclaimable, hourly: %d}
accounts:
  - name: dezerter-sellers
    keys: [%q]
    pools: [%s, %s]
  - name: season-plans
    keys: [%q]
    pools: [%s, %s]
`, PoolModel, slotsPerEngine, ZoneFirst, DataCentreFirst, hourlyPriceFirst, ZoneSecond, DataCentreSecond, hourlyPriceSecond, PoolService,
		ZoneFirst, DataCentreFirst, hourlyPriceFirst, ZoneSecond, DataCentreSecond, hourlyPriceSecond,
		fleet.HashKey(Keys["dezerter-sellers"]), PoolModel, PoolService,
		fleet.HashKey(Keys["season-plans"]), PoolModel, PoolService)
}

func (t *Trial) publishConfig() (err error) {
	e, err := record.New(record.KindPublish, time.Now(), record.Publish{
		Document: t.document(),
		Author:   "try-out",
		Message:  "the first configuration",
	})
	if err != nil {
		return err
	}
	data, err := record.EncodeGroup([]record.Envelope{e})
	if err != nil {
		return err
	}
	t.Log.Put(platform.StreamConfig, data)
	return nil
}

func (t *Trial) startInstances() error {
	for _, z := range []fleet.ZoneName{ZoneFirst, ZoneSecond} {
		for range enginesPerZone {
			if err := t.startInstance(PoolModel, z); err != nil {
				return err
			}
		}
		for range servicesPerZone {
			if err := t.startInstance(PoolService, z); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Trial) startInstance(pool fleet.PoolName, zone fleet.ZoneName) error {
	hourlyPrice := hourlyPriceFirst
	if zone == ZoneSecond {
		hourlyPrice = hourlyPriceSecond
	}
	market := fleet.MarketReclaimable
	_, err := t.Cloud.Start(platform.StartRequest{Pool: pool, Zone: zone, Class: "small", Market: market, HourlyPrice: hourlyPrice})
	return err
}

func (t *Trial) serve(h http.Handler) (*standin.Server, error) {
	s, err := standin.Serve(h)
	if err == nil {
		t.servers = append(t.servers, s)
	}
	return s, err
}

func (t *Trial) servePlatform() error {
	log, err := t.serve(t.Log.Handler())
	if err != nil {
		return err
	}
	cloud, err := t.serve(t.Cloud.Handler())
	if err != nil {
		return err
	}
	t.platform = settings.Platform{Log: log.URL(), InstanceList: cloud.URL(), Cloud: cloud.URL()}
	return nil
}

func (t *Trial) startNodes(ctx context.Context) error {
	dataCentres := []fleet.DataCentreName{DataCentreFirst, DataCentreFirst, DataCentreSecond}
	for n, dataCentre := range dataCentres {
		address, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		t.peers = append(t.peers, settings.Peer{Name: fleet.NodeName(fmt.Sprintf("entry-%d", n+1)), DataCentre: dataCentre, Address: address})
	}
	for _, p := range t.peers {
		d, err := t.startNode(ctx, p)
		if err != nil {
			return err
		}
		t.Nodes = append(t.Nodes, d)
	}
	t.balancer = &balancer{}
	t.balancer.set(t.Nodes)
	return nil
}

// StartNode starts an additional node, which is not added to Nodes. The caller must
// stop it; cancelling ctx does not.
func (t *Trial) StartNode(ctx context.Context, name fleet.NodeName, dataCentre fleet.DataCentreName) (*daemon.Daemon, error) {
	address, err := standin.FreeAddress()
	if err != nil {
		return nil, err
	}
	return t.startNode(ctx, settings.Peer{Name: name, DataCentre: dataCentre, Address: address})
}

func (t *Trial) startNode(ctx context.Context, p settings.Peer) (*daemon.Daemon, error) {
	d := &daemon.Daemon{
		Logs: t.Logs,
		Settings: settings.Settings{
			Node:       p.Name,
			DataCentre: p.DataCentre,
			Callers:    settings.Listener{Address: loopback},
			Operators:  settings.Listener{Address: loopback, Token: settings.Secret{File: t.tokenFile()}},
			Peers:      settings.Peers{Address: p.Address, Token: settings.Secret{File: t.tokenFile()}, Nodes: t.peers},
			Platform:   t.platform,
			Orders:     settings.Orders{Partitions: settings.DefaultPartitions},
			Shutdown:   settings.Shutdown{UnreadyDelay: unreadyDelay},
		},
	}
	return d, d.Start(context.WithoutCancel(ctx))
}

// Replace starts a replacement for node n, waits until it is ready, and then
// drains and stops the old node, as in a planned shutdown.
func (t *Trial) Replace(ctx context.Context, n int) error {
	old := t.Nodes[n]
	name := fleet.NodeName(fmt.Sprintf("%s-again", old.Settings.Node))
	d, err := t.StartNode(ctx, name, old.Settings.DataCentre)
	if err != nil {
		return err
	}
	t.Nodes = slices.Clone(t.Nodes)
	t.Nodes[n] = d
	t.balancer.set(append(slices.Clone(t.Nodes), old))
	if err := awaitReady(ctx, d.Ready); err != nil {
		return err
	}
	if err := old.Drain(ctx); err != nil {
		return err
	}
	t.balancer.set(t.Nodes)
	return old.Stop(ctx)
}

const loopback = "127.0.0.1:0"

// awaitReady polls until ready reports true or readyTimeout has passed.
func awaitReady(ctx context.Context, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	for !ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the nodes to become ready")
		}
	}
	return nil
}

// ready reports whether every node is ready and lists all instances.
func (t *Trial) ready() bool {
	for _, n := range t.Nodes {
		if !n.Ready() || len(n.Status().Instances) < instanceCount {
			return false
		}
	}
	return true
}

// Drain drains all nodes concurrently, as in a planned shutdown of the fleet.
func (t *Trial) Drain(ctx context.Context) error {
	var g errgroup.Group
	for _, n := range t.Nodes {
		g.Go(func() error { return n.Drain(ctx) })
	}
	return g.Wait()
}

// Stop stops the nodes and the stand-ins. Requests in flight are aborted unless
// Drain was called before.
func (t *Trial) Stop(ctx context.Context) (err error) {
	if t.balancer != nil {
		t.balancer.stopAccepting()
	}
	var g errgroup.Group
	for _, n := range t.Nodes {
		g.Go(func() error { return n.Stop(ctx) })
	}
	err = g.Wait()
	if t.balancer != nil {
		t.balancer.wait()
	}
	for _, s := range t.servers {
		s.Close()
	}
	if t.Cloud != nil {
		t.Cloud.Close()
	}
	return errors.CombineErrors(err, os.RemoveAll(t.folder))
}
