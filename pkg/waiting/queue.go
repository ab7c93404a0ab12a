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
	// receivedTime is the time constant of the work that an account received lately. It
	// spans several exchanges, so that what the account receives on all nodes is seen.
	receivedTime = 2 * time.Second
	// wantedTime is the time constant of the work that found no room lately.
	wantedTime = 500 * time.Millisecond
	// shortShare is the part of the engines' time by which requests have to lack room for
	// a shortage to begin, endShare the part of that at which it ends.
	shortShare, endShare = 0.02, 0.1
	// shortTime is how long after the last wait or refusal a queue is reported.
	shortTime = 2 * time.Second
	// minReported is the engine time below which a sum is not reported, in milliseconds.
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

// Queue holds the requests that wait at a node for the engines of a pool. Those that can
// still begin within their objective leave first, then the order is by rank, by how far
// their account is behind its fair share, by whether their callers came back at the time
// they were told, and by their latest start. The zero value is an empty queue.
//
// It answers accounts of very uneven size, and a hot one, that compete for too little room:
// how much an account received lately on all nodes in proportion to its weight is the
// start tag of fair queueing, so that within a rank no account gets more than its share
// while others wait.
type Queue struct {
	// Random returns a number in [0, 1), and nil stands for 0. The allowances of nodes
	// start at different amounts by it.
	Random func() float64

	mu      sync.Mutex
	waiting []*Ticket
	// received is the engine time that this node sent lately for each account during the
	// shortage, wanted that of the requests that found no room when they arrived, by rank.
	received recents[fleet.AccountName]
	wanted   recents[Rank]
	// peers is what the other nodes report.
	peers PoolReport
	// meanWork is the moving average of the engine time of requests.
	meanWork   float64
	allowances map[Rank]*allowance
	// short is whether there was a shortage at the last look.
	short bool
	// shortAt is when a request last waited or was refused.
	shortAt clock.Instant
}

// SetPeers sets what the other nodes report, and makes the first request look again.
func (q *Queue) SetPeers(p PoolReport, now clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peers = PoolReport{Wanted: amounts(p.Wanted), Received: amounts(p.Received)}
	q.wakeFirst(now)
}

// Empty reports whether no request waits at this node.
func (q *Queue) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
}

// Short reports whether there is a shortage: it begins when the requests that found no
// room lately at any node are more than single ones, for the number of engines, and ends
// when there are next to none.
func (q *Queue) Short(engines int, now clock.Instant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	wanted := 0.0
	for _, work := range q.peers.Wanted {
		wanted += work
	}
	for _, r := range q.wanted {
		wanted += r.at(now, wantedTime)
	}
	limit := shortShare * wantedTime.Seconds() * 1000 * float64(engines)
	if q.short {
		limit *= endShare
	}
	q.short = wanted > limit
	return q.short
}

// shortLately reports whether a request found no room lately at any node. The caller holds
// the lock.
func (q *Queue) shortLately(now clock.Instant) bool {
	return len(q.waiting) > 0 || len(q.peers.Wanted) > 0 || q.shortAt != 0 && now.Sub(q.shortAt) <= shortTime
}

// Outranked reports whether requests that go before one of a rank found no room lately at
// other nodes: those of a higher rank, and all if the request is late anyway.
func (q *Queue) Outranked(rank Rank, late bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if late {
		return len(q.peers.Wanted) > 0
	}
	return q.peers.total(rank-1) > 0
}

// Add adds a request that waits.
func (q *Queue) Add(r Request, now clock.Instant) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordWanted(&r, now)
	t := &Ticket{Request: r, wake: make(chan struct{}, 1)}
	q.waiting = append(q.waiting, t)
	return t
}

// recordWanted records a request that found no room when it arrived. The caller holds the
// lock.
func (q *Queue) recordWanted(r *Request, now clock.Instant) {
	if q.meanWork == 0 {
		q.meanWork = r.Work
	}
	q.meanWork += meanWeight * (r.Work - q.meanWork)
	q.shortAt = now
	q.wanted.add(r.Rank, r.Work, now, wantedTime)
}

// Remove removes a request that is not sent.
func (q *Queue) Remove(t *Ticket, now clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shortAt = now
	q.remove(t)
	q.wakeFirst(now)
}

// remove removes a request. The caller holds the lock.
func (q *Queue) remove(t *Ticket) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// RecordRefusal records that a request was refused on arrival for lack of room.
func (q *Queue) RecordRefusal(r Request, now clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordWanted(&r, now)
}

// Wake makes the first request look again whether there is room.
func (q *Queue) Wake(now clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst(now)
}

// wakeFirst implements Wake. The caller holds the lock.
func (q *Queue) wakeFirst(now clock.Instant) {
	if len(q.waiting) > 0 {
		q.first(now).signal()
	}
}

// tag returns the engine time that an account received lately in proportion to its weight.
// The caller holds the lock.
func (q *Queue) tag(r *Request, now clock.Instant) float64 {
	received := q.peers.Received[r.Account]
	if own := q.received[r.Account]; own != nil {
		received += own.at(now, receivedTime)
	}
	return received / r.weight()
}

// first returns the request that leaves next. The caller holds the lock.
func (q *Queue) first(now clock.Instant) *Ticket {
	return slices.MinFunc(q.waiting, func(a, b *Ticket) int {
		return cmp.Or(compareLate(&a.Request, &b.Request, now), cmp.Compare(a.Rank, b.Rank), q.compareTags(a, b, now), compareWithin(&a.Request, &b.Request))
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
	return cmp.Or(compareBools(b.Returning, a.Returning), cmp.Compare(a.LatestStart, b.LatestStart))
}

// compareLate orders requests that can no longer begin within their objective after
// those that can.
func compareLate(a, b *Request, now clock.Instant) int {
	return compareBools(a.LatestStart < now, b.LatestStart < now)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
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
	local := ahead / max(1, c.Rate()*q.share(r, c, now))
	higher := (ahead + q.peers.total(r.Rank-1)) / c.Rate()
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
		case &t.Request == r, compareLate(&t.Request, r, now) > 0:
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

// share returns this node's part of the room for a request. The caller holds the lock.
func (q *Queue) share(request *Request, c Capacity, now clock.Instant) float64 {
	own := 0.0
	for wanted, r := range q.wanted {
		if wanted <= request.Rank {
			own += r.at(now, wantedTime)
		}
	}
	return Share(own, own+q.peers.total(request.Rank), min(q.meanWork, request.Work), c.Nodes)
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
	if q.allowance(t, c, now).amount <= 0 {
		return false
	}
	for rank, a := range q.allowances {
		if rank >= t.Rank {
			a.amount -= t.Work
		}
	}
	q.recordSent(&t.Request, now)
	q.remove(t)
	return true
}

// allowance is the engine time that a node may send for requests up to a rank.
type allowance struct {
	amount float64
	at     clock.Instant
}

// allowance returns the allowance of the rank of a request. What lower ranks use does not
// count against it. The caller holds the lock.
func (q *Queue) allowance(t *Ticket, c Capacity, now clock.Instant) *allowance {
	rank := t.Rank
	rate := c.Rate() * q.share(&t.Request, c, now)
	a := q.allowances[rank]
	if a == nil {
		if q.allowances == nil {
			q.allowances = make(map[Rank]*allowance)
		}
		a = &allowance{}
		q.allowances[rank] = a
	}
	if a.at == 0 || now.Sub(a.at) > shortTime {
		// The last shortage is over. The nodes must not send a request each at once now.
		a.amount = -q.phase() * t.Work
	} else {
		a.amount = min(rate*allowanceTime.Seconds(), a.amount+rate*now.Sub(a.at).Seconds())
	}
	a.at = now
	return a
}

// phase returns a number from 0 to 1 by which the node differs from others.
func (q *Queue) phase() float64 {
	if q.Random == nil {
		return 0
	}
	return q.Random()
}

// RecordSent records that a request is sent without a wait. It counts while there was
// too little room lately.
func (q *Queue) RecordSent(r Request, now clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.shortLately(now) {
		q.recordSent(&r, now)
	}
}

// recordSent adds a request to what its account received. The caller holds the lock.
func (q *Queue) recordSent(r *Request, now clock.Instant) {
	q.received.add(r.Account, r.Work, now, receivedTime)
}

// Report returns what this node reports, or false if there was room for all lately.
func (q *Queue) Report(now clock.Instant) (p PoolReport, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.Wanted = q.wanted.report(now, wantedTime)
	p.Received = largest(q.received.report(now, receivedTime), maxReported)
	return p, len(q.waiting) > 0 || q.shortAt != 0 && now.Sub(q.shortAt) <= shortTime
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
