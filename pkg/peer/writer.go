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
	// forwardTimeout is how long a node waits for its writer before it appends
	// for itself.
	forwardTimeout = time.Second
	// avoidWriter is how long a writer that failed is not asked again.
	avoidWriter = 5 * time.Second
)

var errGathering = errors.New("the append was given up before it began")

// Gatherer appends the records of many nodes to the log in common entries, one
// append in flight for each stream. Log must be set.
type LogWriter struct {
	Log *platform.Log
	// Every is the least time between two appends to a stream. The first one
	// after a pause goes at once.
	MinInterval time.Duration

	mu     sync.Mutex
	queues map[platform.StreamName]*gathering
}

// gathering is the queue of one stream.
type gathering struct {
	// turn is held by whoever appends.
	turn chan struct{}
	// last is when the last append began; the holder of the turn uses it.
	last    time.Time
	waiting []*gathered
}

// gathered is one group of records that waits for its append.
type gathered struct {
	records []record.Envelope
	size    int
	done    chan struct{}
	offset  fleet.Offset
	err     error
}

func (i *gathered) finished() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// Append adds the records of one entry to a stream, together with those that
// wait. The errors are those of platform.Log's Append.
func (g *LogWriter) Append(ctx context.Context, stream platform.StreamName, data []byte) (fleet.Offset, error) {
	records, err := record.DecodeGroup(data)
	if err != nil {
		return 0, &platform.NotExecutedError{Service: "log writer", Cause: err}
	}
	item := &gathered{records: records, size: len(data), done: make(chan struct{})}
	q := g.enqueue(stream, item)
	for {
		select {
		case <-item.done:
			return item.offset, item.err
		case q.turn <- struct{}{}:
			if !item.finished() && g.space(ctx, q) {
				g.flush(ctx, stream, q)
			}
			<-q.turn
		case <-ctx.Done():
			return 0, g.giveUp(q, item, ctx.Err())
		}
	}
}

// space waits until the next append may begin; false if the context ends first.
func (g *LogWriter) space(ctx context.Context, q *gathering) bool {
	t := time.NewTimer(g.MinInterval - time.Since(q.last))
	defer t.Stop()
	select {
	case <-t.C:
		q.last = time.Now()
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *LogWriter) enqueue(stream platform.StreamName, item *gathered) *gathering {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[stream]
	if q == nil {
		if g.queues == nil {
			g.queues = make(map[platform.StreamName]*gathering)
		}
		q = &gathering{turn: make(chan struct{}, 1)}
		g.queues[stream] = q
	}
	q.waiting = append(q.waiting, item)
	return q
}

// giveUp takes an item back. Nothing was appended only if no append has begun.
func (g *LogWriter) giveUp(q *gathering, item *gathered, cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(o *gathered) bool { return o == item })
	if len(q.waiting) < before {
		return &platform.NotExecutedError{Service: "log writer", Cause: errors.CombineErrors(errGathering, cause)}
	}
	return &platform.UnknownOutcomeError{Service: "log writer", Cause: cause}
}

// take removes the items of the next append from the queue.
func (g *LogWriter) take(q *gathering) (group []*gathered) {
	g.mu.Lock()
	defer g.mu.Unlock()
	size := 0
	for _, item := range q.waiting {
		size += item.size
		if len(group) > 0 && size > journal.DefaultGroupBytes {
			break
		}
		group = append(group, item)
	}
	q.waiting = q.waiting[len(group):]
	return group
}

// flush appends what waits. It goes on if its caller leaves, because the
// records of others go with it.
func (g *LogWriter) flush(ctx context.Context, stream platform.StreamName, q *gathering) {
	group := g.take(q)
	if len(group) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), journal.DefaultAppendTimeout)
	defer cancel()
	var records []record.Envelope
	for _, item := range group {
		records = append(records, item.records...)
	}
	var offset fleet.Offset
	data, err := record.EncodeGroup(records)
	if err != nil {
		err = &platform.NotExecutedError{Service: "log writer", Cause: err}
	} else {
		offset, err = g.Log.Append(ctx, stream, data)
	}
	for _, item := range group {
		item.offset, item.err = offset, err
		close(item.done)
	}
}

// Forward appends through the log writer of the data centre, and for itself if
// that one does not answer. The records then may stand twice in the stream;
// folds count them once. Gather must be set.
type Forwarder struct {
	// Gather appends when this node is the writer or the writer failed.
	Local *LogWriter
	// Writer returns the writer of a stream; ok is false if it is this node.
	Writer func(stream platform.StreamName) (p Peer, ok bool)
	// Call appends at a writer. Its errors are those of platform.Log's Append.
	RemoteAppend func(ctx context.Context, p Peer, stream platform.StreamName, data []byte) (fleet.Offset, error)

	mu      sync.Mutex
	avoided map[fleet.NodeName]time.Time
}

// Append is the AppendFunc of a platform.Log. It reports that nothing was
// appended only if neither way may have appended.
func (f *Forwarder) Append(ctx context.Context, stream platform.StreamName, data []byte) (fleet.Offset, error) {
	p, ok := f.writer(stream)
	if !ok {
		return f.Local.Append(ctx, stream, data)
	}
	timed, cancel := context.WithTimeout(ctx, forwardTimeout)
	offset, forwarded := f.RemoteAppend(timed, p, stream, data)
	cancel()
	if forwarded == nil {
		return offset, nil
	}
	f.avoid(p.Name)
	offset, err := f.Local.Append(ctx, stream, data)
	if err != nil && platform.MayHaveExecuted(forwarded) {
		return 0, &platform.UnknownOutcomeError{Service: "log writer", Cause: errors.CombineErrors(forwarded, err)}
	}
	return offset, err
}

func (f *Forwarder) writer(stream platform.StreamName) (p Peer, ok bool) {
	if f.Writer == nil || f.RemoteAppend == nil {
		return p, false
	}
	p, ok = f.Writer(stream)
	f.mu.Lock()
	defer f.mu.Unlock()
	return p, ok && time.Since(f.avoided[p.Name]) > avoidWriter
}

func (f *Forwarder) avoid(name fleet.NodeName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.avoided == nil {
		f.avoided = make(map[fleet.NodeName]time.Time)
	}
	f.avoided[name] = time.Now()
}
