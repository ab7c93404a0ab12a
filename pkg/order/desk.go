package order

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Delays of the desk.
const (
	// acceptWait is how long an order waits for its accept to be read back; a
	// caller learns early that the log does not answer.
	acceptWait = 5 * time.Second
	// settleWait is how long an answer waits for its settle record to be read
	// back before it goes to the caller all the same.
	settleWait = 500 * time.Millisecond
	// cancelWait is how long the desk tries to prove that an order whose accept
	// got no answer was not run.
	cancelWait = 2 * time.Second
)

// Reply is an endpoint's answer to an order.
type Reply struct {
	Status int
	Type   string
	Body   []byte
	Cost   fleet.MicroCents
}

// Desk takes orders on and sees each one through: accept, dispatch, send,
// settle. It sends nothing to an endpoint before it has read its own dispatch
// in stream order.
type Executor struct {
	Node       fleet.NodeRef
	Partitions []*Partition
	// Send gives the order to an endpoint. An error for which NotStarted
	// reports true means that no endpoint began it; after any other error it
	// may have run.
	Send       func(ctx context.Context, o Order) (Reply, error)
	NotStarted func(err error) bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// disowned holds the accepts whose call has ended without an outcome: this
	// node will never send their orders. Each is kept until the time given.
	disowned map[record.ID]time.Time
}

// ConflictError reports a key that was used for a different request.
type ConflictError struct{ Ref fleet.KeyRef }

// Error implements error.
func (e *ConflictError) Error() string {
	return "the idempotency key " + string(e.Ref.Key) + " belongs to a different request"
}

// NotRunError reports an order that certainly did not and will not run.
type NotRunError struct{ Detail string }

// Error implements error.
func (e *NotRunError) Error() string { return "the order was not run: " + e.Detail }

// UnknownError reports an order of which it cannot be told whether it ran.
type UnknownError struct{ Detail string }

// Error implements error.
func (e *UnknownError) Error() string { return "whether the order ran is not known: " + e.Detail }

// Partition returns the partition that holds a key.
func (d *Executor) Partition(ref fleet.KeyRef) *Partition {
	h := xxhash.New()
	_, _ = h.WriteString(string(ref.Account))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(ref.Key))
	return d.Partitions[h.Sum64()%uint64(len(d.Partitions))]
}

// Get returns the order of a key.
func (d *Executor) Get(ref fleet.KeyRef) (Order, bool) { return d.Partition(ref).Get(ref) }

func (d *Executor) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}

// Run takes an order on, or joins the one that holds its key, and returns it
// once it has an outcome. Errors are *ConflictError, *NotRunError and
// *UnknownError. The order returned with an error tells which accept it is of.
func (d *Executor) Run(ctx context.Context, r record.Accept) (Order, error) {
	p := d.Partition(r.Ref)
	if o, ok := p.Get(r.Ref); ok && o.Status != StatusNotRun {
		return d.join(ctx, p, o, r)
	}
	a, err := d.newAccept(r, !r.Repeatable)
	if err != nil {
		return Order{}, err
	}
	o, err := d.accept(ctx, p, a)
	if err != nil {
		return o, err
	}
	if o.Accept != a.id || r.Repeatable {
		return d.join(ctx, p, o, r)
	}
	if o.Grant != a.grant {
		return o, d.verdict(o)
	}
	return d.carryOut(ctx, p, o)
}

// Enqueue takes asynchronous work on and returns once the accept was read back
// in the stream. The desk's Server runs it.
func (d *Executor) Enqueue(ctx context.Context, r record.Accept) (Order, error) {
	p := d.Partition(r.Ref)
	if o, ok := p.Get(r.Ref); ok && o.Status != StatusNotRun {
		return o, d.sameRequest(o, r)
	}
	a, err := d.newAccept(r, false)
	if err != nil {
		return Order{}, err
	}
	o, err := d.accept(ctx, p, a)
	if err != nil {
		return o, err
	}
	return o, d.sameRequest(o, r)
}

func (d *Executor) sameRequest(o Order, r record.Accept) error {
	if o.Request.Digest != r.Digest {
		return &ConflictError{Ref: r.Ref}
	}
	return nil
}

// join waits for the outcome of the order that holds the key.
func (d *Executor) join(ctx context.Context, p *Partition, first Order, r record.Accept) (Order, error) {
	if err := d.sameRequest(first, r); err != nil {
		return first, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	o, err := p.Await(ctx, r.Ref, func(o Order) bool { return o.Accept != first.Accept || !o.Open() })
	if err != nil {
		return first, &UnknownError{Detail: "the order is still running"}
	}
	if o.Accept != first.Accept {
		return first, &UnknownError{Detail: "the key was taken by a later request"}
	}
	return o, d.verdict(o)
}

// verdict returns the error that tells a caller of an outcome without answer.
func (d *Executor) verdict(o Order) error {
	switch {
	case o.Status == StatusNotRun:
		return &NotRunError{Detail: o.Result.Detail}
	case o.Status == StatusUnknown && o.Result.Outcome == fleet.OutcomeUnknown:
		return &UnknownError{Detail: o.Result.Detail}
	case o.Status == StatusUnknown:
		return &UnknownError{Detail: "the node that sent the order is gone"}
	case o.Open():
		return &UnknownError{Detail: "the order is still running"}
	default:
		return nil
	}
}
