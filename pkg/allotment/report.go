package allotment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// youngTime is how long after its start all that a node admitted is recent.
	youngTime = 3 * time.Second
	// maxLevels is the maximum number of accounts in a report, which has to fit into a
	// digest.
	maxLevels = 200
)

// Report is the state of a node's quotas. It answers restarts one after the other: a
// node that starts learns what is used of each quota instead of assuming it, and the
// others count what it admitted before they received its first digest.
type Report struct {
	// Young is set shortly after the node's start.
	Young bool `cbor:"1,keyasint,omitempty"`
	// Known is set once the node has more than an assumption of what is used.
	Known bool `cbor:"2,keyasint,omitempty"`
	// Levels are the used parts of the quotas, over all nodes. Unused quotas are absent.
	Levels map[fleet.AccountName]float64 `cbor:"3,keyasint,omitempty"`
}

// Report returns the state of the quotas for the other nodes.
func (qs *QuotaLimiter) Report(now clock.Instant) Report {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	r := Report{Young: qs.Started != 0 && now.Sub(qs.Started) < youngTime, Known: len(qs.buckets) > 0 && !qs.assuming(now)}
	if !r.Known {
		return r
	}
	r.Levels = make(map[fleet.AccountName]float64)
	for name, b := range qs.buckets {
		b.refill(b.quota, b.nodes, now)
		if b.consumed > 0 {
			r.Levels[name] = b.consumed
		}
	}
	if len(r.Levels) > maxLevels {
		names := slices.SortedFunc(maps.Keys(r.Levels), func(a, b fleet.AccountName) int {
			return cmp.Or(cmp.Compare(qs.used(b), qs.used(a)), cmp.Compare(a, b))
		})
		for _, name := range names[maxLevels:] {
			delete(r.Levels, name)
		}
	}
	return r
}

// used returns the used part of a quota, relative to its burst. The caller holds the lock.
func (qs *QuotaLimiter) used(name fleet.AccountName) float64 {
	b := qs.buckets[name]
	return b.consumed / max(1, b.quota.Burst)
}

// assuming reports whether what is used of the quotas is only assumed: the node
// restarted, and no node that knows it has reported. The caller holds the lock.
func (qs *QuotaLimiter) assuming(now clock.Instant) bool {
	return qs.Started != 0 && !qs.informed && now.Sub(qs.Started) < resyncTime
}

// Adopt takes over the report in the first digest of another node. What that node has
// counted until then is not reported as an increase later. The first report replaces
// the assumption after a restart. One that comes before the accounts are known is kept
// until then.
func (qs *QuotaLimiter) Adopt(r Report, now clock.Instant) {
	if !r.Known {
		return
	}
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if len(qs.buckets) == 0 {
		qs.early = r
		return
	}
	qs.adopt(r, now)
}

// adopt implements Adopt. The caller holds the lock.
func (qs *QuotaLimiter) adopt(r Report, now clock.Instant) {
	replace := qs.assuming(now)
	qs.informed = true
	for name, b := range qs.buckets {
		b.refill(b.quota, b.nodes, now)
		level, ok := r.Levels[name]
		if math.IsNaN(level) {
			continue
		}
		level = min(level, qs.maxLevel(b.quota))
		switch {
		case replace && (ok || len(r.Levels) < maxLevels):
			// What this node admitted since its start may not have reached the other one.
			b.consumed = max(0, level) + max(0, b.localTotal)
			b.fromAssumedNodes = false
		case level > b.consumed:
			b.consumed = level
		}
	}
}

// maxLevel bounds what another node may report as used.
func (qs *QuotaLimiter) maxLevel(q serving.Quota) float64 { return q.Burst + q.Rate + qs.Slack }
