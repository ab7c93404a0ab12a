package burn

import (
	"slices"
	"strconv"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Report is the burn of the fleet.
type Report struct {
	// Nodes are the nodes whose answers are in the report.
	Nodes []fleet.NodeName `json:"nodes"`
	// Since is when the node that has counted longest started.
	Since time.Time `json:"since"`
	Lines []Line    `json:"lines"`
}

// Line is the burn of one account on one pool.
type Line struct {
	AccountPool
	Objective float64 `json:"objective"`
	// Left is the share of the error budget of the longest window that is left.
	BudgetLeft float64      `json:"left"`
	Windows    []WindowBurn `json:"windows"`
	// Points are the counts of the third window, for plots.
	Points []Point `json:"points"`
}

// Span is the burn in one window.
type WindowBurn struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
	Counts Counts  `json:"counts"`
}

// plotted is the window whose points a report carries.
const plotted = 2

// Merge returns the report on the answers of several nodes. Of an account and
// pool with several objectives the strictest counts.
func Merge(answers []NodeReport) (r Report) {
	merged := map[AccountPool]Series{}
	for _, a := range answers {
		r.Nodes = append(r.Nodes, a.Node)
		if r.Since.IsZero() || a.Since.Before(r.Since) {
			r.Since = a.Since
		}
		for _, s := range a.Series {
			merged[s.AccountPool] = join(merged[s.AccountPool], s)
		}
	}
	slices.Sort(r.Nodes)
	for _, s := range merged {
		r.Lines = append(r.Lines, s.line())
	}
	slices.SortFunc(r.Lines, func(a, b Line) int { return a.compare(b.AccountPool) })
	return r
}

func join(a, b Series) Series {
	s := Series{AccountPool: b.AccountPool, Objective: max(a.Objective, b.Objective)}
	for i := range Windows {
		var points []Point
		for _, from := range []Series{a, b} {
			if i < len(from.Windows) {
				points = append(points, from.Windows[i]...)
			}
		}
		s.Windows = append(s.Windows, sum(points))
	}
	return s
}

// sum adds up the points of the same time and orders them.
func sum(points []Point) (summed []Point) {
	points = slices.Clone(points)
	slices.SortStableFunc(points, func(a, b Point) int { return a.Time.Compare(b.Time) })
	for _, p := range points {
		if n := len(summed); n > 0 && summed[n-1].Time.Equal(p.Time) {
			summed[n-1].Counts.Merge(p.Counts)
			continue
		}
		summed = append(summed, p)
	}
	return summed
}

func (s Series) line() Line {
	l := Line{AccountPool: s.AccountPool, Objective: s.Objective}
	for i, w := range Windows {
		var c Counts
		for _, p := range s.Windows[i] {
			c.Merge(p.Counts)
		}
		l.Windows = append(l.Windows, WindowBurn{Window: w.Label(), Rate: c.BurnRate(s.Objective), Counts: c})
		l.BudgetLeft = c.BudgetLeft(s.Objective)
	}
	l.Points = s.Windows[plotted]
	return l
}

func format(n time.Duration, unit string) string { return strconv.Itoa(int(n)) + unit }

// Label returns the window's span as 5m, 1h or 3d.
func (w Window) Label() string {
	const day = 24 * time.Hour
	switch {
	case w.Span%day == 0:
		return format(w.Span/day, "d")
	case w.Span%time.Hour == 0:
		return format(w.Span/time.Hour, "h")
	default:
		return format(w.Span/time.Minute, "m")
	}
}
