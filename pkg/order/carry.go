package order

import (
	"context"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Delays between the attempts at work that may be repeated.
const (
	firstRetry = 100 * time.Millisecond
	mostRetry  = 10 * time.Second
)

// carryOut sends an order that was granted to this call, once, and settles it.
// The order is seen through even if its caller leaves.
func (d *Executor) carryOut(ctx context.Context, p *Partition, o Order) (Order, error) {
	if o.Request.Repeatable {
		return d.carryOutRepeatable(ctx, p, o)
	}
	ctx = context.WithoutCancel(ctx)
	if !o.Holds(d.Node) || !d.now().Before(o.Request.Deadline) {
		return d.release(ctx, p, o, "it could not be sent in time")
	}
	sendCtx, cancel := context.WithDeadline(ctx, o.Request.Deadline)
	defer cancel()
	reply, err := d.Send(sendCtx, o)
	if err != nil && d.NotStarted(err) {
		return d.release(ctx, p, o, err.Error())
	}
	if err != nil {
		return d.doubt(ctx, p, o, err)
	}
	return d.finish(ctx, p, o, reply)
}

// carryOutRepeatable sends work until it succeeds, its deadline passes or
// another node holds it.
func (d *Executor) carryOutRepeatable(ctx context.Context, p *Partition, o Order) (Order, error) {
	sendCtx, cancel := context.WithDeadline(ctx, o.Request.Deadline)
	defer cancel()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval, delay.RandomizationFactor = firstRetry, mostRetry, 1
	for {
		reply, err := d.Send(sendCtx, o)
		if err == nil {
			return d.finish(ctx, p, o, reply)
		}
		now, ok := p.Get(o.Request.Ref)
		if !ok || now.Grant != o.Grant || ctx.Err() != nil {
			return o, &UnknownError{Detail: "another node goes on with it"}
		}
		if !pause(sendCtx, delay.NextBackOff()) && ctx.Err() == nil {
			return d.fail(ctx, p, o, err)
		}
	}
}

// pause waits and reports whether the context still holds.
func pause(ctx context.Context, delay time.Duration) bool {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// finish settles an order with its answer. The answer is the caller's even if
// the log does not take the record in time.
func (d *Executor) finish(ctx context.Context, p *Partition, o Order, reply Reply) (Order, error) {
	r := record.Settle{
		Outcome: fleet.OutcomeDone,
		Status:  reply.Status,
		Type:    reply.Type,
		Answer:  reply.Body,
		Cost:    reply.Cost,
	}
	settled, recorded := d.settle(ctx, p, o, r)
	if recorded {
		return settled, nil
	}
	o.Status, o.Outcome, o.Result = StatusSettled, fleet.OutcomeDone, r
	return o, nil
}

// release settles an order that was granted to this node, and never sent, as
// not run. That holds whether or not the log takes the record in time.
func (d *Executor) release(ctx context.Context, p *Partition, o Order, detail string) (Order, error) {
	_, recorded := d.settle(ctx, p, o, record.Settle{Outcome: fleet.OutcomeNotRun, Detail: detail})
	if recorded {
		d.reclaim(o.Accept)
	}
	return o, &NotRunError{Detail: detail}
}

// doubt settles an order that was sent and of which no answer came as unknown.
// Only its holder settles it, so nothing can contradict this later.
func (d *Executor) doubt(ctx context.Context, p *Partition, o Order, cause error) (Order, error) {
	_, _ = d.settle(ctx, p, o, record.Settle{Outcome: fleet.OutcomeUnknown, Detail: cause.Error()})
	return o, &UnknownError{Detail: cause.Error()}
}

// fail settles repeatable work whose deadline has passed.
func (d *Executor) fail(ctx context.Context, p *Partition, o Order, cause error) (Order, error) {
	o, _ = d.settle(ctx, p, o, record.Settle{
		Outcome: fleet.OutcomeFailed,
		Status:  http.StatusGatewayTimeout,
		Detail:  cause.Error(),
	})
	return o, nil
}

// settle appends the outcome and reports whether it was read back within a
// while. The stream goes on appending it after that.
func (d *Executor) settle(ctx context.Context, p *Partition, o Order, r record.Settle) (settled Order, recorded bool) {
	r.Ref, r.Accept, r.Term, r.Owner = o.Request.Ref, o.Accept, o.Term, d.Node
	e, err := record.New(record.KindSettle, d.now(), r)
	if err != nil {
		return o, false
	}
	t, err := p.Stream.SubmitRequired(e)
	if err != nil {
		return o, false
	}
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	if t.Wait(ctx) != nil {
		return o, false
	}
	return p.Get(o.Request.Ref)
}
