package usage_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
)

func TestUsage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "usage")
}

var _ = Describe("The usage ledger", func() {
	It("numbers windows from the Unix epoch", func() {
		const length = 5 * time.Second
		w := usage.WindowAt(time.Unix(1767267055, 0), length)
		Expect(w).To(BeEquivalentTo(353453411))
		Expect(usage.WindowAt(time.Unix(1767267060, 0), length)).To(Equal(w + 1))
	})

	It("sums the counts of all nodes, regardless of the order and repetition of reports", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			nodes := []fleet.NodeRef{{Name: "a", Incarnation: 1}, {Name: "a", Incarnation: 2}, {Name: "b", Incarnation: 1}}
			counters := make([]usage.Counter, len(nodes))
			var merged usage.Counter
			counted := int64(0)
			var reports []usage.Counts
			var senders []fleet.NodeRef
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
				if rapid.Bool().Draw(t, "count") {
					counters[i].Count(nodes[i], 10, "acc")
					counted++
				}
				reports, senders = append(reports, counters[i].NodeCounts(nodes[i], 0)), append(senders, nodes[i])
			}
			for range reports {
				k := rapid.IntRange(0, len(reports)-1).Draw(t, "report")
				merged.Merge(senders[k], reports[k])
			}
			for i := range nodes {
				merged.Merge(nodes[i], counters[i].NodeCounts(nodes[i], 0))
			}
			if got := merged.Sum(10)["acc"]; got != counted {
				t.Fatalf("%d counted, %d summed", counted, got)
			}
		})
	})

	It("removes old windows and nodes without recent windows", func() {
		var counter usage.Counter
		node := fleet.NodeRef{Name: "a", Incarnation: 1}
		counter.Count(node, 1, "acc")
		counter.Count(node, 30, "acc")
		Expect(counter.Sum(1)).To(BeEmpty())
		counter.Expire(31)
		Expect(counter.Sum(30)).To(BeEmpty())
	})
})
