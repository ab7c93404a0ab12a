// Package order folds the order stream: who may send an order to an endpoint,
// and how it ended. The fold is pure. It uses no clock but the log's own times,
// which stand in the stream, so every node that folds the same prefix holds
// the same state.
//
// The rules, each decided by stream order alone:
//   - the first accept of a key wins; a later one joins it, or conflicts if its
//     body differs;
//   - only the owner of the current term may dispatch, once; the right to send
//     never moves after that;
//   - a takeover before the dispatch moves the ownership and raises the term; a
//     takeover after it settles the order as unknown;
//   - a cancel before the dispatch settles the order as not run; after it, it
//     has no effect;
//   - the holder's settle is final; it also replaces the unknown outcome that a
//     takeover left;
//   - work that may be repeated is the exception: a takeover after its dispatch
//     hands it on in a new term, and since it may have run in an earlier term it
//     ends as failed, never as not run.
package order

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Status is where an order stands.
type Status string

// The states of an order's life cycle.
const (
	StatusAccepted   Status = "accepted"
	StatusDispatched Status = "dispatched"
	StatusUnknown    Status = "unknown"
	StatusSettled    Status = "settled"
	StatusNotRun     Status = "not-run"
)

// Event is what moves an order from one state to another.
type Event string

// The events of an order's life cycle.
const (
	EventDispatch      Event = "dispatch"
	EventTakeover      Event = "takeover"
	EventCancel        Event = "cancel"
	EventSettle        Event = "settle"
	EventSettleNotRun  Event = "refuse"
	EventReassign      Event = "resume"
	EventSettleUnknown Event = "doubt"
	EventFail          Event = "fail"
)

// Order is what the fold knows of one order.
type Order struct {
	// Accept is the record that took the order on.
	Accept  record.ID     `cbor:"1,keyasint"`
	Request record.Accept `cbor:"2,keyasint"`
	Status  Status        `cbor:"3,keyasint"`
	// Owner holds the order in the current term.
	Owner fleet.NodeRef `cbor:"4,keyasint"`
	Term  int           `cbor:"5,keyasint"`
	// Fence is the offset of the dispatch, plus one; 0 before it.
	Fence   fleet.Fence   `cbor:"6,keyasint"`
	Outcome fleet.Outcome `cbor:"7,keyasint"`
	// Result is the settle record; its zero value before the order is settled.
	Result  record.Settle `cbor:"8,keyasint"`
	Expires time.Time     `cbor:"9,keyasint"`
	// Grant is the dispatch record that counted in the current term. Only the
	// call that wrote it may send the order, and once.
	Grant record.ID `cbor:"10,keyasint"`
	// Tried is set once the order was dispatched in any term.
	DispatchedBefore bool `cbor:"11,keyasint"`
}

// Final reports whether the outcome can no longer change. An unknown outcome
// is final if its holder settled it so.
func (o Order) Final() bool {
	return o.Status == StatusSettled || o.Status == StatusNotRun || o.Result.Outcome == fleet.OutcomeUnknown
}

// Open reports whether the order has no outcome yet.
func (o Order) Open() bool {
	return o.Status == StatusAccepted || o.Status == StatusDispatched
}

// Holds reports whether the node holds the right to send the order.
func (o Order) Holds(node fleet.NodeRef) bool {
	return o.Status == StatusDispatched && o.Owner == node
}

// Fold is the state of one order stream. The zero value is the state before
// the first record. It is not safe for concurrent use.
type State struct {
	state
	// open indexes the orders without an outcome.
	open    map[fleet.KeyRef]*Order
	machine *fsm.FSM
}

// state is what a snapshot holds.
type state struct {
	Orders map[fleet.KeyRef]*Order `cbor:"-"`
	// Cancelled holds accepts that must not take the order on when they are
	// read (again): those cancelled before they were read, those that lost to an
	// earlier accept, and those that a later one replaced. Each is kept until
	// the given log time.
	Cancelled map[record.ID]time.Time `cbor:"2,keyasint"`
	// Now is the highest log time folded.
	Now time.Time `cbor:"3,keyasint"`
	// Sweep is the log time of the last removal of expired orders.
	Sweep time.Time `cbor:"4,keyasint"`
	// Bill sums up the settled orders by account and pool.
	Bill map[fleet.AccountName]map[fleet.PoolName]Total `cbor:"6,keyasint"`
	// List holds the orders in a snapshot.
	List []*Order `cbor:"5,keyasint"`
}

// Total sums up the orders of an account on a pool that were answered.
type Total struct {
	Orders int              `cbor:"1,keyasint"`
	Cost   fleet.MicroCents `cbor:"2,keyasint"`
}

// sweepEvery is how much log time passes between removals of expired orders.
const sweepEvery = time.Minute

// Get returns the order of a key.
func (f *State) Get(ref fleet.KeyRef) (Order, bool) {
	o := f.Orders[ref]
	if o == nil || f.expired(o) {
		return Order{}, false
	}
	return *o, true
}

// Len returns how many orders the fold holds.
func (f *State) Len() int { return len(f.Orders) }

// EachOpen calls visit for every order without an outcome until it returns
// false. The order of the calls is not defined.
func (f *State) EachOpen(visit func(o Order) bool) {
	for _, o := range f.open {
		if !visit(*o) {
			return
		}
	}
}

// Apply folds one record. An error is an *record.UnknownKindError or a codec's.
func (f *State) Apply(pos record.Position, e record.Envelope) (err error) {
	f.tick(pos.Time)
	switch e.Kind {
	case record.KindAccept:
		return fold(e, func(r record.Accept) { f.accept(pos, e.ID, r) })
	case record.KindDispatch:
		return fold(e, func(r record.Dispatch) { f.dispatch(pos, e.ID, r) })
	case record.KindSettle:
		return fold(e, f.settle)
	case record.KindCancel:
		return fold(e, func(r record.Cancel) { f.cancel(pos, r) })
	case record.KindTakeover:
		return fold(e, f.takeover)
	default:
		return &record.UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
}

func fold[T any](e record.Envelope, apply func(T)) error {
	body, err := record.Decode[T](e)
	if err != nil {
		return err
	}
	apply(body)
	return nil
}

func (f *State) accept(pos record.Position, id record.ID, r record.Accept) {
	if _, cancelled := f.Cancelled[id]; cancelled {
		return
	}
	o := f.Orders[r.Ref]
	expires := pos.Time.Add(r.Window)
	if o != nil && o.Accept == id {
		return
	}
	if o != nil && !f.expired(o) && o.Status != StatusNotRun {
		f.remember(id, expires)
		return
	}
	if o != nil {
		f.remember(o.Accept, expires)
	}
	o = &Order{
		Accept:  id,
		Request: r,
		Status:  StatusAccepted,
		Owner:   r.Owner,
		Term:    1,
		Expires: expires,
	}
	f.Orders[r.Ref], f.open[r.Ref] = o, o
}

func (f *State) dispatch(pos record.Position, id record.ID, r record.Dispatch) {
	o := f.current(r.Ref, r.Accept)
	if o == nil || r.Term != o.Term || r.Owner != o.Owner {
		return
	}
	if f.move(o, EventDispatch) {
		o.Fence = fleet.Fence(pos.Offset) + 1
		o.Grant = id
		o.DispatchedBefore = true
	}
}

func (f *State) settle(r record.Settle) {
	o := f.current(r.Ref, r.Accept)
	if o == nil || r.Term != o.Term || r.Owner != o.Owner || o.Fence == 0 || o.Final() {
		return
	}
	if f.move(o, settling(r.Outcome)) {
		o.Result = r
		f.end(o, r.Outcome)
		f.charge(o)
	}
}

// charge adds an answered order to the bill. An order settles once, so it is
// charged once. Repeatable work is charged by its tokens, in the ledger.
func (f *State) charge(o *Order) {
	if o.Outcome != fleet.OutcomeDone || o.Request.Repeatable {
		return
	}
	account := o.Request.Ref.Account
	if f.Bill == nil {
		f.Bill = make(map[fleet.AccountName]map[fleet.PoolName]Total)
	}
	if f.Bill[account] == nil {
		f.Bill[account] = make(map[fleet.PoolName]Total)
	}
	t := f.Bill[account][o.Request.Pool]
	t.Orders++
	t.Cost += o.Result.Cost
	f.Bill[account][o.Request.Pool] = t
}

// settling returns the event of a holder's settle.
func settling(outcome fleet.Outcome) Event {
	switch outcome {
	case fleet.OutcomeNotRun:
		return EventSettleNotRun
	case fleet.OutcomeUnknown:
		return EventSettleUnknown
	default:
		return EventSettle
	}
}

// end notes the outcome of an order and lets go of what only its sending needs
// and of what stands in it twice.
func (f *State) end(o *Order, outcome fleet.Outcome) {
	o.Outcome = outcome
	o.Request.Body = nil
	o.Request.Method, o.Request.Path, o.Request.Type = "", "", ""
	o.Request.Owner, o.Request.Window = fleet.NodeRef{}, 0
	r := o.Result
	o.Result = record.Settle{Outcome: r.Outcome, Status: r.Status, Type: r.Type, Answer: r.Answer, Detail: r.Detail, Cost: r.Cost}
	delete(f.open, o.Request.Ref)
}

func (f *State) cancel(pos record.Position, r record.Cancel) {
	o := f.current(r.Ref, r.Accept)
	if o == nil {
		f.remember(r.Accept, pos.Time.Add(r.Window))
		return
	}
	event, outcome := EventCancel, fleet.OutcomeNotRun
	if o.DispatchedBefore {
		event, outcome = EventFail, fleet.OutcomeFailed
	}
	if f.move(o, event) {
		o.Result.Detail = r.Detail
		o.Result.Outcome = outcome
		f.end(o, outcome)
	}
}

func (f *State) takeover(r record.Takeover) {
	o := f.current(r.Ref, r.Accept)
	if o == nil || r.Term != o.Term {
		return
	}
	if o.Status == StatusDispatched && o.Request.Repeatable {
		f.reassign(o, r.Owner, EventReassign)
		return
	}
	if o.Status == StatusDispatched {
		if f.move(o, EventTakeover) {
			f.end(o, fleet.OutcomeUnknown)
		}
		return
	}
	if o.Status == StatusAccepted {
		f.reassign(o, r.Owner, EventTakeover)
	}
}

// reassign moves the ownership of an order to a new owner in a new term.
func (f *State) reassign(o *Order, owner fleet.NodeRef, event Event) {
	if !f.move(o, event) {
		return
	}
	o.Owner = owner
	o.Term++
	o.Fence = 0
	o.Grant = record.ID{}
}

// current returns the order that the accept took on.
func (f *State) current(ref fleet.KeyRef, accept record.ID) *Order {
	o := f.Orders[ref]
	if o == nil || o.Accept != accept {
		return nil
	}
	return o
}

func (f *State) remember(accept record.ID, until time.Time) {
	if f.Cancelled == nil {
		f.Cancelled = make(map[record.ID]time.Time)
	}
	f.Cancelled[accept] = until
}

// move applies an event to an order and reports whether the life cycle allows it.
func (f *State) move(o *Order, event Event) bool {
	if f.machine == nil {
		f.machine = newMachine()
	}
	f.machine.SetState(string(o.Status))
	err := f.machine.Event(context.Background(), string(event))
	var same fsm.NoTransitionError
	if err != nil && !errors.As(err, &same) {
		return false
	}
	o.Status = Status(f.machine.Current())
	return true
}

// newMachine returns the life cycle of an order.
func newMachine() *fsm.FSM {
	return fsm.NewFSM(string(StatusAccepted), fsm.Events{
		{Name: string(EventDispatch), Src: []string{string(StatusAccepted)}, Dst: string(StatusDispatched)},
		{Name: string(EventCancel), Src: []string{string(StatusAccepted)}, Dst: string(StatusNotRun)},
		{Name: string(EventFail), Src: []string{string(StatusAccepted)}, Dst: string(StatusSettled)},
		{Name: string(EventTakeover), Src: []string{string(StatusAccepted)}, Dst: string(StatusAccepted)},
		{Name: string(EventTakeover), Src: []string{string(StatusDispatched)}, Dst: string(StatusUnknown)},
		{Name: string(EventReassign), Src: []string{string(StatusDispatched)}, Dst: string(StatusAccepted)},
		{
			Name: string(EventSettle),
			Src:  []string{string(StatusDispatched), string(StatusUnknown)},
			Dst:  string(StatusSettled),
		},
		{
			Name: string(EventSettleUnknown),
			Src:  []string{string(StatusDispatched), string(StatusUnknown)},
			Dst:  string(StatusUnknown),
		},
		{
			Name: string(EventSettleNotRun),
			Src:  []string{string(StatusDispatched), string(StatusUnknown)},
			Dst:  string(StatusNotRun),
		},
	}, nil)
}

func (f *State) expired(o *Order) bool { return o.Expires.Before(f.Now) }

// tick advances the log time and removes what expired.
func (f *State) tick(now time.Time) {
	if f.Orders == nil {
		f.Orders = make(map[fleet.KeyRef]*Order)
		f.open = make(map[fleet.KeyRef]*Order)
	}
	if now.After(f.Now) {
		f.Now = now
	}
	if f.Now.Sub(f.Sweep) < sweepEvery {
		return
	}
	f.Sweep = f.Now
	for ref, o := range f.Orders {
		if f.expired(o) {
			delete(f.Orders, ref)
			delete(f.open, ref)
		}
	}
	for id, until := range f.Cancelled {
		if until.Before(f.Now) {
			delete(f.Cancelled, id)
		}
	}
}
