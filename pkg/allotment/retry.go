package allotment

import (
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// windowSlots is the number of slots of the sliding window.
const windowSlots = 10

// budgetFraction is the fraction of its share that a node uses. The windows of
// the nodes are not aligned: what one node counts in a window, another may count
// in the next.
const budgetFraction = 0.8

// restartBudgetFraction is the fraction for Window after a restart: what the node's
// predecessor may have left of its share.
const restartBudgetFraction = 1 - budgetFraction

// RetryBudget limits the retries to each pool by this node's share of the budget:
// a ratio of its own requests and an even share of the slack. It guards against
// retries that add to the load when many endpoints fail. The zero value allows
// no retries.
type RetryBudget struct {
	// Ratio, Slack and Window define the budget over all nodes: in each window,
	// Ratio times the requests plus Slack.
	Ratio, Slack float64
	Window       time.Duration
	// Started is when the node started. Its predecessor is assumed to have used all that it
	// was allowed to just before. If Started is 0, there was none.
	Started clock.Instant

	mu    sync.Mutex
	pools map[fleet.PoolName]*retryWindow
}

// retryWindow counts requests and retries in the slots of a sliding window.
type retryWindow struct {
	requests, retries [windowSlots]int
	slot              int64
}

// window returns a pool's window, advanced to now. The caller holds the lock.
func (r *RetryBudget) window(pool fleet.PoolName, now clock.Instant) *retryWindow {
	if r.pools == nil {
		r.pools = make(map[fleet.PoolName]*retryWindow)
	}
	w := r.pools[pool]
	if w == nil {
		w = &retryWindow{}
		r.pools[pool] = w
	}
	slot := int64(now) / max(1, int64(r.Window)/windowSlots)
	for w.slot = max(w.slot, slot-windowSlots); w.slot < slot; {
		w.slot++
		w.requests[w.slot%windowSlots], w.retries[w.slot%windowSlots] = 0, 0
	}
	return w
}

// AddRequest counts a caller's request to a pool.
func (r *RetryBudget) AddRequest(pool fleet.PoolName, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(pool, now)
	w.requests[w.slot%windowSlots]++
}

// Take reports whether a retry may be sent, and counts it if so.
func (r *RetryBudget) Take(pool fleet.PoolName, nodes int, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(pool, now)
	var requests, retries int
	for i := range windowSlots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	slack := r.Slack / float64(max(1, nodes))
	allowed := budgetFraction * (r.Ratio*float64(requests) + slack)
	if running := now.Sub(r.Started); r.Started != 0 && running < r.Window {
		// Several predecessors may have ended in one window, so each has the slack for the
		// time that it ran.
		allowed = restartBudgetFraction * (r.Ratio*float64(requests) + slack*running.Seconds()/r.Window.Seconds())
	}
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.slot%windowSlots]++
	return true
}
