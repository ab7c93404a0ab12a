package replay

import (
	"fmt"
	"io"
	"math"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Target is the share of requests that must be on time.
const Target = 0.95

// Scenario makes the trace of a seed. Needs are the sizes that are tried.
type Scenario struct {
	Trace func(seed uint64) Trace
	Least int
	Most  int
}

// Scenarios lists what is measured.
func Scenarios() []Scenario {
	return []Scenario{{Trace: Dawn, Least: 2, Most: 40}, {Trace: Night, Least: 2, Most: 40}}
}

// Summary is a policy's results at one size over all seeds.
type Summary struct {
	Need   int
	Size   int
	Cost   float64
	Share  float64
	Lowest float64
	// Highest is the share on time of the best seed, Lowest of the worst.
	Highest  float64
	Lost     int
	Uncached fleet.Tokens
	Moved    fleet.Tokens
	Broken   fleet.Tokens
	LastNew  float64
}

// Summarise plays a policy on the traces, one for each seed.
func Summarise(traces []Trace, p Policy, need int) Summary {
	s := Summary{Need: need, Size: p.Fleet(traces[0].Offers, need).Total(), Lowest: 1}
	count := float64(len(traces))
	for seed, t := range traces {
		r := Play(t, p, need, uint64(seed))
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

// AtTarget returns the summary of the smallest size at which the mean share on
// time reaches the target, taking the share to grow with the size.
func AtTarget(traces []Trace, p Policy, least, most int) (s Summary, ok bool) {
	best := Summarise(traces, p, most)
	if best.Share < Target {
		return best, false
	}
	for least < best.Need {
		need := (least + best.Need) / 2
		if s := Summarise(traces, p, need); s.Share >= Target {
			best = s
		} else {
			least = need + 1
		}
	}
	return best, true
}

// parallel is how many policies are played at a time.
const parallel = 5

// line is one row of the report.
type line struct {
	name    string
	summary Summary
	ok      bool
}

// rows plays policies, several at a time, and keeps their order.
func rows(policies []Policy, play func(Policy) (Summary, bool)) []line {
	var g errgroup.Group
	g.SetLimit(parallel)
	list := make([]line, len(policies))
	for i, p := range policies {
		g.Go(func() error {
			s, ok := play(p)
			list[i] = line{name: p.Name, summary: s, ok: ok}
			return nil
		})
	}
	_ = g.Wait()
	return list
}

// Measure writes the comparison of all policies on all scenarios.
func Measure(w io.Writer, seeds int) {
	for _, c := range Scenarios() {
		traces := make([]Trace, seeds)
		for seed := range traces {
			traces[seed] = c.Trace(uint64(seed))
		}
		fmt.Fprintf(w, "\n%s: %d seeds, %d requests in the first\n", traces[0].Name, seeds, len(traces[0].Requests))
		target := rows(Policies(), func(p Policy) (Summary, bool) { return AtTarget(traces, p, c.Least, c.Most) })
		table(w, fmt.Sprintf("cost at the target of %.0f in 100 on time, at the smallest size that reaches it", 100*Target), target)
		need := target[0].summary.Need
		same := func(p Policy) (Summary, bool) { return Summarise(traces, p, need), true }
		table(w, "at the policy's size", rows(Policies(), same))
		table(w, "each term left out, and other numbers of choices, at the policy's size", rows(Ablations(), same))
	}
}

func table(w io.Writer, title string, list []line) {
	fmt.Fprintf(w, "\n%s\n", title)
	header(w)
	for _, l := range list {
		row(w, l.name, l.summary, l.ok)
	}
}

func header(w io.Writer) {
	fmt.Fprintf(w, "%-26s %5s %8s %8s %15s %6s %9s %7s %7s %8s\n",
		"", "size", "cost", "on time", "worst..best", "lost", "uncached", "moved", "broken", "last new")
}

func row(w io.Writer, name string, s Summary, ok bool) {
	note := ""
	if !ok {
		note = "  target not reached"
	}
	fmt.Fprintf(w, "%-26s %5d %8.2f %8.4f %7.4f..%.4f %6d %9d %7d %7d %7.2fs%s\n",
		name, s.Size, math.Round(100*s.Cost)/100, s.Share, s.Lowest, s.Highest, s.Lost, s.Uncached, s.Moved, s.Broken, s.LastNew, note)
}
