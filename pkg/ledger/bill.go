package ledger

import (
	"sync"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// Bill holds the totals of the charge stream. It is safe for concurrent use. The
// zero value holds no charges.
type Bill struct {
	// Stream is the charge stream. Its Apply, Save and Load must be those of the bill.
	Stream *journal.Stream

	mu    sync.Mutex
	state State
}

// Apply applies one record.
func (b *Bill) Apply(pos record.Position, e record.Envelope) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Apply(pos, e)
}

// Save returns the encoded state for a snapshot.
func (b *Bill) Save() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Save()
}

// Load replaces the state with a saved one.
func (b *Bill) Load(data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Load(data)
}

// Each calls visit for every line of the bill. The visit function must not call the
// bill, whose lock is held.
func (b *Bill) Each(visit func(l Line, t Total)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Each(visit)
}
