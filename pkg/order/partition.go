package order

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// Partition is one order stream with its fold.
type Partition struct {
	Stream *journal.Stream

	mu    sync.Mutex
	fold  State
	blind bool
	moved chan struct{}
}

// Apply folds one record.
func (p *Partition) Apply(pos record.Position, e record.Envelope) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.fold.Apply(pos, e)
	var unknown *record.UnknownKindError
	if errors.As(err, &unknown) {
		p.blind = true
	}
	return err
}

// Blind reports whether the stream holds a record that this program is too old
// to fold. Its state may differ from that of newer nodes, so it must not act.
func (p *Partition) Incompatible() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blind
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
	if p.blind {
		return nil, errBlind
	}
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

// Bill calls visit for the total of each account and pool.
func (p *Partition) Bill(visit func(account fleet.AccountName, pool fleet.PoolName, t Total)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for account, pools := range p.fold.Bill {
		for pool, t := range pools {
			visit(account, pool, t)
		}
	}
}

// Open returns the orders without an outcome for which keep reports true.
func (p *Partition) OpenOrders(keep func(Order) bool) (list []Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold.EachOpen(func(o Order) bool {
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

var errBlind = errors.New("the stream holds records that this version cannot read")
