// Package waiting decides which stream requests wait at a node for room at the engines of
// a pool, in which order they leave, and which ones have no hope to begin in time. The
// nodes of a fleet decide alone, from what they know of each other. The package performs
// no I/O.
package waiting

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Rank is the rank of a request; 0 goes first.
type Rank int

const (
	// roomShare is the part of an objective that the queue at the best engine may take
	// while there is room. The rest is for the prompt itself.
	roomShare = 0.4
	// yieldShare is the part of that for a request while higher ranks find no room elsewhere.
	yieldShare = 0.35
	// lateStartFactor times the objective is the highest predicted time to the first event
	// with which a request is sent in calm. It exceeds 1 because predictions err and a late
	// response still has some value.
	lateStartFactor = 1.5
	// maxFlow is the factor by which what all nodes may send to an engine exceeds its engine
	// time while its queue is empty. It falls by fullFlow until the queue leaves just enough
	// room, and on to minFlow. So the queues settle in between, also if the measured engine
	// time is somewhat wrong.
	maxFlow, fullFlow, minFlow = 1.2, 0.8, 0.1
	// minTopFlow is the lowest factor for requests that are not outranked. Those of others are
	// held back first.
	minTopFlow = 0.6
	// allowanceTime is the time for which a node's allowance is saved up: an exchange round.
	allowanceTime = 300 * time.Millisecond
)

// Conditions are what a node knows about a request when it decides about it.
type Conditions struct {
	// Queue is the predicted wait at the best engine before the request's own prompt,
	// Prediction the time to the first event there including it.
	Queue, Prediction time.Duration
	// Idle reports whether the best engine has free capacity.
	Idle bool
	// Objective is the objective of the request, Tightest the shortest one among the
	// routes of the pool.
	Objective, Tightest time.Duration
	// Spent is the time since the request arrived and Remaining the time until its
	// deadline.
	Spent, Remaining time.Duration
	// Short reports whether there is a shortage, Outranked whether requests that go before
	// this one found no room lately at other nodes.
	Short, Outranked bool
}

// Room reports whether the engines have room for the request.
//
// It answers a burst of a low rank with a long objective: during a shortage all ranks
// keep the engines' queues as short as the tightest objective needs them, so that the low
// rank does not use the room of the others.
func (c Conditions) Room() bool {
	limit := c.Limit()
	if c.Outranked {
		limit = time.Duration(yieldShare * float64(limit))
	}
	return c.Idle || c.Queue <= limit
}

// Limit returns the queue at an engine that leaves room for the request, before it yields
// to higher ranks.
func (c Conditions) Limit() time.Duration {
	objective := c.Objective
	if c.Short && c.Tightest > 0 {
		objective = min(objective, c.Tightest)
	}
	return time.Duration(roomShare * float64(objective))
}

// MayStart reports whether the request may be sent in calm.
func (c Conditions) MayStart() bool {
	return c.Idle || float64(c.Spent+c.Prediction) < lateStartFactor*float64(c.Objective) && c.Prediction < c.Remaining
}

// MayWait reports whether a request that has to wait for the given time may still begin
// within its objective.
//
// It answers load beyond the capacity of the engines: if all requests waited, all would
// be late, so the ones that would be late are refused at once.
func (c Conditions) MayWait(wait time.Duration) bool {
	return c.Spent+wait+c.Prediction <= c.Objective && wait+c.Prediction < c.Remaining
}

// Nodes are the nodes that share the room.
type Nodes struct {
	// Total is their number, this one included, and Silent the number of those without a
	// recent report.
	Total, Silent int
}

// Share returns the part of the room that frees up which a node may use: that of the
// reporting nodes in proportion to the work that found no room lately, where each counts
// with at least a mean request. own and all are that work at this node and at all. Without
// reports it is an even share.
//
// It answers a sudden shortage that many nodes see at once: without it, all of them
// would send their requests to the first engine that is free.
func Share(own, all, mean float64, n Nodes) float64 {
	total := max(1, n.Total)
	reporting := max(1, total-n.Silent)
	sum := max(own, all) + float64(reporting)*mean
	if sum <= 0 {
		return 1 / float64(total)
	}
	return float64(reporting) / float64(total) * (own + mean) / sum
}

// Capacity is what the pool can do.
type Capacity struct {
	// Queues are the predicted waits at the engines that accept requests, and Limit the one
	// that leaves room.
	Queues []time.Duration
	Limit  time.Duration
	// Outranked is that of the request's Conditions.
	Outranked bool
	Nodes     Nodes
}

// Rate returns the engine time that all nodes together may send, in milliseconds a second.
// An engine with a long queue adds little, so that load that gathered on some engines does
// not keep requests from the others.
func (c Capacity) Rate() (rate float64) {
	lowest := minTopFlow
	if c.Outranked {
		lowest = minFlow
	}
	for _, queue := range c.Queues {
		rate += 1000 * max(lowest, maxFlow-fullFlow*float64(queue)/float64(max(1, c.Limit)))
	}
	return max(1, rate)
}

// Report is what nodes tell each other about the requests that wait, by pool.
type Report map[fleet.PoolName]PoolReport

// PoolReport describes the requests to one pool at the covered nodes.
type PoolReport struct {
	// Wanted is the engine time of the requests that found no room lately when they
	// arrived, by rank, in milliseconds.
	Wanted map[Rank]float64 `cbor:"1,keyasint,omitempty"`
	// Received is the engine time that each account received lately.
	Received map[fleet.AccountName]float64 `cbor:"2,keyasint,omitempty"`
}

// maxReported is the maximum number of accounts in the report of a pool.
const maxReported = 64

// total returns the wanted work of ranks up to a limit.
func (p PoolReport) total(limit Rank) (sum float64) {
	for rank, work := range p.Wanted {
		if rank <= limit {
			sum += work
		}
	}
	return sum
}

// Add returns the sum of two reports, and leaves both as they are.
func (r Report) Add(other Report) Report {
	if len(other) == 0 {
		return r
	}
	sum := make(Report, len(r)+len(other))
	for _, report := range []Report{r, other} {
		for pool, p := range report {
			total := sum[pool]
			total.Wanted = addTo(total.Wanted, p.Wanted)
			total.Received = addTo(total.Received, p.Received)
			sum[pool] = total
		}
	}
	for pool, p := range sum {
		p.Received = largest(p.Received, maxReported)
		sum[pool] = p
	}
	return sum
}
