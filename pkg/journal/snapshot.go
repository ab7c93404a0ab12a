package journal

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

const (
	// snapshotChunk is how large one chunk of a snapshot is, in bytes.
	snapshotChunk = 256 << 10
	// snapshotChecks is how often a snapshot's age is looked at before it is due.
	snapshotChecks = 16
	// maxParts bounds the chunks of one snapshot that a reader takes.
	maxParts = 1 << 14
)

// chunkSet collects the chunks of one snapshot.
type chunkSet struct {
	asOf  fleet.Offset
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
	asOf, state, err := s.save()
	if err != nil {
		return errors.Wrapf(err, "save state of stream %s", s.Name)
	}
	set := record.NewID(time.Now())
	parts := max(1, (len(state)+snapshotChunk-1)/snapshotChunk)
	for part := range parts {
		data := state[part*snapshotChunk : min(len(state), (part+1)*snapshotChunk)]
		chunk, err := record.New(record.KindSnapshot, time.Now(), record.Snapshot{AsOf: asOf, Part: part, Parts: parts, Data: data, Set: set})
		if err != nil {
			return err
		}
		if _, err := s.Write(ctx, chunk); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Snapshots++
	return nil
}

// save returns a state and the offset that it stands for.
func (s *Stream) save() (asOf fleet.Offset, state []byte, err error) {
	s.folding.Lock()
	defer s.folding.Unlock()
	state, err = s.Save()
	return s.Next(), state, err
}

// preserve appends snapshots as they fall due until the context ends.
func (s *Stream) preserve(ctx context.Context) error {
	if s.Save == nil {
		return nil
	}
	every := or(s.SnapshotInterval, DefaultSnapshotInterval)
	pause := max(every/snapshotChecks, time.Millisecond)
	for {
		if err := sleep(ctx, pause/2+rand.N(pause)); err != nil {
			return err
		}
		if !s.snapshotDue(time.Now(), every) {
			continue
		}
		if err := s.Snapshot(ctx); err != nil && ctx.Err() == nil {
			s.failed(OperationAppend, err)
		}
	}
}

// snapshotDue reports whether this node should append a snapshot. An idle
// stream gets one too: its last snapshot lapses like any other entry.
func (s *Stream) snapshotDue(now time.Time, every time.Duration) bool {
	s.mu.Lock()
	last, ready := s.snapshot, s.caught
	s.mu.Unlock()
	if !ready || last.IsZero() {
		return false
	}
	if s.ShouldSnapshot != nil && !s.ShouldSnapshot() {
		every *= 2
	}
	return now.Sub(last) >= every
}

// noteStart takes the age of a stream's first entry for that of its newest
// snapshot while it has none.
func (s *Stream) noteStart(page platform.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot.IsZero() && len(page.Entries) > 0 {
		s.snapshot = logTime(page.Entries[0])
	}
}

// noteSnapshot notes the time of a snapshot's last chunk.
func (s *Stream) noteSnapshot(pos record.Position, e record.Envelope) {
	chunk, err := record.Decode[record.Snapshot](e)
	if err != nil || chunk.Part != chunk.Parts-1 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if pos.Time.After(s.snapshot) {
		s.snapshot = pos.Time
	}
}

// recover finds the newest complete snapshot in what is left of the stream and
// continues from it.
func (s *Stream) recover(ctx context.Context, lapsed *platform.OffsetExpiredError) (err error) {
	if s.Load == nil {
		return &NoSnapshotError{Stream: s.Name, Oldest: lapsed.Oldest}
	}
	state, asOf, err := s.newestSnapshot(ctx, lapsed.Oldest)
	if err != nil {
		return err
	}
	s.folding.Lock()
	err = s.Load(state)
	s.folding.Unlock()
	if err != nil {
		return errors.Wrapf(err, "load snapshot of stream %s", s.Name)
	}
	s.resume(asOf)
	if s.Recovered != nil {
		s.Recovered(lapsed.From, asOf)
	}
	if s.Applied != nil {
		s.Applied(asOf)
	}
	return nil
}

// resume continues from a loaded snapshot. The records that wait are appended
// again, since theirs may have lapsed unread; folds count them once.
func (s *Stream) resume(asOf fleet.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Lapsed++
	for _, t := range s.pending {
		if !slices.Contains(s.queue, t) {
			s.queue = append(s.queue, t)
		}
	}
	s.advance(asOf)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// newestSnapshot reads what is left of the stream for its newest complete
// snapshot.
func (s *Stream) newestSnapshot(ctx context.Context, oldest fleet.Offset) (state []byte, asOf fleet.Offset, err error) {
	sets := make(map[record.ID]*chunkSet)
	var newest *chunkSet
	for from := oldest; ; {
		page, err := s.Log.Read(ctx, s.Name, from, DefaultPageEntries, 0)
		if err != nil {
			return nil, 0, err
		}
		for _, e := range page.Entries {
			from = e.Offset + 1
			set := collect(sets, e)
			if set != nil && set.asOf >= oldest && (newest == nil || set.asOf > newest.asOf) {
				newest = set
			}
		}
		if len(page.Entries) == 0 || from >= page.Next {
			break
		}
	}
	if newest == nil {
		return nil, 0, &NoSnapshotError{Stream: s.Name, Oldest: oldest}
	}
	return slices.Concat(newest.parts...), newest.asOf, nil
}

// collect adds the chunks of an entry to their sets and returns the set that
// they complete, if any.
func collect(sets map[record.ID]*chunkSet, e platform.Entry) (complete *chunkSet) {
	group, err := record.DecodeGroup(e.Data)
	if err != nil {
		return nil
	}
	for _, env := range group {
		if env.Kind != record.KindSnapshot {
			continue
		}
		if set := addChunk(sets, env); set != nil {
			complete = set
		}
	}
	return complete
}

// addChunk adds a chunk to its set and returns the set if it is complete.
func addChunk(sets map[record.ID]*chunkSet, e record.Envelope) *chunkSet {
	chunk, err := record.Decode[record.Snapshot](e)
	if err != nil || chunk.Parts <= 0 || chunk.Parts > maxParts || chunk.Part < 0 || chunk.Part >= chunk.Parts {
		return nil
	}
	set := sets[chunk.Set]
	if set == nil {
		set = &chunkSet{asOf: chunk.AsOf, parts: make([][]byte, chunk.Parts)}
		sets[chunk.Set] = set
	}
	if len(set.parts) != chunk.Parts || set.parts[chunk.Part] != nil {
		return nil
	}
	set.parts[chunk.Part] = chunk.Data
	set.have++
	if set.have < chunk.Parts {
		return nil
	}
	return set
}
