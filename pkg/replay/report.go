package replay

import (
	"fmt"
	"io"
	"math"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// OnTimeTarget is the fraction of requests that must be on time.
const OnTimeTarget = 0.95

// Scenario is a kind of trace with the range of required instances that is
// searched for the smallest sufficient number.
type Scenario struct {
	// Trace returns the trace of a seed.
	Trace       func(seed uint64) Trace
	MinRequired int
	MaxRequired int
}

// Scenarios returns the scenarios of the comparison.
func Scenarios() []Scenario {
	return []Scenario{{Trace: Dawn, MinRequired: 2, MaxRequired: 40}, {Trace: Night, MinRequired: 2, MaxRequired: 40}}
}

// Summary summarises a policy's results over all seeds for one required number of
// instances.
type Summary struct {
	Required int
	// Size is the number of instances that the policy chose.
	Size              int
	Cost              float64
	OnTimeShare       float64
	LowestOnTimeShare float64
	// HighestOnTimeShare is the fraction of requests on time for the best seed,
	// LowestOnTimeShare for the worst.
	HighestOnTimeShare             float64
	Lost                           int
	Uncached                       fleet.Tokens
	RecomputedAfterMove            fleet.Tokens
	RecomputedAfterTermination     fleet.Tokens
	LastDispatchAfterNoticeSeconds float64
}

// Summarise simulates a policy on each trace. The index of a trace is its seed.
func Summarise(traces []Trace, p Policy, required int) Summary {
	s := Summary{Required: required, Size: p.ChooseInstances(traces[0].Offers, required).Total(), LowestOnTimeShare: 1}
	count := float64(len(traces))
	for seed, t := range traces {
		r := Simulate(t, p, required, uint64(seed))
		s.Cost += r.Cost / count
		s.OnTimeShare += r.OnTimeShare() / count
		s.LowestOnTimeShare = min(s.LowestOnTimeShare, r.OnTimeShare())
		s.HighestOnTimeShare = max(s.HighestOnTimeShare, r.OnTimeShare())
		s.Lost += r.Lost
		s.Uncached += r.Uncached
		s.RecomputedAfterMove += r.RecomputedAfterMove
		s.RecomputedAfterTermination += r.RecomputedAfterTermination
		s.LastDispatchAfterNoticeSeconds = max(s.LastDispatchAfterNoticeSeconds, r.LastDispatchAfterNotice.Seconds())
	}
	n := fleet.Tokens(len(traces))
	s.Uncached, s.RecomputedAfterMove, s.RecomputedAfterTermination = s.Uncached/n, s.RecomputedAfterMove/n, s.RecomputedAfterTermination/n
	return s
}

// SmallestAtTarget returns the summary for the smallest required number of
// instances at which the mean fraction of requests on time reaches OnTimeTarget.
// The binary search assumes that the fraction increases with the number. If the
// target is not reached, it returns the summary for the highest number and false.
func SmallestAtTarget(traces []Trace, p Policy, minRequired, maxRequired int) (s Summary, ok bool) {
	best := Summarise(traces, p, maxRequired)
	if best.OnTimeShare < OnTimeTarget {
		return best, false
	}
	for minRequired < best.Required {
		required := (minRequired + best.Required) / 2
		if s := Summarise(traces, p, required); s.OnTimeShare >= OnTimeTarget {
			best = s
		} else {
			minRequired = required + 1
		}
	}
	return best, true
}

// maxParallel is the number of policies that are simulated at the same time.
const maxParallel = 5

// reportRow is a row of the report.
type reportRow struct {
	name    string
	summary Summary
	// ok reports whether the policy reached the target.
	ok bool
}

// summariseAll summarises policies, several at a time, and returns the rows in the
// order of the policies.
func summariseAll(policies []Policy, summarise func(Policy) (Summary, bool)) []reportRow {
	var g errgroup.Group
	g.SetLimit(maxParallel)
	rows := make([]reportRow, len(policies))
	for i, p := range policies {
		g.Go(func() error {
			s, ok := summarise(p)
			rows[i] = reportRow{name: p.Name, summary: s, ok: ok}
			return nil
		})
	}
	_ = g.Wait()
	return rows
}

// Measure writes a comparison of all policies on all scenarios.
func Measure(w io.Writer, seeds int) {
	for _, c := range Scenarios() {
		traces := make([]Trace, seeds)
		for seed := range traces {
			traces[seed] = c.Trace(uint64(seed))
		}
		fmt.Fprintf(w, "\n%s: %d seeds, %d requests in the first\n", traces[0].Name, seeds, len(traces[0].Requests))
		atTarget := summariseAll(Policies(), func(p Policy) (Summary, bool) { return SmallestAtTarget(traces, p, c.MinRequired, c.MaxRequired) })
		writeTable(w, fmt.Sprintf("cost at the target of %.0f in 100 on time, at the smallest size that reaches it", 100*OnTimeTarget), atTarget)
		required := atTarget[0].summary.Required
		atPolicySize := func(p Policy) (Summary, bool) { return Summarise(traces, p, required), true }
		writeTable(w, "at the policy's size", summariseAll(Policies(), atPolicySize))
		writeTable(w, "each term left out, and other numbers of choices, at the policy's size", summariseAll(Ablations(), atPolicySize))
	}
}

func writeTable(w io.Writer, title string, rows []reportRow) {
	fmt.Fprintf(w, "\n%s\n", title)
	writeHeader(w)
	for _, r := range rows {
		writeRow(w, r.name, r.summary, r.ok)
	}
}

func writeHeader(w io.Writer) {
	fmt.Fprintf(w, "%-26s %5s %8s %8s %15s %6s %9s %7s %7s %8s\n",
		"", "size", "cost", "on time", "worst..best", "lost", "uncached", "moved", "broken", "last new")
}

func writeRow(w io.Writer, name string, s Summary, ok bool) {
	note := ""
	if !ok {
		note = "  target not reached"
	}
	fmt.Fprintf(w, "%-26s %5d %8.2f %8.4f %7.4f..%.4f %6d %9d %7d %7d %7.2fs%s\n",
		name, s.Size, math.Round(100*s.Cost)/100, s.OnTimeShare, s.LowestOnTimeShare, s.HighestOnTimeShare, s.Lost, s.Uncached, s.RecomputedAfterMove, s.RecomputedAfterTermination, s.LastDispatchAfterNoticeSeconds, note)
}
