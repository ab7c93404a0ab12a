package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Candidate is an endpoint as the deciding node sees it.
type Candidate struct {
	Instance fleet.Instance
	// Mine is this node's own work in flight there, which is exact.
	LocalWork int
	// Slots is how many requests the endpoint runs at a time; 0 if not known.
	Slots int
	// Report is the newest load report.
	Report Report
	// Shunned is the time until which the candidate is avoided after a failure.
	AvoidUntil time.Time

	// hash ranks the candidate; Refresh sets it.
	hash uint64
}

// Report is an endpoint's word on its load, which lags.
type Report struct {
	// At is when the report was made; zero if there is none.
	At time.Time
	// Work is how many requests ran or waited there, of all nodes.
	Work int
	// Mine is how many of them were this node's.
	LocalWork int
}

// View is what a node sees of the endpoints of a pool that may take work.
type View struct {
	Candidates []Candidate
	// Others is the mean work of other nodes at one endpoint, by the reports.
	MeanPeerWork float64
	// Slots is the sum of the candidates' slots.
	Slots      int
	TokenTimes TokenTimes
}

// Speed is how fast the pool's engines are, as this node has measured it.
type TokenTimes struct {
	// Prompt is the time of a prompt's token that is not cached.
	Prefill time.Duration
	// Token is the time between tokens.
	Decode time.Duration
}

// halfLife is the age at which a report counts half.
const halfLife = time.Second

// Refresh computes the values that hold for all candidates. It must be called
// after the candidates or their reports have changed.
func (v *View) Refresh() {
	var others, reports float64
	v.Slots = 0
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if c.hash == 0 {
			c.hash = xxhash.Sum64String(string(c.Instance.ID))
		}
		v.Slots += c.Slots
		if !c.Report.At.IsZero() {
			others += float64(max(0, c.Report.Work-c.Report.LocalWork))
			reports++
		}
	}
	v.MeanPeerWork = 0
	if reports > 0 {
		v.MeanPeerWork = others / reports
	}
}

// Work estimates how many requests are at a candidate. Own work is exact. The
// others' is that of the report, which gives way to the mean as it ages.
func (v *View) Work(c *Candidate, now time.Time) float64 {
	others := v.MeanPeerWork
	if !c.Report.At.IsZero() {
		trust := math.Exp2(-float64(now.Sub(c.Report.At)) / float64(halfLife))
		trust = min(1, trust)
		reported := float64(max(0, c.Report.Work-c.Report.LocalWork))
		others = trust*reported + (1-trust)*v.MeanPeerWork
	}
	return float64(c.LocalWork) + others
}
