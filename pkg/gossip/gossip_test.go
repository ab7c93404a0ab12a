package gossip_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gossip")
}

func digest(name fleet.NodeName, incarnation fleet.Incarnation, consumed float64) gossip.Digest {
	return gossip.Digest{
		Node: fleet.NodeRef{Name: name, Incarnation: incarnation}, DataCentre: "x",
		Consumed: map[fleet.AccountName]float64{"acc": consumed},
	}
}

var _ = Describe("The peer table", func() {
	now := clock.Instant(time.Hour)

	It("counts the quota consumed by each node once, even if it is reported repeatedly", func() {
		var consumed float64
		t := gossip.Table{OnConsumed: func(_ fleet.AccountName, n float64, _ clock.Instant) { consumed += n }}
		t.Apply(digest("a", 1, 100), gossip.ScopeNode, now)
		Expect(consumed).To(BeZero(), "quota consumed before the first digest may be old")
		for range 3 {
			t.Apply(digest("a", 1, 130), gossip.ScopeNode, now)
		}
		Expect(consumed).To(Equal(30.0))
		t.Apply(digest("a", 2, 7), gossip.ScopeNode, now)
		Expect(consumed).To(Equal(37.0), "a new incarnation counts from zero")
		t.Apply(digest("a", 1, 500), gossip.ScopeNode, now)
		Expect(consumed).To(Equal(37.0), "digests of an earlier incarnation are ignored")
	})

	It("reserves the share of a silent node until it is removed", func() {
		var t gossip.Table
		t.AddAnnounced("b", gossip.Announcement{Address: "127.0.0.1:1"}, now)
		t.Apply(digest("a", 1, 0), gossip.ScopeNode, now)
		Expect(t.Count()).To(Equal(allotment.Nodes{Total: 3, Silent: 1}))
		t.Expire(now.Add(5 * time.Second))
		Expect(t.Count()).To(Equal(allotment.Nodes{Total: 3, Silent: 2}))
		t.Apply(digest("a", 1, 0), gossip.ScopeNode, now.Add(6*time.Second))
		Expect(t.Count().Silent).To(Equal(1))
		t.Expire(now.Add(time.Minute))
		Expect(t.Count()).To(Equal(allotment.Nodes{Total: 1}))
	})

	It("removes a node that reports its shutdown", func() {
		var t gossip.Table
		t.Apply(digest("a", 1, 0), gossip.ScopeNode, now)
		d := digest("a", 1, 0)
		d.Draining = true
		t.Apply(d, gossip.ScopeNode, now)
		Expect(t.Count()).To(Equal(allotment.Nodes{Total: 1}))
	})

	It("distinguishes a silent data centre from one without nodes", func() {
		var t gossip.Table
		t.Apply(digest("a", 1, 0), gossip.ScopeNode, now)
		Expect(t.DataCentreSilent("x", now)).To(BeFalse())
		Expect(t.DataCentreSilent("x", now.Add(time.Second))).To(BeTrue())
		Expect(t.DataCentreSilent("y", now.Add(time.Second))).To(BeFalse())
	})

	It("has one relay per data centre among nodes that receive each other's digests", func() {
		isRelay := func(self fleet.NodeName, dataCentre fleet.DataCentreName, after time.Duration) bool {
			t := gossip.Table{Self: self, DataCentre: dataCentre}
			t.Apply(digest("b", 1, 0), gossip.ScopeNode, now)
			t.Expire(now.Add(after))
			return t.IsRelay()
		}
		Expect(isRelay("a", "x", 0)).To(BeTrue())
		Expect(isRelay("c", "x", 0)).To(BeFalse())
		Expect(isRelay("c", "y", 0)).To(BeTrue())
		Expect(isRelay("c", "x", 5*time.Second)).To(BeTrue())
	})

	It("corrects the clock by the median offset", func() {
		var t gossip.Table
		for i, offset := range []time.Duration{-2 * time.Second, -2 * time.Second, -2*time.Second + time.Millisecond, 9 * time.Second} {
			name := fleet.NodeName(fmt.Sprint("n", i))
			t.Apply(digest(name, 1, 0), gossip.ScopeNode, now)
			t.SetClockOffset(name, offset)
		}
		Expect(t.ClockCorrection()).To(BeNumerically("~", -2*time.Second, 2*time.Millisecond))
	})

	It("adds up the load of the live nodes", func() {
		var t gossip.Table
		for i := range 3 {
			d := digest(fleet.NodeName(fmt.Sprint("n", i)), 1, 0)
			d.Work = map[fleet.InstanceID]placement.Work{"e": {Running: 2, Backlog: 100}}
			t.Apply(d, gossip.ScopeNode, now.Add(time.Duration(i)*time.Second))
		}
		t.Expire(now.Add(1600 * time.Millisecond))
		Expect(t.Work()["e"]).To(Equal(placement.Work{Running: 4, Backlog: 200}))
	})
})

// freeAddress returns a local address whose port was free when it was checked.
func freeAddress() string {
	l, err := net.ListenPacket("udp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(l.Close()).To(Succeed()) }()
	return l.LocalAddr().String()
}

var _ = DescribeTable("An announcement from the store that names no node is rejected",
	func(node fleet.NodeName, a gossip.Announcement) {
		Expect((&gossip.Announcement{Address: "10.1.1.1:7600", DataCentre: "x", Cores: 0.4}).Validate("n")).To(Succeed())
		Expect(a.Validate(node)).NotTo(Succeed())
	},
	Entry("port 0", fleet.NodeName("n"), gossip.Announcement{Address: "10.1.1.1:0", DataCentre: "x"}),
	Entry("a port out of range", fleet.NodeName("n"), gossip.Announcement{Address: "10.1.1.1:70000", DataCentre: "x"}),
	Entry("a node name that is not UTF-8", fleet.NodeName("\xff"), gossip.Announcement{Address: "10.1.1.1:1", DataCentre: "x"}),
	Entry("a long data centre", fleet.NodeName("n"), gossip.Announcement{Address: "10.1.1.1:1", DataCentre: fleet.DataCentreName(strings.Repeat("x", 70_000))}),
	Entry("more cores than all relays", fleet.NodeName("n"), gossip.Announcement{Address: "10.1.1.1:1", DataCentre: "x", Cores: 1e300}),
)

// A negative number of nodes in a digest ended the process that received it.
var _ = It("A digest that covers no possible number of nodes counts as one that covers its sender, or very many", func() {
	now := clock.Instant(time.Hour)
	for others, total := range map[int]int{-5: 2, 1 << 62: 2 + 1<<12} {
		t := gossip.Table{Self: "self", DataCentre: "x"}
		d := digest("peer", 1, 0)
		d.OtherNodes, d.SilentNodes = others, -1
		t.Apply(d, gossip.ScopeRelayGroup, now)
		t.SetClockOffset("peer", time.Second)
		Expect(t.ClockCorrection()).To(Equal(time.Second))
		Expect(t.Count().Total).To(Equal(total))
	}
})

// FuzzPacket checks that no datagram ends the process.
func FuzzPacket(f *testing.F) {
	for _, d := range []gossip.Digest{digest("a", 1, 3), {Demand: map[fleet.PoolName]float64{"p": 1}, Usage: usage.Counts{1: nil}}} {
		data, err := cbor.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var d gossip.Digest
		if cbor.Unmarshal(data, &d) != nil {
			return
		}
		now := clock.Instant(time.Hour)
		t := gossip.Table{Self: "self", DataCentre: "x"}
		for _, scope := range []gossip.Scope{gossip.ScopeNode, gossip.ScopeRelayGroup, gossip.ScopeFleet} {
			t.Apply(d, scope, now)
			t.Targets(now)
			t.Summarise(gossip.Digest{Clock: time.Now()}, scope, "b", now)
			t.Expire(now)
		}
	})
}

var _ = Describe("The gossip exchange", func() {
	It("replies without a delta that does not fit into a datagram", func() {
		deltas := make(chan *gossip.Delta, 8)
		nodes := startExchanges(2, func(x *gossip.Exchange) {
			x.DeltaSince = func(fleet.Offset) *gossip.Delta {
				return &gossip.Delta{To: 1, Changes: []directory.Change{{ID: fleet.InstanceID(strings.Repeat("i", 70<<10))}}}
			}
			x.OnReply = func(_ gossip.Digest, delta *gossip.Delta, _ clock.Instant) { deltas <- delta }
		})
		nodes[0].QueryPeers()
		Eventually(deltas).Should(Receive(BeNil()))
	})

	It("passes digests between nodes and bounds the age of replies", func() {
		var mu sync.Mutex
		confirmed := map[fleet.NodeName]time.Duration{}
		nodes := startExchanges(3, func(x *gossip.Exchange) {
			x.OnReply = func(d gossip.Digest, _ *gossip.Delta, sentAt clock.Instant) {
				mu.Lock()
				defer mu.Unlock()
				confirmed[d.Node.Name] = clock.Now().Sub(sentAt)
			}
		})
		Eventually(func() int {
			nodes[0].QueryPeers()
			live := 0
			for _, x := range nodes {
				n := x.Table.Count()
				live += n.Total - n.Silent - 1
			}
			return live
		}).Should(Equal(4), "the sender and the recipients of a request know each other")
		Eventually(func() int { mu.Lock(); defer mu.Unlock(); return len(confirmed) }).Should(Equal(2))
		nodes[0].Leave()
		Eventually(func() int { return nodes[1].Table.Count().Total + nodes[2].Table.Count().Total }).Should(Equal(2))
	})
})

// startExchanges starts nodes n0, n1 and so on until the end of the spec. Only n0 knows
// the others. configure may replace the functions of each.
func startExchanges(count int, configure func(*gossip.Exchange)) (nodes []*gossip.Exchange) {
	var group errgroup.Group
	first := &gossip.Table{}
	for i := range count {
		address, name := freeAddress(), fleet.NodeName(fmt.Sprint("n", i))
		x := &gossip.Exchange{
			ListenAddress: address,
			Describe: func() gossip.Digest {
				return gossip.Digest{Node: fleet.NodeRef{Name: name, Incarnation: 1}, Address: address, Clock: time.Now()}
			},
			OnDigest:   func(gossip.Digest) {},
			DeltaSince: func(fleet.Offset) *gossip.Delta { return nil },
			WallClock:  time.Now, Table: first,
		}
		if i > 0 {
			x.Table = &gossip.Table{}
			first.AddAnnounced(name, gossip.Announcement{Address: address, Incarnation: 1}, clock.Now())
		}
		configure(x)
		Expect(x.Listen()).To(Succeed())
		group.Go(func() error {
			x.Receive()
			return nil
		})
		nodes = append(nodes, x)
	}
	DeferCleanup(func() {
		for _, x := range nodes {
			Expect(x.Close()).To(Succeed())
		}
		Expect(group.Wait()).To(Succeed())
	})
	return nodes
}
