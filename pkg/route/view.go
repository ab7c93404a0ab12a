package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Candidate is an endpoint as seen by the deciding node.
type Candidate struct {
	Instance fleet.Instance
	// LocalWork is the number of this node's requests in flight at the endpoint. It is
	// exact.
	LocalWork int
	// Slots is the number of requests that the endpoint runs concurrently; 0 if
	// unknown.
	Slots int
	// Report is the latest load report.
	Report LoadReport
	// AvoidUntil is the time until which the candidate is avoided after a failure.
	AvoidUntil time.Time

	// hash determines the candidate's rank; Refresh sets it.
	hash uint64
}

// LoadReport is the load that an endpoint has reported. It lags behind the actual load.
type LoadReport struct {
	// At is when the report was made; zero if there is none.
	At time.Time
	// Work is the number of requests from all nodes that were running or waiting.
	Work int
	// LocalWork is the number of this node's requests in flight when the report arrived.
	LocalWork int
}

// View is a node's view of the endpoints of a pool that may take work.
type View struct {
	Candidates []Candidate
	// MeanPeerWork is the mean work of other nodes at an endpoint, by the reports.
	MeanPeerWork float64
	// Slots is the sum of the candidates' slots.
	Slots      int
	TokenTimes TokenTimes
}

// TokenTimes are the times per token of a pool's engines, as measured by this node.
type TokenTimes struct {
	// Prefill is the prefill time of an uncached prompt token.
	Prefill time.Duration
	// Decode is the time between two generated tokens.
	Decode time.Duration
}

// reportHalfLife is the age at which a report has half its initial weight.
const reportHalfLife = time.Second

// Refresh recomputes the totals and means over all candidates. It must be called
// after the candidates or their reports have changed.
func (v *View) Refresh() {
	var peerWork, reports float64
	v.Slots = 0
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if c.hash == 0 {
			c.hash = xxhash.Sum64String(string(c.Instance.ID))
		}
		v.Slots += c.Slots
		if !c.Report.At.IsZero() {
			peerWork += float64(max(0, c.Report.Work-c.Report.LocalWork))
			reports++
		}
	}
	v.MeanPeerWork = 0
	if reports > 0 {
		v.MeanPeerWork = peerWork / reports
	}
}

// Work estimates the number of requests at a candidate. This node's work is exact.
// The work of other nodes is a weighted mean of the report and MeanPeerWork, in which
// the weight of the report decreases with its age; without a report it is MeanPeerWork.
func (v *View) Work(c *Candidate, now time.Time) float64 {
	peerWork := v.MeanPeerWork
	if !c.Report.At.IsZero() {
		weight := math.Exp2(-float64(now.Sub(c.Report.At)) / float64(reportHalfLife))
		weight = min(1, weight)
		reported := float64(max(0, c.Report.Work-c.Report.LocalWork))
		peerWork = weight*reported + (1-weight)*v.MeanPeerWork
	}
	return float64(c.LocalWork) + peerWork
}
