// Package allotment enforces limits that apply to all nodes together: the quota
// of a client account and the retry budget. A node deducts what its peers report
// as admitted. Each silent peer is assumed to use its even share, so that the
// total stays within the limit during a network partition.
package allotment

import (
	"math"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Nodes holds the number of nodes and how well this node knows their usage.
type Nodes struct {
	// Total is the number of nodes, including this one; at least 1.
	Total int
	// Silent is the number of nodes without a recent report.
	Silent int
	// Assumed is set while the list of nodes is not known and Total is a guess.
	Assumed bool
	// Lag is the average age of the usage in the latest reports of the peers.
	Lag time.Duration
	// alone is set shortly after a restart while no other node has reported.
	alone bool
}

// reportingShare returns the fraction of the nodes that are not silent.
func (n Nodes) reportingShare() float64 {
	if n.Total <= 0 {
		return 1
	}
	return float64(n.Total-n.Silent) / float64(n.Total)
}

// othersSilent reports whether there are other nodes and none of them reports.
func (n Nodes) othersSilent() bool { return n.Total > 1 && n.Silent >= n.Total-1 }

// shareRetryWait is the wait returned for a request that is refused only because
// the even share of this node is used up.
const shareRetryWait = 250 * time.Millisecond

// minRestartTime is the minimum time between the termination of all nodes and
// their next start: the platform's delay plus the start-up itself.
const minRestartTime = 500 * time.Millisecond

// slackFraction is the fraction of QuotaLimiter.Slack that is added to the burst.
// The rest covers what the nodes admit before they receive each other's reports.
const slackFraction = 0.15

// restartFraction is the part of the excess over a quota that is used after a restart.
const restartFraction = 0.25

// QuotaLimiter holds a token bucket for each account. The zero value is ready to use.
type QuotaLimiter struct {
	// Slack and Tolerance, a part of the quota, are by how much an account may exceed its
	// quota over all nodes in Window.
	Slack, Tolerance float64
	Window           time.Duration
	// Started is when the node started. What the nodes admitted before is unknown,
	// so each quota is assumed to have been used up minRestartTime before Started, and
	// restartRoom of what it may be exceeded by is used. If Started is 0, quotas begin
	// unused.
	Started clock.Instant

	mu      sync.Mutex
	buckets map[fleet.AccountName]*Bucket
	// informed is set once a node that knows what is used has reported since Started,
	// resynced once most nodes have.
	informed, resynced bool
	// early is the latest report that came before the accounts were known.
	early Report
}

// capacity returns the bucket size of an account: its burst and the usable slack,
// less the shares of silent nodes.
func (qs *QuotaLimiter) capacity(q serving.Quota, n Nodes) float64 {
	return (q.Burst + slackFraction*qs.Slack) * n.reportingShare()
}

// restartRoom returns what an account may use beyond its quota after the loss of all
// nodes. Those that were lost may have used a part of the excess in the same window.
func (qs *QuotaLimiter) restartRoom(q serving.Quota, n Nodes) float64 {
	if n.Assumed {
		return 0
	}
	return restartFraction * (qs.Tolerance*(q.Rate*qs.Window.Seconds()+q.Burst) + (1-slackFraction)*qs.Slack)
}

// restartLevel returns the used part of a quota that is assumed after a restart.
func (qs *QuotaLimiter) restartLevel(q serving.Quota, n Nodes) float64 {
	return max(0, qs.capacity(q, n)-qs.restartRoom(q, n))
}

// bucket returns an account's bucket, refilled up to now. The caller holds the lock.
func (qs *QuotaLimiter) bucket(a *serving.Account, n Nodes, now clock.Instant) *Bucket {
	if qs.buckets == nil {
		qs.buckets = make(map[fleet.AccountName]*Bucket)
	}
	b := qs.buckets[a.Name]
	if b == nil {
		b = &Bucket{refilledAt: now, usualDemand: decayingRate{rate: a.Quota.Rate / float64(max(1, n.Total)), updatedAt: now}}
		if qs.Started != 0 {
			b.assumedLevel = qs.restartLevel(a.Quota, n)
			b.consumed, b.refilledAt = b.assumedLevel, qs.Started.Add(-minRestartTime)
			b.fromAssumedNodes, b.resynchronising = n.Assumed, qs.assuming(now)
		}
		qs.buckets[a.Name] = b
	}
	if b.fromAssumedNodes && !n.Assumed {
		notRefilled := a.Quota.Rate * now.Sub(qs.Started.Add(-minRestartTime)).Seconds() * (1 - b.nodes.reportingShare())
		b.consumed = max(0, b.consumed+qs.restartLevel(a.Quota, n)-b.assumedLevel-notRefilled)
		b.fromAssumedNodes = false
	}
	if b.resynchronising && !qs.assuming(now) {
		b.resynchronising = false
		if !qs.informed && !n.Assumed && n.othersSilent() {
			// The node is cut off rather than started with all others, which may have
			// admitted all the time. What it used beyond its even share is paid back.
			refilled := a.Quota.Rate * now.Sub(qs.Started.Add(-minRestartTime)).Seconds() * n.reportingShare()
			b.consumed, b.refilledAt = max(0, qs.capacity(a.Quota, n)-refilled+b.localTotal), now
		}
	}
	b.refill(a.Quota, n, now)
	return b
}

// Track creates buckets for accounts, so that usage that peers report is counted
// even if this node has no requests of these accounts.
func (qs *QuotaLimiter) Track(accounts []serving.Account, n Nodes, now clock.Instant) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	n = qs.resync(n, now)
	for i := range accounts {
		if a := &accounts[i]; a.Quota.Rate > 0 {
			qs.bucket(a, n, now)
		}
	}
	if qs.early.Known && len(qs.buckets) > 0 {
		qs.adopt(qs.early, now)
		qs.early = Report{}
	}
}

// Take admits an amount, or returns how long to wait before a retry. It limits
// an account that sends many times its quota: all nodes draw on the same burst,
// and each adds an estimate of what its peers have admitted but not yet reported.
func (qs *QuotaLimiter) Take(a *serving.Account, amount float64, n Nodes, now clock.Instant) (ok bool, wait time.Duration) {
	if a.Quota.Rate <= 0 {
		return true, 0
	}
	qs.mu.Lock()
	defer qs.mu.Unlock()
	n = qs.resync(n, now)
	b := qs.bucket(a, n, now)
	b.recentDemand.add(amount, recentPeriod, now)
	b.usualDemand.add(amount, usualPeriod, now)
	if wait = qs.resyncWait(b, a.Quota, amount, n, now); wait > 0 {
		return false, wait
	}
	estimate := b.consumed
	if !b.saturated(n, now) {
		estimate += b.unreported(a.Quota, n, now)
	}
	capacity := qs.capacity(a.Quota, n)
	// While most of the quota is free, the account is not saturated: other nodes have no
	// callers of it, and the even share would refuse what is within the quota.
	// What is only assumed to be used is no demand either.
	mostlyFree := b.consumed <= maxFreeUse*capacity || qs.Started != 0 && !qs.informed && now.Sub(qs.Started) < resyncTime
	if available := capacity - estimate; amount > available && estimate > 0 {
		b.recordRefusal(mostlyFree, n, now)
		return false, time.Duration((amount - available) / a.Quota.Rate * float64(time.Second))
	}
	if !b.hasShare(a.Quota, n, now) {
		b.recordRefusal(mostlyFree, n, now)
		return false, shareRetryWait
	}
	b.shareTokens -= amount
	b.consumed += amount
	b.localTotal += amount
	return true, 0
}

// resync ends the resynchronisation after a restart once most nodes report. Until then
// it returns the counts without silent nodes: those have not started yet, or report
// shortly, and resyncWait limits what each node may admit without their reports.
func (qs *QuotaLimiter) resync(n Nodes, now clock.Instant) Nodes {
	if !qs.assuming(now) {
		return n
	}
	// Nodes that started together exchange faster.
	n.Lag /= startLagDivisor
	if n.Total > 1 && !n.Assumed && n.reportingShare() >= resyncReporting && now.Sub(qs.Started) >= minResyncTime {
		qs.resynced = true
	}
	if !qs.resynced && !n.Assumed {
		n.alone = n.othersSilent()
		n.Silent = 0
	}
	return n
}

// resyncWait returns how long an amount has to wait while peer reports are incomplete
// after a restart, at most until the end of that time. All nodes may have been killed
// together, and callers then return to each of them. In this time a node admits one
// request of any size, and then up to resyncShares even shares of what was refilled
// since the nodes were terminated and of the restart room. A node that none has reached
// is limited to aloneShares, and to one after minResyncTime: it may be cut off while the
// others admit, and restart again and again.
func (qs *QuotaLimiter) resyncWait(b *Bucket, q serving.Quota, amount float64, n Nodes, now clock.Instant) time.Duration {
	if !qs.assuming(now) || qs.resynced || b.localTotal == 0 {
		return 0
	}
	sinceStart := now.Sub(qs.Started)
	refilled := q.Rate * (sinceStart + minRestartTime).Seconds()
	share := (refilled + qs.restartRoom(q, n)) / float64(max(1, n.Total))
	switch {
	case !n.alone:
		share *= resyncShares
	case sinceStart < minResyncTime:
		share *= aloneShares
	}
	if b.localTotal+amount <= share {
		return 0
	}
	if sinceStart < usualResyncTime {
		return usualResyncTime - sinceStart
	}
	return resyncTime - sinceStart
}

// maxFreeUse is the part of the capacity in use up to which a refusal does not make an
// account saturated.
const maxFreeUse = 0.5

const (
	// resyncTime is how long after a restart peer reports are taken as incomplete at
	// most; several exchange rounds. It usually ends after usualResyncTime, when
	// resyncReporting of the nodes report, and not before minResyncTime.
	resyncTime      = 1200 * time.Millisecond
	usualResyncTime = 600 * time.Millisecond
	minResyncTime   = 300 * time.Millisecond
	resyncReporting = 0.9
	// startLagDivisor is by how much shorter the interval of exchanges is in that time.
	startLagDivisor = 3
	// resyncShares is the number of even shares that a node may admit in that time.
	// It is more than 1 because load balancers spread callers unevenly.
	resyncShares = 3
	// aloneShares is that number for a node that none has reached.
	aloneShares = 2
)

// Refund returns the amount that was admitted for a request that did not run.
func (qs *QuotaLimiter) Refund(name fleet.AccountName, amount float64) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if b := qs.buckets[name]; b != nil {
		b.consumed = max(0, b.consumed-amount)
		b.localTotal -= amount
	}
}

// AddPeerUsage adds what a peer admitted since its previous report. Accounts
// without a bucket and amounts that are no finite numbers are ignored.
func (qs *QuotaLimiter) AddPeerUsage(name fleet.AccountName, amount float64, now clock.Instant) {
	if math.IsNaN(amount) || math.IsInf(amount, 0) {
		return
	}
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if b := qs.buckets[name]; b != nil {
		b.refill(b.quota, b.nodes, now)
		b.consumed = max(0, b.consumed+amount)
		b.peerRate.add(amount, recentPeriod, now)
	}
}

// LocalTotals returns the total that this node has admitted, by account.
func (qs *QuotaLimiter) LocalTotals() map[fleet.AccountName]float64 {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	totals := make(map[fleet.AccountName]float64, len(qs.buckets))
	for name, b := range qs.buckets {
		if b.localTotal != 0 {
			totals[name] = b.localTotal
		}
	}
	return totals
}
