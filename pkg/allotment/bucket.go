package allotment

import (
	"math"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Bucket is a node's estimate of what is left of an account's quota.
type Bucket struct {
	// quota and nodes are what the bucket was last filled by.
	quota   serving.Quota
	nodes   Nodes
	spent   float64
	updated clock.Instant
	// spentOwn is what this node has admitted in all.
	spentOwn float64
	// others is the rate at which the other nodes were heard to admit.
	others flow
	// refused is when this node last refused the account; paced is what it may admit
	// since then at an even pace, negative after a request that was larger.
	refused clock.Instant
	paced   float64
	pacedAt clock.Instant
	// asked and usual are the rate at which this node was asked, lately and over long.
	asked, usual flow
}

// flow is an average rate that decays with time.
type flow struct {
	rate float64
	at   clock.Instant
}

// now returns the rate as of an instant, averaged over a time.
func (f flow) now(over time.Duration, now clock.Instant) float64 {
	return f.rate * math.Exp(-now.Sub(f.at).Seconds()/over.Seconds())
}

func (f *flow) add(amount float64, over time.Duration, now clock.Instant) {
	f.rate = f.now(over, now) + amount/over.Seconds()
	f.at = now
}

// fill lets the bucket regain what the rate gives, less the share of silent nodes.
func (b *Bucket) fill(q serving.Quota, n Nodes, now clock.Instant) {
	b.quota, b.nodes = q, n
	passed := now.Sub(b.updated).Seconds()
	b.updated = now
	b.spent = max(0, b.spent-passed*q.Rate*n.heardShare())
}

// unheard estimates what the other nodes admitted and this one has yet to hear
// of. It answers an account that sets in with many times its load on all nodes at
// once: each takes the growth that it sees itself to be that of the others.
func (b *Bucket) unheard(q serving.Quota, n Nodes, now clock.Instant) float64 {
	steady := steadyShares * q.Rate / float64(max(1, n.Total))
	growth := (b.asked.now(recentTime, now) + steady) / (b.usual.now(usualTime, now) + steady)
	return min(max(1, growth), mostGrowth) * b.others.now(recentTime, now) * n.Lag.Seconds()
}

// pressed tells whether the account was refused lately, so that callers press on,
// and the nodes hear of each other too late to do without a pace.
func (b *Bucket) pressed(n Nodes, now clock.Instant) bool {
	return n.Lag >= paceLag && b.refused != 0 && now.Sub(b.refused) <= pressTime
}

// pace tells whether this node's even share has room. It answers callers that
// press on beyond a quota: without it all nodes see room at the same time, admit
// too much until they hear of each other, and then nothing for long.
func (b *Bucket) pace(q serving.Quota, n Nodes, now clock.Instant) bool {
	if !b.pressed(n, now) {
		return true
	}
	share := paceShares * q.Rate / float64(max(1, n.Total))
	b.paced = min(share*paceTime.Seconds(), b.paced+share*now.Sub(b.pacedAt).Seconds())
	b.pacedAt = now
	return b.paced > 0
}

// refuse notes that the account was refused.
func (b *Bucket) refuse(n Nodes, now clock.Instant) {
	if !b.pressed(n, now) {
		b.paced, b.pacedAt = 0, now
	}
	b.refused = now
}

const (
	// pressTime is how long after a refusal callers are taken to press on; longer
	// than the pauses that they are told.
	pressTime = 2 * time.Second
	// paceLag is the lag from which on the pace is kept; nodes that hear of each other
	// sooner do without.
	paceLag = 300 * time.Millisecond
	// paceShares is how many even shares a node admits in that time; balancers spread
	// callers unevenly.
	paceShares = 1.3
	// paceTime is how much of its share a node may save up in that time.
	paceTime = 500 * time.Millisecond
	// recentTime is the time over which present rates are averaged; little more
	// than a round of the exchange.
	recentTime = 500 * time.Millisecond
	// usualTime is the time over which a node's usual rate is averaged; longer than
	// the window of quotas.
	usualTime = 10 * time.Second
	// steadyShares is how many even shares of a quota are added to both rates of a
	// growth, so that a single request does not look like one.
	steadyShares = 12
	// mostGrowth bounds the growth that is believed.
	mostGrowth = 1.5
)
