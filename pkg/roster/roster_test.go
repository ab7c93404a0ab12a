package roster_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
)

func TestRoster(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

var conditions = []fleet.Condition{fleet.ConditionLive, fleet.ConditionLeaving, fleet.ConditionGone}

var _ = Describe("The roster", func() {
	It("never brings an incarnation back, in whatever order reports arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := &roster.Roster{}
			maxRank := map[fleet.InstanceRef]int{}
			var newest fleet.Incarnation
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				ref := fleet.InstanceRef{ID: "engine-1", Incarnation: fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))}
				c := rapid.SampledFrom(conditions).Draw(t, "condition")
				i := fleet.Instance{ID: ref.ID, Incarnation: ref.Incarnation, Pool: "plume", Condition: c}
				switch rapid.IntRange(0, 2).Draw(t, "what") {
				case 0:
					r.Report(roster.ConditionReport{Instance: ref, Condition: c})
				case 1:
					r.Add(i)
					newest = max(newest, ref.Incarnation)
				default:
					r.Add(i)
					r.RemoveUnlisted([]fleet.Instance{i})
					newest = max(newest, ref.Incarnation)
				}
				maxRank[ref] = max(maxRank[ref], c.Rank())
				for _, live := range r.LiveInPool("plume") {
					if maxRank[live.Ref()] > 0 {
						t.Fatalf("%v is live after it was reported leaving or gone", live.Ref())
					}
					if live.Incarnation != newest {
						t.Fatalf("%v is live although incarnation %d is newer", live.Ref(), newest)
					}
				}
			}
		})
	})

	It("keeps the earliest of several leave times and reports each change once", func() {
		reported := 0
		r := &roster.Roster{Reported: func(roster.ConditionReport) { reported++ }}
		ref := fleet.InstanceRef{ID: "engine-1", Incarnation: 1}
		r.Add(fleet.Instance{ID: ref.ID, Incarnation: 1, Pool: "plume"})
		start := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
		for _, seconds := range []int{30, 30, 10, 20} {
			r.Report(roster.ConditionReport{Instance: ref, Condition: fleet.ConditionLeaving, Leaves: start.Add(time.Duration(seconds) * time.Second)})
		}
		Expect(reported).To(Equal(2))
		Expect(r.Instances()[0].Leaves).To(Equal(start.Add(10 * time.Second)))
	})

	It("removes the reports on an instance only after 1,200 lists without it", func() {
		r := &roster.Roster{}
		r.Report(roster.ConditionReport{Instance: fleet.InstanceRef{ID: "engine-1", Incarnation: 1}, Condition: fleet.ConditionGone})
		for range 1200 {
			r.RemoveUnlisted(nil)
		}
		Expect(r.Reports()).To(HaveLen(1))
		r.RemoveUnlisted(nil)
		Expect(r.Reports()).To(BeEmpty())
	})
})
