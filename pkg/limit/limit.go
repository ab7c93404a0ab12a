// Package limit decides which requests a node accepts: by the account's rate,
// which is split among the nodes, and by whether the request can be finished
// before its deadline. Accepted requests wait in a fair queue for room at the
// endpoints and are not dropped from it.
package limit

import (
	"fmt"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Request is what is asked to be admitted.
type Request struct {
	Account  fleet.AccountName
	Pool     fleet.PoolName
	Priority int
	Deadline time.Time
	// Rate is the account's limit over all nodes in requests a second; 0 is no
	// limit. Burst is how many may come at once; 0 takes one second's worth.
	Rate  float64
	Burst int
	// Service is the predicted time from the dispatch to the end.
	ServiceTime time.Duration
	// Room is how many requests this node may have in the pool at a time; 0 is
	// no bound.
	MaxRunning int
	// Gone is closed when the caller has gone away; the request then gives up its
	// place. Nil means never.
	Cancelled <-chan struct{}
}

// latest is the last moment at which the request can be dispatched in time.
func (r *Request) latest() time.Time { return r.Deadline.Add(-r.ServiceTime) }

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonRate     Reason = "rate"
	ReasonCapacity Reason = "capacity"
	ReasonDeadline Reason = "deadline"
	// ReasonGone is for a caller who went away before the dispatch.
	ReasonCancelled Reason = "gone"
)

// RefusedError reports a request that was not admitted.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when a like request would be admitted, if nothing else comes
	// before it; 0 if it never would.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	switch e.Reason {
	case ReasonRate:
		return fmt.Sprintf("the account's rate limit is reached; a request is free in %v", e.RetryAfter)
	case ReasonCapacity:
		return fmt.Sprintf("the request cannot be finished by its deadline now; it could be in %v", e.RetryAfter)
	case ReasonCancelled:
		return "the caller went away while the request waited"
	default:
		return "the request takes longer than its deadline allows"
	}
}
