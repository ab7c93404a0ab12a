// Package limit implements admission control on a node. A request is accepted if its
// account is within its rate limit, which is divided among the nodes, and if the
// request can finish before its deadline. Accepted requests wait in a fair queue for
// capacity at the endpoints and are not dropped from it.
package limit

import (
	"fmt"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Request is a request to be admitted.
type Request struct {
	Account  fleet.AccountName
	Pool     fleet.PoolName
	Priority int
	Deadline time.Time
	// Rate is the account's limit over all nodes in requests per second; 0 means no
	// limit. Burst is how many requests may arrive together; 0 means as many as Rate
	// allows in one second.
	Rate  float64
	Burst int
	// ServiceTime is the predicted time from the dispatch to the end of the request.
	ServiceTime time.Duration
	// MaxRunning is the maximum number of requests that this node may have
	// dispatched in the pool; 0 means no limit.
	MaxRunning int
	// Cancelled is closed when the caller has disconnected. The request is then
	// withdrawn from the queue. Nil means never.
	Cancelled <-chan struct{}
}

// latestDispatch returns the latest time at which the request can be dispatched to
// finish before its deadline.
func (r *Request) latestDispatch() time.Time { return r.Deadline.Add(-r.ServiceTime) }

// Reason is why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonRate     Reason = "rate"
	ReasonCapacity Reason = "capacity"
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled: the caller disconnected before the dispatch.
	ReasonCancelled Reason = "gone"
)

// RefusedError reports a request that was not admitted.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the time after which an equal request would be admitted if no
	// other request arrives before it; 0 if it would never be admitted.
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
