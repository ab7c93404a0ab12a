package route_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

var update = flag.Bool("update", false, "write the golden files anew")

var now = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)

// view returns endpoints of which every third is busy by its report.
func view(n int) *route.View {
	v := &route.View{Candidates: make([]route.Candidate, n)}
	for i := range v.Candidates {
		v.Candidates[i] = route.Candidate{
			Instance: fleet.Instance{
				ID:     fleet.InstanceID(fmt.Sprint("engine-", i)),
				Hourly: fleet.MicroCents(90 + 20*(i%2)),
			},
			LocalWork: i % 4,
			Slots:     16,
			Report:    route.Report{At: now.Add(-time.Duration(i) * 100 * time.Millisecond), Work: 5 * (i % 3)},
		}
	}
	v.Refresh()
	return v
}

func query(seed uint64) *route.Query {
	return &route.Query{
		Pool:         "loom-servers",
		Now:          now,
		Weights:      route.Weights{Latency: 1, Recompute: 1},
		PromptTokens: 800,
		OutputTokens: 200,
		Hits:         []route.Hit{{Index: 4, Tokens: 640}, {Index: 7, UnconfirmedTokens: 640}},
		Seed:         seed,
	}
}

// policies are the policies that a comparison can name.
var policies = []struct {
	name string
	pick route.Policy
}{
	{"predictor", route.Predictor{}.Pick},
	{"predictor without hits", func(q *route.Query, v *route.View) int {
		q.Hits = nil
		return route.Predictor{}.Pick(q, v)
	}},
	{"round-robin", route.RoundRobin},
	{"least-reported", route.LeastReported},
	{"two-reported", route.TwoReported},
	{"two-choices", route.TwoChoices},
}

var _ = Describe("A decision", func() {
	It("is the one on record for the same query, view and seed", func() {
		var b strings.Builder
		v := view(12)
		for i := range v.Candidates {
			s := v.Score(query(0), &v.Candidates[i], 0)
			fmt.Fprintf(&b, "score %d queue %.4f prefix %.4f recompute %.4f\n",
				i, s.Queue, s.Prefix, s.Recompute)
		}
		for _, p := range policies {
			fmt.Fprintf(&b, "%s", p.name)
			for seed := range uint64(16) {
				q := query(seed)
				q.Sequence = seed
				fmt.Fprintf(&b, " %d", p.pick(q, v))
			}
			b.WriteByte('\n')
		}
		const file = "_fixtures/decisions.golden"
		if *update {
			Expect(os.WriteFile(file, []byte(b.String()), 0o600)).To(Succeed())
		}
		want, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.String()).To(Equal(string(want)))
	})

	It("keeps off barred and failed endpoints while there is another", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v := view(rapid.IntRange(1, 9).Draw(t, "endpoints"))
			barred := rapid.SliceOfN(rapid.Bool(), 9, 9).Draw(t, "barred")
			failed := rapid.IntRange(0, 8).Draw(t, "failed")
			policy := policies[rapid.IntRange(0, len(policies)-1).Draw(t, "policy")]
			q := query(rapid.Uint64().Draw(t, "seed"))
			q.Hits = []route.Hit{{Index: 0, Tokens: 640}}
			q.Failed = []fleet.InstanceRef{{ID: fleet.InstanceID(fmt.Sprint("engine-", failed))}}
			number := func(c *route.Candidate) (n int) {
				_, _ = fmt.Sscanf(string(c.Instance.ID), "engine-%d", &n)
				return n
			}
			q.Allow = func(c *route.Candidate) bool { return !barred[number(c)] }
			open, fresh := 0, 0
			for i := range v.Candidates {
				if !barred[i] {
					open++
					if i != failed {
						fresh++
					}
				}
			}
			i, err := route.Pick(policy.pick, q, v)
			switch {
			case open == 0 && err == nil:
				t.Fatalf("%s chose %d though all are barred", policy.name, i)
			case open > 0 && (err != nil || barred[i]):
				t.Fatalf("%s chose %d: %v", policy.name, i, err)
			case fresh > 0 && i == failed:
				t.Fatalf("%s chose the failed endpoint", policy.name)
			}
		})
	})

	It("does not herd on one stale report", func() {
		v := view(20)
		for i := range v.Candidates {
			v.Candidates[i] = route.Candidate{Instance: v.Candidates[i].Instance, Slots: 16, Report: route.Report{At: now, Work: 8}}
		}
		v.Candidates[3].Report.Work = 0
		v.Refresh()
		count := map[int]int{}
		for seed := range uint64(1000) {
			q := query(seed)
			q.Hits = nil
			count[route.Predictor{}.Pick(q, v)]++
		}
		Expect(count[3]).To(BeNumerically("<", 250))
		Expect(len(count)).To(Equal(20))
	})

	It("trusts a report less the older it is", func() {
		c := &route.Candidate{LocalWork: 2, Report: route.Report{At: now, Work: 13, LocalWork: 3}}
		v := &route.View{MeanPeerWork: 4}
		Expect(v.Work(c, now)).To(BeNumerically("~", 12, 1e-9))
		Expect(v.Work(c, now.Add(time.Second))).To(BeNumerically("~", 9, 1e-9))
		Expect(v.Work(c, now.Add(time.Hour))).To(BeNumerically("~", 6, 1e-9))
	})
})
