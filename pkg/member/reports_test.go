package member_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
)

const nodeCount = 4

// cluster is a set of nodes whose messages are lost, truncated, repeated and
// reordered, and an oracle that records every published report.
type cluster struct {
	now       time.Time
	reports   [nodeCount]member.Reports
	nodes     [nodeCount]member.Node
	published map[member.IncarnationID][]member.Report
	sequences map[member.IncarnationID]uint64
	inFlight  []message
}

type message struct {
	to    int
	delta member.Delta
}

func newCluster() *cluster {
	c := &cluster{now: start, published: map[member.IncarnationID][]member.Report{}, sequences: map[member.IncarnationID]uint64{}}
	for i := range c.nodes {
		c.nodes[i].Ref.Name = fleet.NodeName(fmt.Sprintf("n%d", i))
		c.nodes[i].Ref.Incarnation = 1
		c.publish(i, 0)
	}
	return c
}

func (c *cluster) publish(node int, subject member.Subject) {
	id := member.IncarnationIDOf(c.nodes[node].Ref)
	report := member.Report{Key: member.Key{Kind: member.KindLoad, Subject: subject}, Observed: c.now, Data: fmt.Append(nil, c.sequences[id])}
	c.reports[node].Publish(c.nodes[node], 1, c.now, report)
	report.Sequence = c.sequences[id] + 1
	c.sequences[id] += 2
	c.published[id] = append(c.published[id], report)
}

func (c *cluster) restart(node int) {
	c.nodes[node].Ref.Incarnation++
	c.reports[node] = member.Reports{}
	c.publish(node, 0)
}

// request makes node to send the deltas that node from lacks, each truncated to
// limit reports.
func (c *cluster) request(from, to, limit int) {
	for _, delta := range c.reports[to].Missing(c.reports[from].Digest(), c.now) {
		c.inFlight = append(c.inFlight, message{to: from, delta: delta.Truncate(limit)})
	}
}

func (c *cluster) deliver(i int) {
	m := c.inFlight[i]
	c.reports[m.to].Merge(m.delta, c.now)
}

// checkAgainstPublished compares a node's state with the published reports. The
// node must hold a report if the sequence number of its newest version is
// covered, and must not hold a report that was never published.
func (c *cluster) checkAgainstPublished(t *rapid.T, n int) {
	for _, o := range c.reports[n].Origins() {
		id := member.IncarnationIDOf(o.Node.Ref)
		newest := map[member.Key]member.Report{}
		for _, report := range c.published[id] {
			newest[report.Key] = report
		}
		for key, want := range newest {
			got, _ := o.Report(key)
			if want.Sequence <= o.Sequence && got.Sequence != want.Sequence {
				t.Fatalf("node %d has %v of %v at sequence %d, want %v", n, got, o.Node.Ref, o.Sequence, want)
			}
			if got.Sequence > want.Sequence {
				t.Fatalf("node %d has %v, which was never published", n, got)
			}
		}
	}
}

var _ = Describe("Reports", func() {
	It("agree with the oracle under loss, reordering, repetition, truncation and restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster()
			node := rapid.IntRange(0, nodeCount-1)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				switch rapid.SampledFrom([]string{"publish", "request", "request", "deliver", "deliver", "lose", "restart"}).Draw(t, "step") {
				case "publish":
					c.publish(node.Draw(t, "node"), member.Subject(rapid.IntRange(0, 2).Draw(t, "subject")))
				case "request":
					c.request(node.Draw(t, "from"), node.Draw(t, "to"), rapid.IntRange(0, 3).Draw(t, "limit"))
				case "deliver":
					if len(c.inFlight) > 0 {
						c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message"))
					}
				case "lose":
					if len(c.inFlight) > 0 {
						c.inFlight = c.inFlight[1:]
					}
				case "restart":
					c.restart(node.Draw(t, "node"))
				}
				for n := range nodeCount {
					c.checkAgainstPublished(t, n)
				}
			}
			c.inFlight = nil
			for range 2 * nodeCount {
				for n := range nodeCount {
					c.request(n, (n+1)%nodeCount, 1000)
					for i := range c.inFlight {
						c.deliver(i)
					}
					c.inFlight = nil
				}
			}
			for n := range nodeCount {
				Expect(c.reports[n].Digest()).To(Equal(c.reports[0].Digest()))
				for i, want := range c.nodes {
					o, _ := c.reports[n].Origin(want.Ref.Name)
					Expect(o.Node.Ref).To(Equal(c.nodes[i].Ref), "the newest incarnation wins on every node")
				}
				c.checkAgainstPublished(t, n)
			}
		})
	})

	It("merge complete states commutatively, associatively and idempotently", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster()
			var states [3][]member.Delta
			for s := range states {
				for range rapid.IntRange(0, 6).Draw(t, "steps") {
					n := rapid.IntRange(0, nodeCount-1).Draw(t, "node")
					if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
						c.restart(n)
					}
					c.publish(n, member.Subject(rapid.IntRange(0, 2).Draw(t, "subject")))
				}
				from := rapid.IntRange(0, nodeCount-1).Draw(t, "from")
				c.request(from, rapid.IntRange(0, nodeCount-1).Draw(t, "to"), 1000)
				for i := range c.inFlight {
					c.deliver(i)
				}
				c.inFlight = nil
				states[s] = c.reports[from].Missing(nil, c.now)
			}
			merge := func(order ...int) []member.Delta {
				var r member.Reports
				for _, s := range order {
					for _, delta := range states[s] {
						r.Merge(delta, c.now)
					}
				}
				return r.Missing(nil, c.now)
			}
			want := merge(0, 1, 2)
			for _, order := range [][]int{{2, 1, 0}, {1, 2, 0}, {0, 0, 1, 2, 1, 0}} {
				Expect(merge(order...)).To(Equal(want))
			}
		})
	})

	It("are still requested if they precede a delta that arrived first", func() {
		c := newCluster()
		c.publish(0, 1)
		late := c.reports[0].Missing(member.Digest{member.IncarnationIDOf(c.nodes[0].Ref): 2}, c.now)[0]
		late.Node = c.nodes[0]
		c.reports[1].Merge(late, c.now)
		c.request(1, 0, 1000)
		for i := range c.inFlight {
			c.deliver(i)
		}
		o, _ := c.reports[1].Origin("n0")
		_, first := o.Report(member.Key{Kind: member.KindLoad, Subject: 0})
		_, second := o.Report(member.Key{Kind: member.KindLoad, Subject: 1})
		Expect([]bool{first, second}).To(Equal([]bool{true, true}))
	})

	It("are dropped when older than MaxAge", func() {
		c := newCluster()
		c.request(1, 0, 1000)
		c.now = c.now.Add(member.MaxAge + time.Second)
		c.deliver(0)
		o, ok := c.reports[1].Origin("n0")
		Expect(ok).To(BeTrue())
		_, ok = o.Report(member.Key{Kind: member.KindLoad})
		Expect(ok).To(BeFalse())
		Expect(c.reports[0].Missing(nil, c.now)[0].Reports).To(BeEmpty())
	})
})

var _ = Describe("Choose", func() {
	It("moves only the keys of a removed node", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := []fleet.NodeName{"a", "b", "c", "d", "e", "f"}
			removed := rapid.IntRange(0, len(all)-1).Draw(t, "removed")
			rest := append(append([]fleet.NodeName(nil), all[:removed]...), all[removed+1:]...)
			key := rapid.String().Draw(t, "key")
			before, after := member.Choose(all, key, 2), member.Choose(rest, key, 2)
			Expect(before).To(HaveLen(2))
			for _, n := range before {
				if n != all[removed] {
					Expect(after).To(ContainElement(n))
				}
			}
		})
	})
})

var _ = Describe("Budget", func() {
	It("never allows more than its rate and burst", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := &member.Budget{Rate: 1000, Burst: 500}
			now, sent := start, 0
			for range 50 {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				n := min(b.Available(now), rapid.IntRange(0, 400).Draw(t, "bytes"))
				b.Consume(n, now)
				sent += n
				Expect(float64(sent)).To(BeNumerically("<=", 501+now.Sub(start).Seconds()*1000))
			}
		})
	})
})
