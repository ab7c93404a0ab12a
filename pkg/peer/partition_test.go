package peer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/peer"
)

func inCentre(name fleet.DataCentreName) func(*node) bool {
	return func(n *node) bool { return n.Self.DataCentre == name }
}

var _ = Describe("A data centre that is cut off", func() {
	It("goes on by itself, and catches up when it comes back, within its budget", func() {
		bubble(9, 3, 0, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			alone := inCentre(centreOf(0))
			w.setCut(func(from, to *node) bool { return alone(from) != alone(to) })
			g.Expect(w.list[0].learn(change(1))).To(Succeed())
			g.Expect(w.list[1].learn(change(2))).To(Succeed())
			w.list[0].marked(leaving("inside"))
			w.list[1].marked(leaving("outside"))
			time.Sleep(30 * time.Second)
			inside, outside := leaving("inside").Instance, leaving("outside").Instance
			g.Expect(w.unmarked(inside, alone)).To(BeEmpty())
			g.Expect(w.unmarked(outside, alone)).To(HaveLen(3))
			g.Expect(w.list[0].SilentDataCentres()).To(ConsistOf(centreOf(1), centreOf(2)))
			g.Expect(w.list[1].SilentDataCentres()).To(ConsistOf(centreOf(0)))
			g.Expect(w.list[3].revision()).To(BeEquivalentTo(1))
			g.Expect(w.list[4].revision()).To(BeEquivalentTo(2))
			for _, n := range w.list {
				n.sentSince()
			}
			w.setCut(nil)
			time.Sleep(15 * time.Second)
			g.Expect(w.unmarked(inside, everyone)).To(BeEmpty())
			g.Expect(w.unmarked(outside, everyone)).To(BeEmpty())
			for _, n := range w.list {
				g.Expect(n.revision()).To(BeEquivalentTo(2))
				g.Expect(n.SilentDataCentres()).To(BeEmpty())
				g.Expect(n.sentSince()).To(BeNumerically("<", 15*peer.BudgetBytesPerSecond))
				for i := 1; i < len(n.history); i++ {
					g.Expect(n.history[i]).To(BeNumerically(">=", n.history[i-1]), "a revision never goes back")
				}
			}
		})
	})

	It("does not make its nodes look dead before it has been silent for long", func() {
		bubble(6, 2, 0, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			w.setCut(apart)
			time.Sleep(peer.SilentTimeout / 2)
			g.Expect(w.list[0].Alive(w.list[1].Self.Ref)).To(BeTrue())
			time.Sleep(peer.SilentTimeout)
			g.Expect(w.list[0].Alive(w.list[1].Self.Ref)).To(BeFalse())
			w.setCut(nil)
			time.Sleep(15 * time.Second)
			g.Expect(w.list[0].Alive(w.list[1].Self.Ref)).To(BeTrue())
		})
	})

	It("still learns and is learnt of when calls pass one way only", func() {
		bubble(6, 2, 0, func(g Gomega, w *network) {
			w.setCut(func(from, to *node) bool {
				return from.Self.DataCentre == centreOf(0) && to.Self.DataCentre == centreOf(1)
			})
			time.Sleep(15 * time.Second)
			w.list[0].marked(leaving("a"))
			w.list[1].marked(leaving("b"))
			time.Sleep(15 * time.Second)
			g.Expect(w.unmarked(leaving("a").Instance, everyone)).To(BeEmpty())
			g.Expect(w.unmarked(leaving("b").Instance, everyone)).To(BeEmpty())
			g.Expect(w.list[0].SilentDataCentres()).To(BeEmpty())
		})
	})

	It("loses messages and still spreads every mark", func() {
		bubble(15, 3, 0.05, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			for i := range 20 {
				w.list[i%15].marked(leaving(string(rune('a' + i))))
				time.Sleep(500 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			for i := range 20 {
				g.Expect(w.unmarked(leaving(string(rune('a'+i))).Instance, everyone)).To(BeEmpty())
			}
		})
	})
})
