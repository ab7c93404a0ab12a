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

// fleetOf is a fleet in virtual time: datagrams between its nodes take no time,
// and rounds follow each other.
type fleetOf struct {
	now   clock.Instant
	nodes []*testNode
	// lost tells whether a datagram between two nodes is lost, if set.
	lost  func(from, to *testNode) bool
	bytes int
}

// testNode is one node with a load of one request on an endpoint of its own and
// one that all use.
type testNode struct {
	Exchange
	table     Table
	address   netip.AddrPort
	centre    fleet.DataCentreName
	cores     float64
	life      fleet.Incarnation
	spent     float64
	heard     float64
	confirmed clock.Instant
	down      bool
	offset    time.Duration
}

func (n *testNode) name() fleet.NodeName { return n.table.Self }

func newFleet(centres, each int) *fleetOf {
	f := &fleetOf{now: clock.Instant(time.Hour)}
	for c := range centres {
		for i := range each {
			f.add(fleet.DataCentreName(fmt.Sprintf("dc%d", c)), fleet.NodeName(fmt.Sprintf("n%d-%02d", c, i)), float64(i%3))
		}
	}
	f.announce()
	return f
}

func (f *fleetOf) add(at fleet.DataCentreName, name fleet.NodeName, cores float64) {
	n := &testNode{centre: at, cores: cores, life: 1}
	n.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(len(f.nodes) >> 8), byte(len(f.nodes))}), 7600)
	n.table = Table{Self: name, DataCentre: at, OnConsumed: func(_ fleet.AccountName, amount float64, _ clock.Instant) { n.heard += amount }}
	n.Exchange = Exchange{
		Now: func() clock.Instant { return f.now },
		Describe: func() Digest {
			return Digest{
				Node: fleet.NodeRef{Name: name, Incarnation: n.life}, DataCentre: at, Address: n.address.String(),
				Clock:    time.Unix(0, int64(f.now)).Add(n.offset),
				Work:     map[fleet.InstanceID]placement.Work{"all": {Running: 1, Backlog: 10}, fleet.InstanceID(name): {Running: 1}},
				Consumed: map[fleet.AccountName]float64{"acc": n.spent},
				Demand:   map[fleet.PoolName]float64{"pool": 1},
			}
		},
		OnDigest:   func(Digest) {},
		DeltaSince: func(fleet.Offset) *Delta { return nil },
		OnReply:    func(_ Digest, _ *Delta, asked clock.Instant) { n.confirmed = asked },
		WallClock:  func() time.Time { return time.Unix(0, int64(f.now)).Add(n.offset) },
		Table:      &n.table,
		write: func(data []byte, to netip.AddrPort) {
			f.bytes += len(data)
			for _, o := range f.nodes {
				if o.address == to && !o.down && (f.lost == nil || !f.lost(n, o)) {
					o.receive(data, n.address)
				}
			}
		},
	}
	f.nodes = append(f.nodes, n)
}

// announce lets every node read the announcements of all.
func (f *fleetOf) announce() {
	for _, n := range f.nodes {
		for _, o := range f.nodes {
			n.table.AddAnnounced(o.name(), Announcement{Address: o.address.String(), DataCentre: o.centre, Incarnation: o.life, Cores: o.cores}, f.now)
		}
	}
}

// run lets rounds pass. Nodes ask in a random order.
func (f *fleetOf) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(RoundInterval) {
		for _, i := range rand.New(rand.NewPCG(1, uint64(f.now))).Perm(len(f.nodes)) {
			if n := f.nodes[i]; !n.down {
				n.table.Expire(f.now)
				n.QueryPeers()
			}
		}
	}
}

func (f *fleetOf) living() (living []*testNode) {
	for _, n := range f.nodes {
		if !n.down {
			living = append(living, n)
		}
	}
	return living
}

var _ = Describe("A large fleet", func() {
	const centres, each = 3, 28

	It("tells every node the load and the number of all others, each counted once", func() {
		f := newFleet(centres, each)
		f.run(3 * time.Second)
		for _, n := range f.nodes {
			Expect(n.table.Count().Total).To(Equal(len(f.nodes)), "nodes known to %s", n.name())
			Expect(n.table.Count().Silent).To(BeZero(), "silent nodes for %s", n.name())
			Expect(n.table.Work()["all"].Running).To(Equal(len(f.nodes)-1), "load told to %s", n.name())
			Expect(n.table.Demand()["pool"]).To(BeEquivalentTo(len(f.nodes) - 1))
			Expect(f.now.Sub(n.confirmed)).To(BeNumerically("<=", RoundInterval), "replies to %s", n.name())
		}
	})

	It("has one relay a data centre, one with the largest processor share", func() {
		f := newFleet(centres, each)
		f.run(3 * time.Second)
		relays := map[fleet.DataCentreName]int{}
		for _, n := range f.nodes {
			if n.table.IsRelay() {
				relays[n.centre]++
				Expect(n.cores).To(BeEquivalentTo(2))
			}
		}
		Expect(relays).To(Equal(map[fleet.DataCentreName]int{"dc0": 1, "dc1": 1, "dc2": 1}))
	})

	It("tells each what all others admitted, once", func() {
		f := newFleet(centres, each)
		f.run(3 * time.Second)
		for round := range 20 {
			for i, n := range f.nodes {
				n.spent += float64((i + round) % 7)
			}
			f.run(RoundInterval)
		}
		f.run(4 * RoundInterval)
		total := 0.0
		for _, n := range f.nodes {
			total += n.spent
		}
		for _, n := range f.nodes {
			Expect(n.heard).To(BeNumerically("~", total-n.spent, 0.01), "told to %s", n.name())
		}
	})

	It("goes on through another relay when one dies, and through the first when it is back", func() {
		f := newFleet(centres, each)
		f.run(3 * time.Second)
		var relay *testNode
		for _, n := range f.nodes {
			if n.centre == "dc1" && n.table.IsRelay() {
				relay = n
			}
		}
		relay.down = true
		f.run(3500 * time.Millisecond)
		for _, n := range f.living() {
			Expect(n.table.Work()["all"].Running).To(Equal(len(f.nodes)-2), "load told to %s", n.name())
			Expect(n.table.Count().Total).To(BeNumerically("~", len(f.nodes), 1), "nodes known to %s", n.name())
			Expect(n.table.Count().Silent).To(BeNumerically("<=", 2), "silent nodes for %s", n.name())
		}
		relay.down = false
		f.run(5 * time.Second)
		Expect(relay.table.IsRelay()).To(BeTrue())
		for _, n := range f.nodes {
			Expect(n.table.Work()["all"].Running).To(Equal(len(f.nodes)-1), "load told to %s", n.name())
			Expect(n.table.Count().Total).To(Equal(len(f.nodes)), "nodes known to %s", n.name())
			Expect(n.table.Count().Silent).To(BeZero(), "silent nodes for %s", n.name())
		}
	})

	It("leaves the nodes of a data centre that is cut off their share", func() {
		f := newFleet(centres, each)
		f.run(3 * time.Second)
		f.lost = func(from, to *testNode) bool { return (from.centre == "dc2") != (to.centre == "dc2") }
		f.run(3 * time.Second)
		for _, n := range f.nodes {
			silent := each
			if n.centre == "dc2" {
				silent = (centres - 1) * each
			}
			Expect(n.table.Count().Total).To(Equal(len(f.nodes)), "nodes known to %s", n.name())
			Expect(n.table.Count().Silent).To(Equal(silent), "silent nodes for %s", n.name())
			Expect(n.table.Unreachable("dc2", f.now)).To(Equal(n.centre != "dc2"), "doubt of %s", n.name())
		}
		f.lost = nil
		f.run(6 * time.Second)
		for _, n := range f.nodes {
			Expect(n.table.Count().Total).To(Equal(len(f.nodes)), "nodes known to %s", n.name())
			Expect(n.table.Count().Silent).To(BeZero(), "silent nodes for %s", n.name())
		}
	})

	It("never takes fewer nodes to share the limits than there are, while relays die and datagrams are lost", func() {
		f := newFleet(centres, each)
		f.run(3 * time.Second)
		random := rand.New(rand.NewPCG(2, 3))
		f.lost = func(*testNode, *testNode) bool { return random.IntN(20) == 0 }
		for range 12 {
			n := f.nodes[random.IntN(len(f.nodes))]
			n.down = !n.down
			f.run(900 * time.Millisecond)
			for _, o := range f.living() {
				// Nodes that are down keep their share for a while.
				Expect(o.table.Count().Total).To(BeNumerically(">=", len(f.living())), "nodes known to %s", o.name())
			}
		}
	})

	It("corrects the clock of a node by all others", func() {
		f := newFleet(centres, each)
		for i, n := range f.nodes {
			n.offset = time.Duration(i%5) * time.Millisecond
		}
		f.nodes[7].offset = 4 * time.Second
		f.run(3 * time.Second)
		for _, n := range f.nodes {
			Expect(n.offset+n.table.ClockCorrection()).To(BeNumerically("~", 2*time.Millisecond, 4*time.Millisecond), "clock of %s", n.name())
		}
	})

	// Found by a sweep at 300 nodes: summaries no longer fitted a datagram, and none came.
	It("tells the heaviest loads where there are more endpoints than fit", func() {
		f := newFleet(centres, each)
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
			Expect(len(n.table.Work())).To(BeNumerically("<=", 3*mostWork))
		}
	})

	It("ranks relays before all others for the duties, without two of one rank", func() {
		f := newFleet(centres, each)
		f.run(3 * time.Second)
		ranks := map[int]bool{}
		for _, n := range f.nodes {
			rank := n.table.DutyRank()
			Expect(ranks[rank]).To(BeFalse())
			ranks[rank] = true
			Expect(rank < centres).To(Equal(n.table.IsRelay()))
		}
	})
})
