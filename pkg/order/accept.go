package order

import (
	"context"
	"maps"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// acceptance holds the records that create one order.
type acceptance struct {
	request record.Accept
	id      record.ID
	// grant is the ID of the dispatch record in the same append; zero for
	// asynchronous work.
	grant   record.ID
	records []record.Envelope
}

// newAcceptance returns the accept record and, if dispatch is set, the dispatch
// record that is appended with it.
func (x *Executor) newAcceptance(r record.Accept, dispatch bool) (a acceptance, err error) {
	now := x.now()
	e, err := record.New(record.KindAccept, now, r)
	if err != nil {
		return a, &NotRunError{Detail: err.Error()}
	}
	a = acceptance{request: r, id: e.ID, records: []record.Envelope{e}}
	if !dispatch {
		return a, nil
	}
	g, err := record.New(record.KindDispatch, now, record.Dispatch{Ref: r.Ref, Accept: e.ID, Term: 1, Owner: x.Node})
	if err != nil {
		return a, &NotRunError{Detail: err.Error()}
	}
	a.grant = g.ID
	a.records = append(a.records, g)
	return a, nil
}

// accept appends an acceptance and returns the order that holds the key once the
// records were read back.
func (x *Executor) accept(ctx context.Context, p *Partition, a acceptance) (Order, error) {
	local := Order{Accept: a.id, Request: a.request}
	if p.Incompatible() {
		return local, &NotRunError{Detail: errIncompatible.Error()}
	}
	t, err := p.Stream.Submit(a.records...)
	if err != nil {
		return local, &NotRunError{Detail: err.Error()}
	}
	waitCtx, cancel := context.WithDeadline(ctx, earlier(a.request.Deadline, x.now().Add(acceptTimeout)))
	defer cancel()
	if err := t.Wait(waitCtx); err != nil {
		if t.Withdraw() {
			return local, &NotRunError{Detail: "the accept record was not appended to the log"}
		}
		return x.revoke(context.WithoutCancel(ctx), p, a)
	}
	return x.lookup(p, a.request.Ref)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (x *Executor) lookup(p *Partition, ref fleet.KeyRef) (Order, error) {
	o, ok := p.Get(ref)
	if !ok {
		return o, &UnknownError{Detail: "the idempotency key has expired"}
	}
	return o, nil
}

// revoke cancels an accept whose append got no response in time. It reports the
// order as not run only if the stream proves this, or if the stream granted the
// right to send to this call, which then does not use it.
func (x *Executor) revoke(ctx context.Context, p *Partition, a acceptance) (Order, error) {
	const detail = "the log gave no answer in time"
	local := Order{Accept: a.id, Request: a.request}
	x.abandon(a)
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	body := record.Cancel{Ref: a.request.Ref, Accept: a.id, Detail: detail, Window: a.request.Window}
	e, err := record.New(record.KindCancel, x.now(), body)
	if err != nil {
		return local, &UnknownError{Detail: detail}
	}
	t, err := p.Stream.SubmitRequired(e)
	if err != nil || t.Wait(ctx) != nil {
		return local, &UnknownError{Detail: detail}
	}
	o, ok := p.Get(a.request.Ref)
	switch {
	case !ok || o.Accept != a.id || o.Status == StatusNotRun:
		x.removeAbandoned(a.id)
		return local, &NotRunError{Detail: detail}
	case a.grant == record.ID{}:
		x.removeAbandoned(a.id)
		return o, nil
	case o.Grant == a.grant:
		return x.settleNotRun(ctx, p, o, detail)
	default:
		return o, &UnknownError{Detail: detail}
	}
}

// abandon records that this node will not use the grant of an acceptance. If the
// order appears in the stream later, the Worker settles it as not run.
func (x *Executor) abandon(a acceptance) {
	if (a.grant == record.ID{}) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandoned == nil {
		x.abandoned = make(map[record.ID]time.Time)
	}
	x.abandoned[a.id] = x.now().Add(a.request.Window)
}

// pruneAbandoned removes the abandoned accepts whose key window has passed.
func (x *Executor) pruneAbandoned() {
	now := x.now()
	x.mu.Lock()
	defer x.mu.Unlock()
	maps.DeleteFunc(x.abandoned, func(_ record.ID, until time.Time) bool { return until.Before(now) })
}

// removeAbandoned removes one abandoned accept.
func (x *Executor) removeAbandoned(accept record.ID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.abandoned, accept)
}

func (x *Executor) isAbandoned(accept record.ID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := x.abandoned[accept]
	return ok
}
