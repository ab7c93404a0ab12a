package lease

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// Registry is this node's replica of the lease stream. It is safe for concurrent use.
type Registry struct {
	Stream *journal.Stream
	Node   fleet.NodeRef

	mu    sync.Mutex
	state State
	// validUntil is the time, by this node's clock, until which it may act under a lease.
	validUntil map[record.LeaseName]time.Time
}

// Apply applies one record to the state.
func (r *Registry) Apply(pos record.Position, e record.Envelope) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Apply(pos, e)
}

// Save encodes the state for a snapshot.
func (r *Registry) Save() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Save()
}

// Load replaces the state with that of a snapshot.
func (r *Registry) Load(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Load(data)
}

// OnHold reports whether an endpoint is on hold and must receive no new work.
func (r *Registry) OnHold(instance fleet.InstanceRef) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.OnHold(instance)
}

// Intents returns the open intents, sorted by tag.
func (r *Registry) Intents() []Intent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Intents()
}

// IntentOpen reports whether an intent was accepted and is not closed.
func (r *Registry) IntentOpen(tag string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.IntentOpen(tag)
}

// Get returns a lease and reports whether it is in force.
func (r *Registry) Get(name record.LeaseName) (Lease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Get(name)
}

// Claim acquires or renews a lease for a window and reports whether this node holds
// it. The node measures the window from before the claim with the local clock, so
// that it stops acting before the lease can expire for other nodes.
func (r *Registry) Claim(ctx context.Context, name record.LeaseName, window time.Duration) (l Lease, owned bool, err error) {
	start := time.Now()
	if l, ok := r.Get(name); ok && l.Node != r.Node && start.Before(l.Until) {
		return l, false, nil
	}
	if err := r.Write(ctx, record.KindClaim, record.Claim{Name: name, Node: r.Node, Window: window}); err != nil {
		return l, false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.state.Get(name)
	if !ok || l.Node != r.Node {
		return l, false, nil
	}
	if r.validUntil == nil {
		r.validUntil = make(map[record.LeaseName]time.Time)
	}
	r.validUntil[name] = start.Add(window)
	return l, true, nil
}

// Owned returns a lease and reports whether this node may still act under it.
func (r *Registry) Owned(name record.LeaseName) (Lease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.state.Get(name)
	return l, ok && l.Node == r.Node && time.Now().Before(r.validUntil[name])
}

// Write appends a record to the stream and waits until it is applied.
func (r *Registry) Write(ctx context.Context, kind record.Kind, body any) error {
	e, err := record.New(kind, time.Now(), body)
	if err != nil {
		return err
	}
	_, err = r.Stream.Write(ctx, e)
	return err
}
