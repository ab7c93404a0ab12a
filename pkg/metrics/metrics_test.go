package metrics_test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/burn"
	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/metrics"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metrics")
}

func testDocument() *fleet.Document {
	return &fleet.Document{Pools: []fleet.Pool{{Name: "plume"}}, Accounts: []fleet.Account{{Name: "dentists"}}}
}

var _ = Describe("The metrics of a node", func() {
	It("match the golden file", func() {
		s := &metrics.Set{Document: testDocument, Read: func() metrics.Sample {
			return metrics.Sample{
				InFlight:  3,
				Revision:  7,
				Instances: []fleet.Instance{{Pool: "plume", Zone: "a", Condition: fleet.ConditionLive}, {Pool: "plume", Zone: "a", Condition: fleet.ConditionLive}},
				Streams:   []metrics.Stream{{Name: "config", Stats: journal.Stats{Appends: 5, FailedWrites: 1}, Healthy: true, Lag: 2 * time.Second}},
				Degraded:  []operate.Degraded{{Problem: "x"}},
			}
		}}
		s.Observe(entry.Report{
			Account: "dentists", Pool: "plume", Outcome: fleet.OutcomeDone, Prompt: 10, Generated: 20, Recomputed: 6,
			RecomputeCauses: generation.Causes{Reclaim: 4, Failure: 2}, FirstTokenTime: 460 * time.Millisecond, MeanTokenTime: 47 * time.Millisecond, Total: 2 * time.Second,
		})
		s.RecordVerdict(entry.Report{Account: "dentists", Pool: "plume"}, .95, burn.VerdictLate)
		s.RecordVerdict(entry.Report{Account: "dentists", Pool: "plume"}, .95, burn.VerdictNone)
		golden, err := os.Open("_fixtures/metrics.txt")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = golden.Close() }()
		Expect(testutil.CollectAndCompare(s, golden)).To(Succeed())
	})

	It("have a bounded number of label values for any names that callers send", func() {
		s := &metrics.Set{Document: testDocument}
		for _, a := range []fleet.AccountName{"", "x", "y", "dentists"} {
			for _, p := range []fleet.PoolName{"", "u", "plume"} {
				s.Observe(entry.Report{Account: a, Pool: p, Outcome: fleet.OutcomeNotRun})
			}
		}
		Expect(testutil.CollectAndCount(s, "skylarkloom_requests_total")).To(Equal(4))
	})

	It("can be collected before any value is available", func() {
		Expect(testutil.CollectAndCount(&metrics.Set{})).To(Equal(0))
	})
})
