package journal

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// newRetryBackoff returns the backoff after failed calls, with full jitter.
func newRetryBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = 5 * time.Second
	b.RandomizationFactor = 1
	return b
}

// follow reads pages and applies their records until the context ends.
func (s *Stream) follow(ctx context.Context) error {
	retryDelay := newRetryBackoff()
	for {
		err := s.readPage(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			retryDelay.Reset()
			continue
		}
		s.reportFailure(OperationRead, err)
		if err := sleep(ctx, retryDelay.NextBackOff()); err != nil {
			return err
		}
	}
}

// readPage reads one page of entries and applies its records.
func (s *Stream) readPage(ctx context.Context) (err error) {
	from := s.Next()
	wait := time.Duration(0)
	if s.Ready() {
		wait = orDefault(s.PollTimeout, DefaultPollTimeout)
	}
	page, err := s.Log.Read(ctx, s.Name, from, pageEntries, wait)
	var expired *platform.OffsetExpiredError
	if errors.As(err, &expired) {
		return s.recoverFromSnapshot(ctx, expired)
	}
	if err != nil {
		return err
	}
	for _, e := range page.Entries {
		s.applyEntry(e)
	}
	s.recordFirstEntry(page)
	s.mu.Lock()
	next := s.next
	s.stats.LastRead = time.Now()
	if next >= page.Next {
		s.caughtUp = true
	}
	s.advance(next)
	s.mu.Unlock()
	if s.Applied != nil {
		s.Applied(next)
	}
	return nil
}

// logTime returns the time of an entry as it is passed to Apply. It is truncated to
// milliseconds, so that its encoding in snapshots stays short.
func logTime(e platform.Entry) time.Time { return e.Time.UTC().Truncate(time.Millisecond) }

// applyEntry applies the records of an entry and completes their submissions.
func (s *Stream) applyEntry(e platform.Entry) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if e.Offset < s.Next() {
		return
	}
	e.Time = logTime(e)
	group, err := record.DecodeGroup(e.Data)
	if err != nil {
		s.reportUnreadable(record.Position{Offset: e.Offset, Time: e.Time}, err)
	}
	for i, r := range group {
		pos := record.Position{Offset: e.Offset, Index: i, Time: e.Time}
		if r.Kind == record.KindSnapshot {
			s.recordSnapshot(pos, r)
			continue
		}
		if err := s.Apply(pos, r); err != nil {
			s.reportUnreadable(pos, err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Folded += len(group)
	s.next = e.Offset + 1
	for i, r := range group {
		s.complete(r.ID, record.Position{Offset: e.Offset, Index: i, Time: e.Time})
	}
}

func (s *Stream) reportUnreadable(pos record.Position, err error) {
	s.mu.Lock()
	s.stats.Unreadable++
	s.mu.Unlock()
	if s.Unreadable != nil {
		s.Unreadable(pos, err)
	}
}

func (s *Stream) reportFailure(op Operation, err error) {
	if s.Failed != nil {
		s.Failed(op, err)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
