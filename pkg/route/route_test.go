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

var update = flag.Bool("update", false, "rewrite the golden files")

var now = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)

// newView returns a view of n endpoints with different reported loads.
func newView(n int) *route.View {
	v := &route.View{Candidates: make([]route.Candidate, n)}
	for i := range v.Candidates {
		v.Candidates[i] = route.Candidate{
			Instance: fleet.Instance{
				ID:          fleet.InstanceID(fmt.Sprint("engine-", i)),
				HourlyPrice: fleet.MicroCents(90 + 20*(i%2)),
			},
			LocalWork: i % 4,
			Slots:     16,
			Report:    route.LoadReport{At: now.Add(-time.Duration(i) * 100 * time.Millisecond), Work: 5 * (i % 3)},
		}
	}
	v.Refresh()
	return v
}

func newQuery(seed uint64) *route.Query {
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

// policies are the policies under test.
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
	It("matches the golden file for the same query, view and seed", func() {
		var b strings.Builder
		v := newView(12)
		for i := range v.Candidates {
			s := v.Score(newQuery(0), &v.Candidates[i], 0)
			fmt.Fprintf(&b, "score %d queue %.4f prefix %.4f recompute %.4f\n",
				i, s.Queue, s.Prefill, s.Recompute)
		}
		for _, p := range policies {
			fmt.Fprintf(&b, "%s", p.name)
			for seed := range uint64(16) {
				q := newQuery(seed)
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

	It("never uses a disallowed endpoint, and a failed one only if there is no other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v := newView(rapid.IntRange(1, 9).Draw(t, "endpoints"))
			disallowed := rapid.SliceOfN(rapid.Bool(), 9, 9).Draw(t, "disallowed")
			failed := rapid.IntRange(0, 8).Draw(t, "failed")
			policy := policies[rapid.IntRange(0, len(policies)-1).Draw(t, "policy")]
			q := newQuery(rapid.Uint64().Draw(t, "seed"))
			q.Hits = []route.Hit{{Index: 0, Tokens: 640}}
			q.Failed = []fleet.InstanceRef{{ID: fleet.InstanceID(fmt.Sprint("engine-", failed))}}
			indexOf := func(c *route.Candidate) (n int) {
				_, _ = fmt.Sscanf(string(c.Instance.ID), "engine-%d", &n)
				return n
			}
			q.Allow = func(c *route.Candidate) bool { return !disallowed[indexOf(c)] }
			allowed, untried := 0, 0
			for i := range v.Candidates {
				if !disallowed[i] {
					allowed++
					if i != failed {
						untried++
					}
				}
			}
			i, err := route.Pick(policy.pick, q, v)
			switch {
			case allowed == 0 && err == nil:
				t.Fatalf("%s chose %d although no endpoint is allowed", policy.name, i)
			case allowed > 0 && (err != nil || disallowed[i]):
				t.Fatalf("%s chose %d: %v", policy.name, i, err)
			case untried > 0 && i == failed:
				t.Fatalf("%s chose the failed endpoint", policy.name)
			}
		})
	})

	It("does not send all requests to the one endpoint that a stale report shows idle", func() {
		v := newView(20)
		for i := range v.Candidates {
			v.Candidates[i] = route.Candidate{Instance: v.Candidates[i].Instance, Slots: 16, Report: route.LoadReport{At: now, Work: 8}}
		}
		v.Candidates[3].Report.Work = 0
		v.Refresh()
		count := map[int]int{}
		for seed := range uint64(1000) {
			q := newQuery(seed)
			q.Hits = nil
			count[route.Predictor{}.Pick(q, v)]++
		}
		Expect(count[3]).To(BeNumerically("<", 250))
		Expect(len(count)).To(Equal(20))
	})

	It("gives an older report less weight", func() {
		c := &route.Candidate{LocalWork: 2, Report: route.LoadReport{At: now, Work: 13, LocalWork: 3}}
		v := &route.View{MeanPeerWork: 4}
		Expect(v.Work(c, now)).To(BeNumerically("~", 12, 1e-9))
		Expect(v.Work(c, now.Add(time.Second))).To(BeNumerically("~", 9, 1e-9))
		Expect(v.Work(c, now.Add(time.Hour))).To(BeNumerically("~", 6, 1e-9))
	})
})
