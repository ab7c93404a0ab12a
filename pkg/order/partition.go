package order

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// Partition is one order stream with its state. It is safe for concurrent use.
type Partition struct {
	Stream *journal.Stream

	mu           sync.Mutex
	state        State
	incompatible bool
	updated      chan struct{}
}

// Apply applies one record.
func (p *Partition) Apply(pos record.Position, e record.Envelope) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.state.Apply(pos, e)
	var unknown *record.UnknownKindError
	if errors.As(err, &unknown) {
		p.incompatible = true
	}
	return err
}

// Incompatible reports whether the stream holds a record that this version of the
// program cannot apply. The state may then differ from that of newer nodes, so
// this node must not act on it.
func (p *Partition) Incompatible() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incompatible
}

// Applied wakes the goroutines that wait for an order to change.
func (p *Partition) Applied(fleet.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.updated != nil {
		close(p.updated)
		p.updated = nil
	}
}

// Save returns the state for a snapshot.
func (p *Partition) Save() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incompatible {
		return nil, errIncompatible
	}
	return p.state.Save()
}

// Load replaces the state by a saved one.
func (p *Partition) Load(data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Load(data)
}

// Get returns the order of a key, unless it has expired.
func (p *Partition) Get(ref fleet.KeyRef) (Order, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Get(ref)
}

// Bill calls visit for the total of each account and pool.
func (p *Partition) Bill(visit func(account fleet.AccountName, pool fleet.PoolName, t DoneTotal)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for account, pools := range p.state.Bill {
		for pool, t := range pools {
			visit(account, pool, t)
		}
	}
}

// OpenOrders returns the orders without an outcome for which keep reports true.
func (p *Partition) OpenOrders(keep func(Order) bool) (list []Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.EachOpen(func(o Order) bool {
		if keep(o) {
			list = append(list, o)
		}
		return true
	})
	return list
}

// nextUpdate returns a channel that is closed once further records were applied.
func (p *Partition) nextUpdate() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.updated == nil {
		p.updated = make(chan struct{})
	}
	return p.updated
}

// Await blocks until the order of a key satisfies the condition or the context ends.
func (p *Partition) Await(ctx context.Context, ref fleet.KeyRef, condition func(Order) bool) (Order, error) {
	for {
		updated := p.nextUpdate()
		o, ok := p.Get(ref)
		if ok && condition(o) {
			return o, nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return o, ctx.Err()
		}
	}
}

var errIncompatible = errors.New("the stream holds records that this version cannot read")
