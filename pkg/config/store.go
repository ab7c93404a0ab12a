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

// Active is the configuration that a node uses.
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
	return fmt.Sprintf("change is based on revision %d, but revision %d is in force", e.Base, e.Current.Revision)
}

// Store holds the configuration in force on one node. It receives changes from the
// stream and from peers, and never returns to a lower revision. The zero value holds
// no configuration.
type Store struct {
	// Stream is the configuration stream. Its Apply, Save and Load must be those of the
	// store.
	Stream *journal.Stream
	// OnChange is called after a higher revision came into force. It and OnInvalid
	// are called with the store locked; Current and Revision may be used in them.
	OnChange func(c Change)
	// OnInvalid is called for a change in force whose document this node cannot parse.
	// The previous configuration stays in use.
	OnInvalid func(c Change, err error)

	mu      sync.Mutex
	state   State
	current atomic.Pointer[Active]
}

// Current returns the configuration in force, or nil if there is none yet.
func (s *Store) Current() *Active { return s.current.Load() }

// Revision returns the revision that the node uses, or 0 if there is none yet.
func (s *Store) Revision() fleet.Revision {
	if c := s.Current(); c != nil {
		return c.Change.Revision
	}
	return 0
}

// Apply applies one record of the stream.
func (s *Store) Apply(pos record.Position, e record.Envelope) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.state.Apply(pos, e); err != nil {
		return err
	}
	return s.activate(s.state.Current())
}

// Receive puts in force, unchanged, a change that is in force at a peer. It ignores a
// revision that is not higher than the current one.
func (s *Store) Receive(c Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activate(c)
}

// activate puts a change in force on this node if its revision is higher. The caller
// holds the lock.
func (s *Store) activate(c Change) error {
	if c.Revision <= s.Revision() {
		return nil
	}
	document, err := fleet.ParseDocument(fmt.Sprintf("revision %d", c.Revision), c.Document)
	if err != nil {
		if s.OnInvalid != nil {
			s.OnInvalid(c, err)
		}
		return err
	}
	s.current.Store(&Active{Change: c, Document: document})
	if s.OnChange != nil {
		s.OnChange(c)
	}
	return nil
}

// Save returns the encoded state for a snapshot.
func (s *Store) Save() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Save()
}

// Load replaces the state with a saved one. The revision in use never decreases.
func (s *Store) Load(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.state.Load(data); err != nil {
		return err
	}
	return s.activate(s.state.Current())
}

// History returns the kept changes, oldest first.
func (s *Store) History() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Change(nil), s.state.History()...)
}

// Publish validates a document and appends it. It returns the change that it put in
// force, a *strict.Error for an invalid document, a *ConflictError, or a
// *journal.UnavailableError if nothing was appended. After another error the change may
// still come into force; Outcome returns the result by its ID.
func (s *Store) Publish(ctx context.Context, r record.Publish) (id record.ID, c Change, err error) {
	return s.PublishWithID(ctx, record.NewID(time.Now()), r)
}

// PublishWithID is like Publish with an ID chosen by the caller. If the ID was
// published before, it returns the outcome of the first publish.
func (s *Store) PublishWithID(ctx context.Context, id record.ID, r record.Publish) (_ record.ID, c Change, err error) {
	if _, err := fleet.ParseDocument("document", r.Document); err != nil {
		return id, c, err
	}
	e, err := record.New(record.KindPublish, time.Now(), r)
	if err != nil {
		return id, c, err
	}
	e.ID = id
	submission, err := s.Stream.Submit(e)
	if err != nil {
		return e.ID, c, err
	}
	if err := submission.Wait(ctx); err != nil {
		if submission.Withdraw() {
			return e.ID, c, &journal.UnavailableError{Stream: s.Stream.Name, Reason: journal.ReasonOutage}
		}
		return e.ID, c, err
	}
	c, err = s.Outcome(e.ID, r.Base)
	return e.ID, c, err
}

// PendingError reports a publish that this node has not read from the stream yet.
type PendingError struct{ ID record.ID }

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("change %s is not in the log yet", e.ID)
}

// Outcome returns the outcome of a publish whose response was lost. The error is a
// *PendingError or a *ConflictError, which reports base as the base of the publish.
func (s *Store) Outcome(id record.ID, base fleet.Revision) (c Change, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result, known := s.state.PublishResult(id)
	if !known {
		return c, &PendingError{ID: id}
	}
	if !result.Accepted {
		return c, &ConflictError{Base: base, Current: s.state.Current()}
	}
	for _, c := range s.state.History() {
		if c.ID == id {
			return c, nil
		}
	}
	return Change{ID: id, Revision: result.Revision}, nil
}
