// Package config applies the configuration stream and holds the configuration in
// force. A published document is put in force if and only if its base is the revision
// in force. When several operators publish on the same base, one succeeds and the
// others get a conflict. The revision in force only increases.
package config

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Change is a configuration that was put in force. Offset and Time are those of its
// record in the log.
type Change struct {
	ID       record.ID      `cbor:"1,keyasint" json:"id"`
	Revision fleet.Revision `cbor:"2,keyasint" json:"revision"`
	Offset   fleet.Offset   `cbor:"3,keyasint" json:"offset"`
	Time     time.Time      `cbor:"4,keyasint" json:"time"`
	Author   string         `cbor:"5,keyasint" json:"author"`
	Message  string         `cbor:"6,keyasint" json:"message"`
	Document []byte         `cbor:"7,keyasint" json:"document"`
}

// maxChanges is the number of changes that State keeps for History.
const maxChanges = 64

// maxPublishResults is the number of publish results that State keeps, to return
// outcomes and to ignore a publish that is appended twice.
const maxPublishResults = 1024

// PublishResult is the result of a publish.
type PublishResult struct {
	ID record.ID `cbor:"1,keyasint"`
	// Revision is the revision of the published document or, for a conflict, the
	// revision that was in force.
	Revision fleet.Revision `cbor:"2,keyasint"`
	Accepted bool           `cbor:"3,keyasint"`
}

// State is the state that the records of the configuration stream build up. The zero
// value is the state before the first record. It is not safe for concurrent use.
type State struct{ state }

type state struct {
	Changes        []Change        `cbor:"1,keyasint"`
	PublishResults []PublishResult `cbor:"2,keyasint"`
}

// Apply applies one record. It ignores a publish with an ID that was applied before.
func (s *State) Apply(pos record.Position, e record.Envelope) error {
	if e.Kind != record.KindPublish {
		return &record.UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
	r, err := record.Decode[record.Publish](e)
	if err != nil {
		return err
	}
	if _, known := s.PublishResult(e.ID); known {
		return nil
	}
	current := s.Current().Revision
	result := PublishResult{ID: e.ID, Revision: current}
	if r.Base == current {
		result.Revision, result.Accepted = current+1, true
		s.Changes = append(s.Changes, Change{
			ID:       e.ID,
			Revision: current + 1,
			Offset:   pos.Offset,
			Time:     pos.Time,
			Author:   r.Author,
			Message:  r.Message,
			Document: r.Document,
		})
		s.Changes = s.Changes[max(0, len(s.Changes)-maxChanges):]
	}
	s.PublishResults = append(s.PublishResults, result)
	s.PublishResults = s.PublishResults[max(0, len(s.PublishResults)-maxPublishResults):]
	return nil
}

// Current returns the change in force; its revision is 0 if there is none.
func (s *State) Current() Change {
	if len(s.Changes) == 0 {
		return Change{}
	}
	return s.Changes[len(s.Changes)-1]
}

// History returns the kept changes, oldest first.
func (s *State) History() []Change { return s.Changes }

// PublishResult returns the result of a publish and whether it is known.
func (s *State) PublishResult(id record.ID) (PublishResult, bool) {
	for _, result := range s.PublishResults {
		if result.ID == id {
			return result, true
		}
	}
	return PublishResult{}, false
}

// Save returns the encoded state for a snapshot.
func (s *State) Save() ([]byte, error) { return record.Marshal(s.state) }

// Load replaces the state with a saved one.
func (s *State) Load(data []byte) error {
	var loaded state
	if err := record.Unmarshal(data, &loaded); err != nil {
		return err
	}
	s.state = loaded
	return nil
}
