package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/skylarkloom/skylarkloom/pkg/api/peer/v1"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
	"github.com/skylarkloom/skylarkloom/pkg/peer"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
)

// hopLatency is the time a message takes one way.
const hopLatency = 1500 * time.Microsecond

var errPartitioned = errors.New("network partitioned")

// network connects nodes in one process, with partitions and message loss.
type network struct {
	mu          sync.Mutex
	nodes       map[fleet.NodeName]*node
	list        []*node
	partitioned func(from, to *node) bool
	// observe, if set, is called for each request.
	observe func(from *node, p peer.Peer, r *peerv1.ExchangeRequest)
	loss    float64
	random  *rand.Rand
	group   errgroup.Group
}

// node is a peer service with test doubles of the services it uses.
type node struct {
	*peer.Service
	network *network
	cancel  context.CancelFunc

	mu                  sync.Mutex
	change              config.Change
	history             []fleet.Revision
	conditionReceivedAt map[fleet.InstanceRef]time.Time
	conditions          map[fleet.InstanceRef]fleet.Condition
	lastError           error
	suspectedAt         map[string]time.Time
	appliedAt           time.Time
	sentBytes           int
	deaths              int
	rates               map[fleet.AccountName]float64
}

func dataCentreName(n int) fleet.DataCentreName { return fleet.DataCentreName(fmt.Sprintf("dc%d", n)) }

// newNetwork returns a network of nodes that are spread evenly over data centres
// and not yet started.
func newNetwork(size, dataCentres int) *network {
	w := &network{nodes: make(map[fleet.NodeName]*node), random: rand.New(rand.NewPCG(1, 2))}
	var peers []peer.Peer
	for n := range size {
		name := fleet.NodeName(fmt.Sprintf("entry-%03d", n))
		peers = append(peers, peer.Peer{Name: name, DataCentre: dataCentreName(n % dataCentres), Address: fmt.Sprintf("10.0.0.%d:7000", n)})
	}
	for _, p := range peers {
		w.list = append(w.list, w.add(p, 1, peers))
	}
	return w
}

func (w *network) add(p peer.Peer, incarnation fleet.Incarnation, peers []peer.Peer) *node {
	n := &node{network: w, conditionReceivedAt: map[fleet.InstanceRef]time.Time{}, conditions: map[fleet.InstanceRef]fleet.Condition{}, suspectedAt: map[string]time.Time{}}
	n.Service = &peer.Service{
		Self:  member.Node{Ref: fleet.NodeRef{Name: p.Name, Incarnation: incarnation}, DataCentre: p.DataCentre, Address: p.Address},
		Peers: peers,
		Seed:  1,
		Exchange: func(ctx context.Context, p peer.Peer, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
			return w.call(ctx, n, p, r)
		},
		Revision:        n.revision,
		CurrentConfig:   func() (config.Change, bool) { n.mu.Lock(); defer n.mu.Unlock(); return n.change, n.change.Revision > 0 },
		ApplyConfig:     n.applyConfig,
		Demand:          func() map[fleet.AccountName]float64 { n.mu.Lock(); defer n.mu.Unlock(); return n.rates },
		OnCondition:     n.reportCondition,
		OnExchangeError: func(_ peer.Peer, err error) { n.mu.Lock(); defer n.mu.Unlock(); n.lastError = err },
		OnLivenessChange: func(_ member.Node, alive bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if !alive {
				n.deaths++
			}
		},
		OnSuspect: func(s peer.Suspect) { n.mu.Lock(); defer n.mu.Unlock(); n.suspectedAt[s.Key] = time.Now() },
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[p.Name] = n
	return n
}

func (n *node) revision() fleet.Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.change.Revision
}

func (n *node) applyConfig(c config.Change) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Revision > n.change.Revision {
		n.change, n.appliedAt = c, time.Now()
	}
	n.history = append(n.history, n.change.Revision)
	return nil
}

func (n *node) reportCondition(rep roster.ConditionReport) {
	n.mu.Lock()
	if n.conditionReceivedAt[rep.Instance].IsZero() {
		n.conditionReceivedAt[rep.Instance] = time.Now()
	}
	n.conditions[rep.Instance] = rep.Condition
	n.mu.Unlock()
	n.PublishCondition(rep)
}

func (w *network) call(ctx context.Context, from *node, p peer.Peer, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	w.mu.Lock()
	to := w.nodes[p.Name]
	lost := w.random.Float64() < w.loss
	if w.observe != nil {
		w.observe(from, p, r)
	}
	unreachable := to == nil || to.cancel == nil || w.separates(from, to)
	w.mu.Unlock()
	if unreachable || lost {
		<-ctx.Done()
		return nil, errPartitioned
	}
	from.addSentBytes(r)
	if err := w.hop(ctx, from, to); err != nil {
		return nil, err
	}
	response, err := to.HandleExchange(ctx, proto.CloneOf(r))
	if err != nil {
		return nil, err
	}
	to.addSentBytes(response)
	return proto.CloneOf(response), w.hop(ctx, from, to)
}

// separates reports whether calls from one node to another are cut. The caller holds the lock.
func (w *network) separates(from, to *node) bool {
	return w.partitioned != nil && w.partitioned(from, to)
}

// hop takes the time of a message of a call. The message is lost if a partition has begun.
func (w *network) hop(ctx context.Context, from, to *node) error {
	time.Sleep(hopLatency)
	w.mu.Lock()
	lost := w.separates(from, to)
	w.mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return errPartitioned
}

func (n *node) addSentBytes(m proto.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentBytes += proto.Size(m)
}

// takeSentBytes returns the bytes sent since the last call.
func (n *node) takeSentBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	bytes := n.sentBytes
	n.sentBytes = 0
	return bytes
}

func (w *network) setPartition(partitioned func(from, to *node) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = partitioned
}

func (n *node) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.network.mu.Lock()
	n.cancel = cancel
	n.network.mu.Unlock()
	n.network.group.Go(func() error { return n.Run(ctx) })
}

func (n *node) stop() {
	n.network.mu.Lock()
	cancel := n.cancel
	n.cancel = nil
	n.network.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// runNetwork runs a test with started nodes in virtual time.
func runNetwork(size, dataCentres int, loss float64, test func(g Gomega, w *network)) {
	synctest.Test(suiteT, func(t *testing.T) {
		w := newNetwork(size, dataCentres)
		w.loss = loss
		for _, n := range w.list {
			n.start()
		}
		defer func() {
			for _, n := range w.nodes {
				n.stop()
			}
			_ = w.group.Wait()
		}()
		test(NewWithT(t), w)
	})
}

// nodesWithoutCondition returns the nodes that have not received a condition report of
// an instance.
func (w *network) nodesWithoutCondition(ref fleet.InstanceRef, among func(n *node) bool) (names []fleet.NodeName) {
	for _, n := range w.list {
		n.mu.Lock()
		if n.conditionReceivedAt[ref].IsZero() && among(n) {
			names = append(names, n.Self.Ref.Name)
		}
		n.mu.Unlock()
	}
	return names
}

func allNodes(*node) bool { return true }

func leavingReport(id string) roster.ConditionReport {
	return roster.ConditionReport{Instance: fleet.InstanceRef{ID: fleet.InstanceID(id), Incarnation: 1}, Condition: fleet.ConditionLeaving}
}
