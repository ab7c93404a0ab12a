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

// Ticket follows records from their submission to the fold.
type Submission struct {
	stream  *Stream
	records []record.Envelope
	seen    chan struct{}
	ended   chan struct{}
	once    sync.Once
	// required says that the records are appended whenever the log comes back.
	required bool
	// The fields below are guarded by the stream's lock.
	sending  bool
	sent     bool
	written  bool
	dropped  bool
	position record.Position
}

// Position returns where the records stand; it is valid once they were seen.
func (t *Submission) Position() record.Position {
	t.stream.mu.Lock()
	defer t.stream.mu.Unlock()
	return t.position
}

// Wait blocks until the records were folded, the context ends or the stream is
// stopped. After an error the records may still come to stand in the stream,
// unless Withdraw reports otherwise.
func (t *Submission) Wait(ctx context.Context) error {
	select {
	case <-t.seen:
		return nil
	default:
	}
	select {
	case <-t.seen:
		return nil
	case <-t.ended:
		return &UnavailableError{Stream: t.stream.Name, Reason: ReasonOutage}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Withdraw takes the records back. It reports true if they certainly never
// reached the log and never will; false if they may stand in it. Records that
// may stand in the log are not appended again.
func (t *Submission) Withdraw() bool {
	s := t.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	t.dropped = true
	s.queue = slices.DeleteFunc(s.queue, func(o *Submission) bool { return o == t })
	s.forget(t)
	return !t.sending && !t.sent && !t.written
}

// forget drops a ticket from those that wait for their records. The lock is held.
func (s *Stream) forget(t *Submission) {
	for _, r := range t.records {
		if s.pending[r.ID] == t {
			delete(s.pending, r.ID)
		}
	}
}

func (t *Submission) end() { t.once.Do(func() { close(t.ended) }) }

// Submit queues records, which will share one append. It refuses at once with
// an *UnavailableError, with nothing appended, if the log does not answer or
// the queue is full. Records that the log has certainly not got when it stops
// answering are refused likewise, by their ticket.
func (s *Stream) Submit(records ...record.Envelope) (t *Submission, err error) {
	s.init()
	if !s.Healthy() && !s.probing() {
		return nil, &UnavailableError{Stream: s.Name, Reason: ReasonOutage}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.caught {
		return nil, &UnavailableError{Stream: s.Name, Reason: ReasonStarting}
	}
	if len(s.queue) >= or(s.QueueLength, DefaultQueueLength) {
		return nil, &UnavailableError{Stream: s.Name, Reason: ReasonQueue}
	}
	return s.enqueue(records, false)
}

// SubmitRequired queues records even while the log does not answer and past
// the bound of the queue. It is for records that end what an earlier, bounded
// one began, such as the outcome of an order.
func (s *Stream) SubmitRequired(records ...record.Envelope) (t *Submission, err error) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enqueue(records, true)
}

// enqueue queues records. The lock is held.
func (s *Stream) enqueue(records []record.Envelope, required bool) (t *Submission, err error) {
	if s.stopped {
		return nil, &UnavailableError{Stream: s.Name, Reason: ReasonStopped}
	}
	t = &Submission{stream: s, records: records, required: required, seen: make(chan struct{}), ended: make(chan struct{})}
	for _, r := range records {
		s.pending[r.ID] = t
	}
	s.queue = append(s.queue, t)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return t, nil
}

// complete marks a record as folded. The lock is held.
func (s *Stream) complete(id record.ID, pos record.Position) {
	t := s.pending[id]
	delete(s.pending, id)
	if t == nil || t.records[len(t.records)-1].ID != id {
		return
	}
	if !t.written {
		t.written = true
		t.position = pos
		close(t.seen)
	}
}

// write appends groups until the context ends.
func (s *Stream) write(ctx context.Context) error {
	delay := retryDelay()
	for {
		if err := s.resolve(ctx); err != nil {
			if err := sleep(ctx, delay.NextBackOff()); err != nil {
				return err
			}
			continue
		}
		group := s.take()
		if len(group) == 0 {
			select {
			case <-s.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if s.append(ctx, group) {
			delay.Reset()
			continue
		}
		if err := sleep(ctx, delay.NextBackOff()); err != nil {
			return err
		}
	}
}

// resolve reads up to the end of the stream after an append without an answer,
// so that only what is not there is appended again.
func (s *Stream) resolve(ctx context.Context) error {
	s.mu.Lock()
	unsure, next := s.unsure, s.next
	s.mu.Unlock()
	if !unsure {
		return nil
	}
	timed, cancel := context.WithTimeout(ctx, or(s.AppendTimeout, DefaultAppendTimeout))
	defer cancel()
	page, err := s.Log.Read(timed, s.Name, next, 1, 0)
	if err != nil {
		return err
	}
	if err := s.WaitOffset(timed, page.Next); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsure = false
	return nil
}

// take returns the tickets of the next append and marks them as being sent, so
// that none of them can be withdrawn as never sent from here on.
func (s *Stream) take() (group []*Submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(t *Submission) bool { return t.written || t.dropped })
	size := 0
	for _, t := range s.queue {
		for _, r := range t.records {
			size += len(r.Body)
		}
		if len(group) > 0 && size > or(s.GroupBytes, DefaultGroupBytes) {
			break
		}
		t.sending = true
		group = append(group, t)
	}
	return group
}

// append appends one group and reports whether the log took it.
func (s *Stream) append(ctx context.Context, group []*Submission) bool {
	settle, err := s.breaker.Allow()
	if err != nil {
		s.mark(group, false)
		s.refuse()
		return false
	}
	var records []record.Envelope
	for _, t := range group {
		records = append(records, t.records...)
	}
	data, err := record.EncodeGroup(records)
	if err != nil {
		settle(nil)
		s.drop(group)
		s.failed(OperationAppend, err)
		return true
	}
	timed, cancel := context.WithTimeout(ctx, or(s.AppendTimeout, DefaultAppendTimeout))
	_, err = s.Log.Append(timed, s.Name, data)
	cancel()
	settle(err)
	s.mark(group, err == nil || platform.MayHaveExecuted(err))
	if err != nil {
		s.failed(OperationAppend, err)
		s.mu.Lock()
		s.stats.FailedWrites++
		s.stats.LastFailure = time.Now()
		s.unsure = s.unsure || platform.MayHaveExecuted(err)
		s.mu.Unlock()
		s.refuse()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Appends++
	s.stats.Records += len(records)
	s.stats.Bytes += len(data)
	s.queue = slices.DeleteFunc(s.queue, func(t *Submission) bool { return slices.Contains(group, t) })
	return true
}

// mark notes how an attempt ended. A ticket that an earlier attempt may have
// brought to the log stays sent whatever comes of a later one.
func (s *Stream) mark(group []*Submission, sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range group {
		t.sending = false
		t.sent = t.sent || sent
	}
}

// refuse ends the tickets that certainly never reached the log, once the breaker
// says that it does not answer, so that their callers learn it at once.
func (s *Stream) refuse() {
	if s.Healthy() {
		return
	}
	s.mu.Lock()
	refused := slices.DeleteFunc(slices.Clone(s.queue), func(t *Submission) bool {
		return t.required || t.sent || t.sending || t.written
	})
	s.mu.Unlock()
	s.drop(refused)
}

func (s *Stream) drop(group []*Submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range group {
		t.dropped = true
		s.forget(t)
		t.end()
	}
}

// abandon ends the tickets that wait when the stream stops.
func (s *Stream) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, t := range s.pending {
		t.end()
	}
	clear(s.pending)
	s.queue = nil
}

// Write submits records and waits until they were folded.
func (s *Stream) Write(ctx context.Context, records ...record.Envelope) (pos record.Position, err error) {
	t, err := s.Submit(records...)
	if err != nil {
		return pos, err
	}
	if err := t.Wait(ctx); err != nil {
		return pos, err
	}
	return t.Position(), nil
}

// probing reports whether the breaker lets an attempt through.
func (s *Stream) probing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.State() == gobreaker.StateHalfOpen && len(s.queue) == 0
}
