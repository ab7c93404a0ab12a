// Package burn computes how fast accounts and pools use up the error budget of
// their service-level objective. It counts requests in buckets of several
// windows; the computations are pure and take the time as an argument.
package burn

import (
	"net/http"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Verdict says whether a request met its objective, and if not, why.
type Verdict string

// The verdicts on a request.
const (
	// VerdictNone: the request does not count, because the caller was at fault.
	VerdictNone    Verdict = "none"
	VerdictGood    Verdict = "good"
	VerdictRefused Verdict = "refused"
	VerdictFailed  Verdict = "failed"
	// VerdictLate: the first token, or the answer of a service, came late.
	VerdictLate Verdict = "late"
	// VerdictSlow: the tokens came too far apart.
	VerdictSlow Verdict = "slow"
)

// Judge returns the verdict on a request by the policy that it ran under.
func Judge(r entry.Report, p fleet.Policy) Verdict {
	switch {
	case r.Account == "" || r.Pool == "":
		return VerdictNone
	case r.Status == http.StatusServiceUnavailable && r.Outcome == fleet.OutcomeNotRun:
		return VerdictRefused
	case r.Status >= http.StatusInternalServerError:
		return VerdictFailed
	case r.Status >= http.StatusBadRequest:
		return VerdictNone
	case r.FirstToken > p.FirstToken.Value || r.Total > p.Deadline.Value:
		return VerdictLate
	case r.BetweenTokens > p.BetweenTokens.Value:
		return VerdictSlow
	default:
		return VerdictGood
	}
}

// Counts counts requests by verdict.
type Counts struct {
	Total   int `json:"total"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Late    int `json:"late"`
	Slow    int `json:"slow"`
}

// Add counts one request.
func (c *Counts) Add(v Verdict) {
	switch v {
	case VerdictNone:
		return
	case VerdictRefused:
		c.Refused++
	case VerdictFailed:
		c.Failed++
	case VerdictLate:
		c.Late++
	case VerdictSlow:
		c.Slow++
	}
	c.Total++
}

// Merge adds other counts.
func (c *Counts) Merge(o Counts) {
	c.Total += o.Total
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Late += o.Late
	c.Slow += o.Slow
}

// Bad returns how many requests missed their objective.
func (c Counts) Bad() int { return c.Refused + c.Failed + c.Late + c.Slow }

// Rate returns how many times faster than the objective allows the budget is
// used up; 1 uses it up exactly.
func (c Counts) BurnRate(objective float64) float64 {
	if c.Total == 0 || objective >= 1 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total) / (1 - objective)
}

// Left returns the share of the error budget that is left; it is negative if
// more was used than allowed.
func (c Counts) BudgetLeft(objective float64) float64 { return 1 - c.BurnRate(objective) }

// Window is a span of time that the report covers.
type Window struct {
	Span time.Duration
	// Width is the width of its buckets.
	Width time.Duration
}

// Windows are the windows of the report, shortest first. The last one holds
// the error budget.
var Windows = []Window{
	{5 * time.Minute, 10 * time.Second},
	{time.Hour, time.Minute},
	{6 * time.Hour, 5 * time.Minute},
	{72 * time.Hour, time.Hour},
}

// bucket holds the counts of one width of time.
type bucket struct {
	// index is the number of widths since the epoch.
	index  int64
	counts Counts
}

// ring holds the buckets of one window.
type ring struct{ buckets []bucket }

func (w Window) size() int64             { return int64(w.Span / w.Width) }
func (w Window) at(t time.Time) int64    { return t.UnixNano() / int64(w.Width) }
func (w Window) start(i int64) time.Time { return time.Unix(0, i*int64(w.Width)).UTC() }

// add counts one request at a time.
func (r *ring) add(w Window, at time.Time, v Verdict) {
	if r.buckets == nil {
		r.buckets = make([]bucket, w.size())
	}
	i := w.at(at)
	b := &r.buckets[i%w.size()]
	if b.index != i {
		*b = bucket{index: i}
	}
	b.counts.Add(v)
}

// read returns the buckets that lie in the window at a time, oldest first.
func (r *ring) read(w Window, now time.Time) (points []Point) {
	if r.buckets == nil {
		return nil
	}
	last := w.at(now)
	for i := last - w.size() + 1; i <= last; i++ {
		if b := r.buckets[i%w.size()]; b.index == i {
			points = append(points, Point{Time: w.start(i), Counts: b.counts})
		}
	}
	return points
}
