package peer_test

import (
	"context"
	"fmt"
	"slices"
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

func acrossDataCentres(from, to *node) bool {
	return from.Self.DataCentre != to.Self.DataCentre
}

func newChange(revision fleet.Revision) config.Change {
	return config.Change{Revision: revision, Offset: fleet.Offset(revision), Document: fmt.Appendf(nil, "revision %d", revision)}
}

var _ = Describe("Peers", func() {
	It("spread condition reports, suspects and configurations to all nodes within seconds", func() {
		runNetwork(21, 3, 0, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			first := w.list[0]
			g.Expect(first.applyConfig(newChange(1))).To(Succeed())
			first.reportCondition(leavingReport("i-1"))
			first.PublishSuspect(peer.Suspect{Key: "content", Crashes: 1, Rank: 1})
			time.Sleep(10 * time.Second)
			g.Expect(w.nodesWithoutCondition(leavingReport("i-1").Instance, allNodes)).To(BeEmpty())
			for _, n := range w.list {
				g.Expect(n.revision()).To(BeEquivalentTo(1), "%s", n.Self.Ref.Name)
				g.Expect(n.suspectedAt["content"].IsZero()).To(Equal(n == first))
				g.Expect(n.change.Document).To(Equal(newChange(1).Document))
			}
			for _, v := range first.Nodes() {
				g.Expect(v.Alive).To(BeTrue(), "%s", v.Name)
			}
		})
	})

	It("keep the condition gone of an instance when a late condition report says it is leaving", func() {
		runNetwork(6, 2, 0, func(g Gomega, w *network) {
			time.Sleep(5 * time.Second)
			w.setPartition(acrossDataCentres)
			gone := leavingReport("i-1")
			gone.Condition = fleet.ConditionGone
			w.list[0].PublishCondition(gone)
			w.list[1].PublishCondition(leavingReport("i-1"))
			time.Sleep(10 * time.Second)
			w.setPartition(nil)
			time.Sleep(20 * time.Second)
			for _, n := range w.list[2:] {
				n.mu.Lock()
				g.Expect(n.conditions[gone.Instance]).To(Equal(fleet.ConditionGone))
				n.mu.Unlock()
			}
		})
	})

	It("detect a dead node, reassign its duties and accept its next incarnation", func() {
		runNetwork(7, 1, 0, func(g Gomega, w *network) {
			time.Sleep(12 * time.Second)
			i := fleet.Instance{ID: "i-1", Incarnation: 1, DataCentre: dataCentreName(0)}
			pollers := func() (names []fleet.NodeName) {
				for _, n := range w.nodes {
					if n.cancel != nil && n.IsPoller(i) {
						names = append(names, n.Self.Ref.Name)
					}
				}
				return names
			}
			before := pollers()
			g.Expect(before).To(HaveLen(2))
			dead := w.nodes[before[0]]
			dead.stop()
			time.Sleep(peer.DeadTimeout + 3*time.Second)
			observer := w.list[0]
			if observer == dead {
				observer = w.list[1]
			}
			g.Expect(observer.Alive(dead.Self.Ref)).To(BeFalse())
			g.Expect(pollers()).To(HaveLen(2))
			g.Expect(pollers()).NotTo(ContainElement(before[0]))

			restarted := w.add(peer.Peer{Name: before[0], DataCentre: dataCentreName(0), Address: dead.Self.Address}, 2, dead.Peers)
			restarted.start()
			time.Sleep(12 * time.Second)
			g.Expect(observer.Alive(dead.Self.Ref)).To(BeFalse(), "the old incarnation stays dead")
			g.Expect(observer.Alive(restarted.Self.Ref)).To(BeTrue())
			g.Expect(pollers()).To(ConsistOf(before))
		})
	})

	It("find a node that is not listed in the settings", func() {
		runNetwork(4, 1, 0, func(g Gomega, w *network) {
			time.Sleep(5 * time.Second)
			added := w.add(peer.Peer{Name: "fresh", DataCentre: dataCentreName(0), Address: "10.0.1.1:7000"}, 1, w.list[0].Peers)
			added.start()
			time.Sleep(10 * time.Second)
			for _, n := range w.list {
				g.Expect(n.Alive(added.Self.Ref)).To(BeTrue())
				g.Expect(n.Nodes()).To(HaveLen(5))
			}
			added.reportCondition(leavingReport("i-1"))
			time.Sleep(5 * time.Second)
			g.Expect(w.nodesWithoutCondition(leavingReport("i-1").Instance, allNodes)).To(BeEmpty())
		})
	})

	It("choose one node to take over an order", func() {
		runNetwork(9, 3, 0, func(g Gomega, w *network) {
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

	It("sum the demand of an account over the data centres", func() {
		runNetwork(6, 2, 0, func(g Gomega, w *network) {
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
			w.setPartition(acrossDataCentres)
			time.Sleep(member.MaxAge + 5*time.Second)
			g.Expect(w.list[0].AccountDemand("sellers").Fleet).To(BeNumerically("~", 6, 0.01))
			g.Expect(w.list[0].PeerDemands("sellers")).To(Equal([]float64{2, 2}))
		})
	})

	It("spread the newest load reports within the data centre", func() {
		runNetwork(5, 1, 0, func(g Gomega, w *network) {
			time.Sleep(12 * time.Second)
			i := fleet.Instance{ID: "i-1", Incarnation: 1, DataCentre: dataCentreName(0)}
			for round := range 5 {
				for _, n := range w.list {
					if n.IsPoller(i) {
						n.ReportLoad(i, []byte{byte(round)})
					}
				}
				time.Sleep(4 * time.Second)
				for _, n := range w.list {
					l, ok := n.Load(i.Ref())
					g.Expect(ok).To(BeTrue())
					g.Expect(l.Data).To(Equal([]byte{byte(round)}))
				}
			}
		})
	})

	It("pull from each live peer of the data centre within two turns", func() {
		runNetwork(5, 1, 0, func(g Gomega, w *network) {
			time.Sleep(12 * time.Second)
			var pulled []fleet.NodeName
			w.mu.Lock()
			w.observe = func(from *node, p peer.Peer, r *peerv1.ExchangeRequest) {
				if from == w.list[0] && r.GetDigest() != nil {
					pulled = append(pulled, p.Name)
				}
			}
			w.mu.Unlock()
			time.Sleep(time.Minute)
			w.mu.Lock()
			defer w.mu.Unlock()
			const livePeers = 4
			g.Expect(len(pulled)).To(BeNumerically(">", 60))
			for i := range len(pulled) - 2*livePeers {
				window := slices.Compact(slices.Sorted(slices.Values(pulled[i : i+2*livePeers-1])))
				g.Expect(window).To(HaveLen(livePeers), "pulls %d to %d", i, i+2*livePeers-2)
			}
		})
	})

	It("keep the bytes sent by each node within its budget under many reports", func() {
		runNetwork(20, 1, 0, func(g Gomega, w *network) {
			for second := range 60 {
				for k, n := range w.list {
					for e := range 60 {
						n.ReportLoad(fleet.Instance{ID: fleet.InstanceID(fmt.Sprint(k, e)), DataCentre: dataCentreName(0)}, []byte{byte(second), 1, 2, 3, 4, 5, 6, 7})
					}
				}
				w.list[second%20].reportCondition(leavingReport(fmt.Sprint("i-", second)))
				time.Sleep(time.Second)
			}
			for _, n := range w.list {
				sent := n.takeSentBytes()
				g.Expect(sent).To(BeNumerically("<", 61*peer.BudgetBytesPerSecond+peer.BudgetBurstBytes))
				g.Expect(sent).To(BeNumerically(">", 40*peer.BudgetBytesPerSecond), "there were more reports than the budget allows")
			}
			time.Sleep(2 * time.Second)
			g.Expect(w.nodesWithoutCondition(leavingReport("i-59").Instance, allNodes)).To(BeEmpty(), "condition reports are sent before load reports")
		})
	})

	It("respond without reports once the budget is consumed", func(ctx context.Context) {
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
			response, err := n.HandleExchange(ctx, &peerv1.ExchangeRequest{Version: peer.Version, From: &peerv1.Node{Name: "asker"}, Digest: &peerv1.Digest{}})
			Expect(err).NotTo(HaveOccurred())
			for _, p := range response.GetParts() {
				sent += proto.Size(p)
			}
		}
		Expect(sent).To(BeNumerically(">", 0))
		Expect(sent).To(BeNumerically("<", peer.BudgetBurstBytes))
	})

	It("refuse a request without a version and accept one of a later version", func(ctx context.Context) {
		w := newNetwork(2, 1)
		from := &peerv1.Node{Name: "entry-001", Incarnation: 1, Datacentre: "dc0"}
		_, err := w.list[0].HandleExchange(ctx, &peerv1.ExchangeRequest{From: from})
		Expect(err).To(MatchError(ContainSubstring("version 0")))
		response, err := w.list[0].HandleExchange(ctx, &peerv1.ExchangeRequest{Version: peer.Version + 1, From: from, Digest: &peerv1.Digest{}})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetParts()).To(HaveLen(1))
	})

	It("reject the response of another node at the address of a peer", func() {
		runNetwork(2, 1, 0, func(g Gomega, w *network) {
			w.mu.Lock()
			w.nodes["entry-001"] = w.list[0]
			w.mu.Unlock()
			time.Sleep(10 * time.Second)
			w.list[0].mu.Lock()
			defer w.list[0].mu.Unlock()
			g.Expect(w.list[0].lastError).To(MatchError(ContainSubstring("node entry-000 responded at the address of node entry-001")))
			w.mu.Lock()
			w.nodes["entry-001"] = w.list[1]
			w.mu.Unlock()
		})
	})
})
