package burn_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/burn"
	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "burn")
}

var (
	startTime   = time.Date(2026, 5, 1, 5, 0, 0, 0, time.UTC)
	accountPool = burn.AccountPool{Account: "dezerter-sellers", Pool: "loom-servers"}
)

var _ = DescribeTable("A request gets a verdict by its policy", func(r entry.Report, want burn.Verdict) {
	doc := fleet.Document{Defaults: fleet.Defaults{FirstToken: 400 * time.Millisecond, BetweenTokens: 40 * time.Millisecond, Deadline: 30 * time.Second}}
	r.Account, r.Pool = accountPool.Account, accountPool.Pool
	Expect(burn.Judge(r, doc.Policy(r.Account, r.Pool, startTime))).To(Equal(want))
},
	Entry("within the objective", entry.Report{Status: 200, FirstTokenTime: 400 * time.Millisecond, MeanTokenTime: 40 * time.Millisecond, Total: time.Second}, burn.VerdictGood),
	Entry("first token late", entry.Report{Status: 200, FirstTokenTime: 401 * time.Millisecond}, burn.VerdictLate),
	Entry("deadline exceeded", entry.Report{Status: 200, Total: 31 * time.Second}, burn.VerdictLate),
	Entry("tokens slow", entry.Report{Status: 200, FirstTokenTime: time.Millisecond, MeanTokenTime: 41 * time.Millisecond}, burn.VerdictSlow),
	Entry("late and slow, counted once", entry.Report{Status: 200, FirstTokenTime: time.Second, MeanTokenTime: time.Second}, burn.VerdictLate),
	Entry("refused for lack of capacity", entry.Report{Status: http.StatusServiceUnavailable, Outcome: fleet.OutcomeNotRun}, burn.VerdictRefused),
	Entry("over the account's quota", entry.Report{Status: http.StatusTooManyRequests, Outcome: fleet.OutcomeNotRun}, burn.VerdictNone),
	Entry("invalid request", entry.Report{Status: http.StatusBadRequest}, burn.VerdictNone),
	Entry("failed", entry.Report{Status: http.StatusBadGateway, Outcome: fleet.OutcomeFailed}, burn.VerdictFailed),
	Entry("outcome unknown", entry.Report{Status: http.StatusGatewayTimeout, Outcome: fleet.OutcomeUnknown}, burn.VerdictFailed),
)

var verdicts = []burn.Verdict{burn.VerdictNone, burn.VerdictGood, burn.VerdictRefused, burn.VerdictFailed, burn.VerdictLate, burn.VerdictSlow}

var _ = Describe("The report", func() {
	It("is the same whether one node or several nodes count the requests", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := startTime
			clock := func() time.Time { return now }
			one := &burn.Recorder{Now: clock}
			several := []*burn.Recorder{{Now: clock}, {Now: clock}, {Now: clock}}
			type request struct {
				at time.Time
				v  burn.Verdict
			}
			var requests []request
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(8*time.Hour)).Draw(t, "pause")))
				v := rapid.SampledFrom(verdicts).Draw(t, "verdict")
				one.Add(accountPool, .95, v)
				several[rapid.IntRange(0, 2).Draw(t, "node")].Add(accountPool, .95, v)
				requests = append(requests, request{now, v})
			}
			var reports []burn.NodeReport
			for _, r := range several {
				reports = append(reports, burn.NodeReport{Since: startTime, Series: r.Series()})
			}
			got := burn.Merge(reports)
			want := burn.Merge([]burn.NodeReport{{Since: startTime, Series: one.Series()}})
			if len(got.Lines) != len(want.Lines) {
				t.Fatalf("%v, expected %v", got.Lines, want.Lines)
			}
			if len(want.Lines) == 0 {
				return
			}
			for i, w := range burn.Windows {
				var exact burn.Counts
				first := now.Truncate(w.Width).Add(w.Width - w.Span)
				for _, s := range requests {
					if !s.at.Before(first) {
						exact.Add(s.v)
					}
				}
				if want.Lines[0].Windows[i].Counts != exact || got.Lines[0].Windows[i] != want.Lines[0].Windows[i] {
					t.Fatalf("window %s: one node %v, several %v, counted directly %v", w.Label(), want.Lines[0].Windows[i], got.Lines[0].Windows[i], exact)
				}
			}
		})
	})

	It("computes the burn rate and the budget left from the objective", func() {
		c := burn.Counts{Total: 100, Late: 3, Refused: 1, Failed: 1}
		Expect(c.BurnRate(.95)).To(BeNumerically("~", 1, 1e-9))
		Expect(c.BudgetLeft(.95)).To(BeNumerically("~", 0, 1e-9))
		Expect(c.BurnRate(.9)).To(BeNumerically("~", .5, 1e-9))
		Expect(burn.Counts{}.BudgetLeft(.95)).To(BeEquivalentTo(1))
	})

	It("is an HTML page with a plot for each account and pool, with names escaped", func() {
		r := &burn.Recorder{Now: func() time.Time { return startTime }}
		r.Add(burn.AccountPool{Account: "<script>", Pool: "plume"}, .95, burn.VerdictLate)
		r.Add(accountPool, .95, burn.VerdictGood)
		var b bytes.Buffer
		Expect(burn.WritePage(&b, burn.Merge([]burn.NodeReport{{Node: "entry-1", Since: startTime, Series: r.Series()}}))).To(Succeed())
		Expect(b.String()).To(ContainSubstring("<h2>dezerter-sellers on loom-servers</h2>"))
		Expect(b.String()).To(ContainSubstring("&lt;script&gt; on plume"))
		Expect(bytes.Count(b.Bytes(), []byte("<svg"))).To(Equal(2))
		Expect(b.String()).NotTo(ContainSubstring("<?xml"))
	})
})
