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

const nodes = 4

// cluster is a set of nodes whose exchanges are lost, cut short, repeated and
// reordered, beside an oracle that notes everything that was published.
type cluster struct {
	now       time.Time
	views     [nodes]member.Reports
	refs      [nodes]member.Node
	published map[member.IncarnationID][]member.Report
	sequences map[member.IncarnationID]uint64
	flying    []letter
}

type letter struct {
	to   int
	part member.Delta
}

func newCluster() *cluster {
	c := &cluster{now: start, published: map[member.IncarnationID][]member.Report{}, sequences: map[member.IncarnationID]uint64{}}
	for i := range c.refs {
		c.refs[i].Ref.Name = fleet.NodeName(fmt.Sprintf("n%d", i))
		c.refs[i].Ref.Incarnation = 1
		c.publish(i, 0)
	}
	return c
}

func (c *cluster) publish(n int, subject member.Subject) {
	life := member.IncarnationIDOf(c.refs[n].Ref)
	item := member.Report{Key: member.Key{Kind: member.KindLoad, Subject: subject}, Observed: c.now, Data: fmt.Append(nil, c.sequences[life])}
	c.views[n].Publish(c.refs[n], 1, c.now, item)
	item.Sequence = c.sequences[life] + 1
	c.sequences[life] += 2
	c.published[life] = append(c.published[life], item)
}

func (c *cluster) restart(n int) {
	c.refs[n].Ref.Incarnation++
	c.views[n] = member.Reports{}
	c.publish(n, 0)
}

// ask puts on the wire what one node lacks of another's view.
func (c *cluster) ask(from, to, items int) {
	for _, p := range c.views[to].Missing(c.views[from].Digest(), c.now) {
		c.flying = append(c.flying, letter{to: from, part: p.Truncate(items)})
	}
}

func (c *cluster) deliver(i int) {
	l := c.flying[i]
	c.views[l.to].Merge(l.part, c.now)
}

// check compares a node's view with what was published: a report whose newest
// version lies within the sequence held must be held, and nothing else.
func (c *cluster) check(t *rapid.T, n int) {
	for _, o := range c.views[n].Origins() {
		life := member.IncarnationIDOf(o.Node.Ref)
		newest := map[member.Key]member.Report{}
		for _, i := range c.published[life] {
			newest[i.Key] = i
		}
		for key, want := range newest {
			got, _ := o.Report(key)
			if want.Sequence <= o.Sequence && got.Sequence != want.Sequence {
				t.Fatalf("node %d holds %v of %v at sequence %d, want %v", n, got, o.Node.Ref, o.Sequence, want)
			}
			if got.Sequence > want.Sequence {
				t.Fatalf("node %d holds %v, which was never published", n, got)
			}
		}
	}
}

var _ = Describe("Reports", func() {
	It("agree with the oracle under loss, reordering, repetition, cuts and restarts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster()
			node := rapid.IntRange(0, nodes-1)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				switch rapid.SampledFrom([]string{"publish", "ask", "ask", "deliver", "deliver", "lose", "restart"}).Draw(t, "step") {
				case "publish":
					c.publish(node.Draw(t, "node"), member.Subject(rapid.IntRange(0, 2).Draw(t, "subject")))
				case "ask":
					c.ask(node.Draw(t, "from"), node.Draw(t, "to"), rapid.IntRange(0, 3).Draw(t, "items"))
				case "deliver":
					if len(c.flying) > 0 {
						c.deliver(rapid.IntRange(0, len(c.flying)-1).Draw(t, "letter"))
					}
				case "lose":
					if len(c.flying) > 0 {
						c.flying = c.flying[1:]
					}
				case "restart":
					c.restart(node.Draw(t, "node"))
				}
				for n := range nodes {
					c.check(t, n)
				}
			}
			c.flying = nil
			for range 2 * nodes {
				for n := range nodes {
					c.ask(n, (n+1)%nodes, 1000)
					for i := range c.flying {
						c.deliver(i)
					}
					c.flying = nil
				}
			}
			for n := range nodes {
				Expect(c.views[n].Digest()).To(Equal(c.views[0].Digest()))
				for i, want := range c.refs {
					o, _ := c.views[n].Origin(want.Ref.Name)
					Expect(o.Node.Ref).To(Equal(c.refs[i].Ref), "a newer life wins everywhere")
				}
				c.check(t, n)
			}
		})
	})

	It("join whole states commutatively, associatively and idempotently", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster()
			var states [3][]member.Delta
			for s := range states {
				for range rapid.IntRange(0, 6).Draw(t, "steps") {
					n := rapid.IntRange(0, nodes-1).Draw(t, "node")
					if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
						c.restart(n)
					}
					c.publish(n, member.Subject(rapid.IntRange(0, 2).Draw(t, "subject")))
				}
				from := rapid.IntRange(0, nodes-1).Draw(t, "holder")
				c.ask(from, rapid.IntRange(0, nodes-1).Draw(t, "peer"), 1000)
				for i := range c.flying {
					c.deliver(i)
				}
				c.flying = nil
				states[s] = c.views[from].Missing(nil, c.now)
			}
			join := func(order ...int) []member.Delta {
				var r member.Reports
				for _, s := range order {
					for _, p := range states[s] {
						r.Merge(p, c.now)
					}
				}
				return r.Missing(nil, c.now)
			}
			want := join(0, 1, 2)
			for _, order := range [][]int{{2, 1, 0}, {1, 2, 0}, {0, 0, 1, 2, 1, 0}} {
				Expect(join(order...)).To(Equal(want))
			}
		})
	})

	It("do not take for held what lies before a part that came alone", func() {
		c := newCluster()
		c.publish(0, 1)
		late := c.views[0].Missing(member.Digest{member.IncarnationIDOf(c.refs[0].Ref): 2}, c.now)[0]
		late.Node = c.refs[0]
		c.views[1].Merge(late, c.now)
		c.ask(1, 0, 1000)
		for i := range c.flying {
			c.deliver(i)
		}
		o, _ := c.views[1].Origin("n0")
		_, first := o.Report(member.Key{Kind: member.KindLoad, Subject: 0})
		_, second := o.Report(member.Key{Kind: member.KindLoad, Subject: 1})
		Expect([]bool{first, second}).To(Equal([]bool{true, true}))
	})

	It("drop what is older than MaxAge", func() {
		c := newCluster()
		c.ask(1, 0, 1000)
		c.now = c.now.Add(member.MaxAge + time.Second)
		c.deliver(0)
		o, ok := c.views[1].Origin("n0")
		Expect(ok).To(BeTrue())
		_, ok = o.Report(member.Key{Kind: member.KindLoad})
		Expect(ok).To(BeFalse())
		Expect(c.views[0].Missing(nil, c.now)[0].Reports).To(BeEmpty())
	})
})

var _ = Describe("Choose", func() {
	It("moves only the keys of a node that goes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := []fleet.NodeName{"a", "b", "c", "d", "e", "f"}
			gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
			rest := append(append([]fleet.NodeName(nil), all[:gone]...), all[gone+1:]...)
			key := rapid.String().Draw(t, "key")
			before, after := member.Choose(all, key, 2), member.Choose(rest, key, 2)
			Expect(before).To(HaveLen(2))
			for _, n := range before {
				if n != all[gone] {
					Expect(after).To(ContainElement(n))
				}
			}
		})
	})
})

var _ = Describe("Budget", func() {
	It("never lets more through than its rate and burst", func() {
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
