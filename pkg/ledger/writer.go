package ledger

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// Limits and delays of a writer.
const (
	// DefaultQueue is how many charges may wait for the log.
	DefaultQueueLength = 65536
	// DefaultEvery is how long charges are gathered for one append.
	DefaultFlushInterval = 5 * time.Second
	batchItems           = 4096
	appendWait           = 5 * time.Second
	firstRetry           = 200 * time.Millisecond
	mostRetry            = 30 * time.Second
	// lastTries is how often the charges left at the end are tried.
	lastTries = 3
)

// Writer appends the charges of one node in numbered batches, one at a time. A
// batch whose answer was lost is appended again as it is; the fold counts it
// once. Log and Node must be set.
type Writer struct {
	Log  *platform.Log
	Node fleet.NodeRef
	// Every and Queue override the defaults.
	FlushInterval time.Duration
	QueueLength   int
	// Failed is called after a failed append.
	Failed func(err error)

	once     sync.Once
	done     chan struct{}
	mu       sync.Mutex
	queue    []record.Charge
	sequence uint64
	// batch is the one that has no confirmation yet, and size how many charges
	// of the queue it holds; 0 if there is none.
	batch   record.Envelope
	size    int
	dropped int
}

// Charge queues a charge and reports whether there was room for it.
func (w *Writer) Charge(c record.Charge) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.QueueLength
	if limit == 0 {
		limit = DefaultQueueLength
	}
	if len(w.queue) >= limit {
		w.dropped++
		return false
	}
	w.queue = append(w.queue, c)
	return true
}

// Dropped returns how many charges were dropped for want of room.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Done is closed when Run has returned.
func (w *Writer) Done() <-chan struct{} {
	w.once.Do(func() { w.done = make(chan struct{}) })
	return w.done
}

// Run writes until the context ends, and then what is left.
func (w *Writer) Run(ctx context.Context) error {
	w.Done()
	defer close(w.done)
	interval.Run(ctx, cmp.Or(w.FlushInterval, DefaultFlushInterval), w.flush)
	w.last(context.WithoutCancel(ctx))
	return nil
}

// flush writes what is queued, trying again until the context ends.
func (w *Writer) flush(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval, delay.RandomizationFactor = firstRetry, mostRetry, 1
	for w.waiting() && ctx.Err() == nil {
		if w.write(ctx) {
			delay.Reset()
			continue
		}
		t := time.NewTimer(delay.NextBackOff())
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// last writes what is left when the node stops, within a few tries.
func (w *Writer) last(ctx context.Context) {
	for tries := 0; tries < lastTries && w.waiting(); {
		if !w.write(ctx) {
			tries++
		}
	}
}

func (w *Writer) waiting() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

// write appends the next batch and reports whether the log confirmed it.
func (w *Writer) write(ctx context.Context) bool {
	data, err := record.EncodeGroup([]record.Envelope{w.next()})
	if err != nil {
		return false
	}
	timed, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	_, err = w.Log.Append(timed, platform.StreamCharge, data)
	if err != nil && w.Failed != nil {
		w.Failed(err)
	}
	if err == nil {
		w.confirm()
	}
	return err == nil
}

// next returns the batch to write: the one that has no confirmation yet, or a
// new one.
func (w *Writer) next() record.Envelope {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.size > 0 {
		return w.batch
	}
	items := w.queue[:min(len(w.queue), batchItems)]
	e, err := record.New(record.KindCharge, time.Now(), record.Charges{Writer: w.Node, Sequence: w.sequence + 1, Items: items})
	if err == nil {
		w.batch, w.size = e, len(items)
	}
	return e
}

// confirm notes that the log holds the batch.
func (w *Writer) confirm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = w.queue[w.size:]
	w.sequence++
	w.batch, w.size = record.Envelope{}, 0
}
