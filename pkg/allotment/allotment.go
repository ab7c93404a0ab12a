// Package allotment divides limits that hold over all nodes: the quota of a
// client account and the budget of repeats. A node that hears of the others
// spends by what all have spent; those it does not hear of are taken to spend
// an even share, so that the sum holds also while nodes are cut off.
package allotment

import (
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
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

// leastWait is when a caller may come back that was refused for the pace alone.
const leastWait = 250 * time.Millisecond

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
func (t *Quotas) Track(accounts []serving.Account, n Nodes, now clock.Instant) {
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
	if wait = t.early(b, a.Quota, amount, n, now); wait > 0 {
		return false, wait
	}
	used := b.spent
	if !b.pressed(n, now) {
		used += b.unheard(a.Quota, n, now)
	}
	if room := t.capacity(a.Quota, n) - used; amount > room && used > 0 {
		b.refuse(n, now)
		return false, time.Duration((amount - room) / a.Quota.Rate * float64(time.Second))
	}
	if !b.pace(a.Quota, n, now) {
		b.refuse(n, now)
		return false, leastWait
	}
	b.paced -= amount
	b.spent += amount
	b.spentOwn += amount
	return true, 0
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

// Return gives back what was admitted for a request that did not run.
func (t *Quotas) Refund(a fleet.AccountName, amount float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[a]; b != nil {
		b.spent = max(0, b.spent-amount)
		b.spentOwn -= amount
	}
}

// Heard counts what another node admitted since it was last heard of. Accounts
// that are not known yet are left out.
func (t *Quotas) AddPeerUsage(a fleet.AccountName, amount float64, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[a]; b != nil {
		b.fill(b.quota, b.nodes, now)
		b.spent = max(0, b.spent+amount)
		b.others.add(amount, recentTime, now)
	}
}

// Own returns what this node has admitted in all, by account.
func (t *Quotas) LocalTotals() map[fleet.AccountName]float64 {
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
