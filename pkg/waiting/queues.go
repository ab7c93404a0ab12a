package waiting

import (
	"sync"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Queues holds a node's queues by pool. The zero value is ready to use.
type Queues struct {
	// Random is that of each Queue.
	Random func() float64

	mu    sync.Mutex
	pools map[fleet.PoolName]*Queue
}

// Of returns the queue of a pool.
func (qs *Queues) Of(pool fleet.PoolName) *Queue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	q := qs.pools[pool]
	if q == nil {
		if qs.pools == nil {
			qs.pools = make(map[fleet.PoolName]*Queue)
		}
		q = &Queue{Random: qs.Random}
		qs.pools[pool] = q
	}
	return q
}

// all returns the queues that are in use.
func (qs *Queues) all() map[fleet.PoolName]*Queue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	queues := make(map[fleet.PoolName]*Queue, len(qs.pools))
	for pool, q := range qs.pools {
		queues[pool] = q
	}
	return queues
}

// SetPeers sets what the other nodes report.
func (qs *Queues) SetPeers(r Report, now clock.Instant) {
	for pool := range r {
		qs.Of(pool)
	}
	for pool, q := range qs.all() {
		q.SetPeers(r[pool], now)
	}
}

// Report returns what this node reports; nil while there is room for all.
func (qs *Queues) Report(now clock.Instant) (r Report) {
	for pool, q := range qs.all() {
		if p, ok := q.Report(now); ok {
			if r == nil {
				r = make(Report)
			}
			r[pool] = p
		}
	}
	return r
}

// Waiting returns the number of waiting requests of all pools by rank.
func (qs *Queues) Waiting() map[Rank]int {
	counts := make(map[Rank]int)
	for _, q := range qs.all() {
		for rank, n := range q.Waiting() {
			counts[rank] += n
		}
	}
	return counts
}
