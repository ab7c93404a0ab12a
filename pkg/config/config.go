// Package config folds the configuration stream. A published document is put
// in force if and only if its base is the revision in force, so that of
// operators who race one wins and the others learn of the conflict. The
// revision in force only grows.
package config

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Change is one configuration that was put in force.
type Change struct {
	ID       record.ID      `cbor:"1,keyasint" json:"id"`
	Revision fleet.Revision `cbor:"2,keyasint" json:"revision"`
	Offset   fleet.Offset   `cbor:"3,keyasint" json:"offset"`
	Time     time.Time      `cbor:"4,keyasint" json:"time"`
	Author   string         `cbor:"5,keyasint" json:"author"`
	Message  string         `cbor:"6,keyasint" json:"message"`
	Document []byte         `cbor:"7,keyasint" json:"document"`
}

// keepChanges is how many past changes the fold keeps for history.
const keepChanges = 64

// keepVerdicts is how many verdicts on publishes the fold keeps.
const keepVerdicts = 1024

// Verdict is what became of a publish.
type PublishResult struct {
	ID record.ID `cbor:"1,keyasint"`
	// Revision is the revision that the publish took, or, for a conflict, the
	// one that was in force.
	Revision fleet.Revision `cbor:"2,keyasint"`
	Accepted bool           `cbor:"3,keyasint"`
}

// Fold is the state of the configuration stream. The zero value is the state
// before the first record. It is not safe for concurrent use.
type State struct{ state }

type state struct {
	Changes  []Change        `cbor:"1,keyasint"`
	Verdicts []PublishResult `cbor:"2,keyasint"`
}

// Apply folds one record.
func (f *State) Apply(pos record.Position, e record.Envelope) error {
	if e.Kind != record.KindPublish {
		return &record.UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
	r, err := record.Decode[record.Publish](e)
	if err != nil {
		return err
	}
	if _, known := f.PublishResult(e.ID); known {
		return nil
	}
	current := f.Current().Revision
	v := PublishResult{ID: e.ID, Revision: current}
	if r.Base == current {
		v.Revision, v.Accepted = current+1, true
		f.Changes = append(f.Changes, Change{
			ID:       e.ID,
			Revision: current + 1,
			Offset:   pos.Offset,
			Time:     pos.Time,
			Author:   r.Author,
			Message:  r.Message,
			Document: r.Document,
		})
		f.Changes = f.Changes[max(0, len(f.Changes)-keepChanges):]
	}
	f.Verdicts = append(f.Verdicts, v)
	f.Verdicts = f.Verdicts[max(0, len(f.Verdicts)-keepVerdicts):]
	return nil
}

// Current returns the change in force; its revision is 0 if there is none.
func (f *State) Current() Change {
	if len(f.Changes) == 0 {
		return Change{}
	}
	return f.Changes[len(f.Changes)-1]
}

// History returns the changes that are kept, oldest first.
func (f *State) History() []Change { return f.Changes }

// Verdict returns what became of a publish.
func (f *State) PublishResult(id record.ID) (PublishResult, bool) {
	for _, v := range f.Verdicts {
		if v.ID == id {
			return v, true
		}
	}
	return PublishResult{}, false
}

// Save returns the state for a snapshot.
func (f *State) Save() ([]byte, error) { return record.Marshal(f.state) }

// Load replaces the state by a saved one.
func (f *State) Load(data []byte) error {
	var s state
	if err := record.Unmarshal(data, &s); err != nil {
		return err
	}
	f.state = s
	return nil
}
