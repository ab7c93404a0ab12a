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

// Intervals of the server.
const (
	// serveEvery is how often the orders are looked through.
	serveEvery = 100 * time.Millisecond
	// serveLimit is how many orders one node carries out in the background.
	serveLimit = 256
)

// Server carries out the orders that no caller waits for on this node:
// asynchronous work, and orders taken over from nodes that are gone.
type Worker struct {
	Executor *Executor
	// Alive reports whether a node is believed to live. A wrong answer costs
	// work, never correctness.
	Alive func(n fleet.NodeRef) bool
	// Candidate reports whether this node should take over an order; it keeps
	// the nodes from all trying at once.
	Candidate func(ref fleet.KeyRef) bool

	once     sync.Once
	done     chan struct{}
	mu       sync.Mutex
	draining bool
	active   map[record.ID]bool
}

// drainPoll is how often a drain looks whether the work at hand has ended.
const drainPoll = 20 * time.Millisecond

// Drain takes up no more orders, and returns once those that were sent have an
// outcome in the log. Work that may be repeated is left to other nodes.
func (s *Worker) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for s.busy() {
		if !pause(ctx, drainPoll) {
			return ctx.Err()
		}
	}
	for _, p := range s.Executor.Partitions {
		if err := p.Stream.Flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// busy reports whether an order that must not be cut is being carried out.
func (s *Worker) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, repeatable := range s.active {
		if !repeatable {
			return true
		}
	}
	return false
}

// Done is closed when Run has returned.
func (s *Worker) Done() <-chan struct{} {
	s.once.Do(func() { s.done = make(chan struct{}) })
	return s.done
}

// Run serves until the context ends, and then waits for the orders it has sent.
func (s *Worker) Run(ctx context.Context) error {
	s.Done()
	defer close(s.done)
	var g errgroup.Group
	g.SetLimit(serveLimit)
	interval.Run(ctx, serveEvery, func(ctx context.Context) { s.sweep(ctx, &g) })
	return g.Wait()
}

// sweep starts what is to be done now.
func (s *Worker) sweep(ctx context.Context, g *errgroup.Group) {
	s.Executor.prune()
	for _, p := range s.Executor.Partitions {
		if p.Incompatible() || !p.Stream.Ready() {
			continue
		}
		for _, o := range p.OpenOrders(s.wants) {
			if !s.claim(o) {
				continue
			}
			started := g.TryGo(func() error {
				defer s.unclaim(o.Accept)
				s.advance(ctx, p, o)
				return nil
			})
			if !started {
				s.unclaim(o.Accept)
			}
		}
	}
}

// wants reports whether this node has something to do for an order.
func (s *Worker) wants(o Order) bool {
	if o.Owner == s.Executor.Node {
		return o.Status == StatusAccepted || s.Executor.disowns(o.Accept)
	}
	return s.gone(o.Owner) && s.Candidate(o.Request.Ref)
}

// gone reports whether an owner can no longer act. An earlier life of this
// node never can.
func (s *Worker) gone(owner fleet.NodeRef) bool {
	self := s.Executor.Node
	return owner.Name == self.Name && owner.Incarnation < self.Incarnation || !s.Alive(owner)
}

// advance takes the next step of one order. Failures are left to the next sweep.
func (s *Worker) advance(ctx context.Context, p *Partition, o Order) {
	d := s.Executor
	late := d.now().After(o.Request.Deadline)
	switch {
	case d.disowns(o.Accept):
		if o.Status == StatusDispatched {
			_, _ = d.release(ctx, p, o, "the log gave no answer in time")
		}
	case o.Status == StatusAccepted && late:
		body := record.Cancel{Ref: o.Request.Ref, Accept: o.Accept, Detail: "its deadline passed", Window: o.Request.Window}
		_, _, _ = d.append(ctx, p, record.KindCancel, body, o.Request.Ref)
	case o.Owner != d.Node:
		body := record.Takeover{Ref: o.Request.Ref, Accept: o.Accept, Term: o.Term, Owner: d.Node}
		_, _, _ = d.append(ctx, p, record.KindTakeover, body, o.Request.Ref)
	default:
		body := record.Dispatch{Ref: o.Request.Ref, Accept: o.Accept, Term: o.Term, Owner: d.Node}
		o, grant, err := d.append(ctx, p, record.KindDispatch, body, o.Request.Ref)
		if err == nil && o.Grant == grant {
			_, _ = d.carryOut(ctx, p, o)
		}
	}
}

func (s *Worker) claim(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, claimed := s.active[o.Accept]; claimed || s.draining {
		return false
	}
	if s.active == nil {
		s.active = make(map[record.ID]bool)
	}
	s.active[o.Accept] = o.Request.Repeatable
	return true
}

func (s *Worker) unclaim(id record.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, id)
}

// append writes one record and returns its ID and the order as of it.
func (d *Executor) append(ctx context.Context, p *Partition, kind record.Kind, body any, ref fleet.KeyRef) (o Order, id record.ID, err error) {
	e, err := record.New(kind, d.now(), body)
	if err != nil {
		return o, id, err
	}
	if _, err := p.Stream.Write(ctx, e); err != nil {
		return o, id, err
	}
	o, err = d.read(p, ref)
	return o, e.ID, err
}
