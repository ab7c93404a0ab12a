package allotment

import (
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// slots is into how many parts the retry window is divided.
const slots = 10

// caution is the part of its share that a node spends: windows slide, and what
// one node counts in a window another may count in the next.
const caution = 0.8

// Retries bounds the repeats to each pool by this node's part of the budget: a
// share of its own requests, and an even part of the slack. It answers endpoints
// that fail in numbers, where repeats would add to the load. The zero value
// allows none.
type RetryBudget struct {
	// Ratio, Slack and Window are the budget over all nodes.
	Ratio, Slack float64
	Window       time.Duration

	mu    sync.Mutex
	pools map[fleet.PoolName]*window
}

// window counts requests and repeats in slots of a sliding window.
type window struct {
	requests, repeats [slots]int
	slot              int64
}

func (r *RetryBudget) window(pool fleet.PoolName, now clock.Instant) *window {
	if r.pools == nil {
		r.pools = make(map[fleet.PoolName]*window)
	}
	w := r.pools[pool]
	if w == nil {
		w = &window{}
		r.pools[pool] = w
	}
	slot := int64(now) / max(1, int64(r.Window)/slots)
	for w.slot = max(w.slot, slot-slots); w.slot < slot; {
		w.slot++
		w.requests[w.slot%slots], w.repeats[w.slot%slots] = 0, 0
	}
	return w
}

// Request counts a caller's request to a pool.
func (r *RetryBudget) AddRequest(pool fleet.PoolName, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(pool, now)
	w.requests[w.slot%slots]++
}

// Take tells whether a repeat may be sent, and counts it.
func (r *RetryBudget) Take(pool fleet.PoolName, nodes int, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(pool, now)
	var requests, repeats int
	for i := range slots {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := caution * (r.Ratio*float64(requests) + r.Slack/float64(max(1, nodes)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.slot%slots]++
	return true
}
