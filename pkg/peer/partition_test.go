package peer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/skylarkloom/skylarkloom/pkg/api/peer/v1"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/peer"
)

func inDataCentre(name fleet.DataCentreName) func(*node) bool {
	return func(n *node) bool { return n.Self.DataCentre == name }
}

var _ = Describe("A partitioned data centre", func() {
	It("keeps working and, once the partition ends, catches up within the budget", func() {
		runNetwork(9, 3, 0, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			isolated := inDataCentre(dataCentreName(0))
			w.setPartition(func(from, to *node) bool { return isolated(from) != isolated(to) })
			g.Expect(w.list[0].applyConfig(newChange(1))).To(Succeed())
			g.Expect(w.list[1].applyConfig(newChange(2))).To(Succeed())
			w.list[0].reportCondition(leavingReport("inside"))
			w.list[1].reportCondition(leavingReport("outside"))
			time.Sleep(30 * time.Second)
			inside, outside := leavingReport("inside").Instance, leavingReport("outside").Instance
			g.Expect(w.nodesWithoutCondition(inside, isolated)).To(BeEmpty())
			g.Expect(w.nodesWithoutCondition(outside, isolated)).To(HaveLen(3))
			g.Expect(w.list[0].SilentDataCentres()).To(ConsistOf(dataCentreName(1), dataCentreName(2)))
			g.Expect(w.list[1].SilentDataCentres()).To(ConsistOf(dataCentreName(0)))
			g.Expect(w.list[3].revision()).To(BeEquivalentTo(1))
			g.Expect(w.list[4].revision()).To(BeEquivalentTo(2))
			for _, n := range w.list {
				n.takeSentBytes()
			}
			w.setPartition(nil)
			time.Sleep(15 * time.Second)
			g.Expect(w.nodesWithoutCondition(inside, allNodes)).To(BeEmpty())
			g.Expect(w.nodesWithoutCondition(outside, allNodes)).To(BeEmpty())
			for _, n := range w.list {
				g.Expect(n.revision()).To(BeEquivalentTo(2))
				g.Expect(n.SilentDataCentres()).To(BeEmpty())
				g.Expect(n.takeSentBytes()).To(BeNumerically("<", 15*peer.BudgetBytesPerSecond))
				for i := 1; i < len(n.history); i++ {
					g.Expect(n.history[i]).To(BeNumerically(">=", n.history[i-1]), "a revision never decreases")
				}
			}
		})
	})

	// Seen once in CI as a failure of the spec above: the test's network let calls end that were
	// under way when a partition began, so isolated nodes heard of what was reported after that.
	It("hears nothing in a call that is under way when the partition begins", func() {
		runNetwork(9, 3, 0, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			isolated := inDataCentre(dataCentreName(0))
			underWay := make(chan *node, 1)
			w.mu.Lock()
			w.observe = func(from *node, p peer.Peer, _ *peerv1.ExchangeRequest) {
				if to := w.nodes[p.Name]; isolated(from) && !isolated(to) {
					select {
					case underWay <- to:
					default:
					}
				}
			}
			w.mu.Unlock()
			to := <-underWay
			w.setPartition(func(from, to *node) bool { return isolated(from) != isolated(to) })
			to.reportCondition(leavingReport("outside"))
			time.Sleep(30 * time.Second)
			g.Expect(w.nodesWithoutCondition(leavingReport("outside").Instance, isolated)).To(HaveLen(3))
		})
	})

	It("has its nodes considered dead only after SilentTimeout", func() {
		runNetwork(6, 2, 0, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			w.setPartition(acrossDataCentres)
			time.Sleep(peer.SilentTimeout / 2)
			g.Expect(w.list[0].Alive(w.list[1].Self.Ref)).To(BeTrue())
			time.Sleep(peer.SilentTimeout)
			g.Expect(w.list[0].Alive(w.list[1].Self.Ref)).To(BeFalse())
			w.setPartition(nil)
			time.Sleep(15 * time.Second)
			g.Expect(w.list[0].Alive(w.list[1].Self.Ref)).To(BeTrue())
		})
	})

	It("exchanges condition reports in both directions if requests pass in one direction only", func() {
		runNetwork(6, 2, 0, func(g Gomega, w *network) {
			w.setPartition(func(from, to *node) bool {
				return from.Self.DataCentre == dataCentreName(0) && to.Self.DataCentre == dataCentreName(1)
			})
			time.Sleep(15 * time.Second)
			w.list[0].reportCondition(leavingReport("a"))
			w.list[1].reportCondition(leavingReport("b"))
			time.Sleep(15 * time.Second)
			g.Expect(w.nodesWithoutCondition(leavingReport("a").Instance, allNodes)).To(BeEmpty())
			g.Expect(w.nodesWithoutCondition(leavingReport("b").Instance, allNodes)).To(BeEmpty())
			g.Expect(w.list[0].SilentDataCentres()).To(BeEmpty())
		})
	})

	It("spreads every condition report despite message loss", func() {
		runNetwork(15, 3, 0.05, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			for i := range 20 {
				w.list[i%15].reportCondition(leavingReport(string(rune('a' + i))))
				time.Sleep(500 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			for i := range 20 {
				g.Expect(w.nodesWithoutCondition(leavingReport(string(rune('a'+i))).Instance, allNodes)).To(BeEmpty())
			}
		})
	})
})
