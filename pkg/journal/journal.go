// Package journal follows a stream of the platform's log and appends to it.
//
// A Stream applies the records of all entries in offset order, and groups the records
// of its callers into appends, one in flight at a time. A record counts as written
// only when the stream has read it back in order. After an append whose response was
// lost, the stream therefore reads on and appends the same records again if they do
// not appear. A record may then be in the stream twice; the Apply function must
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

// Limits and delays of a stream. Fields of Stream override the defaults.
const (
	// DefaultQueueLength is the maximum number of submissions that wait for their append.
	DefaultQueueLength = 4096
	// DefaultGroupBytes is the maximum total size of the record bodies in one append. A
	// larger submission is appended alone.
	DefaultGroupBytes = 512 << 10
	// pageEntries is the maximum number of entries per read.
	pageEntries = 1024
	// DefaultPollTimeout is how long a read at the end of the stream waits for entries.
	DefaultPollTimeout = 2 * time.Second
	// DefaultAppendTimeout is the timeout of one append.
	DefaultAppendTimeout = 5 * time.Second
	// breakerFailures is the number of consecutive failed appends that opens the
	// circuit breaker.
	breakerFailures = 3
	// DefaultBreakerTimeout is how long the circuit breaker stays open before it lets an
	// attempt through.
	DefaultBreakerTimeout = time.Second
	// DefaultSnapshotInterval is the age of the newest snapshot at which the next one
	// is due.
	DefaultSnapshotInterval = 4 * time.Hour
)

// Stream reads, applies and appends the records of one stream of the log. Log, Name
// and Apply must be set; the other fields may stay zero.
type Stream struct {
	Log  *platform.Log
	Name platform.StreamName
	// Apply applies one record to the state. It is called from one goroutine, in stream
	// order. An error marks the record as unreadable and does not stop the stream.
	Apply func(pos record.Position, e record.Envelope) error
	// Save returns the encoded state. It is nil if the stream has no snapshots.
	Save func() ([]byte, error)
	// Load replaces the state with a saved one.
	Load func(state []byte) error
	// Applied is called after each page of entries was applied, and after a snapshot
	// was loaded.
	Applied func(next fleet.Offset)
	// Recovered is called after the stream has loaded a snapshot because the entry at
	// from had expired. The stream continues at nextOffset.
	Recovered func(from, nextOffset fleet.Offset)
	// ShouldSnapshot reports whether this node should append the next snapshot; nil
	// means true. The other nodes append one at twice the interval, so that snapshots
	// continue if no node reports true.
	ShouldSnapshot func() bool
	// Unreadable is called for a record or entry that could not be decoded or applied.
	Unreadable func(pos record.Position, err error)
	// Failed is called after a failed append or read.
	Failed func(op Operation, err error)

	// The fields below override the defaults.
	QueueLength      int
	GroupBytes       int
	PollTimeout      time.Duration
	AppendTimeout    time.Duration
	BreakerTimeout   time.Duration
	SnapshotInterval time.Duration

	once sync.Once
	done chan struct{}
	// applyMu is held while an entry is applied, so that a saved state matches its
	// offset.
	applyMu     sync.Mutex
	mu          sync.Mutex
	next        fleet.Offset
	caughtUp    bool
	stopped     bool
	advanced    chan struct{}
	pending     map[record.ID]*Submission
	queue       []*Submission
	unconfirmed bool
	// appending is set while an append is in flight.
	appending    bool
	wake         chan struct{}
	breaker      *gobreaker.TwoStepCircuitBreaker[struct{}]
	lastSnapshot time.Time
	stats        Stats
}

// Operation is an operation of a stream on the log that may fail.
type Operation string

// The operations of a stream.
const (
	OperationAppend Operation = "append"
	OperationRead   Operation = "read"
)

// Stats counts the operations and records of a stream. Appends, Records and Bytes
// count only appends that the log has confirmed.
type Stats struct {
	Appends      int
	FailedWrites int
	Records      int
	Bytes        int
	// Folded counts the records of the applied entries.
	Folded     int
	Unreadable int
	Snapshots  int
	// LastFailure is the time of the last failed append.
	LastFailure time.Time
	// LastRead is the time of the last successful read.
	LastRead time.Time
	// Lapsed counts the recoveries from a snapshot.
	Lapsed int
}

// UnavailableError reports that a stream did not accept a record, for the given
// reason. Nothing was appended.
type UnavailableError struct {
	Stream platform.StreamName
	Reason Reason
}

// Reason is the reason why a stream accepts no records.
type Reason string

// The reasons why a stream accepts no records.
const (
	ReasonOutage   Reason = "the log does not answer"
	ReasonQueue    Reason = "too many records wait"
	ReasonStarting Reason = "the stream has not been read to its end yet"
	ReasonStopped  Reason = "the stream has been stopped"
)

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("stream %s accepts no records: %s", e.Stream, e.Reason)
}

func (s *Stream) init() {
	s.once.Do(func() {
		s.done = make(chan struct{})
		s.advanced = make(chan struct{})
		s.wake = make(chan struct{}, 1)
		s.pending = make(map[record.ID]*Submission)
		s.breaker = gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
			Name:        string(s.Name),
			Timeout:     orDefault(s.BreakerTimeout, DefaultBreakerTimeout),
			ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerFailures },
		})
	})
}

func orDefault[T comparable](value, fallback T) T {
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

// Run follows the stream and appends submitted records and snapshots until the
// context ends.
func (s *Stream) Run(ctx context.Context) error {
	s.init()
	defer close(s.done)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.follow(ctx) })
	g.Go(func() error { return s.runAppends(ctx) })
	g.Go(func() error { return s.runSnapshots(ctx) })
	err := g.Wait()
	s.rejectPending()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Next returns the offset after the last applied entry.
func (s *Stream) Next() fleet.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// Stats returns the current counts.
func (s *Stream) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Healthy reports whether the circuit breaker of appends is closed.
func (s *Stream) Healthy() bool {
	s.init()
	return s.breaker.State() == gobreaker.StateClosed
}

// Ready reports whether the stream has been read to its end once.
func (s *Stream) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caughtUp
}

// WaitReady blocks until the stream has been read to its end once.
func (s *Stream) WaitReady(ctx context.Context) error {
	return s.waitUntil(ctx, func() bool { return s.caughtUp })
}

// WaitOffset blocks until the entry before the offset is applied.
func (s *Stream) WaitOffset(ctx context.Context, next fleet.Offset) error {
	return s.waitUntil(ctx, func() bool { return s.next >= next })
}

// Flush blocks until no submitted record is pending and no append is in flight, so
// that Stats then includes all of them.
func (s *Stream) Flush(ctx context.Context) error {
	return s.waitUntil(ctx, func() bool { return len(s.pending) == 0 && !s.appending })
}

func (s *Stream) waitUntil(ctx context.Context, reached func() bool) error {
	s.init()
	for {
		s.mu.Lock()
		done, advanced := reached(), s.advanced
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// advance sets the next offset and wakes the waiters. The caller holds the lock.
func (s *Stream) advance(next fleet.Offset) {
	s.next = next
	s.wakeWaiters()
}

// wakeWaiters makes waitUntil check its condition again. The caller holds the lock.
func (s *Stream) wakeWaiters() {
	close(s.advanced)
	s.advanced = make(chan struct{})
}
