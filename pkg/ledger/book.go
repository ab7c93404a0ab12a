package ledger

import (
	"sync"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// Book follows the charge stream. The zero value holds no charges.
type Bill struct {
	// Stream is the charge stream; its Apply, Save and Load are the book's.
	Stream *journal.Stream

	mu   sync.Mutex
	fold State
}

// Apply folds one record.
func (b *Bill) Apply(pos record.Position, e record.Envelope) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Apply(pos, e)
}

// Save returns the fold's state for a snapshot.
func (b *Bill) Save() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Save()
}

// Load replaces the fold's state.
func (b *Bill) Load(data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fold.Load(data)
}

// Each calls visit for every line of the bill. Visit must not call the book.
func (b *Bill) Each(visit func(l Line, t Total)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fold.Each(visit)
}
