package waiting

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// meanWeight is the weight of a request in the mean of the engine time.
	meanWeight = 0.05
	// reportTime is how long after the last wait or refusal a queue is reported.
	reportTime = 2 * time.Second
	// minReported is the received engine time below which an account is not reported, in
	// milliseconds.
	minReported = 1
)

// Request is a request that may wait.
type Request struct {
	Account fleet.AccountName
	// Weight is the part of the room that the account is due, relative to the others.
	Weight float64
	Rank   Rank
	// Returning reports whether the caller was told to come back at this time.
	Returning bool
	// Work is the engine time that the request takes, in milliseconds.
	Work float64
	// LatestStart is the latest time at which the request may be sent to begin within its
	// objective.
	LatestStart clock.Instant
}

// weight returns the weight of the account, 1 if it is not set.
func (r *Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// Ticket is a waiting request.
type Ticket struct {
	Request
	wake chan struct{}
}

// Wake receives a value when the request should be looked at again.
func (t *Ticket) Wake() <-chan struct{} { return t.wake }

// signal makes Wake receive a value. It does not block.
func (t *Ticket) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Capacity is what the pool can do.
type Capacity struct {
	// Engines is the number of engines that accept requests.
	Engines int
	Nodes   Nodes
}

// rate returns the engine time that all nodes together may send, in milliseconds a second.
func (c Capacity) rate() float64 { return headroom * 1000 * float64(max(1, c.Engines)) }

// Queue holds the requests that wait at a node for the engines of a pool. They leave by
// rank, then by how far their account is behind its fair share, then those whose callers
// came back at the time they were told, then by their latest start. The zero value is an
// empty queue.
//
// It answers accounts of very uneven size, and a hot one, that compete for too little room:
// how much an account received lately on all nodes in proportion to its weight is the
// start tag of fair queueing, so that within a rank no account gets more than its share
// while others wait.
type Queue struct {
	mu      sync.Mutex
	waiting []*Ticket
	// received is the engine time that this node sent lately for each account while
	// requests waited, peers what the other nodes report.
	received map[fleet.AccountName]*recent
	peers    PoolReport
	// meanWork is the moving average of the engine time of requests.
	meanWork float64
	// allowance is the engine time that this node may send, as of allowedAt.
	allowance float64
	allowedAt clock.Instant
	// shortAt is when a request last waited or was refused.
	shortAt clock.Instant
}

// SetPeers sets what the other nodes report, and makes the first request look again.
func (q *Queue) SetPeers(p PoolReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peers = p
	q.wakeFirst()
}

// Contended reports whether requests wait at any node.
func (q *Queue) Contended() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 || len(q.peers.Waiting) > 0
}

// Outranked reports whether requests of a higher rank wait at other nodes.
func (q *Queue) Outranked(rank Rank) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.peers.total(rank-1) > 0
}

// Add adds a request that waits.
func (q *Queue) Add(r Request, now clock.Instant) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.meanWork == 0 {
		q.meanWork = r.Work
	}
	q.meanWork += meanWeight * (r.Work - q.meanWork)
	q.shortAt = now
	t := &Ticket{Request: r, wake: make(chan struct{}, 1)}
	q.waiting = append(q.waiting, t)
	return t
}

// Remove removes a request that is not sent.
func (q *Queue) Remove(t *Ticket, now clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shortAt = now
	q.remove(t)
	q.wakeFirst()
}

// remove removes a request. The caller holds the lock.
func (q *Queue) remove(t *Ticket) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// RecordRefusal records that a request was refused for lack of room.
func (q *Queue) RecordRefusal(now clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shortAt = now
}

// Wake makes the first request look again whether there is room.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// wakeFirst implements Wake. The caller holds the lock.
func (q *Queue) wakeFirst() {
	if len(q.waiting) > 0 {
		q.first(q.latest()).signal()
	}
}

// latest returns a time at which the received work may be compared. All of it decays
// alike, so the order does not depend on it. The caller holds the lock.
func (q *Queue) latest() (now clock.Instant) {
	for _, r := range q.received {
		now = max(now, r.updatedAt)
	}
	return now
}

// tag returns the engine time that an account received lately in proportion to its weight.
// The caller holds the lock.
func (q *Queue) tag(r *Request, now clock.Instant) float64 {
	received := q.peers.Received[r.Account]
	if own := q.received[r.Account]; own != nil {
		received += own.at(now)
	}
	return received / r.weight()
}

// first returns the request that leaves next. The caller holds the lock.
func (q *Queue) first(now clock.Instant) *Ticket {
	return slices.MinFunc(q.waiting, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), q.compareTags(a, b, now), compareWithin(&a.Request, &b.Request))
	})
}

// compareTags compares the accounts of two requests. The caller holds the lock.
func (q *Queue) compareTags(a, b *Ticket, now clock.Instant) int {
	if a.Account == b.Account {
		return 0
	}
	return cmp.Compare(q.tag(&a.Request, now), q.tag(&b.Request, now))
}

// compareWithin orders two requests of the same rank and account.
func compareWithin(a, b *Request) int {
	if a.Returning != b.Returning {
		if a.Returning {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.LatestStart, b.LatestStart)
}

// Wait returns how long a request, which may be that of a ticket, is predicted to wait at
// this node, by the work that leaves before it and this node's share of the room.
func (q *Queue) Wait(r *Request, c Capacity, now clock.Instant) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	ahead := q.ahead(r, now)
	if ahead == 0 && q.peers.total(r.Rank) == 0 {
		return 0
	}
	local := ahead / max(1, c.rate()*q.share(r.Rank, c))
	higher := (ahead + q.peers.total(r.Rank-1)) / c.rate()
	return time.Duration(max(local, higher) * float64(time.Second))
}

// ahead returns the work that leaves before a request: of each account in its rank as
// much as leads to the tag at which the request's turn comes. The caller holds the lock.
func (q *Queue) ahead(r *Request, now clock.Instant) (work float64) {
	own := 0.0
	type backlog struct{ tag, weight, work float64 }
	others := make(map[fleet.AccountName]backlog)
	for _, t := range q.waiting {
		switch {
		case &t.Request == r:
		case t.Rank < r.Rank:
			work += t.Work
		case t.Rank > r.Rank:
		case t.Account != r.Account:
			b := others[t.Account]
			others[t.Account] = backlog{q.tag(&t.Request, now), t.weight(), b.work + t.Work}
		case compareWithin(&t.Request, r) <= 0:
			own += t.Work
		}
	}
	turn := q.tag(r, now) + own/r.weight()
	for _, b := range others {
		work += min(b.work, max(0, (turn-b.tag)*b.weight))
	}
	return work + own
}

// share returns this node's part of the room for a rank. The caller holds the lock.
func (q *Queue) share(rank Rank, c Capacity) float64 {
	own := 0.0
	for _, t := range q.waiting {
		if t.Rank <= rank {
			own += t.Work
		}
	}
	return Share(own, own+q.peers.total(rank), q.meanWork, c.Nodes)
}

// IsFirst reports whether a request leaves next.
func (q *Queue) IsFirst(t *Ticket, now clock.Instant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 && q.first(now) == t
}

// Take removes the first request so that it is sent, if this node's share of the room
// allows it. The share may be overdrawn by one request, so that a long prompt does not wait
// until it has been saved up. The next request is to be woken once the engine's load counts
// this one.
func (q *Queue) Take(t *Ticket, c Capacity, now clock.Instant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	rate := c.rate() * q.share(t.Rank, c)
	saved := rate * allowanceTime.Seconds()
	if q.allowedAt == 0 {
		q.allowance = saved
	} else {
		q.allowance = min(saved, q.allowance+rate*now.Sub(q.allowedAt).Seconds())
	}
	q.allowedAt = now
	if q.allowance <= 0 {
		return false
	}
	q.allowance -= t.Work
	q.recordSent(&t.Request, now)
	q.remove(t)
	return true
}

// RecordSent records that a request is sent without a wait. It counts while there was
// too little room lately.
func (q *Queue) RecordSent(r Request, now clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.shortLately(now) || len(q.peers.Waiting) > 0 {
		q.recordSent(&r, now)
	}
}

// recordSent adds a request to what its account received. The caller holds the lock.
func (q *Queue) recordSent(r *Request, now clock.Instant) {
	if r.Account == "" {
		return
	}
	if q.received == nil {
		q.received = make(map[fleet.AccountName]*recent)
	}
	if q.received[r.Account] == nil {
		q.received[r.Account] = &recent{}
	}
	q.received[r.Account].add(r.Work, now)
}

// shortLately reports whether a request waited or was refused lately. The caller holds
// the lock.
func (q *Queue) shortLately(now clock.Instant) bool {
	return len(q.waiting) > 0 || q.shortAt != 0 && now.Sub(q.shortAt) <= reportTime
}

// Report returns what this node reports, or false if there was room for all lately. It
// forgets what accounts received long ago.
func (q *Queue) Report(now clock.Instant) (p PoolReport, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.waiting {
		p.Waiting = addTo(p.Waiting, map[Rank]float64{t.Rank: t.Work})
	}
	for account, r := range q.received {
		if amount := r.at(now); amount >= minReported {
			p.Received = addTo(p.Received, map[fleet.AccountName]float64{account: amount})
		} else {
			delete(q.received, account)
		}
	}
	p.Received = largest(p.Received, maxReported)
	return p, q.shortLately(now)
}

// Waiting returns the number of waiting requests by rank.
func (q *Queue) Waiting() map[Rank]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	counts := make(map[Rank]int)
	for _, t := range q.waiting {
		counts[t.Rank]++
	}
	return counts
}
