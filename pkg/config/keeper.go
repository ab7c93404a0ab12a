package config

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// InForce is the configuration that a node works by.
type Active struct {
	Change   Change
	Document fleet.Document
}

// ConflictError reports a publish whose base is not the revision in force.
type ConflictError struct {
	Base    fleet.Revision
	Current Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change builds on revision %d, but revision %d is in force", e.Base, e.Current.Revision)
}

// Keeper holds the configuration in force on one node. It learns of changes
// from the stream and from peers and never goes back to a lower revision. The
// zero value holds no configuration.
type Store struct {
	// Stream is the configuration stream; its Apply is the keeper's.
	Stream *journal.Stream
	// Changed is called after a higher revision came into force.
	Changed func(c Change)
	// Unusable is called for a change in force that this node cannot read; the
	// last good one stays in use.
	Invalid func(c Change, err error)

	mu      sync.Mutex
	fold    State
	current atomic.Pointer[Active]
}

// Current returns the configuration in force, or nil if there is none yet.
func (k *Store) Current() *Active { return k.current.Load() }

// Revision returns the revision that the node works by; 0 if none.
func (k *Store) Revision() fleet.Revision {
	if c := k.Current(); c != nil {
		return c.Change.Revision
	}
	return 0
}

// Apply folds one record of the stream.
func (k *Store) Apply(pos record.Position, e record.Envelope) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.fold.Apply(pos, e); err != nil {
		return err
	}
	return k.adopt(k.fold.Current())
}

// Learn takes a change that a peer reports as in force, verbatim. A revision
// that is not higher than the current one is ignored.
func (k *Store) Receive(c Change) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.adopt(c)
}

// adopt puts a change in force on this node if it is newer. The lock is held.
func (k *Store) adopt(c Change) error {
	if c.Revision <= k.Revision() {
		return nil
	}
	doc, err := fleet.ParseDocument(fmt.Sprintf("revision %d", c.Revision), c.Document)
	if err != nil {
		if k.Invalid != nil {
			k.Invalid(c, err)
		}
		return err
	}
	k.current.Store(&Active{Change: c, Document: doc})
	if k.Changed != nil {
		k.Changed(c)
	}
	return nil
}

// Save returns the fold's state for a snapshot.
func (k *Store) Save() ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Save()
}

// Load replaces the fold's state; the revision in use never goes back.
func (k *Store) Load(data []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.fold.Load(data); err != nil {
		return err
	}
	return k.adopt(k.fold.Current())
}

// History returns the changes that are kept, oldest first.
func (k *Store) History() []Change {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Change(nil), k.fold.History()...)
}

// Publish checks a document and appends it. It returns the change in force, a
// *strict.Error for a bad document, or a *ConflictError. After another error
// the change may still come into force; Outcome tells by its ID.
func (k *Store) Publish(ctx context.Context, r record.Publish) (id record.ID, c Change, err error) {
	return k.PublishWithID(ctx, record.NewID(time.Now()), r)
}

// PublishAs publishes like Publish under an ID that the caller chose. An ID
// that was published before has the outcome of the first.
func (k *Store) PublishWithID(ctx context.Context, id record.ID, r record.Publish) (_ record.ID, c Change, err error) {
	if _, err := fleet.ParseDocument("document", r.Document); err != nil {
		return id, c, err
	}
	e, err := record.New(record.KindPublish, time.Now(), r)
	if err != nil {
		return id, c, err
	}
	e.ID = id
	t, err := k.Stream.Submit(e)
	if err != nil {
		return e.ID, c, err
	}
	if err := t.Wait(ctx); err != nil {
		if t.Withdraw() {
			return e.ID, c, &journal.UnavailableError{Stream: k.Stream.Name, Reason: journal.ReasonOutage}
		}
		return e.ID, c, err
	}
	c, err = k.Outcome(e.ID, r.Base)
	return e.ID, c, err
}

// PendingError reports a publish of which the stream shows nothing yet.
type PendingError struct{ ID record.ID }

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("the log shows nothing of change %s yet", e.ID)
}

// Outcome resolves a publish whose answer was lost. The error is a
// *PendingError or a *ConflictError.
func (k *Store) Outcome(id record.ID, base fleet.Revision) (c Change, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, known := k.fold.PublishResult(id)
	if !known {
		return c, &PendingError{ID: id}
	}
	if !v.Accepted {
		return c, &ConflictError{Base: base, Current: k.fold.Current()}
	}
	for _, c := range k.fold.History() {
		if c.ID == id {
			return c, nil
		}
	}
	return Change{ID: id, Revision: v.Revision}, nil
}
