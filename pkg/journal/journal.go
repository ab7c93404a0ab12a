// Package journal follows a stream of the platform's log and appends to it.
//
// A Stream replays entries in offset order into a fold and groups the records
// of its callers into appends, one in flight at a time. A record counts as
// written only when the stream has read it back in order: an append whose
// answer was lost needs no other treatment than to read on, and to append the
// same records again if they do not come. Folds see such a record twice and
// count it once.
package journal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// Limits and delays of a stream, where its fields leave them zero.
const (
	// DefaultQueue is how many records may wait for their append.
	DefaultQueueLength = 4096
	// DefaultGroupBytes is how large one append may grow.
	DefaultGroupBytes = 512 << 10
	// DefaultPageEntries is how many entries are read at a time.
	DefaultPageEntries = 1024
	// DefaultPoll is how long a read waits at the end of the stream.
	DefaultPollTimeout = 2 * time.Second
	// DefaultAppendTimeout bounds one append.
	DefaultAppendTimeout = 5 * time.Second
	// DefaultTrip is how many appends must fail in a row for the breaker to open.
	DefaultBreakerFailures = 3
	// DefaultProbe is how long the breaker stays open before the next attempt.
	DefaultBreakerTimeout = time.Second
	// DefaultSnapshotEvery is the age at which a stream's newest snapshot is
	// followed by the next.
	DefaultSnapshotInterval = 4 * time.Hour
)

// Stream is one stream of the log, folded and written. Log, Name and Apply
// must be set; the other fields may stay zero.
type Stream struct {
	Log  *platform.Log
	Name platform.StreamName
	// Apply folds one record. It runs on one goroutine, in order. An error
	// marks the record as unreadable; it does not stop the stream.
	Apply func(pos record.Position, e record.Envelope) error
	// Save returns the fold's state; nil if the stream has no snapshots.
	Save func() ([]byte, error)
	// Load replaces the fold's state by a saved one.
	Load func(state []byte) error
	// Applied is called after each page of entries was folded, and after a
	// snapshot was loaded.
	Applied func(next fleet.Offset)
	// Lapsed is called after a reader whose next entry was no longer kept has
	// gone on from a snapshot.
	Recovered func(from, asOf fleet.Offset)
	// Candidate reports whether this node should append the next snapshot. Nil
	// means that it should. The others append one when it is twice overdue, so
	// no snapshot hangs on a wrong answer.
	ShouldSnapshot func() bool
	// Unreadable is called for a record or entry that could not be folded.
	Unreadable func(pos record.Position, err error)
	// Failed is called after a failed append or read.
	Failed func(op Operation, err error)

	// Queue, GroupBytes, Poll, AppendTimeout, Probe and SnapshotEvery override
	// the defaults.
	QueueLength      int
	GroupBytes       int
	PollTimeout      time.Duration
	AppendTimeout    time.Duration
	BreakerTimeout   time.Duration
	SnapshotInterval time.Duration

	once sync.Once
	done chan struct{}
	// folding is held while entries are folded, so that a saved state and the
	// offset that it stands for belong together.
	folding  sync.Mutex
	mu       sync.Mutex
	next     fleet.Offset
	caught   bool
	stopped  bool
	moved    chan struct{}
	pending  map[record.ID]*Submission
	queue    []*Submission
	unsure   bool
	wake     chan struct{}
	breaker  *gobreaker.TwoStepCircuitBreaker[struct{}]
	snapshot time.Time
	stats    Stats
}

// Operation names what a stream did when it failed.
type Operation string

// The operations of a stream.
const (
	OperationAppend Operation = "append"
	OperationRead   Operation = "read"
)

// Stats counts what a stream has done.
type Stats struct {
	Appends      int
	FailedWrites int
	Records      int
	Bytes        int
	Folded       int
	Unreadable   int
	Snapshots    int
	// LastFailure is when an append failed last.
	LastFailure time.Time
	// LastRead is when the log last answered a read.
	LastRead time.Time
	// Lapsed counts the recoveries from a snapshot.
	Lapsed int
}

// UnavailableError reports that a record was not taken because the log does
// not answer or too many records wait. Nothing was appended.
type UnavailableError struct {
	Stream platform.StreamName
	Reason Reason
}

// Reason says why a stream takes no records.
type Reason string

// The reasons for which a stream takes no records.
const (
	ReasonOutage   Reason = "the log does not answer"
	ReasonQueue    Reason = "too many records wait"
	ReasonStarting Reason = "the stream has not been read to its end yet"
	ReasonStopped  Reason = "the stream has been stopped"
)

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("stream %s takes no records: %s", e.Stream, e.Reason)
}

func (s *Stream) init() {
	s.once.Do(func() {
		s.done = make(chan struct{})
		s.moved = make(chan struct{})
		s.wake = make(chan struct{}, 1)
		s.pending = make(map[record.ID]*Submission)
		s.breaker = gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
			Name:        string(s.Name),
			Timeout:     or(s.BreakerTimeout, DefaultBreakerTimeout),
			ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= DefaultBreakerFailures },
		})
	})
}

func or[T comparable](value, fallback T) T {
	var unset T
	if value == unset {
		return fallback
	}
	return value
}

// Done is closed when Run has returned.
func (s *Stream) Done() <-chan struct{} {
	s.init()
	return s.done
}

// Run follows and writes the stream until the context ends.
func (s *Stream) Run(ctx context.Context) error {
	s.init()
	defer close(s.done)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.follow(ctx) })
	g.Go(func() error { return s.write(ctx) })
	g.Go(func() error { return s.preserve(ctx) })
	err := g.Wait()
	s.abandon()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Next returns the offset up to which the stream is folded.
func (s *Stream) Next() fleet.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// Stats returns the counts so far.
func (s *Stream) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Healthy reports whether the last appends went through.
func (s *Stream) Healthy() bool {
	s.init()
	return s.breaker.State() == gobreaker.StateClosed
}

// Ready reports whether the stream has been read to its end once.
func (s *Stream) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caught
}

// WaitReady blocks until the stream has been read to its end once.
func (s *Stream) WaitReady(ctx context.Context) error {
	return s.wait(ctx, func() bool { return s.caught })
}

// WaitOffset blocks until the entry before the offset is folded.
func (s *Stream) WaitOffset(ctx context.Context, next fleet.Offset) error {
	return s.wait(ctx, func() bool { return s.next >= next })
}

// Flush blocks until every record that was submitted has been folded.
func (s *Stream) Flush(ctx context.Context) error {
	return s.wait(ctx, func() bool { return len(s.pending) == 0 })
}

func (s *Stream) wait(ctx context.Context, reached func() bool) error {
	s.init()
	for {
		s.mu.Lock()
		ok, moved := reached(), s.moved
		s.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// advance records progress and wakes whoever waits for it. The lock is held.
func (s *Stream) advance(next fleet.Offset) {
	s.next = next
	close(s.moved)
	s.moved = make(chan struct{})
}
