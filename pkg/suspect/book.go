package suspect

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// Book is the suspect stream on one node.
type Registry struct {
	Stream *journal.Stream
	// Changed is called after a verdict on a content changed.
	OnVerdictChange func(c Case)

	mu    sync.Mutex
	fold  State
	moved chan struct{}
}

// Apply folds one record.
func (b *Registry) Apply(pos record.Position, e record.Envelope) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := make(map[fleet.Digest]Verdict, len(b.fold.cases))
	for content, c := range b.fold.cases {
		before[content] = c.Verdict
	}
	err := b.fold.Apply(pos, e)
	for content, c := range b.fold.cases {
		if before[content] != c.Verdict && b.OnVerdictChange != nil {
			b.OnVerdictChange(*c)
		}
	}
	if b.moved != nil {
		close(b.moved)
		b.moved = nil
	}
	return err
}

// Case returns what is known of a content.
func (b *Registry) Case(content fleet.Digest) Case {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Case(content)
}

// Cases returns all cases in order of content.
func (b *Registry) Cases() []Case {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Cases()
}

// Reserved reports whether a trial has an endpoint for itself.
func (b *Registry) Reserved(instance fleet.InstanceRef) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Reserved(instance)
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

// next returns a channel that is closed when the fold has moved on.
func (b *Registry) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.moved == nil {
		b.moved = make(chan struct{})
	}
	return b.moved
}

// write appends a record of the stream and waits until it is folded.
func (b *Registry) write(ctx context.Context, kind record.Kind, body any) (id record.ID, err error) {
	e, err := record.New(kind, time.Now(), body)
	if err != nil {
		return id, err
	}
	_, err = b.Stream.Write(ctx, e)
	return e.ID, err
}

// Release lifts the suspicion of, or the conviction on, a content.
func (b *Registry) Release(ctx context.Context, content fleet.Digest) error {
	_, err := b.write(ctx, record.KindClear, record.Clear{Content: content, Reason: record.ClearOperator})
	return err
}
