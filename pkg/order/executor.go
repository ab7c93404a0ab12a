package order

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Timeouts of the Executor.
const (
	// acceptTimeout is how long an order waits for its accept record to be read
	// back. It bounds the wait of a caller while the log does not respond.
	acceptTimeout = 5 * time.Second
	// settleTimeout is how long a response waits for its settle record to be read
	// back. After that the caller gets the response without it.
	settleTimeout = 500 * time.Millisecond
	// cancelTimeout is how long the Executor tries to prove that an order was not
	// run after the append of its accept got no response.
	cancelTimeout = 2 * time.Second
)

// Response is an endpoint's response to an order.
type Response struct {
	Status int
	Type   string
	Body   []byte
	Cost   fleet.MicroCents
}

// Executor accepts, dispatches, sends and settles orders. It sends an order to an
// endpoint only after it has read its dispatch record back from the stream.
type Executor struct {
	Node       fleet.NodeRef
	Partitions []*Partition
	// Send sends the order to an endpoint. An error for which NotStarted reports
	// true means that no endpoint has started the order; after any other error it
	// may have run.
	Send       func(ctx context.Context, o Order) (Response, error)
	NotStarted func(err error) bool
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// abandoned holds the accepts whose call ended without an outcome: this node
	// will not send their orders. Each is kept until the given time.
	abandoned map[record.ID]time.Time
}

// ConflictError reports an idempotency key that was used for a different request.
type ConflictError struct{ Ref fleet.KeyRef }

// Error implements error.
func (e *ConflictError) Error() string {
	return "the idempotency key " + string(e.Ref.Key) + " belongs to a different request"
}

// NotRunError reports an order that did not run and will not run.
type NotRunError struct{ Detail string }

// Error implements error.
func (e *NotRunError) Error() string { return "the order was not run: " + e.Detail }

// UnknownError reports an order that may or may not have run.
type UnknownError struct{ Detail string }

// Error implements error.
func (e *UnknownError) Error() string { return "the outcome of the order is unknown: " + e.Detail }

// Partition returns the partition that holds a key.
func (x *Executor) Partition(ref fleet.KeyRef) *Partition {
	h := xxhash.New()
	_, _ = h.WriteString(string(ref.Account))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(ref.Key))
	return x.Partitions[h.Sum64()%uint64(len(x.Partitions))]
}

// Get returns the order of a key.
func (x *Executor) Get(ref fleet.KeyRef) (Order, bool) { return x.Partition(ref).Get(ref) }

func (x *Executor) now() time.Time {
	if x.Now != nil {
		return x.Now()
	}
	return time.Now()
}

// Run executes an order, or joins the order that holds its key, and returns it
// once it has an outcome. Errors are *ConflictError, *NotRunError and
// *UnknownError. With an error, Accept of the returned order is the ID of the accept
// record of the order that the error concerns, or zero if there is none.
func (x *Executor) Run(ctx context.Context, r record.Accept) (Order, error) {
	p := x.Partition(r.Ref)
	if o, ok := p.Get(r.Ref); ok && o.Status != StatusNotRun {
		return x.join(ctx, p, o, r)
	}
	a, err := x.newAcceptance(r, !r.Repeatable)
	if err != nil {
		return Order{}, err
	}
	o, err := x.accept(ctx, p, a)
	if err != nil {
		return o, err
	}
	if o.Accept != a.id || r.Repeatable {
		return x.join(ctx, p, o, r)
	}
	if o.Grant != a.grant {
		return o, x.outcomeError(o)
	}
	return x.execute(ctx, p, o)
}

// Enqueue accepts asynchronous work and returns once the accept record was read
// back from the stream. The Worker of the Executor executes the work.
func (x *Executor) Enqueue(ctx context.Context, r record.Accept) (Order, error) {
	p := x.Partition(r.Ref)
	if o, ok := p.Get(r.Ref); ok && o.Status != StatusNotRun {
		return o, x.checkDigest(o, r)
	}
	a, err := x.newAcceptance(r, false)
	if err != nil {
		return Order{}, err
	}
	o, err := x.accept(ctx, p, a)
	if err != nil {
		return o, err
	}
	return o, x.checkDigest(o, r)
}

func (x *Executor) checkDigest(o Order, r record.Accept) error {
	if o.Request.Digest != r.Digest {
		return &ConflictError{Ref: r.Ref}
	}
	return nil
}

// join waits for the outcome of the order that holds the key.
func (x *Executor) join(ctx context.Context, p *Partition, joined Order, r record.Accept) (Order, error) {
	if err := x.checkDigest(joined, r); err != nil {
		return joined, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	o, err := p.Await(ctx, r.Ref, func(o Order) bool { return o.Accept != joined.Accept || !o.Open() })
	if err != nil {
		return joined, &UnknownError{Detail: "the order is still running"}
	}
	if o.Accept != joined.Accept {
		return joined, &UnknownError{Detail: "a later request uses the key"}
	}
	return o, x.outcomeError(o)
}

// outcomeError returns the error for an order without a response, or nil if the
// order is settled.
func (x *Executor) outcomeError(o Order) error {
	switch {
	case o.Status == StatusNotRun:
		return &NotRunError{Detail: o.Result.Detail}
	case o.Status == StatusUnknown && o.Result.Outcome == fleet.OutcomeUnknown:
		return &UnknownError{Detail: o.Result.Detail}
	case o.Status == StatusUnknown:
		return &UnknownError{Detail: "the node that sent the order has failed"}
	case o.Open():
		return &UnknownError{Detail: "the order is still running"}
	default:
		return nil
	}
}
