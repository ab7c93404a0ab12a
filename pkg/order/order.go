// Package order executes callers' orders at most once, by means of the order
// stream of the log. The stream determines which node may send an order to an
// endpoint and how the order ended. Applying a record is deterministic: the only
// clock is the log time of each record, so all nodes that have applied the same
// prefix of the stream hold the same state.
//
// The following rules depend only on the order of the records in the stream:
//   - The first accept of a key wins. A later one joins it, or conflicts if its
//     body differs.
//   - Only the owner of the current term may dispatch, and only once. The right
//     to send does not move after the dispatch.
//   - A takeover before the dispatch moves the ownership and increments the
//     term. A takeover after the dispatch settles the order as unknown.
//   - A cancel before the dispatch settles the order as not run. A cancel after
//     the dispatch has no effect.
//   - The holder's settle is final. It also replaces the unknown outcome set by a
//     takeover.
//   - Repeatable work is the exception: a takeover after its dispatch reassigns
//     it in a new term. Because it may have run in an earlier term, it ends as
//     failed instead of as not run.
package order

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Status is the state of an order in its life cycle.
type Status string

// The states of an order.
const (
	StatusAccepted   Status = "accepted"
	StatusDispatched Status = "dispatched"
	StatusUnknown    Status = "unknown"
	StatusSettled    Status = "settled"
	StatusNotRun     Status = "not-run"
)

// Event is a transition of an order's life cycle.
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

// Order is the replicated state of one order.
type Order struct {
	// Accept is the ID of the accept record that created the order.
	Accept  record.ID     `cbor:"1,keyasint"`
	Request record.Accept `cbor:"2,keyasint"`
	Status  Status        `cbor:"3,keyasint"`
	// Owner is the node that is responsible for the order in the current term.
	Owner fleet.NodeRef `cbor:"4,keyasint"`
	Term  int           `cbor:"5,keyasint"`
	// Fence is the offset of the dispatch record plus one; 0 before the dispatch.
	Fence   fleet.Fence   `cbor:"6,keyasint"`
	Outcome fleet.Outcome `cbor:"7,keyasint"`
	// Result is the settle record. It is zero until the order is settled.
	Result  record.Settle `cbor:"8,keyasint"`
	Expires time.Time     `cbor:"9,keyasint"`
	// Grant is the ID of the dispatch record that took effect in the current term.
	// Only the call that wrote this record may send the order, and only once.
	Grant record.ID `cbor:"10,keyasint"`
	// DispatchedBefore is set once the order was dispatched in any term.
	DispatchedBefore bool `cbor:"11,keyasint"`
}

// Final reports whether the outcome can no longer change. An unknown outcome is
// final if the holder recorded it.
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

// State is the state of one order stream. The zero value is the state before the
// first record. A State is not safe for concurrent use.
type State struct {
	snapshotState
	// open is an index of the orders without an outcome.
	open      map[fleet.KeyRef]*Order
	lifecycle *fsm.FSM
}

// snapshotState is the part of the state that a snapshot contains. A snapshot
// stores the orders as Sorted; Orders is rebuilt from it on load.
type snapshotState struct {
	Orders map[fleet.KeyRef]*Order `cbor:"-"`
	// Rejected holds the accepts that must not create an order when they are read
	// (again): those cancelled before they were read, those that lost to an
	// earlier accept, and those replaced by a later one. Each is kept until the
	// given log time.
	Rejected map[record.ID]time.Time `cbor:"2,keyasint"`
	// LogTime is the highest log time of the applied records.
	LogTime time.Time `cbor:"3,keyasint"`
	// LastExpiry is the log time of the last removal of expired orders.
	LastExpiry time.Time `cbor:"4,keyasint"`
	// Bill holds the totals of the orders that ended as done, by account and pool. It
	// contains no repeatable work.
	Bill map[fleet.AccountName]map[fleet.PoolName]DoneTotal `cbor:"6,keyasint"`
	// Sorted holds the orders in a snapshot, sorted by account and key.
	Sorted []*Order `cbor:"5,keyasint"`
}

// DoneTotal is the number and the cost of an account's orders on a pool that ended as
// done.
type DoneTotal struct {
	Orders int              `cbor:"1,keyasint"`
	Cost   fleet.MicroCents `cbor:"2,keyasint"`
}

// expiryInterval is the minimum log time between two removals of expired orders.
const expiryInterval = time.Minute

// Get returns the order of a key, unless it has expired.
func (s *State) Get(ref fleet.KeyRef) (Order, bool) {
	o := s.Orders[ref]
	if o == nil || s.expired(o) {
		return Order{}, false
	}
	return *o, true
}

// Len returns the number of orders.
func (s *State) Len() int { return len(s.Orders) }

// EachOpen calls visit for each order without an outcome, in no particular order,
// until visit returns false.
func (s *State) EachOpen(visit func(o Order) bool) {
	for _, o := range s.open {
		if !visit(*o) {
			return
		}
	}
}

// Apply applies one record. It returns a *record.UnknownKindError or an error of
// the codec.
func (s *State) Apply(pos record.Position, e record.Envelope) (err error) {
	s.advanceTime(pos.Time)
	switch e.Kind {
	case record.KindAccept:
		return applyBody(e, func(r record.Accept) { s.accept(pos, e.ID, r) })
	case record.KindDispatch:
		return applyBody(e, func(r record.Dispatch) { s.dispatch(pos, e.ID, r) })
	case record.KindSettle:
		return applyBody(e, s.settle)
	case record.KindCancel:
		return applyBody(e, func(r record.Cancel) { s.cancel(pos, r) })
	case record.KindTakeover:
		return applyBody(e, s.takeover)
	default:
		return &record.UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
}

func applyBody[T any](e record.Envelope, apply func(T)) error {
	body, err := record.Decode[T](e)
	if err != nil {
		return err
	}
	apply(body)
	return nil
}

func (s *State) accept(pos record.Position, id record.ID, r record.Accept) {
	if _, rejected := s.Rejected[id]; rejected {
		return
	}
	o := s.Orders[r.Ref]
	expires := pos.Time.Add(r.Window)
	if o != nil && o.Accept == id {
		return
	}
	if o != nil && !s.expired(o) && o.Status != StatusNotRun {
		s.reject(id, expires)
		return
	}
	if o != nil {
		s.reject(o.Accept, expires)
	}
	o = &Order{
		Accept:  id,
		Request: r,
		Status:  StatusAccepted,
		Owner:   r.Owner,
		Term:    1,
		Expires: expires,
	}
	s.Orders[r.Ref], s.open[r.Ref] = o, o
}

func (s *State) dispatch(pos record.Position, id record.ID, r record.Dispatch) {
	o := s.lookup(r.Ref, r.Accept)
	if o == nil || r.Term != o.Term || r.Owner != o.Owner {
		return
	}
	if s.transition(o, EventDispatch) {
		o.Fence = fleet.Fence(pos.Offset) + 1
		o.Grant = id
		o.DispatchedBefore = true
	}
}

func (s *State) settle(r record.Settle) {
	o := s.lookup(r.Ref, r.Accept)
	if o == nil || r.Term != o.Term || r.Owner != o.Owner || o.Fence == 0 || o.Final() {
		return
	}
	if s.transition(o, settleEvent(r.Outcome)) {
		o.Result = r
		s.complete(o, r.Outcome)
		s.charge(o)
	}
}

// charge adds an order that ended as done to the bill. An order is settled as done
// at most once, so it is charged at most once. Repeatable work is charged by tokens
// in the ledger instead.
func (s *State) charge(o *Order) {
	if o.Outcome != fleet.OutcomeDone || o.Request.Repeatable {
		return
	}
	account := o.Request.Ref.Account
	if s.Bill == nil {
		s.Bill = make(map[fleet.AccountName]map[fleet.PoolName]DoneTotal)
	}
	if s.Bill[account] == nil {
		s.Bill[account] = make(map[fleet.PoolName]DoneTotal)
	}
	t := s.Bill[account][o.Request.Pool]
	t.Orders++
	t.Cost += o.Result.Cost
	s.Bill[account][o.Request.Pool] = t
}

// settleEvent returns the event of a settle record with the outcome.
func settleEvent(outcome fleet.Outcome) Event {
	switch outcome {
	case fleet.OutcomeNotRun:
		return EventSettleNotRun
	case fleet.OutcomeUnknown:
		return EventSettleUnknown
	default:
		return EventSettle
	}
}

// complete records the outcome of an order. It clears the fields that are needed
// only to send the order and those that duplicate other fields.
func (s *State) complete(o *Order, outcome fleet.Outcome) {
	o.Outcome = outcome
	o.Request.Body = nil
	o.Request.Method, o.Request.Path, o.Request.Type = "", "", ""
	o.Request.Owner, o.Request.Window = fleet.NodeRef{}, 0
	r := o.Result
	o.Result = record.Settle{Outcome: r.Outcome, Status: r.Status, Type: r.Type, Response: r.Response, Detail: r.Detail, Cost: r.Cost}
	delete(s.open, o.Request.Ref)
}

func (s *State) cancel(pos record.Position, r record.Cancel) {
	o := s.lookup(r.Ref, r.Accept)
	if o == nil {
		s.reject(r.Accept, pos.Time.Add(r.Window))
		return
	}
	event, outcome := EventCancel, fleet.OutcomeNotRun
	if o.DispatchedBefore {
		event, outcome = EventFail, fleet.OutcomeFailed
	}
	if s.transition(o, event) {
		o.Result.Detail = r.Detail
		o.Result.Outcome = outcome
		s.complete(o, outcome)
	}
}

func (s *State) takeover(r record.Takeover) {
	o := s.lookup(r.Ref, r.Accept)
	if o == nil || r.Term != o.Term {
		return
	}
	if o.Status == StatusDispatched && o.Request.Repeatable {
		s.reassign(o, r.Owner, EventReassign)
		return
	}
	if o.Status == StatusDispatched {
		if s.transition(o, EventTakeover) {
			s.complete(o, fleet.OutcomeUnknown)
		}
		return
	}
	if o.Status == StatusAccepted {
		s.reassign(o, r.Owner, EventTakeover)
	}
}

// reassign applies the event and moves the order to a new owner in a new term.
func (s *State) reassign(o *Order, owner fleet.NodeRef, event Event) {
	if !s.transition(o, event) {
		return
	}
	o.Owner = owner
	o.Term++
	o.Fence = 0
	o.Grant = record.ID{}
}

// lookup returns the order that the accept created, or nil if the key has no order
// or that of another accept.
func (s *State) lookup(ref fleet.KeyRef, accept record.ID) *Order {
	o := s.Orders[ref]
	if o == nil || o.Accept != accept {
		return nil
	}
	return o
}

func (s *State) reject(accept record.ID, until time.Time) {
	if s.Rejected == nil {
		s.Rejected = make(map[record.ID]time.Time)
	}
	s.Rejected[accept] = until
}

// transition applies an event to an order and reports whether the life cycle
// allows it.
func (s *State) transition(o *Order, event Event) bool {
	if s.lifecycle == nil {
		s.lifecycle = newLifecycle()
	}
	s.lifecycle.SetState(string(o.Status))
	err := s.lifecycle.Event(context.Background(), string(event))
	var noTransition fsm.NoTransitionError
	if err != nil && !errors.As(err, &noTransition) {
		return false
	}
	o.Status = Status(s.lifecycle.Current())
	return true
}

// newLifecycle returns the state machine of an order.
func newLifecycle() *fsm.FSM {
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

func (s *State) expired(o *Order) bool { return o.Expires.Before(s.LogTime) }

// advanceTime advances the log time and removes expired orders and rejected accepts.
func (s *State) advanceTime(now time.Time) {
	if s.Orders == nil {
		s.Orders = make(map[fleet.KeyRef]*Order)
		s.open = make(map[fleet.KeyRef]*Order)
	}
	if now.After(s.LogTime) {
		s.LogTime = now
	}
	if s.LogTime.Sub(s.LastExpiry) < expiryInterval {
		return
	}
	s.LastExpiry = s.LogTime
	for ref, o := range s.Orders {
		if s.expired(o) {
			delete(s.Orders, ref)
			delete(s.open, ref)
		}
	}
	for id, until := range s.Rejected {
		if until.Before(s.LogTime) {
			delete(s.Rejected, id)
		}
	}
}
