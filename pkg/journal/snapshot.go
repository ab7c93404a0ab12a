package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// snapshotChunk is how large one chunk of a snapshot is, in bytes.
const snapshotChunk = 256 << 10

// chunkSet collects the chunks of one snapshot.
type chunkSet struct {
	parts [][]byte
	have  int
}

// NoSnapshotError reports that the stream's oldest entries lapsed and that no
// complete snapshot stands in what is left.
type NoSnapshotError struct {
	Stream platform.StreamName
	Oldest fleet.Offset
}

// Error implements error.
func (e *NoSnapshotError) Error() string {
	return "stream " + string(e.Stream) + " has lapsed and holds no complete snapshot"
}

// Snapshot appends the state of the fold as of what is folded now. A second
// snapshot by another node does no harm.
func (s *Stream) Snapshot(ctx context.Context) (err error) {
	if s.Save == nil {
		return nil
	}
	s.mu.Lock()
	asOf := s.next
	s.mu.Unlock()
	state, err := s.Save()
	if err != nil {
		return errors.Wrapf(err, "save state of stream %s", s.Name)
	}
	parts := max(1, (len(state)+snapshotChunk-1)/snapshotChunk)
	for part := range parts {
		data := state[part*snapshotChunk : min(len(state), (part+1)*snapshotChunk)]
		chunk, err := record.New(record.KindSnapshot, time.Now(), record.Snapshot{AsOf: asOf, Part: part, Parts: parts, Data: data})
		if err != nil {
			return err
		}
		if _, err := s.Write(ctx, chunk); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.stats.Snapshots++
	s.mu.Unlock()
	return nil
}

// noteChunk counts a chunk that was read during a recovery.
func (s *Stream) noteChunk(e record.Envelope) (state []byte, asOf fleet.Offset, complete bool) {
	chunk, err := record.Decode[record.Snapshot](e)
	if err != nil || chunk.Parts <= 0 || chunk.Part < 0 || chunk.Part >= chunk.Parts {
		return nil, 0, false
	}
	set := s.chunks[chunk.AsOf]
	if set == nil || len(set.parts) != chunk.Parts {
		set = &chunkSet{parts: make([][]byte, chunk.Parts)}
		s.chunks[chunk.AsOf] = set
	}
	if set.parts[chunk.Part] == nil {
		set.parts[chunk.Part] = chunk.Data
		set.have++
	}
	if set.have < chunk.Parts {
		return nil, 0, false
	}
	delete(s.chunks, chunk.AsOf)
	for _, p := range set.parts {
		state = append(state, p...)
	}
	return state, chunk.AsOf, true
}

// recover finds the newest complete snapshot in what is left of the stream and
// continues from it.
func (s *Stream) recover(ctx context.Context, lapsed *platform.LapsedError) (err error) {
	state, asOf, err := s.newestSnapshot(ctx, lapsed.Oldest)
	if err != nil {
		return err
	}
	if s.Load == nil {
		return &NoSnapshotError{Stream: s.Name, Oldest: lapsed.Oldest}
	}
	if err := s.Load(state); err != nil {
		return errors.Wrapf(err, "load snapshot of stream %s", s.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(asOf)
	return nil
}

func (s *Stream) newestSnapshot(ctx context.Context, oldest fleet.Offset) (state []byte, asOf fleet.Offset, err error) {
	found := false
	clear(s.chunks)
	defer clear(s.chunks)
	for from := oldest; ; {
		page, err := s.Log.Read(ctx, s.Name, from, DefaultPageEntries, 0)
		if err != nil {
			return nil, 0, err
		}
		for _, e := range page.Entries {
			group, err := record.DecodeGroup(e.Data)
			if err != nil {
				continue
			}
			for _, env := range group {
				if env.Kind != record.KindSnapshot {
					continue
				}
				data, at, complete := s.noteChunk(env)
				if complete && at >= oldest && (!found || at > asOf) {
					state, asOf, found = data, at, true
				}
			}
			from = e.Offset + 1
		}
		if len(page.Entries) == 0 || from >= page.Next {
			break
		}
	}
	if !found {
		return nil, 0, &NoSnapshotError{Stream: s.Name, Oldest: oldest}
	}
	return state, asOf, nil
}
