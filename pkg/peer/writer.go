package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// Delays of the log writers.
const (
	// forwardTimeout is how long a node waits for the log writer before it
	// appends directly.
	forwardTimeout = time.Second
	// writerBackoff is how long a failed log writer is not used.
	writerBackoff = 5 * time.Second
)

var errNotStarted = errors.New("the append was given up before it began")

// LogWriter appends the records of many nodes to the log in shared entries, with
// one append in flight per stream. Log must be set.
type LogWriter struct {
	Log *platform.Log
	// MinInterval is the minimum time between two appends to a stream. The first
	// append after a pause is not delayed.
	MinInterval time.Duration

	mu     sync.Mutex
	queues map[platform.StreamName]*streamQueue
}

// streamQueue is the queue of one stream.
type streamQueue struct {
	// appending is a semaphore held during an append.
	appending chan struct{}
	// lastAppend is when the last append started. It is guarded by appending.
	lastAppend time.Time
	waiting    []*pendingGroup
}

// pendingGroup is a group of records that waits to be appended.
type pendingGroup struct {
	records []record.Envelope
	size    int
	done    chan struct{}
	offset  fleet.Offset
	err     error
}

func (p *pendingGroup) finished() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Append appends the records of one entry to a stream, together with the waiting
// ones. Its errors are those of platform.Log's Append.
func (w *LogWriter) Append(ctx context.Context, stream platform.StreamName, data []byte) (fleet.Offset, error) {
	records, err := record.DecodeGroup(data)
	if err != nil {
		return 0, &platform.NotExecutedError{Service: "log writer", Cause: err}
	}
	group := &pendingGroup{records: records, size: len(data), done: make(chan struct{})}
	q := w.enqueue(stream, group)
	for {
		select {
		case <-group.done:
			return group.offset, group.err
		case q.appending <- struct{}{}:
			if !group.finished() && w.waitInterval(ctx, q) {
				w.flush(ctx, stream, q)
			}
			<-q.appending
		case <-ctx.Done():
			return 0, w.withdraw(q, group, ctx.Err())
		}
	}
}

// waitInterval waits until the next append may start. It returns false if the
// context ends first.
func (w *LogWriter) waitInterval(ctx context.Context, q *streamQueue) bool {
	t := time.NewTimer(w.MinInterval - time.Since(q.lastAppend))
	defer t.Stop()
	select {
	case <-t.C:
		q.lastAppend = time.Now()
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *LogWriter) enqueue(stream platform.StreamName, group *pendingGroup) *streamQueue {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queues[stream]
	if q == nil {
		if w.queues == nil {
			w.queues = make(map[platform.StreamName]*streamQueue)
		}
		q = &streamQueue{appending: make(chan struct{}, 1)}
		w.queues[stream] = q
	}
	q.waiting = append(q.waiting, group)
	return q
}

// withdraw removes a group from the queue and returns the error of its append.
// The group was certainly not appended only if it was still in the queue.
func (w *LogWriter) withdraw(q *streamQueue, group *pendingGroup, cause error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	length := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(other *pendingGroup) bool { return other == group })
	if len(q.waiting) < length {
		return &platform.NotExecutedError{Service: "log writer", Cause: errors.CombineErrors(errNotStarted, cause)}
	}
	return &platform.UnknownOutcomeError{Service: "log writer", Cause: cause}
}

// dequeue removes the groups of the next append from the queue.
func (w *LogWriter) dequeue(q *streamQueue) (groups []*pendingGroup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	size := 0
	for _, group := range q.waiting {
		size += group.size
		if len(groups) > 0 && size > journal.DefaultGroupBytes {
			break
		}
		groups = append(groups, group)
	}
	q.waiting = q.waiting[len(groups):]
	return groups
}

// flush appends the waiting groups. It continues if its context is cancelled,
// because the groups include records of other callers.
func (w *LogWriter) flush(ctx context.Context, stream platform.StreamName, q *streamQueue) {
	groups := w.dequeue(q)
	if len(groups) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), journal.DefaultAppendTimeout)
	defer cancel()
	var records []record.Envelope
	for _, group := range groups {
		records = append(records, group.records...)
	}
	var offset fleet.Offset
	data, err := record.EncodeGroup(records)
	if err != nil {
		err = &platform.NotExecutedError{Service: "log writer", Cause: err}
	} else {
		offset, err = w.Log.Append(ctx, stream, data)
	}
	for _, group := range groups {
		group.offset, group.err = offset, err
		close(group.done)
	}
}

// Forwarder appends through the log writer of the data centre, and directly if
// the writer fails. In that case the stream may contain the records twice;
// readers apply them once. Local must be set.
type Forwarder struct {
	// Local appends if this node is the log writer or the log writer failed.
	Local *LogWriter
	// Writer returns the log writer of a stream; ok is false if it is this node.
	Writer func(stream platform.StreamName) (p Peer, ok bool)
	// RemoteAppend appends at another log writer. Its errors are those of
	// platform.Log's Append.
	RemoteAppend func(ctx context.Context, p Peer, stream platform.StreamName, data []byte) (fleet.Offset, error)

	mu       sync.Mutex
	failedAt map[fleet.NodeName]time.Time
}

// Append is the AppendFunc of a platform.Log. Its error says that nothing was
// appended only if neither attempt can have appended.
func (f *Forwarder) Append(ctx context.Context, stream platform.StreamName, data []byte) (fleet.Offset, error) {
	p, ok := f.usableWriter(stream)
	if !ok {
		return f.Local.Append(ctx, stream, data)
	}
	callContext, cancel := context.WithTimeout(ctx, forwardTimeout)
	offset, remoteErr := f.RemoteAppend(callContext, p, stream, data)
	cancel()
	if remoteErr == nil {
		return offset, nil
	}
	f.recordFailure(p.Name)
	offset, err := f.Local.Append(ctx, stream, data)
	if err != nil && platform.MayHaveExecuted(remoteErr) {
		return 0, &platform.UnknownOutcomeError{Service: "log writer", Cause: errors.CombineErrors(remoteErr, err)}
	}
	return offset, err
}

func (f *Forwarder) usableWriter(stream platform.StreamName) (p Peer, ok bool) {
	if f.Writer == nil || f.RemoteAppend == nil {
		return p, false
	}
	p, ok = f.Writer(stream)
	f.mu.Lock()
	defer f.mu.Unlock()
	return p, ok && time.Since(f.failedAt[p.Name]) > writerBackoff
}

func (f *Forwarder) recordFailure(name fleet.NodeName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedAt == nil {
		f.failedAt = make(map[fleet.NodeName]time.Time)
	}
	f.failedAt[name] = time.Now()
}
