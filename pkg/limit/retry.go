package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of the pauses before retries.
const (
	retryBase = 20 * time.Millisecond
	retryMost = 2 * time.Second
	// strainedBase is the base once the budget is spent.
	strainedBase = time.Second
	// earned is what one request adds to the budget of retries.
	earned = 0.1
	// budgetMost bounds the budget.
	budgetMost = 50
)

// Budget bounds how many retries the requests of a node make of a failing
// pool: one in ten requests, and a reserve. A request that was accepted is
// never given up for it; past the budget its retries only pause longer. The
// zero value has a full reserve.
type RetryBudget struct {
	mu    sync.Mutex
	spent float64
}

// Earn counts a request that was accepted.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-earned)
}

// Pause takes one retry from the budget and returns how long to wait before
// it, with full jitter. Retry counts from 1.
func (b *RetryBudget) NextBackoff(retry int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	strained := b.spent >= budgetMost
	if !strained {
		b.spent++
	}
	return Backoff(retry, strained, rand.Float64())
}

// Backoff returns the pause before a retry; the draw is from 0 to below 1.
func Backoff(retry int, strained bool, draw float64) time.Duration {
	base := retryBase
	if strained {
		base = strainedBase
	}
	most := min(base<<min(max(retry-1, 0), 10), max(retryMost, base))
	return time.Duration(draw * float64(most))
}
