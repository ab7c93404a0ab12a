package order

import (
	"context"
	"maps"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// acceptance holds the records that take one order on.
type acceptance struct {
	request record.Accept
	id      record.ID
	// grant is the dispatch that shares the append; zero for asynchronous work.
	grant   record.ID
	records []record.Envelope
}

// newAccept returns the accept and, for work to be sent at once, its dispatch.
func (d *Executor) newAccept(r record.Accept, dispatch bool) (a acceptance, err error) {
	now := d.now()
	e, err := record.New(record.KindAccept, now, r)
	if err != nil {
		return a, &NotRunError{Detail: err.Error()}
	}
	a = acceptance{request: r, id: e.ID, records: []record.Envelope{e}}
	if !dispatch {
		return a, nil
	}
	g, err := record.New(record.KindDispatch, now, record.Dispatch{Ref: r.Ref, Accept: e.ID, Term: 1, Owner: d.Node})
	if err != nil {
		return a, &NotRunError{Detail: err.Error()}
	}
	a.grant = g.ID
	a.records = append(a.records, g)
	return a, nil
}

// accept appends an acceptance and returns the order that holds the key
// afterwards.
func (d *Executor) accept(ctx context.Context, p *Partition, a acceptance) (Order, error) {
	mine := Order{Accept: a.id, Request: a.request}
	if p.Incompatible() {
		return mine, &NotRunError{Detail: errBlind.Error()}
	}
	t, err := p.Stream.Submit(a.records...)
	if err != nil {
		return mine, &NotRunError{Detail: err.Error()}
	}
	waitCtx, cancel := context.WithDeadline(ctx, earlier(a.request.Deadline, d.now().Add(acceptWait)))
	defer cancel()
	if err := t.Wait(waitCtx); err != nil {
		if t.Withdraw() {
			return mine, &NotRunError{Detail: "the log took no record of it"}
		}
		return d.revoke(context.WithoutCancel(ctx), p, a)
	}
	return d.read(p, a.request.Ref)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (d *Executor) read(p *Partition, ref fleet.KeyRef) (Order, error) {
	o, ok := p.Get(ref)
	if !ok {
		return o, &UnknownError{Detail: "the key window has passed"}
	}
	return o, nil
}

// revoke cancels an accept whose append got no answer. The order counts as not
// run only if the stream proves it, or if it granted this call the right to
// send, which the call then never uses.
func (d *Executor) revoke(ctx context.Context, p *Partition, a acceptance) (Order, error) {
	const detail = "the log gave no answer in time"
	mine := Order{Accept: a.id, Request: a.request}
	d.disown(a)
	ctx, cancel := context.WithTimeout(ctx, cancelWait)
	defer cancel()
	body := record.Cancel{Ref: a.request.Ref, Accept: a.id, Detail: detail, Window: a.request.Window}
	e, err := record.New(record.KindCancel, d.now(), body)
	if err != nil {
		return mine, &UnknownError{Detail: detail}
	}
	t, err := p.Stream.SubmitRequired(e)
	if err != nil || t.Wait(ctx) != nil {
		return mine, &UnknownError{Detail: detail}
	}
	o, ok := p.Get(a.request.Ref)
	switch {
	case !ok || o.Accept != a.id || o.Status == StatusNotRun:
		d.reclaim(a.id)
		return mine, &NotRunError{Detail: detail}
	case a.grant == record.ID{}:
		d.reclaim(a.id)
		return o, nil
	case o.Grant == a.grant:
		return d.release(ctx, p, o, detail)
	default:
		return o, &UnknownError{Detail: detail}
	}
}

// disown notes that this node will never use the grant of an acceptance. The
// server settles its order as not run if it comes to stand in the stream.
func (d *Executor) disown(a acceptance) {
	if (a.grant == record.ID{}) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.disowned == nil {
		d.disowned = make(map[record.ID]time.Time)
	}
	d.disowned[a.id] = d.now().Add(a.request.Window)
}

// prune forgets the disowned accepts whose key window has passed.
func (d *Executor) prune() {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.disowned, func(_ record.ID, until time.Time) bool { return until.Before(now) })
}

// reclaim forgets a disowned accept.
func (d *Executor) reclaim(accept record.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.disowned, accept)
}

func (d *Executor) disowns(accept record.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.disowned[accept]
	return ok
}
