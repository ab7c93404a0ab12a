package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of the backoff before retries.
const (
	retryBaseDelay = 20 * time.Millisecond
	retryMaxDelay  = 2 * time.Second
	// exhaustedBaseDelay replaces retryBaseDelay while the budget is exhausted.
	exhaustedBaseDelay = time.Second
	// refundPerRequest is the number of retries that one accepted request adds to the
	// budget.
	refundPerRequest = 0.1
	// budgetSize is the number of retries in a full budget.
	budgetSize = 50
)

// RetryBackoff limits the rate of retries that a node sends to a failing pool by a
// budget: it holds at most budgetSize retries, and every ten accepted requests add one. An
// accepted request does not fail because the budget is exhausted; its retries only use
// a longer backoff. The zero value is a full budget.
type RetryBackoff struct {
	mu       sync.Mutex
	consumed float64
}

// Deposit adds the refund for an accepted request to the budget.
func (b *RetryBackoff) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consumed = max(0, b.consumed-refundPerRequest)
}

// NextBackoff takes one retry from the budget and returns the backoff before it, with
// full jitter. Retries are counted from 1.
func (b *RetryBackoff) NextBackoff(retry int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	exhausted := b.consumed >= budgetSize
	if !exhausted {
		b.consumed++
	}
	return Backoff(retry, exhausted, rand.Float64())
}

// Backoff returns the exponential backoff before a retry. The jitter is in [0, 1).
func Backoff(retry int, exhausted bool, jitter float64) time.Duration {
	base := retryBaseDelay
	if exhausted {
		base = exhaustedBaseDelay
	}
	maxDelay := min(base<<min(max(retry-1, 0), 10), max(retryMaxDelay, base))
	return time.Duration(jitter * float64(maxDelay))
}
