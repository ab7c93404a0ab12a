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

// hop is how long a message takes one way.
const hop = 1500 * time.Microsecond

var errCut = errors.New("the network is cut")

// network joins nodes of one process, with cuts and losses.
type network struct {
	mu     sync.Mutex
	nodes  map[fleet.NodeName]*node
	list   []*node
	cut    func(from, to *node) bool
	loss   float64
	random *rand.Rand
	group  errgroup.Group
}

// node is a peer service with small stands-ins of what it serves.
type node struct {
	*peer.Service
	network *network
	cancel  context.CancelFunc

	mu      sync.Mutex
	change  config.Change
	history []fleet.Revision
	marks   map[fleet.InstanceRef]time.Time
	latest  map[fleet.InstanceRef]fleet.Condition
	failure error
	known   map[string]time.Time
	inForce time.Time
	bytes   int
	deaths  int
	rates   map[fleet.AccountName]float64
}

func centreOf(n int) fleet.DataCentreName { return fleet.DataCentreName(fmt.Sprintf("dc%d", n)) }

// newNetwork returns nodes spread evenly over data centres, not yet started.
func newNetwork(size, centres int) *network {
	w := &network{nodes: make(map[fleet.NodeName]*node), random: rand.New(rand.NewPCG(1, 2))}
	var peers []peer.Peer
	for n := range size {
		name := fleet.NodeName(fmt.Sprintf("entry-%03d", n))
		peers = append(peers, peer.Peer{Name: name, DataCentre: centreOf(n % centres), Address: fmt.Sprintf("10.0.0.%d:7000", n)})
	}
	for _, p := range peers {
		w.list = append(w.list, w.add(p, 1, peers))
	}
	return w
}

func (w *network) add(p peer.Peer, incarnation fleet.Incarnation, peers []peer.Peer) *node {
	n := &node{network: w, marks: map[fleet.InstanceRef]time.Time{}, latest: map[fleet.InstanceRef]fleet.Condition{}, known: map[string]time.Time{}}
	n.Service = &peer.Service{
		Self:  member.Node{Ref: fleet.NodeRef{Name: p.Name, Incarnation: incarnation}, DataCentre: p.DataCentre, Address: p.Address},
		Peers: peers,
		Seed:  1,
		Exchange: func(ctx context.Context, p peer.Peer, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
			return w.call(ctx, n, p, r)
		},
		Revision:        n.revision,
		CurrentConfig:   func() (config.Change, bool) { n.mu.Lock(); defer n.mu.Unlock(); return n.change, n.change.Revision > 0 },
		ApplyConfig:     n.learn,
		Demand:          func() map[fleet.AccountName]float64 { n.mu.Lock(); defer n.mu.Unlock(); return n.rates },
		OnMark:          n.marked,
		OnExchangeError: func(_ peer.Peer, err error) { n.mu.Lock(); defer n.mu.Unlock(); n.failure = err },
		OnLivenessChange: func(_ member.Node, alive bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if !alive {
				n.deaths++
			}
		},
		OnSuspect: func(s peer.Suspect) { n.mu.Lock(); defer n.mu.Unlock(); n.known[s.Key] = time.Now() },
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

func (n *node) learn(c config.Change) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Revision > n.change.Revision {
		n.change, n.inForce = c, time.Now()
	}
	n.history = append(n.history, n.change.Revision)
	return nil
}

func (n *node) marked(m roster.Report) {
	n.mu.Lock()
	if n.marks[m.Instance].IsZero() {
		n.marks[m.Instance] = time.Now()
	}
	n.latest[m.Instance] = m.Condition
	n.mu.Unlock()
	n.PublishMark(m)
}

func (w *network) call(ctx context.Context, from *node, p peer.Peer, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	w.mu.Lock()
	to := w.nodes[p.Name]
	lost := w.random.Float64() < w.loss
	cut := to == nil || to.cancel == nil || (w.cut != nil && w.cut(from, to))
	w.mu.Unlock()
	if cut || lost {
		<-ctx.Done()
		return nil, errCut
	}
	from.sent(r)
	time.Sleep(hop)
	answer, err := to.HandleExchange(ctx, proto.CloneOf(r))
	if err != nil {
		return nil, err
	}
	to.sent(answer)
	time.Sleep(hop)
	return proto.CloneOf(answer), nil
}

func (n *node) sent(m proto.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += proto.Size(m)
}

// sentSince returns the bytes sent since the last call.
func (n *node) sentSince() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.bytes
	n.bytes = 0
	return sent
}

func (w *network) setCut(cut func(from, to *node) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
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

// bubble runs a test on started nodes in virtual time.
func bubble(size, centres int, loss float64, test func(g Gomega, w *network)) {
	synctest.Test(suite, func(t *testing.T) {
		w := newNetwork(size, centres)
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

// unmarked returns the nodes that have not heard of an instance.
func (w *network) unmarked(ref fleet.InstanceRef, among func(n *node) bool) (names []fleet.NodeName) {
	for _, n := range w.list {
		n.mu.Lock()
		if n.marks[ref].IsZero() && among(n) {
			names = append(names, n.Self.Ref.Name)
		}
		n.mu.Unlock()
	}
	return names
}

func everyone(*node) bool { return true }

func leaving(id string) roster.Report {
	return roster.Report{Instance: fleet.InstanceRef{ID: fleet.InstanceID(id), Incarnation: 1}, Condition: fleet.ConditionLeaving}
}
