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
	// DefaultQueueLength is the maximum number of charges that wait for an append.
	DefaultQueueLength = 65536
	// DefaultFlushInterval is the interval between appends of the queued charges.
	DefaultFlushInterval = 5 * time.Second
	maxBatchCharges      = 4096
	appendTimeout        = 5 * time.Second
	minRetryDelay        = 200 * time.Millisecond
	maxRetryDelay        = 30 * time.Second
	// shutdownAttempts is the number of failed appends after which a shutdown drops the
	// remaining charges.
	shutdownAttempts = 3
)

// Writer appends the charges of one node in numbered batches, one at a time. If the
// response to an append is lost, the same batch is appended again with the same
// number; State counts it once. Log and Node must be set.
type Writer struct {
	Log  *platform.Log
	Node fleet.NodeRef
	// FlushInterval and QueueLength override the defaults.
	FlushInterval time.Duration
	QueueLength   int
	// Failed is called after a failed append.
	Failed func(err error)

	once     sync.Once
	done     chan struct{}
	mu       sync.Mutex
	queue    []record.Charge
	sequence uint64
	// batch is the batch that the log has not confirmed yet. It holds the first
	// batchSize charges of the queue; batchSize is 0 if there is no such batch.
	batch     record.Envelope
	batchSize int
	dropped   int
}

// Charge queues a charge. It reports false and drops the charge if the queue is full.
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

// Dropped returns how many charges were dropped because the queue was full.
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

// Run appends charges until the context ends, then tries to append the rest.
func (w *Writer) Run(ctx context.Context) error {
	w.Done()
	defer close(w.done)
	interval.Run(ctx, cmp.Or(w.FlushInterval, DefaultFlushInterval), w.flush)
	w.drain(context.WithoutCancel(ctx))
	return nil
}

// flush appends the queued charges. It retries failed appends until the context ends.
func (w *Writer) flush(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval, retryDelay.RandomizationFactor = minRetryDelay, maxRetryDelay, 1
	for w.hasCharges() && ctx.Err() == nil {
		if w.write(ctx) {
			retryDelay.Reset()
			continue
		}
		t := time.NewTimer(retryDelay.NextBackOff())
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// drain appends the remaining charges on shutdown. It gives up after shutdownAttempts
// failures.
func (w *Writer) drain(ctx context.Context) {
	for failures := 0; failures < shutdownAttempts && w.hasCharges(); {
		if !w.write(ctx) {
			failures++
		}
	}
}

func (w *Writer) hasCharges() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

// write appends the next batch and reports whether the log confirmed it.
func (w *Writer) write(ctx context.Context) bool {
	data, err := record.EncodeGroup([]record.Envelope{w.nextBatch()})
	if err != nil {
		return false
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = w.Log.Append(appendCtx, platform.StreamCharge, data)
	if err != nil && w.Failed != nil {
		w.Failed(err)
	}
	if err == nil {
		w.confirm()
	}
	return err == nil
}

// nextBatch returns the batch that the log has not confirmed yet, or else a new
// one.
func (w *Writer) nextBatch() record.Envelope {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.batchSize > 0 {
		return w.batch
	}
	items := w.queue[:min(len(w.queue), maxBatchCharges)]
	e, err := record.New(record.KindCharge, time.Now(), record.Charges{Writer: w.Node, Sequence: w.sequence + 1, Items: items})
	if err == nil {
		w.batch, w.batchSize = e, len(items)
	}
	return e
}

// confirm removes the charges of a confirmed batch from the queue.
func (w *Writer) confirm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = w.queue[w.batchSize:]
	w.sequence++
	w.batch, w.batchSize = record.Envelope{}, 0
}
