package burn

import (
	"slices"
	"strconv"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Report is the service-level burn of the fleet.
type Report struct {
	// Nodes are the nodes whose counts are in the report.
	Nodes []fleet.NodeName `json:"nodes"`
	// Since is the start time of the node that has counted longest.
	Since time.Time `json:"since"`
	Lines []Line    `json:"lines"`
}

// Line is the burn of one account on one pool.
type Line struct {
	AccountPool
	Objective float64 `json:"objective"`
	// BudgetLeft is the share of the error budget that is left over the longest
	// window.
	BudgetLeft float64      `json:"left"`
	Windows    []WindowBurn `json:"windows"`
	// Points are the counts of the plotted window.
	Points []Point `json:"points"`
}

// WindowBurn is the burn in one window.
type WindowBurn struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
	Counts Counts  `json:"counts"`
}

// plottedWindow is the index in Windows of the window whose points a report holds.
const plottedWindow = 2

// Merge returns the report on the counts of several nodes. If nodes report different
// objectives for an account and pool, the strictest applies.
func Merge(nodes []NodeReport) (r Report) {
	merged := map[AccountPool]Series{}
	for _, node := range nodes {
		r.Nodes = append(r.Nodes, node.Node)
		if r.Since.IsZero() || node.Since.Before(r.Since) {
			r.Since = node.Since
		}
		for _, s := range node.Series {
			merged[s.AccountPool] = mergeSeries(merged[s.AccountPool], s)
		}
	}
	slices.Sort(r.Nodes)
	for _, s := range merged {
		r.Lines = append(r.Lines, s.line())
	}
	slices.SortFunc(r.Lines, func(a, b Line) int { return a.compare(b.AccountPool) })
	return r
}

func mergeSeries(a, b Series) Series {
	s := Series{AccountPool: b.AccountPool, Objective: max(a.Objective, b.Objective)}
	for i := range Windows {
		var points []Point
		for _, from := range []Series{a, b} {
			if i < len(from.PointsByWindow) {
				points = append(points, from.PointsByWindow[i]...)
			}
		}
		s.PointsByWindow = append(s.PointsByWindow, mergePoints(points))
	}
	return s
}

// mergePoints sorts the points and sums those of the same time.
func mergePoints(points []Point) (merged []Point) {
	points = slices.Clone(points)
	slices.SortStableFunc(points, func(a, b Point) int { return a.Time.Compare(b.Time) })
	for _, p := range points {
		if n := len(merged); n > 0 && merged[n-1].Time.Equal(p.Time) {
			merged[n-1].Counts.Merge(p.Counts)
			continue
		}
		merged = append(merged, p)
	}
	return merged
}

func (s Series) line() Line {
	l := Line{AccountPool: s.AccountPool, Objective: s.Objective}
	for i, w := range Windows {
		var c Counts
		for _, p := range s.PointsByWindow[i] {
			c.Merge(p.Counts)
		}
		l.Windows = append(l.Windows, WindowBurn{Window: w.Label(), Rate: c.BurnRate(s.Objective), Counts: c})
		l.BudgetLeft = c.BudgetLeft(s.Objective)
	}
	l.Points = s.PointsByWindow[plottedWindow]
	return l
}

func formatCount(n time.Duration, unit string) string { return strconv.Itoa(int(n)) + unit }

// Label returns the window's span, such as 5m, 1h or 3d.
func (w Window) Label() string {
	const day = 24 * time.Hour
	switch {
	case w.Span%day == 0:
		return formatCount(w.Span/day, "d")
	case w.Span%time.Hour == 0:
		return formatCount(w.Span/time.Hour, "h")
	default:
		return formatCount(w.Span/time.Minute, "m")
	}
}
