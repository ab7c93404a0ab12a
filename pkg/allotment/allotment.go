// Package allotment divides limits that hold over all nodes: the quota of a
// client account and the budget of repeats. A node that hears of the others
// spends by what all have spent; those it does not hear of are taken to spend
// an even share, so that the sum holds also while nodes are cut off.
package allotment

import (
	"math"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
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

const (
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

// Nodes tells how many nodes there are and how many are not heard of.
type Nodes struct {
	// Total counts all nodes, this one included; at least 1.
	Total int
	// Silent counts those that have not been heard of lately.
	Silent int
	// Lag is how long ago, on average, the others admitted what is heard of last.
	Lag time.Duration
}

func (n Nodes) heardShare() float64 {
	if n.Total <= 0 {
		return 1
	}
	return float64(n.Total-n.Silent) / float64(n.Total)
}

// early tells how long an amount has to wait while this node, started again, has
// yet to hear of the others: all may have been killed at once, and their callers
// come back to each of them. Until then it spends a few even shares of what the
// quota regained since the end, and one request whatever its size.
func (t *Quotas) early(b *Bucket, q serving.Quota, amount float64, n Nodes, now clock.Instant) time.Duration {
	if t.Started == 0 || b.spentOwn == 0 || now.Sub(t.Started) >= hearTime {
		return 0
	}
	share := earlyShares * q.Rate / float64(max(1, n.Total))
	regained := now.Sub(t.Started) + restartTime
	return time.Duration((b.spentOwn+amount)/share*float64(time.Second)) - regained
}

const (
	// hearTime is how long a node that started again hears too little of the others;
	// some rounds of the exchange.
	hearTime = 1200 * time.Millisecond
	// earlyShares is how many even shares a node spends in that time; balancers
	// spread callers unevenly.
	earlyShares = 3
)

// restartTime is the least time that passes between the end of all nodes and their
// next start: the platform's delay and the start itself.
const restartTime = 500 * time.Millisecond

// slackShare is the part of the tolerance that accounts may use; the rest covers
// what the nodes admit before they hear of each other.
const slackShare = 0.15

// Quotas keeps the buckets of the accounts. The zero value is ready to use.
type Quotas struct {
	// Slack is the amount by which an account may exceed its quota over all nodes.
	Slack float64
	// Started is when the node started. What was admitted before is not known, so a
	// quota counts as used up shortly before; 0 lets it begin unused.
	Started clock.Instant

	mu      sync.Mutex
	buckets map[fleet.AccountName]*Bucket
}

// capacity is what an account may use at once, over the nodes that are heard of.
func (t *Quotas) capacity(q serving.Quota, n Nodes) float64 {
	return (q.Burst + slackShare*t.Slack) * n.heardShare()
}

// bucket returns an account's bucket as of now. The caller holds the lock.
func (t *Quotas) bucket(a *serving.Account, n Nodes, now clock.Instant) *Bucket {
	if t.buckets == nil {
		t.buckets = make(map[fleet.AccountName]*Bucket)
	}
	b := t.buckets[a.Name]
	if b == nil {
		b = &Bucket{updated: now, usual: flow{rate: a.Quota.Rate / float64(max(1, n.Total)), at: now}}
		if t.Started != 0 {
			b.spent, b.updated = t.capacity(a.Quota, n), t.Started.Add(-restartTime)
		}
		t.buckets[a.Name] = b
	}
	b.fill(a.Quota, n, now)
	return b
}

// Know begins to count what the other nodes admit for accounts, whether or not
// this node has requests of theirs.
func (t *Quotas) Know(accounts []serving.Account, n Nodes, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range accounts {
		if a := &accounts[i]; a.Quota.Rate > 0 {
			t.bucket(a, n, now)
		}
	}
}

// Take admits an amount, or tells how long until there may be room. It answers
// an account that sends many times its quota: the burst is shared by the nodes,
// each refuses the rest at once, and counts what the others are admitting while
// it has yet to hear of it.
func (t *Quotas) Take(a *serving.Account, amount float64, n Nodes, now clock.Instant) (ok bool, wait time.Duration) {
	if a.Quota.Rate <= 0 {
		return true, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(a, n, now)
	b.asked.add(amount, recentTime, now)
	b.usual.add(amount, usualTime, now)
	if wait := t.early(b, a.Quota, amount, n, now); wait > 0 {
		return false, wait
	}
	used := b.spent + b.unheard(a.Quota, n, now)
	if room := t.capacity(a.Quota, n) - used; amount > room && used > 0 {
		return false, time.Duration((amount - room) / a.Quota.Rate * float64(time.Second))
	}
	b.spent += amount
	b.spentOwn += amount
	return true, 0
}

// Return gives back what was admitted for a request that did not run.
func (t *Quotas) Return(a fleet.AccountName, amount float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[a]; b != nil {
		b.spent = max(0, b.spent-amount)
		b.spentOwn -= amount
	}
}

// Heard counts what another node admitted since it was last heard of. Accounts
// that are not known yet are left out.
func (t *Quotas) Heard(a fleet.AccountName, amount float64, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[a]; b != nil {
		b.fill(b.quota, b.nodes, now)
		b.spent = max(0, b.spent+amount)
		b.others.add(amount, recentTime, now)
	}
}

// Own returns what this node has admitted in all, by account.
func (t *Quotas) Own() map[fleet.AccountName]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[fleet.AccountName]float64, len(t.buckets))
	for name, b := range t.buckets {
		if b.spentOwn != 0 {
			own[name] = b.spentOwn
		}
	}
	return own
}
