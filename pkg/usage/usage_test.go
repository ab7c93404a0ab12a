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

var _ = Describe("The ledger of usage", func() {
	It("numbers windows from the start of 1970", func() {
		const length = 5 * time.Second
		w := usage.WindowAt(time.Unix(1767267055, 0), length)
		Expect(w).To(BeEquivalentTo(353453411))
		Expect(usage.WindowAt(time.Unix(1767267060, 0), length)).To(Equal(w + 1))
	})

	It("sums the counts of all nodes however often and in whichever order they are told", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			nodes := []fleet.NodeRef{{Name: "a", Incarnation: 1}, {Name: "a", Incarnation: 2}, {Name: "b", Incarnation: 1}}
			own := make([]usage.Ledger, len(nodes))
			var reader usage.Ledger
			counted := int64(0)
			var told []usage.Counts
			var from []fleet.NodeRef
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
				if rapid.Bool().Draw(t, "count") {
					own[i].Count(nodes[i], 10, "acc")
					counted++
				}
				told, from = append(told, own[i].NodeCounts(nodes[i], 0)), append(from, nodes[i])
			}
			for range told {
				k := rapid.IntRange(0, len(told)-1).Draw(t, "told")
				reader.Merge(from[k], told[k])
			}
			for i := range nodes {
				reader.Merge(nodes[i], own[i].NodeCounts(nodes[i], 0))
			}
			if got := reader.Sum(10)["acc"]; got != counted {
				t.Fatalf("%d counted, %d summed", counted, got)
			}
		})
	})

	It("forgets old windows and nodes without recent ones", func() {
		var l usage.Ledger
		node := fleet.NodeRef{Name: "a", Incarnation: 1}
		l.Count(node, 1, "acc")
		l.Count(node, 30, "acc")
		Expect(l.Sum(1)).To(BeEmpty())
		l.Expire(31)
		Expect(l.Sum(30)).To(BeEmpty())
	})
})
