package allotment_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

func TestAllotment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "allotment")
}

const (
	// The bounds that a deployment states: what may be used in a window.
	windowTime = 8 * time.Second
	over       = 0.1
	slack      = 72000.0
)

// cluster plays nodes that tell each other what they admitted, some of them cut off.
type cluster struct {
	nodes []*allotment.Quotas
	told  []float64
	cut   []bool
}

func newCluster(n int) *cluster {
	c := &cluster{told: make([]float64, n), cut: make([]bool, n)}
	for range n {
		c.nodes = append(c.nodes, &allotment.Quotas{Slack: slack})
	}
	return c
}

// tell lets the nodes that are not cut off hear of each other.
func (c *cluster) tell(now clock.Instant) {
	for i, from := range c.nodes {
		if c.cut[i] {
			continue
		}
		total := from.LocalTotals()["acc"]
		for k, to := range c.nodes {
			if k != i && !c.cut[k] {
				to.AddPeerUsage("acc", total-c.told[i], now)
			}
		}
		c.told[i] = total
	}
}

func (c *cluster) view(i int) allotment.Nodes {
	v := allotment.Nodes{Total: len(c.nodes)}
	for k := range c.nodes {
		if k != i && (c.cut[k] || c.cut[i]) {
			v.Silent++
		}
	}
	return v
}

var _ = Describe("A quota over all nodes", func() {
	It("is not exceeded in any window beyond the tolerance, with nodes cut off at will", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rate := rapid.Float64Range(50_000, 300_000).Draw(t, "rate")
			account := &serving.Account{Name: "acc", Quota: serving.Quota{Rate: rate, Burst: rate, ByTokens: true}}
			c := newCluster(rapid.IntRange(1, 8).Draw(t, "nodes"))
			now := clock.Instant(time.Hour)
			const step = 100 * time.Millisecond
			var spent []float64
			// A node that is cut off knows it, and is known to be, at the latest after
			// the time in which it is not heard of.
			for tick := range 300 {
				if tick%100 == 50 {
					for i := range c.cut {
						c.cut[i] = rapid.IntRange(0, 3).Draw(t, "cut") == 0
					}
				}
				sum := 0.0
				for i, q := range c.nodes {
					demand := rate * step.Seconds() * rapid.Float64Range(0, 4).Draw(t, "demand")
					for size := 2000.0; demand > 0; demand -= size {
						if ok, _ := q.Take(account, size, c.view(i), now); ok {
							sum += size
						}
					}
				}
				if tick%3 == 2 {
					c.tell(now)
				}
				spent = append(spent, sum)
				now = now.Add(step)
			}
			allowed := (rate*windowTime.Seconds()+rate)*(1+over) + slack
			length := int(windowTime / step)
			for at := 0; at+length <= len(spent); at++ {
				used := 0.0
				for _, s := range spent[at : at+length] {
					used += s
				}
				if used > allowed {
					t.Fatalf("%.0f of %.0f allowed from tick %d", used, allowed, at)
				}
			}
		})
	})

	It("admits an account that stays within it", func() {
		q := &allotment.Quotas{}
		account := &serving.Account{Name: "acc", Quota: serving.Quota{Rate: 1000, Burst: 1000}}
		now := clock.Instant(time.Hour)
		for range 1000 {
			ok, _ := q.Take(account, 90, allotment.Nodes{Total: 1}, now)
			Expect(ok).To(BeTrue())
			now = now.Add(100 * time.Millisecond)
		}
	})

	It("counts as used up when a node starts again, since others may have used it", func() {
		now := clock.Instant(time.Hour)
		q := &allotment.Quotas{Started: now}
		account := &serving.Account{Name: "acc", Quota: serving.Quota{Rate: 100, Burst: 100}}
		nodes := allotment.Nodes{Total: 1}
		ok, wait := q.Take(account, 80, nodes, now)
		Expect(ok).To(BeFalse())
		Expect(wait).To(Equal(300 * time.Millisecond))
		ok, _ = q.Take(account, 100, nodes, now.Add(time.Second))
		Expect(ok).To(BeTrue())
	})

	It("does not save up what it regains in idle times beyond the burst", func() {
		now := clock.Instant(time.Hour)
		q := &allotment.Quotas{}
		account := &serving.Account{Name: "acc", Quota: serving.Quota{Rate: 100, Burst: 100}}
		nodes := allotment.Nodes{Total: 2}
		q.Track([]serving.Account{*account}, nodes, now)
		now = now.Add(time.Minute)
		q.AddPeerUsage("acc", 100, now)
		ok, _ := q.Take(account, 50, nodes, now)
		Expect(ok).To(BeFalse(), "the other node has just used the burst")
	})

	It("says how long until there may be room, and takes back what did not run", func() {
		q := &allotment.Quotas{}
		account := &serving.Account{Name: "acc", Quota: serving.Quota{Rate: 100, Burst: 100}}
		now := clock.Instant(time.Hour)
		nodes := allotment.Nodes{Total: 1}
		ok, _ := q.Take(account, 100, nodes, now)
		Expect(ok).To(BeTrue())
		ok, wait := q.Take(account, 50, nodes, now)
		Expect(ok).To(BeFalse())
		Expect(wait).To(Equal(500 * time.Millisecond))
		q.Refund("acc", 100)
		ok, _ = q.Take(account, 50, nodes, now)
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("The budget of repeats", func() {
	It("holds in every window over all nodes, each by its own requests", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(1, 8).Draw(t, "nodes")
			nodes := make([]*allotment.RetryBudget, count)
			for i := range nodes {
				nodes[i] = &allotment.RetryBudget{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}
			}
			now := clock.Instant(time.Hour)
			const step = 250 * time.Millisecond
			var requests, repeats []int
			for range 200 {
				asked, again := 0, 0
				for _, n := range nodes {
					for range rapid.IntRange(0, 4).Draw(t, "requests") {
						n.AddRequest("p", now)
						asked++
						if n.Take("p", count, now) {
							again++
						}
					}
				}
				requests, repeats = append(requests, asked), append(repeats, again)
				now = now.Add(step)
			}
			const length = 40
			for at := 0; at+length <= len(repeats); at++ {
				asked, again := 0, 0
				for i := at; i < at+length; i++ {
					asked += requests[i]
					again += repeats[i]
				}
				before := 0
				for i := max(0, at-length); i < at; i++ {
					before += requests[i]
				}
				if allowed := 0.2*float64(max(asked, before)) + 52; float64(again) > allowed {
					t.Fatalf("%d repeats of %.1f allowed from step %d", again, allowed, at)
				}
			}
		})
	})
})
