package order

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
)

// Interval and limit of the Worker.
const (
	// scanInterval is the time between two scans of the open orders.
	scanInterval = 100 * time.Millisecond
	// maxConcurrentOrders is how many orders a node executes in the background.
	maxConcurrentOrders = 256
)

// Worker executes the orders that no caller on this node waits for: asynchronous
// work and orders taken over from failed nodes.
type Worker struct {
	Executor *Executor
	// Alive reports whether a node is believed to be alive. A wrong result causes
	// extra work but does not break at-most-once execution.
	Alive func(n fleet.NodeRef) bool
	// Candidate reports whether this node should take over an order. It prevents
	// all nodes from trying at the same time.
	Candidate func(ref fleet.KeyRef) bool

	once     sync.Once
	done     chan struct{}
	mu       sync.Mutex
	draining bool
	active   map[record.ID]bool
}

// drainInterval is the time between two checks of whether a drain is complete.
const drainInterval = 20 * time.Millisecond

// Drain stops taking up orders and returns once those that were sent have an
// outcome in the log. Repeatable work is left to other nodes.
func (w *Worker) Drain(ctx context.Context) error {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	for w.hasUninterruptible() {
		if !sleep(ctx, drainInterval) {
			return ctx.Err()
		}
	}
	for _, p := range w.Executor.Partitions {
		if err := p.Stream.Flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// hasUninterruptible reports whether an order that must not be interrupted is
// being executed.
func (w *Worker) hasUninterruptible() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, repeatable := range w.active {
		if !repeatable {
			return true
		}
	}
	return false
}

// Done is closed when Run has returned.
func (w *Worker) Done() <-chan struct{} {
	w.once.Do(func() { w.done = make(chan struct{}) })
	return w.done
}

// Run executes orders until the context ends, and then waits for those in flight.
func (w *Worker) Run(ctx context.Context) error {
	w.Done()
	defer close(w.done)
	var g errgroup.Group
	g.SetLimit(maxConcurrentOrders)
	interval.Run(ctx, scanInterval, func(ctx context.Context) { w.scan(ctx, &g) })
	return g.Wait()
}

// scan starts the next step of each open order that needs one.
func (w *Worker) scan(ctx context.Context, g *errgroup.Group) {
	w.Executor.pruneAbandoned()
	for _, p := range w.Executor.Partitions {
		if p.Incompatible() || !p.Stream.Ready() {
			continue
		}
		for _, o := range p.OpenOrders(w.needsAction) {
			if !w.claim(o) {
				continue
			}
			started := g.TryGo(func() error {
				defer w.release(o.Accept)
				w.advance(ctx, p, o)
				return nil
			})
			if !started {
				w.release(o.Accept)
			}
		}
	}
}

// needsAction reports whether this node has to take the next step of an order.
func (w *Worker) needsAction(o Order) bool {
	if o.Owner == w.Executor.Node {
		return o.Status == StatusAccepted || w.Executor.isAbandoned(o.Accept)
	}
	return w.isGone(o.Owner) && w.Candidate(o.Request.Ref)
}

// isGone reports whether an owner can no longer act. An earlier incarnation of
// this node never can.
func (w *Worker) isGone(owner fleet.NodeRef) bool {
	self := w.Executor.Node
	return owner.Name == self.Name && owner.Incarnation < self.Incarnation || !w.Alive(owner)
}

// advance takes the next step of an order. The next scan retries a failed step.
func (w *Worker) advance(ctx context.Context, p *Partition, o Order) {
	x := w.Executor
	expired := x.now().After(o.Request.Deadline)
	switch {
	case x.isAbandoned(o.Accept):
		if o.Status == StatusDispatched {
			_, _ = x.settleNotRun(ctx, p, o, "the log gave no answer in time")
		}
	case o.Status == StatusAccepted && expired:
		body := record.Cancel{Ref: o.Request.Ref, Accept: o.Accept, Detail: "its deadline passed", Window: o.Request.Window}
		_, _, _ = x.append(ctx, p, record.KindCancel, body, o.Request.Ref)
	case o.Owner != x.Node:
		body := record.Takeover{Ref: o.Request.Ref, Accept: o.Accept, Term: o.Term, Owner: x.Node}
		_, _, _ = x.append(ctx, p, record.KindTakeover, body, o.Request.Ref)
	default:
		body := record.Dispatch{Ref: o.Request.Ref, Accept: o.Accept, Term: o.Term, Owner: x.Node}
		o, grant, err := x.append(ctx, p, record.KindDispatch, body, o.Request.Ref)
		if err == nil && o.Grant == grant {
			_, _ = x.execute(ctx, p, o)
		}
	}
}

func (w *Worker) claim(o Order) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, claimed := w.active[o.Accept]; claimed || w.draining {
		return false
	}
	if w.active == nil {
		w.active = make(map[record.ID]bool)
	}
	w.active[o.Accept] = o.Request.Repeatable
	return true
}

func (w *Worker) release(id record.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.active, id)
}

// append appends one record, waits until it was read back, and returns its ID
// and the order after it.
func (x *Executor) append(ctx context.Context, p *Partition, kind record.Kind, body any, ref fleet.KeyRef) (o Order, id record.ID, err error) {
	e, err := record.New(kind, x.now(), body)
	if err != nil {
		return o, id, err
	}
	if _, err := p.Stream.Write(ctx, e); err != nil {
		return o, id, err
	}
	o, err = x.lookup(p, ref)
	return o, e.ID, err
}
