package suspect

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// Registry is this node's replica of the suspect stream. It is safe for concurrent
// use.
type Registry struct {
	Stream *journal.Stream
	// OnVerdictChange is called when a content becomes suspect or quarantined, not when
	// its case is removed. It must not call the registry.
	OnVerdictChange func(c Case)

	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// Apply applies one record to the state.
func (r *Registry) Apply(pos record.Position, e record.Envelope) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := make(map[fleet.Digest]Verdict, len(r.state.cases))
	for content, c := range r.state.cases {
		previous[content] = c.Verdict
	}
	err := r.state.Apply(pos, e)
	for content, c := range r.state.cases {
		if previous[content] != c.Verdict && r.OnVerdictChange != nil {
			r.OnVerdictChange(*c)
		}
	}
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	return err
}

// Case returns the case of a content. A content without a case is clear.
func (r *Registry) Case(content fleet.Digest) Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Case(content)
}

// Cases returns all cases, sorted by content.
func (r *Registry) Cases() []Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Cases()
}

// Reserved reports whether an endpoint is reserved for a trial.
func (r *Registry) Reserved(instance fleet.InstanceRef) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Reserved(instance)
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

// nextChange returns a channel that is closed when the next record is applied.
func (r *Registry) nextChange() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// write appends a record to the stream and waits until it is applied.
func (r *Registry) write(ctx context.Context, kind record.Kind, body any) (id record.ID, err error) {
	e, err := record.New(kind, time.Now(), body)
	if err != nil {
		return id, err
	}
	_, err = r.Stream.Write(ctx, e)
	return e.ID, err
}

// Release clears a suspect or quarantined content on behalf of an operator.
func (r *Registry) Release(ctx context.Context, content fleet.Digest) error {
	_, err := r.write(ctx, record.KindClear, record.Clear{Content: content, Reason: record.ClearOperator})
	return err
}
