// Package burn computes how fast accounts and pools consume the error budget of
// their service-level objective. It counts requests in buckets of several windows.
// The computations are pure functions that take the time as an argument.
package burn

import (
	"net/http"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Verdict classifies a request: it met its objective, or the reason why not.
type Verdict string

// The verdicts on a request.
const (
	// VerdictNone means that the request does not count: the error was the caller's,
	// or the account or pool is unknown.
	VerdictNone    Verdict = "none"
	VerdictGood    Verdict = "good"
	VerdictRefused Verdict = "refused"
	VerdictFailed  Verdict = "failed"
	// VerdictLate means that the first token or the response was late.
	VerdictLate Verdict = "late"
	// VerdictSlow means that the mean time between tokens was too long.
	VerdictSlow Verdict = "slow"
)

// Judge returns the verdict on a request under its policy.
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
	case r.FirstTokenTime > p.FirstToken.Value || r.Total > p.Deadline.Value:
		return VerdictLate
	case r.MeanTokenTime > p.BetweenTokens.Value:
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

// BurnRate returns how many times faster than the objective allows the error budget
// is consumed; 1 consumes it exactly.
func (c Counts) BurnRate(objective float64) float64 {
	if c.Total == 0 || objective >= 1 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total) / (1 - objective)
}

// BudgetLeft returns the share of the error budget that is left. It is negative if
// the budget is exceeded.
func (c Counts) BudgetLeft(objective float64) float64 { return 1 - c.BurnRate(objective) }

// Window is a time window of the report.
type Window struct {
	Span time.Duration
	// Width is the duration of one bucket.
	Width time.Duration
}

// Windows are the windows of the report, shortest first. The error budget is
// computed over the last one.
var Windows = []Window{
	{5 * time.Minute, 10 * time.Second},
	{time.Hour, time.Minute},
	{6 * time.Hour, 5 * time.Minute},
	{72 * time.Hour, time.Hour},
}

// bucket holds the counts of an interval whose length is the Width of a window.
type bucket struct {
	// index is the number of intervals of this length between the Unix epoch and the
	// bucket.
	index  int64
	counts Counts
}

// ring is a ring buffer of the buckets of one window.
type ring struct{ buckets []bucket }

func (w Window) bucketCount() int64            { return int64(w.Span / w.Width) }
func (w Window) bucketIndex(t time.Time) int64 { return t.UnixNano() / int64(w.Width) }
func (w Window) bucketStart(i int64) time.Time { return time.Unix(0, i*int64(w.Width)).UTC() }

// add counts one request in the bucket of its time.
func (r *ring) add(w Window, at time.Time, v Verdict) {
	if r.buckets == nil {
		r.buckets = make([]bucket, w.bucketCount())
	}
	i := w.bucketIndex(at)
	b := &r.buckets[i%w.bucketCount()]
	if b.index != i {
		*b = bucket{index: i}
	}
	b.counts.Add(v)
}

// points returns the counts of the buckets in the window that ends at now, oldest
// first.
func (r *ring) points(w Window, now time.Time) (points []Point) {
	if r.buckets == nil {
		return nil
	}
	last := w.bucketIndex(now)
	for i := last - w.bucketCount() + 1; i <= last; i++ {
		if b := r.buckets[i%w.bucketCount()]; b.index == i {
			points = append(points, Point{Time: w.bucketStart(i), Counts: b.counts})
		}
	}
	return points
}
