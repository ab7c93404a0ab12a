package replay

import (
	"fmt"
	"io"
	"math"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// OnTimeTarget is the fraction of requests that must be on time.
const Target = 0.95

// Scenario is a kind of trace with the range of required instances that is
// searched for the smallest sufficient number.
type Scenario struct {
	// Trace returns the trace of a seed.
	Trace func(seed uint64) Trace
	Least int
	Most  int
}

// Scenarios returns the scenarios of the comparison.
func Scenarios() []Scenario {
	return []Scenario{{Trace: Dawn, Least: 2, Most: 40}, {Trace: Night, Least: 2, Most: 40}}
}

// Summary summarises a policy's results over all seeds for one required number of
// instances.
type Summary struct {
	Need int
	// Size is the number of instances that the policy chose.
	Size   int
	Cost   float64
	Share  float64
	Lowest float64
	// HighestOnTimeShare is the fraction of requests on time for the best seed,
	// LowestOnTimeShare for the worst.
	Highest  float64
	Lost     int
	Uncached fleet.Tokens
	Moved    fleet.Tokens
	Broken   fleet.Tokens
	LastNew  float64
}

// Summarise simulates a policy on each trace. The index of a trace is its seed.
func Summarise(traces []Trace, p Policy, required int) Summary {
	s := Summary{Need: required, Size: p.Fleet(traces[0].Offers, required).Total(), Lowest: 1}
	count := float64(len(traces))
	for seed, t := range traces {
		r := Play(t, p, required, uint64(seed))
		s.Cost += r.Cost / count
		s.Share += r.Share() / count
		s.Lowest = min(s.Lowest, r.Share())
		s.Highest = max(s.Highest, r.Share())
		s.Lost += r.Lost
		s.Uncached += r.Uncached
		s.Moved += r.Moved
		s.Broken += r.Broken
		s.LastNew = max(s.LastNew, r.LastNew.Seconds())
	}
	n := fleet.Tokens(len(traces))
	s.Uncached, s.Moved, s.Broken = s.Uncached/n, s.Moved/n, s.Broken/n
	return s
}

// SmallestAtTarget returns the summary for the smallest required number of
// instances at which the mean fraction of requests on time reaches OnTimeTarget.
// The binary search assumes that the fraction increases with the number. If the
// target is not reached, it returns the summary for the highest number and false.
func AtTarget(traces []Trace, p Policy, minRequired, maxRequired int) (s Summary, ok bool) {
	best := Summarise(traces, p, maxRequired)
	if best.Share < Target {
		return best, false
	}
	for minRequired < best.Need {
		required := (minRequired + best.Need) / 2
		if s := Summarise(traces, p, required); s.Share >= Target {
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
		atTarget := summariseAll(Policies(), func(p Policy) (Summary, bool) { return AtTarget(traces, p, c.Least, c.Most) })
		writeTable(w, fmt.Sprintf("cost at the target of %.0f in 100 on time, at the smallest size that reaches it", 100*Target), atTarget)
		required := atTarget[0].summary.Need
		atPolicySize := func(p Policy) (Summary, bool) { return Summarise(traces, p, required), true }
		writeTable(w, "at the policy's size", summariseAll(Policies(), atPolicySize))
		writeTable(w, "each term left out, and other numbers of choices, at the policy's size", summariseAll(Ablations(), atPolicySize))
	}
}

func writeTable(w io.Writer, title string, rows []reportRow) {
	fmt.Fprintf(w, "\n%s\n", title)
	writeHeader(w)
	for _, l := range rows {
		writeRow(w, l.name, l.summary, l.ok)
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
		name, s.Size, math.Round(100*s.Cost)/100, s.Share, s.Lowest, s.Highest, s.Lost, s.Uncached, s.Moved, s.Broken, s.LastNew, note)
}
