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
	// snapshotChunkBytes is the size of one chunk of a snapshot.
	snapshotChunkBytes = 256 << 10
	// snapshotChecksPerInterval is how often the age of the newest snapshot is checked
	// per snapshot interval.
	snapshotChecksPerInterval = 16
	// maxChunks is the maximum number of chunks of a snapshot that a reader accepts.
	maxChunks = 1 << 14
)

// chunkSet collects the chunks of one snapshot.
type chunkSet struct {
	nextOffset fleet.Offset
	chunks     [][]byte
	received   int
}

// NoSnapshotError reports that the stream's oldest entries have expired and that the
// remaining ones hold no complete snapshot.
type NoSnapshotError struct {
	Stream platform.StreamName
	Oldest fleet.Offset
}

// Error implements error.
func (e *NoSnapshotError) Error() string {
	return "stream " + string(e.Stream) + " has expired entries and holds no complete snapshot"
}

// Snapshot appends the current state as a snapshot. Several nodes may do so at the
// same time without harm.
func (s *Stream) Snapshot(ctx context.Context) (err error) {
	if s.Save == nil {
		return nil
	}
	nextOffset, state, err := s.saveState()
	if err != nil {
		return errors.Wrapf(err, "save state of stream %s", s.Name)
	}
	set := record.NewID(time.Now())
	chunkCount := max(1, (len(state)+snapshotChunkBytes-1)/snapshotChunkBytes)
	for index := range chunkCount {
		data := state[index*snapshotChunkBytes : min(len(state), (index+1)*snapshotChunkBytes)]
		chunk, err := record.New(record.KindSnapshot, time.Now(), record.SnapshotChunk{NextOffset: nextOffset, Chunk: index, Chunks: chunkCount, Data: data, Set: set})
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

// saveState returns the encoded state and the offset after the last entry it includes.
func (s *Stream) saveState() (nextOffset fleet.Offset, state []byte, err error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	state, err = s.Save()
	return s.Next(), state, err
}

// runSnapshots appends snapshots when they are due until the context ends.
func (s *Stream) runSnapshots(ctx context.Context) error {
	if s.Save == nil {
		return nil
	}
	interval := orDefault(s.SnapshotInterval, DefaultSnapshotInterval)
	checkDelay := max(interval/snapshotChecksPerInterval, time.Millisecond)
	for {
		if err := sleep(ctx, checkDelay/2+rand.N(checkDelay)); err != nil {
			return err
		}
		if !s.snapshotDue(time.Now(), interval) {
			continue
		}
		if err := s.Snapshot(ctx); err != nil && ctx.Err() == nil {
			s.reportFailure(OperationAppend, err)
		}
	}
}

// snapshotDue reports whether this node should append a snapshot. An idle stream
// needs new snapshots too, because the last one expires like any other entry.
func (s *Stream) snapshotDue(now time.Time, interval time.Duration) bool {
	s.mu.Lock()
	last, ready := s.lastSnapshot, s.caughtUp
	s.mu.Unlock()
	if !ready || last.IsZero() {
		return false
	}
	if s.ShouldSnapshot != nil && !s.ShouldSnapshot() {
		interval *= 2
	}
	return now.Sub(last) >= interval
}

// recordFirstEntry uses the time of the stream's first entry in place of the time of
// its newest snapshot while there is none.
func (s *Stream) recordFirstEntry(page platform.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastSnapshot.IsZero() && len(page.Entries) > 0 {
		s.lastSnapshot = logTime(page.Entries[0])
	}
}

// recordSnapshot records the time of a snapshot's last chunk.
func (s *Stream) recordSnapshot(pos record.Position, e record.Envelope) {
	chunk, err := record.Decode[record.SnapshotChunk](e)
	if err != nil || chunk.Chunk != chunk.Chunks-1 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if pos.Time.After(s.lastSnapshot) {
		s.lastSnapshot = pos.Time
	}
}

// recoverFromSnapshot loads the newest complete snapshot in the remaining entries and
// continues from it.
func (s *Stream) recoverFromSnapshot(ctx context.Context, expired *platform.OffsetExpiredError) (err error) {
	if s.Load == nil {
		return &NoSnapshotError{Stream: s.Name, Oldest: expired.Oldest}
	}
	state, nextOffset, err := s.newestSnapshot(ctx, expired.Oldest)
	if err != nil {
		return err
	}
	s.applyMu.Lock()
	err = s.Load(state)
	s.applyMu.Unlock()
	if err != nil {
		return errors.Wrapf(err, "load snapshot of stream %s", s.Name)
	}
	s.resume(nextOffset)
	if s.Recovered != nil {
		s.Recovered(expired.From, nextOffset)
	}
	if s.Applied != nil {
		s.Applied(nextOffset)
	}
	return nil
}

// resume continues at the next offset of a loaded snapshot. All pending records are
// queued again, because their entries may have expired unread; Apply counts a record
// once.
func (s *Stream) resume(nextOffset fleet.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Lapsed++
	for _, sb := range s.pending {
		if !slices.Contains(s.queue, sb) {
			s.queue = append(s.queue, sb)
		}
	}
	s.advance(nextOffset)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// newestSnapshot reads the remaining entries of the stream and returns their newest
// complete snapshot.
func (s *Stream) newestSnapshot(ctx context.Context, oldest fleet.Offset) (state []byte, nextOffset fleet.Offset, err error) {
	sets := make(map[record.ID]*chunkSet)
	var newest *chunkSet
	for from := oldest; ; {
		page, err := s.Log.Read(ctx, s.Name, from, pageEntries, 0)
		if err != nil {
			return nil, 0, err
		}
		for _, e := range page.Entries {
			from = e.Offset + 1
			set := collectChunks(sets, e)
			if set != nil && set.nextOffset >= oldest && (newest == nil || set.nextOffset > newest.nextOffset) {
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
	return slices.Concat(newest.chunks...), newest.nextOffset, nil
}

// collectChunks adds the chunks of an entry to their sets and returns the last set
// that they complete, if any.
func collectChunks(sets map[record.ID]*chunkSet, e platform.Entry) (complete *chunkSet) {
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

// addChunk adds a chunk to its set and returns the set once it is complete.
func addChunk(sets map[record.ID]*chunkSet, e record.Envelope) *chunkSet {
	chunk, err := record.Decode[record.SnapshotChunk](e)
	if err != nil || chunk.Chunks <= 0 || chunk.Chunks > maxChunks || chunk.Chunk < 0 || chunk.Chunk >= chunk.Chunks {
		return nil
	}
	set := sets[chunk.Set]
	if set == nil {
		set = &chunkSet{nextOffset: chunk.NextOffset, chunks: make([][]byte, chunk.Chunks)}
		sets[chunk.Set] = set
	}
	if len(set.chunks) != chunk.Chunks || set.chunks[chunk.Chunk] != nil {
		return nil
	}
	set.chunks[chunk.Chunk] = chunk.Data
	set.received++
	if set.received < chunk.Chunks {
		return nil
	}
	return set
}
