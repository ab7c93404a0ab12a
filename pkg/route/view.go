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
	Mine int
	// Slots is how many requests the endpoint runs at a time; 0 if not known.
	Slots int
	// Report is the newest load report.
	Report Report
	// Shunned is the time until which the candidate is avoided after a failure.
	Shunned time.Time

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
	Mine int
}

// View is what a node sees of the endpoints of a pool that may take work.
type View struct {
	Candidates []Candidate
	// Others is the mean work of other nodes at one endpoint, by the reports.
	Others float64
	// Slots is the sum of the candidates' slots.
	Slots int
	Speed Speed
}

// Speed is how fast the pool's engines are, as this node has measured it.
type Speed struct {
	// Prompt is the time of a prompt's token that is not cached.
	Prompt time.Duration
	// Token is the time between tokens.
	Token time.Duration
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
			others += float64(max(0, c.Report.Work-c.Report.Mine))
			reports++
		}
	}
	v.Others = 0
	if reports > 0 {
		v.Others = others / reports
	}
}

// Work estimates how many requests are at a candidate. Own work is exact. The
// others' is that of the report, which gives way to the mean as it ages.
func (v *View) Work(c *Candidate, now time.Time) float64 {
	others := v.Others
	if !c.Report.At.IsZero() {
		trust := math.Exp2(-float64(now.Sub(c.Report.At)) / float64(halfLife))
		trust = min(1, trust)
		reported := float64(max(0, c.Report.Work-c.Report.Mine))
		others = trust*reported + (1-trust)*v.Others
	}
	return float64(c.Mine) + others
}
