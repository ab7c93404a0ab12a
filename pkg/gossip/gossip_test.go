package gossip_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fellow")
}

func digest(name fleet.NodeName, life fleet.Incarnation, spent float64) gossip.Digest {
	return gossip.Digest{
		Node: fleet.NodeRef{Name: name, Incarnation: life}, DataCentre: "x",
		Consumed: map[fleet.AccountName]float64{"acc": spent},
	}
}

var _ = Describe("What is known of the other nodes", func() {
	now := clock.Instant(time.Hour)

	It("counts what each admitted once, whatever is told again", func() {
		var spent float64
		t := gossip.Table{OnConsumed: func(_ fleet.AccountName, n float64, _ clock.Instant) { spent += n }}
		t.Apply(digest("a", 1, 100), gossip.ScopeNode, now)
		Expect(spent).To(BeZero(), "what was spent before it was heard is not recent")
		for range 3 {
			t.Apply(digest("a", 1, 130), gossip.ScopeNode, now)
		}
		Expect(spent).To(Equal(30.0))
		t.Apply(digest("a", 2, 7), gossip.ScopeNode, now)
		Expect(spent).To(Equal(37.0), "a new life counts from nothing")
		t.Apply(digest("a", 1, 500), gossip.ScopeNode, now)
		Expect(spent).To(Equal(37.0), "an earlier life says nothing any more")
	})

	It("leaves its share to a node that is not heard of, and forgets it when it is gone", func() {
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

	It("forgets a node that says it ends", func() {
		var t gossip.Table
		t.Apply(digest("a", 1, 0), gossip.ScopeNode, now)
		d := digest("a", 1, 0)
		d.Draining = true
		t.Apply(d, gossip.ScopeNode, now)
		Expect(t.Count()).To(Equal(allotment.Nodes{Total: 1}))
	})

	It("tells a data centre that is not heard of from one without nodes", func() {
		var t gossip.Table
		t.Apply(digest("a", 1, 0), gossip.ScopeNode, now)
		Expect(t.Unreachable("x", now)).To(BeFalse())
		Expect(t.Unreachable("x", now.Add(time.Second))).To(BeTrue())
		Expect(t.Unreachable("y", now.Add(time.Second))).To(BeFalse())
	})

	It("has one reader a data centre among nodes that hear each other", func() {
		relays := func(self fleet.NodeName, at fleet.DataCentreName, expire time.Duration) bool {
			t := gossip.Table{Self: self, DataCentre: at}
			t.Apply(digest("b", 1, 0), gossip.ScopeNode, now)
			t.Expire(now.Add(expire))
			return t.IsRelay()
		}
		Expect(relays("a", "x", 0)).To(BeTrue())
		Expect(relays("c", "x", 0)).To(BeFalse())
		Expect(relays("c", "y", 0)).To(BeTrue())
		Expect(relays("c", "x", 5*time.Second)).To(BeTrue())
	})

	It("corrects the clock by the median", func() {
		var t gossip.Table
		for i, offset := range []time.Duration{-2 * time.Second, -2 * time.Second, -2*time.Second + time.Millisecond, 9 * time.Second} {
			name := fleet.NodeName(fmt.Sprint("n", i))
			t.Apply(digest(name, 1, 0), gossip.ScopeNode, now)
			t.SetClockOffset(name, offset)
		}
		Expect(t.ClockCorrection()).To(BeNumerically("~", -2*time.Second, 2*time.Millisecond))
	})

	It("adds up the load of the nodes that are heard", func() {
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

// freeAddress returns an address that was free just now.
func freeAddress() string {
	l, err := net.ListenPacket("udp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(l.Close()).To(Succeed()) }()
	return l.LocalAddr().String()
}

var _ = Describe("The exchange", func() {
	It("lets nodes hear of each other, and bounds the age of what they reply", func() {
		var group errgroup.Group
		nodes := make([]*gossip.Exchange, 3)
		tables := make([]*gossip.Table, len(nodes))
		var mu sync.Mutex
		confirmed := map[fleet.NodeName]time.Duration{}
		addresses := make([]string, len(nodes))
		for i := range nodes {
			addresses[i] = freeAddress()
			tables[i] = &gossip.Table{}
			name := fleet.NodeName(fmt.Sprint("n", i))
			nodes[i] = &gossip.Exchange{
				Address: addresses[i],
				Describe: func() gossip.Digest {
					return gossip.Digest{Node: fleet.NodeRef{Name: name, Incarnation: 1}, Address: addresses[i], Clock: time.Now()}
				},
				OnDigest:   func(gossip.Digest) {},
				DeltaSince: func(fleet.Offset) *gossip.Delta { return nil },
				OnReply: func(d gossip.Digest, _ *gossip.Delta, asked clock.Instant) {
					mu.Lock()
					defer mu.Unlock()
					confirmed[d.Node.Name] = clock.Now().Sub(asked)
				},
				WallClock: time.Now, Table: tables[i],
			}
			Expect(nodes[i].Listen()).To(Succeed())
			group.Go(func() error {
				nodes[i].Receive()
				return nil
			})
		}
		DeferCleanup(func() {
			for _, n := range nodes {
				Expect(n.Close()).To(Succeed())
			}
			Expect(group.Wait()).To(Succeed())
		})
		for i := 1; i < len(nodes); i++ {
			name := fleet.NodeName(fmt.Sprint("n", i))
			tables[0].AddAnnounced(name, gossip.Announcement{Address: addresses[i], Incarnation: 1}, clock.Now())
		}
		Eventually(func() int {
			nodes[0].QueryPeers()
			heard := 0
			for _, t := range tables {
				n := t.Count()
				heard += n.Total - n.Silent - 1
			}
			return heard
		}).Should(Equal(4), "who asks is heard by those who are asked")
		Eventually(func() int { mu.Lock(); defer mu.Unlock(); return len(confirmed) }).Should(Equal(2))
		nodes[0].Leave()
		Eventually(func() int { return tables[1].Count().Total + tables[2].Count().Total }).Should(Equal(2))
	})
})
