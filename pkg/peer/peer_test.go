package peer_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/skylarkloom/skylarkloom/pkg/api/peer/v1"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
	"github.com/skylarkloom/skylarkloom/pkg/peer"
)

func apart(from, to *node) bool {
	return from.Self.DataCentre != to.Self.DataCentre
}

func change(revision fleet.Revision) config.Change {
	return config.Change{Revision: revision, Offset: fleet.Offset(revision), Document: fmt.Appendf(nil, "revision %d", revision)}
}

var _ = Describe("Peers", func() {
	It("bring marks, suspects and configurations to all nodes within seconds", func() {
		bubble(21, 3, 0, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			first := w.list[0]
			g.Expect(first.learn(change(1))).To(Succeed())
			first.marked(leaving("i-1"))
			first.PublishSuspect(peer.Suspect{Key: "content", Crashes: 1, Rank: 1})
			time.Sleep(10 * time.Second)
			g.Expect(w.unmarked(leaving("i-1").Instance, everyone)).To(BeEmpty())
			for _, n := range w.list {
				g.Expect(n.revision()).To(BeEquivalentTo(1), "%s", n.Self.Ref.Name)
				g.Expect(n.known["content"].IsZero()).To(Equal(n == first))
				g.Expect(n.change.Document).To(Equal(change(1).Document))
			}
			for _, v := range first.Nodes() {
				g.Expect(v.Alive).To(BeTrue(), "%s", v.Name)
			}
		})
	})

	It("never let late news undo that an instance is gone", func() {
		bubble(6, 2, 0, func(g Gomega, w *network) {
			time.Sleep(5 * time.Second)
			w.setCut(apart)
			gone := leaving("i-1")
			gone.Condition = fleet.ConditionGone
			w.list[0].PublishMark(gone)
			w.list[1].PublishMark(leaving("i-1"))
			time.Sleep(10 * time.Second)
			w.setCut(nil)
			time.Sleep(20 * time.Second)
			for _, n := range w.list[2:] {
				n.mu.Lock()
				g.Expect(n.latest[gone.Instance]).To(Equal(fleet.ConditionGone))
				n.mu.Unlock()
			}
		})
	})

	It("see a node die, come back as a new life, and hand its duties over", func() {
		bubble(7, 1, 0, func(g Gomega, w *network) {
			time.Sleep(12 * time.Second)
			i := fleet.Instance{ID: "i-1", Incarnation: 1, DataCentre: centreOf(0)}
			mine := func() (names []fleet.NodeName) {
				for _, n := range w.nodes {
					if n.cancel != nil && n.IsPoller(i) {
						names = append(names, n.Self.Ref.Name)
					}
				}
				return names
			}
			before := mine()
			g.Expect(before).To(HaveLen(2))
			dead := w.nodes[before[0]]
			dead.stop()
			time.Sleep(peer.DeadTimeout + 3*time.Second)
			watcher := w.list[0]
			if watcher == dead {
				watcher = w.list[1]
			}
			g.Expect(watcher.Alive(dead.Self.Ref)).To(BeFalse())
			g.Expect(mine()).To(HaveLen(2))
			g.Expect(mine()).NotTo(ContainElement(before[0]))

			again := w.add(peer.Peer{Name: before[0], DataCentre: centreOf(0), Address: dead.Self.Address}, 2, dead.Peers)
			again.start()
			time.Sleep(12 * time.Second)
			g.Expect(watcher.Alive(dead.Self.Ref)).To(BeFalse(), "the old life stays dead")
			g.Expect(watcher.Alive(again.Self.Ref)).To(BeTrue())
			g.Expect(mine()).To(ConsistOf(before))
		})
	})

	It("find a node that no settings name", func() {
		bubble(4, 1, 0, func(g Gomega, w *network) {
			time.Sleep(5 * time.Second)
			fresh := w.add(peer.Peer{Name: "fresh", DataCentre: centreOf(0), Address: "10.0.1.1:7000"}, 1, w.list[0].Peers)
			fresh.start()
			time.Sleep(10 * time.Second)
			for _, n := range w.list {
				g.Expect(n.Alive(fresh.Self.Ref)).To(BeTrue())
				g.Expect(n.Nodes()).To(HaveLen(5))
			}
			fresh.marked(leaving("i-1"))
			time.Sleep(5 * time.Second)
			g.Expect(w.unmarked(leaving("i-1").Instance, everyone)).To(BeEmpty())
		})
	})

	It("choose one node to take an order over", func() {
		bubble(9, 3, 0, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			count := 0
			for _, n := range w.list {
				if n.Candidate(fleet.KeyRef{Account: "a", Key: "k"}) {
					count++
				}
			}
			g.Expect(count).To(Equal(1))
		})
	})

	It("add up an account's demand over the data centres", func() {
		bubble(6, 2, 0, func(g Gomega, w *network) {
			for _, n := range w.list {
				n.mu.Lock()
				n.rates = map[fleet.AccountName]float64{"sellers": 2}
				n.mu.Unlock()
			}
			time.Sleep(20 * time.Second)
			for _, n := range w.list {
				d := n.AccountDemand("sellers")
				g.Expect(d.DataCentre).To(BeNumerically("~", 6, 0.01))
				g.Expect(d.Fleet).To(BeNumerically("~", 12, 0.01))
			}
			g.Expect(w.list[0].PeerDemands("sellers")).To(HaveLen(5))
			w.setCut(apart)
			time.Sleep(member.MaxAge + 5*time.Second)
			g.Expect(w.list[0].AccountDemand("sellers").Fleet).To(BeNumerically("~", 6, 0.01))
			g.Expect(w.list[0].PeerDemands("sellers")).To(Equal([]float64{2, 2}))
		})
	})

	It("bring load reports to the whole data centre, the newest winning", func() {
		bubble(5, 1, 0, func(g Gomega, w *network) {
			time.Sleep(12 * time.Second)
			i := fleet.Instance{ID: "i-1", Incarnation: 1, DataCentre: centreOf(0)}
			for turn := range 5 {
				for _, n := range w.list {
					if n.IsPoller(i) {
						n.ReportLoad(i, []byte{byte(turn)})
					}
				}
				time.Sleep(4 * time.Second)
				for _, n := range w.list {
					l, ok := n.Load(i.Ref())
					g.Expect(ok).To(BeTrue())
					g.Expect(l.Data).To(Equal([]byte{byte(turn)}))
				}
			}
		})
	})

	It("keep each node's sending within its budget while much is reported", func() {
		bubble(20, 1, 0, func(g Gomega, w *network) {
			for second := range 60 {
				for k, n := range w.list {
					for e := range 60 {
						n.ReportLoad(fleet.Instance{ID: fleet.InstanceID(fmt.Sprint(k, e)), DataCentre: centreOf(0)}, []byte{byte(second), 1, 2, 3, 4, 5, 6, 7})
					}
				}
				w.list[second%20].marked(leaving(fmt.Sprint("i-", second)))
				time.Sleep(time.Second)
			}
			for _, n := range w.list {
				sent := n.sentSince()
				g.Expect(sent).To(BeNumerically("<", 61*peer.BudgetBytesPerSecond+peer.BudgetBurstBytes))
				g.Expect(sent).To(BeNumerically(">", 40*peer.BudgetBytesPerSecond), "there was more to report than the budget lets through")
			}
			time.Sleep(2 * time.Second)
			g.Expect(w.unmarked(leaving("i-59").Instance, everyone)).To(BeEmpty(), "marks go before load reports")
		})
	})

	It("answer without reports once the budget is spent", func(ctx context.Context) {
		n := newNetwork(2, 1).list[0]
		now := time.Now()
		n.Now = func() time.Time { return now }
		part := &peerv1.Part{Life: uint64(member.IncarnationIDOf(fleet.NodeRef{Name: "x", Incarnation: 1})), To: 200, Node: &peerv1.Node{Name: "x", Incarnation: 1}}
		for i := range uint64(200) {
			part.Items = append(part.Items, &peerv1.Item{Kind: 1, Subject: i, Sequence: i + 1, Data: make([]byte, 8)})
		}
		n.Exchange = func(context.Context, peer.Peer, *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
			return &peerv1.ExchangeResponse{Version: peer.Version, From: &peerv1.Node{Name: "entry-001"}, Parts: []*peerv1.Part{part}}, nil
		}
		Expect(n.ExchangeWith(ctx, n.Peers[1])).To(Succeed())
		sent := 0
		for range 50 {
			answer, err := n.HandleExchange(ctx, &peerv1.ExchangeRequest{Version: peer.Version, From: &peerv1.Node{Name: "asker"}, Digest: &peerv1.Digest{}})
			Expect(err).NotTo(HaveOccurred())
			for _, p := range answer.GetParts() {
				sent += proto.Size(p)
			}
		}
		Expect(sent).To(BeNumerically(">", 0))
		Expect(sent).To(BeNumerically("<", peer.BudgetBurstBytes))
	})

	It("refuse a peer without a version and take one of a later version", func(ctx context.Context) {
		w := newNetwork(2, 1)
		from := &peerv1.Node{Name: "entry-001", Incarnation: 1, Datacentre: "dc0"}
		_, err := w.list[0].HandleExchange(ctx, &peerv1.ExchangeRequest{From: from})
		Expect(err).To(MatchError(ContainSubstring("version 0")))
		answer, err := w.list[0].HandleExchange(ctx, &peerv1.ExchangeRequest{Version: peer.Version + 1, From: from, Digest: &peerv1.Digest{}})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetParts()).To(HaveLen(1))
	})

	It("do not credit a peer with what another node at its address answers", func() {
		bubble(2, 1, 0, func(g Gomega, w *network) {
			w.mu.Lock()
			w.nodes["entry-001"] = w.list[0]
			w.mu.Unlock()
			time.Sleep(10 * time.Second)
			w.list[0].mu.Lock()
			defer w.list[0].mu.Unlock()
			g.Expect(w.list[0].failure).To(MatchError(ContainSubstring("node entry-000 answers at the address of node entry-001")))
			w.mu.Lock()
			w.nodes["entry-001"] = w.list[1]
			w.mu.Unlock()
		})
	})
})
