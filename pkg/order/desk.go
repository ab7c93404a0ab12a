package order

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// Delays of the desk.
const (
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

// Partition is one order stream with its fold.
type Partition struct {
	Stream *journal.Stream

	mu    sync.Mutex
	fold  Fold
	moved chan struct{}
}

// Apply folds one record.
func (p *Partition) Apply(pos record.Position, e record.Envelope) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Apply(pos, e)
}

// Applied wakes those who wait for an order to change.
func (p *Partition) Applied(fleet.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.moved != nil {
		close(p.moved)
		p.moved = nil
	}
}

// Save returns the fold's state for a snapshot.
func (p *Partition) Save() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Save()
}

// Load replaces the fold's state.
func (p *Partition) Load(data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Load(data)
}

// Get returns the order of a key.
func (p *Partition) Get(ref fleet.KeyRef) (Order, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Get(ref)
}

// Orders returns the orders for which keep reports true.
func (p *Partition) Orders(keep func(Order) bool) (list []Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold.Each(func(o Order) bool {
		if keep(o) {
			list = append(list, o)
		}
		return true
	})
	return list
}

// changed returns a channel that is closed when the fold has moved on.
func (p *Partition) changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.moved == nil {
		p.moved = make(chan struct{})
	}
	return p.moved
}

// Await blocks until the order of a key satisfies reached.
func (p *Partition) Await(ctx context.Context, ref fleet.KeyRef, reached func(Order) bool) (Order, error) {
	for {
		changed := p.changed()
		o, ok := p.Get(ref)
		if ok && reached(o) {
			return o, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return o, ctx.Err()
		}
	}
}

// Desk takes orders on and sees each one through: accept, dispatch, send,
// settle. It sends nothing to an endpoint before it has read its own dispatch
// in stream order.
type Desk struct {
	Node       fleet.NodeRef
	Partitions []*Partition
	// Send gives the order to an endpoint. An error for which NotStarted
	// reports true means that no endpoint began it; after any other error it
	// may have run.
	Send       func(ctx context.Context, o Order) (Reply, error)
	NotStarted func(err error) bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
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
func (d *Desk) Partition(ref fleet.KeyRef) *Partition {
	h := xxhash.New()
	_, _ = h.WriteString(string(ref.Account))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(ref.Key))
	return d.Partitions[h.Sum64()%uint64(len(d.Partitions))]
}

// Get returns the order of a key.
func (d *Desk) Get(ref fleet.KeyRef) (Order, bool) { return d.Partition(ref).Get(ref) }

func (d *Desk) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}

// Run takes an order on, or joins the one that holds its key, and returns it
// once it has an outcome. Errors are *ConflictError, *NotRunError and
// *UnknownError.
func (d *Desk) Run(ctx context.Context, r record.Accept) (Order, error) {
	p := d.Partition(r.Ref)
	if o, ok := p.Get(r.Ref); ok && o.Status != StatusNotRun {
		return d.join(ctx, p, o, r)
	}
	o, err := d.accept(ctx, p, r, true)
	if err != nil {
		return o, err
	}
	if o.Owner != d.Node || o.Status != StatusDispatched {
		return d.join(ctx, p, o, r)
	}
	return d.carryOut(ctx, p, o)
}

// Enqueue takes asynchronous work on and returns once the accept was read back
// in the stream. The desk's Serve runs it.
func (d *Desk) Enqueue(ctx context.Context, r record.Accept) (Order, error) {
	p := d.Partition(r.Ref)
	if o, ok := p.Get(r.Ref); ok && o.Status != StatusNotRun {
		return o, d.sameRequest(o, r)
	}
	o, err := d.accept(ctx, p, r, false)
	if err != nil {
		return o, err
	}
	return o, d.sameRequest(o, r)
}

func (d *Desk) sameRequest(o Order, r record.Accept) error {
	if o.Request.Digest != r.Digest {
		return &ConflictError{Ref: r.Ref}
	}
	return nil
}

// accept appends the accept and, for work to be sent at once, its dispatch in
// the same append, and returns the order that holds the key afterwards.
func (d *Desk) accept(ctx context.Context, p *Partition, r record.Accept, dispatch bool) (o Order, err error) {
	now := d.now()
	e, err := record.New(record.KindAccept, now, r)
	if err != nil {
		return o, &NotRunError{Detail: err.Error()}
	}
	records := []record.Envelope{e}
	if dispatch {
		grant, err := record.New(record.KindDispatch, now, record.Dispatch{Ref: r.Ref, Accept: e.ID, Term: 1, Owner: d.Node})
		if err != nil {
			return o, &NotRunError{Detail: err.Error()}
		}
		records = append(records, grant)
	}
	t, err := p.Stream.Submit(records...)
	if err != nil {
		return o, &NotRunError{Detail: err.Error()}
	}
	waitCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if err := t.Wait(waitCtx); err != nil {
		if t.Withdraw() {
			return o, &NotRunError{Detail: "the log took no record of it"}
		}
		return d.revoke(context.WithoutCancel(ctx), p, r, e.ID)
	}
	return d.read(p, r.Ref)
}

func (d *Desk) read(p *Partition, ref fleet.KeyRef) (Order, error) {
	o, ok := p.Get(ref)
	if !ok {
		return o, &UnknownError{Detail: "the key window has passed"}
	}
	return o, nil
}

// revoke cancels an accept whose append got no answer. The order counts as not
// run only if the stream proves it.
func (d *Desk) revoke(ctx context.Context, p *Partition, r record.Accept, accept record.ID) (o Order, err error) {
	ctx, cancel := context.WithTimeout(ctx, cancelWait)
	defer cancel()
	body := record.Cancel{Ref: r.Ref, Accept: accept, Detail: "the log gave no answer in time", Window: r.Window}
	e, err := record.New(record.KindCancel, d.now(), body)
	if err == nil {
		_, err = p.Stream.Write(ctx, e)
	}
	if err != nil {
		return o, &UnknownError{Detail: "the log gave no answer in time"}
	}
	o, ok := p.Get(r.Ref)
	if !ok || o.Accept != accept || o.Status == StatusNotRun {
		return o, &NotRunError{Detail: body.Detail}
	}
	if o.Holds(d.Node) {
		return d.release(ctx, p, o, body.Detail)
	}
	return o, &UnknownError{Detail: body.Detail}
}

// release settles an order that this node holds, and never sent, as not run.
func (d *Desk) release(ctx context.Context, p *Partition, o Order, detail string) (Order, error) {
	o, err := d.settle(ctx, p, o, record.Settle{Outcome: fleet.OutcomeNotRun, Detail: detail})
	if err != nil {
		return o, &UnknownError{Detail: detail}
	}
	return o, &NotRunError{Detail: detail}
}

// join waits for the outcome of the order that holds the key.
func (d *Desk) join(ctx context.Context, p *Partition, o Order, r record.Accept) (Order, error) {
	if err := d.sameRequest(o, r); err != nil {
		return o, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	o, err := p.Await(ctx, r.Ref, func(o Order) bool { return o.Final() || o.Status == StatusUnknown })
	if err != nil {
		return o, &UnknownError{Detail: "the order is still running"}
	}
	return o, d.verdict(o)
}

// verdict returns the error that tells a caller of an outcome without answer.
func (d *Desk) verdict(o Order) error {
	switch o.Status {
	case StatusNotRun:
		return &NotRunError{Detail: o.Result.Detail}
	case StatusUnknown:
		return &UnknownError{Detail: "the node that sent the order is gone"}
	default:
		return nil
	}
}

// carryOut sends an order that this node holds and settles it. The order is
// seen through even if its caller leaves.
func (d *Desk) carryOut(ctx context.Context, p *Partition, o Order) (Order, error) {
	ctx = context.WithoutCancel(ctx)
	sendCtx, cancel := context.WithDeadline(ctx, o.Request.Deadline)
	defer cancel()
	reply, err := d.Send(sendCtx, o)
	if err != nil && d.NotStarted(err) {
		return d.release(ctx, p, o, err.Error())
	}
	if err != nil {
		return o, &UnknownError{Detail: err.Error()}
	}
	r := record.Settle{
		Outcome: fleet.OutcomeDone,
		Status:  reply.Status,
		Type:    reply.Type,
		Answer:  reply.Body,
		Cost:    reply.Cost,
	}
	settled, err := d.settle(ctx, p, o, r)
	if err != nil {
		o.Status, o.Outcome, o.Result = StatusSettled, fleet.OutcomeDone, r
		return o, nil
	}
	return settled, nil
}

// settle appends the outcome and waits a while for it to be read back. The
// stream goes on appending it after that.
func (d *Desk) settle(ctx context.Context, p *Partition, o Order, r record.Settle) (Order, error) {
	r.Ref, r.Accept, r.Term, r.Owner = o.Request.Ref, o.Accept, o.Term, d.Node
	e, err := record.New(record.KindSettle, d.now(), r)
	if err != nil {
		return o, err
	}
	t, err := p.Stream.Submit(e)
	if err != nil {
		return o, err
	}
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	if err := t.Wait(ctx); err != nil {
		return o, errors.Wrap(err, "wait for the settle record")
	}
	return d.read(p, o.Request.Ref)
}
