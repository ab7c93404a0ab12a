package journal

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// Submission tracks records from Submit until they are applied or rejected.
type Submission struct {
	stream   *Stream
	records  []record.Envelope
	done     chan struct{}
	rejected chan struct{}
	once     sync.Once
	// required reports whether the records stay queued during an outage of the log.
	required bool
	// The stream's lock guards the fields below.
	inFlight bool
	sent     bool
	applied  bool
	dropped  bool
	position record.Position
}

// Position returns the position of the last record. It is valid after Wait returned
// nil.
func (sb *Submission) Position() record.Position {
	sb.stream.mu.Lock()
	defer sb.stream.mu.Unlock()
	return sb.position
}

// Wait blocks until the records are applied or rejected, the context ends or the
// stream is stopped. After an error the records may still be appended, unless
// Withdraw reports true.
func (sb *Submission) Wait(ctx context.Context) error {
	select {
	case <-sb.done:
		return nil
	default:
	}
	select {
	case <-sb.done:
		return nil
	case <-sb.rejected:
		return &UnavailableError{Stream: sb.stream.Name, Reason: ReasonOutage}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Withdraw removes the records from the queue; they are not appended again. It
// reports true if they have certainly not reached the log and never will, and false
// if they may be in it.
func (sb *Submission) Withdraw() bool {
	s := sb.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	sb.dropped = true
	s.queue = slices.DeleteFunc(s.queue, func(other *Submission) bool { return other == sb })
	s.removePending(sb)
	return !sb.inFlight && !sb.sent && !sb.applied
}

// removePending removes a submission from the pending ones. The caller holds the lock.
func (s *Stream) removePending(sb *Submission) {
	for _, r := range sb.records {
		if s.pending[r.ID] == sb {
			delete(s.pending, r.ID)
		}
	}
}

func (sb *Submission) reject() { sb.once.Do(func() { close(sb.rejected) }) }

// Submit queues records that share one append. If the log does not respond or the
// queue is full, it returns an *UnavailableError immediately and appends nothing. If the
// log stops responding while records are queued, Wait returns the same error for those
// that have certainly not reached it.
func (s *Stream) Submit(records ...record.Envelope) (sb *Submission, err error) {
	s.init()
	if !s.Healthy() && !s.probeAllowed() {
		return nil, &UnavailableError{Stream: s.Name, Reason: ReasonOutage}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.caughtUp {
		return nil, &UnavailableError{Stream: s.Name, Reason: ReasonStarting}
	}
	if len(s.queue) >= orDefault(s.QueueLength, DefaultQueueLength) {
		return nil, &UnavailableError{Stream: s.Name, Reason: ReasonQueue}
	}
	return s.enqueue(records, false)
}

// SubmitRequired queues records even while the log does not respond, the queue is full
// or the stream has not been read to its end yet. It is meant for records that complete
// an earlier one which was subject to these limits, such as the outcome of an order.
func (s *Stream) SubmitRequired(records ...record.Envelope) (sb *Submission, err error) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enqueue(records, true)
}

// enqueue queues records. The caller holds the lock.
func (s *Stream) enqueue(records []record.Envelope, required bool) (sb *Submission, err error) {
	if s.stopped {
		return nil, &UnavailableError{Stream: s.Name, Reason: ReasonStopped}
	}
	sb = &Submission{stream: s, records: records, required: required, done: make(chan struct{}), rejected: make(chan struct{})}
	for _, r := range records {
		s.pending[r.ID] = sb
	}
	s.queue = append(s.queue, sb)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return sb, nil
}

// complete marks a submission as applied when its last record is. The caller holds
// the lock.
func (s *Stream) complete(id record.ID, pos record.Position) {
	sb := s.pending[id]
	delete(s.pending, id)
	if sb == nil || sb.records[len(sb.records)-1].ID != id {
		return
	}
	if !sb.applied {
		sb.applied = true
		sb.position = pos
		close(sb.done)
	}
}

// runAppends appends groups of submissions until the context ends.
func (s *Stream) runAppends(ctx context.Context) error {
	retryDelay := newRetryBackoff()
	for {
		if err := s.resolveUnconfirmed(ctx); err != nil {
			if err := sleep(ctx, retryDelay.NextBackOff()); err != nil {
				return err
			}
			continue
		}
		group := s.nextGroup()
		if len(group) == 0 {
			select {
			case <-s.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if s.appendGroup(ctx, group) {
			retryDelay.Reset()
			continue
		}
		if err := sleep(ctx, retryDelay.NextBackOff()); err != nil {
			return err
		}
	}
}

// resolveUnconfirmed reads to the end of the stream after an append without a
// response, so that only records that are not in the stream are appended again.
func (s *Stream) resolveUnconfirmed(ctx context.Context) error {
	s.mu.Lock()
	unconfirmed, next := s.unconfirmed, s.next
	s.mu.Unlock()
	if !unconfirmed {
		return nil
	}
	readCtx, cancel := context.WithTimeout(ctx, orDefault(s.AppendTimeout, DefaultAppendTimeout))
	defer cancel()
	page, err := s.Log.Read(readCtx, s.Name, next, 1, 0)
	if err != nil {
		return err
	}
	if err := s.WaitOffset(readCtx, page.Next); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmed = false
	return nil
}

// nextGroup returns the submissions of the next append and marks them as in flight.
// From then on Withdraw reports that they may have reached the log.
func (s *Stream) nextGroup() (group []*Submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(sb *Submission) bool { return sb.applied || sb.dropped })
	size := 0
	for _, sb := range s.queue {
		for _, r := range sb.records {
			size += len(r.Body)
		}
		if len(group) > 0 && size > orDefault(s.GroupBytes, DefaultGroupBytes) {
			break
		}
		sb.inFlight = true
		group = append(group, sb)
	}
	s.appending = len(group) > 0
	return group
}

// endAppend records that no append is in flight.
func (s *Stream) endAppend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appending = false
	s.wakeWaiters()
}

// appendGroup appends one group. It reports false if the group has to be retried
// after a delay.
func (s *Stream) appendGroup(ctx context.Context, group []*Submission) bool {
	defer s.endAppend()
	reportResult, err := s.breaker.Allow()
	if err != nil {
		s.recordAttempt(group, false)
		s.rejectUnsent()
		return false
	}
	var records []record.Envelope
	for _, sb := range group {
		records = append(records, sb.records...)
	}
	data, err := record.EncodeGroup(records)
	if err != nil {
		reportResult(nil)
		s.rejectGroup(group)
		s.reportFailure(OperationAppend, err)
		return true
	}
	appendCtx, cancel := context.WithTimeout(ctx, orDefault(s.AppendTimeout, DefaultAppendTimeout))
	_, err = s.Log.Append(appendCtx, s.Name, data)
	cancel()
	reportResult(err)
	s.recordAttempt(group, err == nil || platform.MayHaveExecuted(err))
	if err != nil {
		s.reportFailure(OperationAppend, err)
		s.mu.Lock()
		s.stats.FailedWrites++
		s.stats.LastFailure = time.Now()
		s.unconfirmed = s.unconfirmed || platform.MayHaveExecuted(err)
		s.mu.Unlock()
		s.rejectUnsent()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Appends++
	s.stats.Records += len(records)
	s.stats.Bytes += len(data)
	s.queue = slices.DeleteFunc(s.queue, func(sb *Submission) bool { return slices.Contains(group, sb) })
	return true
}

// recordAttempt records whether an append may have reached the log. A submission that
// an earlier append may have written to the log stays marked as sent.
func (s *Stream) recordAttempt(group []*Submission, sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sb := range group {
		sb.inFlight = false
		sb.sent = sb.sent || sent
	}
}

// rejectUnsent rejects the submissions that have certainly not reached the log while
// the circuit breaker is not closed, so that their callers do not wait for the outage
// to end.
func (s *Stream) rejectUnsent() {
	if s.Healthy() {
		return
	}
	s.mu.Lock()
	unsent := slices.DeleteFunc(slices.Clone(s.queue), func(sb *Submission) bool {
		return sb.required || sb.sent || sb.inFlight || sb.applied
	})
	s.mu.Unlock()
	s.rejectGroup(unsent)
}

func (s *Stream) rejectGroup(group []*Submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sb := range group {
		sb.dropped = true
		s.removePending(sb)
		sb.reject()
	}
}

// rejectPending rejects all pending submissions when the stream stops.
func (s *Stream) rejectPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, sb := range s.pending {
		sb.reject()
	}
	clear(s.pending)
	s.queue = nil
}

// Write submits records and waits until they are applied.
func (s *Stream) Write(ctx context.Context, records ...record.Envelope) (pos record.Position, err error) {
	sb, err := s.Submit(records...)
	if err != nil {
		return pos, err
	}
	if err := sb.Wait(ctx); err != nil {
		return pos, err
	}
	return sb.Position(), nil
}

// probeAllowed reports whether the circuit breaker is half-open and nothing is queued,
// so that a new submission may probe the log.
func (s *Stream) probeAllowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.State() == gobreaker.StateHalfOpen && len(s.queue) == 0
}
