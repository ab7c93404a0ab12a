package lease

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// Book is the lease stream on one node.
type Registry struct {
	Stream *journal.Stream
	Node   fleet.NodeRef

	mu   sync.Mutex
	fold State
	// sure is until when, by this node's clock, it may act under each lease.
	sure map[record.LeaseName]time.Time
}

// Apply folds one record.
func (b *Registry) Apply(pos record.Position, e record.Envelope) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Apply(pos, e)
}

// Save returns the state for a snapshot.
func (b *Registry) Save() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Save()
}

// Load replaces the state.
func (b *Registry) Load(data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Load(data)
}

// Held reports whether new work is kept from an endpoint.
func (b *Registry) OnHold(instance fleet.InstanceRef) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.OnHold(instance)
}

// Intents returns the open intents in order of tag.
func (b *Registry) Intents() []Intent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Intents()
}

// Open reports whether an intent counts and has not ended.
func (b *Registry) Open(tag string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Open(tag)
}

// Get returns a lease if it is in force.
func (b *Registry) Get(name record.LeaseName) (Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Get(name)
}

// Claim takes or renews a lease for a window and reports whether this node has
// it. The node counts the window from before the claim, by its own clock, so
// that it stops acting before the lease can lapse for others.
func (b *Registry) Claim(ctx context.Context, name record.LeaseName, window time.Duration) (l Lease, mine bool, err error) {
	start := time.Now()
	if l, ok := b.Get(name); ok && l.Node != b.Node && start.Before(l.Until) {
		return l, false, nil
	}
	if err := b.Write(ctx, record.KindClaim, record.Claim{Name: name, Node: b.Node, Window: window}); err != nil {
		return l, false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.fold.Get(name)
	if !ok || l.Node != b.Node {
		return l, false, nil
	}
	if b.sure == nil {
		b.sure = make(map[record.LeaseName]time.Time)
	}
	b.sure[name] = start.Add(window)
	return l, true, nil
}

// Mine returns the lease if this node may still act under it.
func (b *Registry) Owned(name record.LeaseName) (Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.fold.Get(name)
	return l, ok && l.Node == b.Node && time.Now().Before(b.sure[name])
}

// Write appends a record and waits until it is folded.
func (b *Registry) Write(ctx context.Context, kind record.Kind, body any) error {
	e, err := record.New(kind, time.Now(), body)
	if err != nil {
		return err
	}
	_, err = b.Stream.Write(ctx, e)
	return err
}
