package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
)

// testFleet is a fleet in virtual time. Its datagrams arrive immediately, and its
// rounds run one after the other.
type testFleet struct {
	now   clock.Instant
	nodes []*testNode
	// drops, if set, reports whether a datagram between two nodes is lost.
	drops     func(from, to *testNode) bool
	sentBytes int
}

// testNode is a node that runs one request on an endpoint that only it uses and
// one on an endpoint that all nodes use.
type testNode struct {
	Exchange
	table       Table
	address     netip.AddrPort
	dataCentre  fleet.DataCentreName
	cores       float64
	incarnation fleet.Incarnation
	consumed    float64
	received    float64
	confirmedAt clock.Instant
	down        bool
	clockOffset time.Duration
}

func (n *testNode) name() fleet.NodeName { return n.table.Self }

func newFleet(dataCentres, nodesPerDataCentre int) *testFleet {
	f := &testFleet{now: clock.Instant(time.Hour)}
	for c := range dataCentres {
		for i := range nodesPerDataCentre {
			f.add(fleet.DataCentreName(fmt.Sprintf("dc%d", c)), fleet.NodeName(fmt.Sprintf("n%d-%02d", c, i)), float64(i%3))
		}
	}
	f.announce()
	return f
}

func (f *testFleet) add(dataCentre fleet.DataCentreName, name fleet.NodeName, cores float64) {
	n := &testNode{dataCentre: dataCentre, cores: cores, incarnation: 1}
	n.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(len(f.nodes) >> 8), byte(len(f.nodes))}), 7600)
	n.table = Table{Self: name, DataCentre: dataCentre, OnConsumed: func(_ fleet.AccountName, amount float64, _ clock.Instant) { n.received += amount }}
	n.Exchange = Exchange{
		Now: func() clock.Instant { return f.now },
		Describe: func() Digest {
			return Digest{
				Node: fleet.NodeRef{Name: name, Incarnation: n.incarnation}, DataCentre: dataCentre, Address: n.address.String(),
				Clock:    time.Unix(0, int64(f.now)).Add(n.clockOffset),
				Work:     map[fleet.InstanceID]placement.Work{"all": {Running: 1, Backlog: 10}, fleet.InstanceID(name): {Running: 1}},
				Consumed: map[fleet.AccountName]float64{"acc": n.consumed},
				Demand:   map[fleet.PoolName]float64{"pool": 1},
			}
		},
		OnDigest:   func(Digest) {},
		DeltaSince: func(fleet.Offset) *Delta { return nil },
		OnReply:    func(_ Digest, _ *Delta, sentAt clock.Instant) { n.confirmedAt = sentAt },
		WallClock:  func() time.Time { return time.Unix(0, int64(f.now)).Add(n.clockOffset) },
		Table:      &n.table,
		write: func(data []byte, to netip.AddrPort) {
			f.sentBytes += len(data)
			for _, o := range f.nodes {
				if o.address == to && !o.down && (f.drops == nil || !f.drops(n, o)) {
					o.receive(data, n.address)
				}
			}
		},
	}
	f.nodes = append(f.nodes, n)
}

// announce passes the announcements of all nodes to every node.
func (f *testFleet) announce() {
	for _, n := range f.nodes {
		for _, o := range f.nodes {
			n.table.AddAnnounced(o.name(), Announcement{Address: o.address.String(), DataCentre: o.dataCentre, Incarnation: o.incarnation, Cores: o.cores}, f.now)
		}
	}
}

// run runs rounds for a duration. In each round the nodes query in random order.
func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(RoundInterval) {
		for _, i := range rand.New(rand.NewPCG(1, uint64(f.now))).Perm(len(f.nodes)) {
			if n := f.nodes[i]; !n.down {
				n.table.Expire(f.now)
				n.QueryPeers()
			}
		}
	}
}

func (f *testFleet) live() (nodes []*testNode) {
	for _, n := range f.nodes {
		if !n.down {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

var _ = Describe("A large fleet", func() {
	const dataCentres, nodesEach = 3, 28

	It("reports the load and number of all other nodes to every node, counting each once", func() {
		f := newFleet(dataCentres, nodesEach)
		f.run(3 * time.Second)
		for _, n := range f.nodes {
			Expect(n.table.Count().Total).To(Equal(len(f.nodes)), "nodes known to %s", n.name())
			Expect(n.table.Count().Silent).To(BeZero(), "silent nodes for %s", n.name())
			Expect(n.table.Work()["all"].Running).To(Equal(len(f.nodes)-1), "load reported to %s", n.name())
			Expect(n.table.Demand()["pool"]).To(BeEquivalentTo(len(f.nodes) - 1))
			Expect(f.now.Sub(n.confirmedAt)).To(BeNumerically("<=", RoundInterval), "replies to %s", n.name())
		}
	})

	It("has one relay per data centre, among the nodes with the largest CPU share", func() {
		f := newFleet(dataCentres, nodesEach)
		f.run(3 * time.Second)
		relays := map[fleet.DataCentreName]int{}
		for _, n := range f.nodes {
			if n.table.IsRelay() {
				relays[n.dataCentre]++
				Expect(n.cores).To(BeEquivalentTo(2))
			}
		}
		Expect(relays).To(Equal(map[fleet.DataCentreName]int{"dc0": 1, "dc1": 1, "dc2": 1}))
	})

	It("reports the quota consumed by all other nodes to every node once", func() {
		f := newFleet(dataCentres, nodesEach)
		f.run(3 * time.Second)
		for round := range 20 {
			for i, n := range f.nodes {
				n.consumed += float64((i + round) % 7)
			}
			f.run(RoundInterval)
		}
		f.run(4 * RoundInterval)
		total := 0.0
		for _, n := range f.nodes {
			total += n.consumed
		}
		for _, n := range f.nodes {
			Expect(n.received).To(BeNumerically("~", total-n.consumed, 0.01), "quota reported to %s", n.name())
		}
	})

	It("switches to another relay when one fails, and back when it returns", func() {
		f := newFleet(dataCentres, nodesEach)
		f.run(3 * time.Second)
		var relay *testNode
		for _, n := range f.nodes {
			if n.dataCentre == "dc1" && n.table.IsRelay() {
				relay = n
			}
		}
		relay.down = true
		f.run(3500 * time.Millisecond)
		for _, n := range f.live() {
			Expect(n.table.Work()["all"].Running).To(Equal(len(f.nodes)-2), "load reported to %s", n.name())
			Expect(n.table.Count().Total).To(BeNumerically("~", len(f.nodes), 1), "nodes known to %s", n.name())
			Expect(n.table.Count().Silent).To(BeNumerically("<=", 2), "silent nodes for %s", n.name())
		}
		relay.down = false
		f.run(5 * time.Second)
		Expect(relay.table.IsRelay()).To(BeTrue())
		for _, n := range f.nodes {
			Expect(n.table.Work()["all"].Running).To(Equal(len(f.nodes)-1), "load reported to %s", n.name())
			Expect(n.table.Count().Total).To(Equal(len(f.nodes)), "nodes known to %s", n.name())
			Expect(n.table.Count().Silent).To(BeZero(), "silent nodes for %s", n.name())
		}
	})

	It("reserves the share of the nodes of a partitioned data centre", func() {
		f := newFleet(dataCentres, nodesEach)
		f.run(3 * time.Second)
		f.drops = func(from, to *testNode) bool { return (from.dataCentre == "dc2") != (to.dataCentre == "dc2") }
		f.run(3 * time.Second)
		for _, n := range f.nodes {
			silent := nodesEach
			if n.dataCentre == "dc2" {
				silent = (dataCentres - 1) * nodesEach
			}
			Expect(n.table.Count().Total).To(Equal(len(f.nodes)), "nodes known to %s", n.name())
			Expect(n.table.Count().Silent).To(Equal(silent), "silent nodes for %s", n.name())
			Expect(n.table.DataCentreSilent("dc2", f.now)).To(Equal(n.dataCentre != "dc2"), "dc2 silent for %s", n.name())
		}
		f.drops = nil
		f.run(6 * time.Second)
		for _, n := range f.nodes {
			Expect(n.table.Count().Total).To(Equal(len(f.nodes)), "nodes known to %s", n.name())
			Expect(n.table.Count().Silent).To(BeZero(), "silent nodes for %s", n.name())
		}
	})

	It("tells the nodes that a relay serves from relays and from nodes that lost theirs", func() {
		f := newFleet(dataCentres, nodesEach)
		served := func() (count int) {
			for _, n := range f.nodes {
				if n.table.ServedByRelay() {
					count++
				}
			}
			return count
		}
		f.run(3 * time.Second)
		Expect(served()).To(Equal(len(f.nodes) - dataCentres))
		f.drops = func(*testNode, *testNode) bool { return true }
		f.run(3 * time.Second)
		Expect(served()).To(BeZero())
	})

	It("never counts fewer nodes than are live while relays fail and datagrams are lost", func() {
		f := newFleet(dataCentres, nodesEach)
		f.run(3 * time.Second)
		random := rand.New(rand.NewPCG(2, 3))
		f.drops = func(*testNode, *testNode) bool { return random.IntN(20) == 0 }
		for range 12 {
			n := f.nodes[random.IntN(len(f.nodes))]
			n.down = !n.down
			f.run(900 * time.Millisecond)
			for _, o := range f.live() {
				// The count can be higher, as nodes that are down keep their share until they are removed.
				Expect(o.table.Count().Total).To(BeNumerically(">=", len(f.live())), "nodes known to %s", o.name())
			}
		}
	})

	It("corrects the clock of a node by the clocks of all others", func() {
		f := newFleet(dataCentres, nodesEach)
		for i, n := range f.nodes {
			n.clockOffset = time.Duration(i%5) * time.Millisecond
		}
		f.nodes[7].clockOffset = 4 * time.Second
		f.run(3 * time.Second)
		for _, n := range f.nodes {
			Expect(n.clockOffset+n.table.ClockCorrection()).To(BeNumerically("~", 2*time.Millisecond, 4*time.Millisecond), "clock of %s", n.name())
		}
	})

	// With 300 nodes, aggregates exceeded the size of a datagram and none was sent.
	It("reports the largest loads if there are more endpoints than fit into a digest", func() {
		f := newFleet(dataCentres, nodesEach)
		describe := f.nodes[0].Describe
		f.nodes[0].Describe = func() Digest {
			d := describe()
			for i := range 6000 {
				d.Work[fleet.InstanceID(fmt.Sprintf("i-%010d", i))] = placement.Work{Running: 1, Backlog: fleet.Tokens(i)}
			}
			return d
		}
		f.run(3 * time.Second)
		for _, n := range f.nodes[1:] {
			Expect(n.table.Count().Silent).To(BeZero(), "silent nodes for %s", n.name())
			Expect(n.table.Work()).To(HaveKey(fleet.InstanceID("i-0000005999")))
			Expect(len(n.table.Work())).To(BeNumerically("<=", 3*maxWorkEntries))
		}
	})

	It("ranks relays first for the duties and gives every node a different rank", func() {
		f := newFleet(dataCentres, nodesEach)
		f.run(3 * time.Second)
		ranks := map[int]bool{}
		for _, n := range f.nodes {
			rank := n.table.DutyRank()
			Expect(ranks[rank]).To(BeFalse())
			ranks[rank] = true
			Expect(rank < dataCentres).To(Equal(n.table.IsRelay()))
		}
	})
})

var _ = Describe("A fleet of any size", func() {
	It("counts what a stopping node admitted last", func() {
		for _, nodesEach := range []int{2, 10} {
			f := newFleet(3, nodesEach)
			f.run(3 * time.Second)
			before := make([]float64, len(f.nodes))
			for i, n := range f.nodes {
				before[i] = n.received
			}
			leaving := f.nodes[nodesEach-1]
			leaving.consumed += 100
			leaving.Leave()
			leaving.down = true
			f.run(2 * time.Second)
			for i, n := range f.nodes {
				if n != leaving {
					Expect(n.received-before[i]).To(Equal(100.0), fmt.Sprintf("reported to %s of %d", n.name(), len(f.nodes)))
				}
			}
		}
	})
})
