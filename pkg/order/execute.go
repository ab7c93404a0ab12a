package order

import (
	"context"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Bounds of the backoff between attempts at repeatable work.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// execute sends an order once, under the grant of this call, and settles it. The
// end of the caller's context does not interrupt it, unless the work is
// repeatable.
func (x *Executor) execute(ctx context.Context, p *Partition, o Order) (Order, error) {
	if o.Request.Repeatable {
		return x.executeRepeatable(ctx, p, o)
	}
	ctx = context.WithoutCancel(ctx)
	if !o.Holds(x.Node) || !x.now().Before(o.Request.Deadline) {
		return x.settleNotRun(ctx, p, o, "it could not be sent in time")
	}
	sendCtx, cancel := context.WithDeadline(ctx, o.Request.Deadline)
	defer cancel()
	response, err := x.Send(sendCtx, o)
	if err != nil && x.NotStarted(err) {
		return x.settleNotRun(ctx, p, o, err.Error())
	}
	if err != nil {
		return x.settleUnknown(ctx, p, o, err)
	}
	return x.settleDone(ctx, p, o, response)
}

// executeRepeatable sends work with retries until it succeeds, its deadline
// passes, the context ends or another node takes it over.
func (x *Executor) executeRepeatable(ctx context.Context, p *Partition, o Order) (Order, error) {
	sendCtx, cancel := context.WithDeadline(ctx, o.Request.Deadline)
	defer cancel()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval, delay.RandomizationFactor = minRetryDelay, maxRetryDelay, 1
	for {
		response, err := x.Send(sendCtx, o)
		if err == nil {
			return x.settleDone(ctx, p, o, response)
		}
		current, ok := p.Get(o.Request.Ref)
		if !ok || current.Grant != o.Grant || ctx.Err() != nil {
			return o, &UnknownError{Detail: "another node may continue the order"}
		}
		if !sleep(sendCtx, delay.NextBackOff()) && ctx.Err() == nil {
			return x.settleFailed(ctx, p, o, err)
		}
	}
}

// sleep waits for the delay and reports whether the context is still active.
func sleep(ctx context.Context, delay time.Duration) bool {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// settleDone settles an order with the response of the endpoint. The caller gets the
// response even if the record is not read back in time.
func (x *Executor) settleDone(ctx context.Context, p *Partition, o Order, response Response) (Order, error) {
	r := record.Settle{
		Outcome:  fleet.OutcomeDone,
		Status:   response.Status,
		Type:     response.Type,
		Response: response.Body,
		Cost:     response.Cost,
	}
	settled, recorded := x.settle(ctx, p, o, r)
	if recorded {
		return settled, nil
	}
	o.Status, o.Outcome, o.Result = StatusSettled, fleet.OutcomeDone, r
	return o, nil
}

// settleNotRun settles an order that was granted to this node but that no endpoint
// has started, as not run. This outcome holds even if the record is not read back
// in time.
func (x *Executor) settleNotRun(ctx context.Context, p *Partition, o Order, detail string) (Order, error) {
	_, recorded := x.settle(ctx, p, o, record.Settle{Outcome: fleet.OutcomeNotRun, Detail: detail})
	if recorded {
		x.removeAbandoned(o.Accept)
	}
	return o, &NotRunError{Detail: detail}
}

// settleUnknown settles an order that was sent without a response. Only the holder
// can settle the order, so no later record contradicts the outcome.
func (x *Executor) settleUnknown(ctx context.Context, p *Partition, o Order, cause error) (Order, error) {
	_, _ = x.settle(ctx, p, o, record.Settle{Outcome: fleet.OutcomeUnknown, Detail: cause.Error()})
	return o, &UnknownError{Detail: cause.Error()}
}

// settleFailed settles repeatable work whose deadline has passed.
func (x *Executor) settleFailed(ctx context.Context, p *Partition, o Order, cause error) (Order, error) {
	o, _ = x.settle(ctx, p, o, record.Settle{
		Outcome: fleet.OutcomeFailed,
		Status:  http.StatusGatewayTimeout,
		Detail:  cause.Error(),
	})
	return o, nil
}

// settle appends the outcome and reports whether the record was read back within
// settleTimeout. The stream keeps trying to append the record after that.
func (x *Executor) settle(ctx context.Context, p *Partition, o Order, r record.Settle) (settled Order, recorded bool) {
	r.Ref, r.Accept, r.Term, r.Owner = o.Request.Ref, o.Accept, o.Term, x.Node
	e, err := record.New(record.KindSettle, x.now(), r)
	if err != nil {
		return o, false
	}
	t, err := p.Stream.SubmitRequired(e)
	if err != nil {
		return o, false
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if t.Wait(ctx) != nil {
		return o, false
	}
	return p.Get(o.Request.Ref)
}
