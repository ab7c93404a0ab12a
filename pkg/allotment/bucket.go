package allotment

import (
	"math"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Bucket is a node's estimate of the remaining quota of an account.
type Bucket struct {
	// quota and nodes are the values that the last refill used.
	quota serving.Quota
	nodes Nodes
	// consumed is the part of the capacity in use, over all nodes.
	consumed   float64
	refilledAt clock.Instant
	// assumedLevel is what was assumed as consumed after a restart, and fromAssumedNodes
	// is set while it rests on a guess of the number of nodes.
	assumedLevel     float64
	fromAssumedNodes bool
	// resynchronising is set until the time after a restart ends in which silent nodes
	// are not deducted.
	resynchronising bool
	// localTotal is the amount (requests or tokens) that this node has admitted since
	// its start, less refunds.
	localTotal float64
	// peerRate is the rate of admission that peers report.
	peerRate decayingRate
	// refusedAt is when this node last refused the account. shareTokens is what it
	// may still admit of its even share while the account is saturated; it is
	// negative after a request that was larger than the rest.
	refusedAt       clock.Instant
	shareTokens     float64
	shareRefilledAt clock.Instant
	// recentDemand and usualDemand are the requested rates at this node, averaged
	// over recentPeriod and usualPeriod.
	recentDemand, usualDemand decayingRate
}

// decayingRate is an exponentially decaying average of a rate.
type decayingRate struct {
	rate      float64
	updatedAt clock.Instant
}

// value returns the rate at an instant, averaged over period.
func (r decayingRate) value(period time.Duration, now clock.Instant) float64 {
	return r.rate * math.Exp(-now.Sub(r.updatedAt).Seconds()/period.Seconds())
}

// add counts an amount at an instant.
func (r *decayingRate) add(amount float64, period time.Duration, now clock.Instant) {
	r.rate = r.value(period, now) + amount/period.Seconds()
	r.updatedAt = now
}

// refill refills the bucket at the quota's rate, less the shares of silent nodes.
func (b *Bucket) refill(q serving.Quota, n Nodes, now clock.Instant) {
	b.quota, b.nodes = q, n
	elapsed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.consumed = max(0, b.consumed-elapsed*q.Rate*n.reportingShare())
}

// unreported estimates what peers have admitted but not yet reported. It limits
// an account whose load rises many times on all nodes at the same time: each node assumes
// that the load at its peers grew as much as its own.
func (b *Bucket) unreported(q serving.Quota, n Nodes, now clock.Instant) float64 {
	offset := growthOffsetShares * q.Rate / float64(max(1, n.Total))
	growth := (b.recentDemand.value(recentPeriod, now) + offset) / (b.usualDemand.value(usualPeriod, now) + offset)
	return min(max(1, growth), maxGrowth) * b.peerRate.value(recentPeriod, now) * n.Lag.Seconds()
}

// saturated reports whether the demand of the account exceeds its quota, as a
// recent refusal shows, and peer reports are too late to share the quota without
// a limit on each node.
func (b *Bucket) saturated(n Nodes, now clock.Instant) bool {
	return n.Lag >= shareLimitMinLag && b.refusedAt != 0 && now.Sub(b.refusedAt) <= saturationPeriod
}

// hasShare reports whether the account is not saturated, or may use more of this
// node's even share. Without this limit, all nodes see free quota at the same
// time, admit too much until they receive each other's reports, and then admit
// nothing for a long time.
func (b *Bucket) hasShare(q serving.Quota, n Nodes, now clock.Instant) bool {
	if !b.saturated(n, now) {
		return true
	}
	share := saturatedShares * q.Rate / float64(max(1, n.Total))
	b.shareTokens = min(share*shareBurstTime.Seconds(), b.shareTokens+share*now.Sub(b.shareRefilledAt).Seconds())
	b.shareRefilledAt = now
	return b.shareTokens > 0
}

// recordRefusal records that the account was refused, unless its quota is mostly free,
// and empties the share of an account that was not saturated before.
func (b *Bucket) recordRefusal(mostlyFree bool, n Nodes, now clock.Instant) {
	if mostlyFree {
		return
	}
	if !b.saturated(n, now) {
		b.shareTokens, b.shareRefilledAt = 0, now
	}
	b.refusedAt = now
}

const (
	// saturationPeriod is how long after a refusal an account counts as saturated.
	// It is longer than the waits that refused callers are given.
	saturationPeriod = 2 * time.Second
	// shareLimitMinLag is the minimum Nodes.Lag at which even shares are enforced.
	// Nodes whose reports arrive sooner do not need the limit.
	shareLimitMinLag = 300 * time.Millisecond
	// saturatedShares is the number of even shares that a node may admit for a
	// saturated account. It is more than 1 because load balancers spread callers
	// unevenly.
	saturatedShares = 1.3
	// shareBurstTime bounds the unused share that a node accumulates, as the time
	// in which it accrues.
	shareBurstTime = 500 * time.Millisecond
	// recentPeriod is the averaging period of current rates; slightly longer than
	// an exchange round.
	recentPeriod = 500 * time.Millisecond
	// usualPeriod is the averaging period of a node's usual rate; longer than the
	// window of quotas.
	usualPeriod = 10 * time.Second
	// growthOffsetShares is the number of even shares of a quota that is added to
	// both rates of a growth factor, so that a single request does not count as
	// growth.
	growthOffsetShares = 12
	// maxGrowth bounds the growth factor.
	maxGrowth = 1.5
)
