package journal

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// retryDelay is the delay sequence after failed calls, with full jitter.
func retryDelay() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = 5 * time.Second
	b.RandomizationFactor = 1
	return b
}

// follow reads and folds until the context ends.
func (s *Stream) follow(ctx context.Context) error {
	delay := retryDelay()
	for {
		err := s.step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			delay.Reset()
			continue
		}
		s.failed(OperationRead, err)
		if err := sleep(ctx, delay.NextBackOff()); err != nil {
			return err
		}
	}
}

// step reads one page and folds it.
func (s *Stream) step(ctx context.Context) (err error) {
	from := s.Next()
	wait := time.Duration(0)
	if s.Ready() {
		wait = or(s.PollTimeout, DefaultPollTimeout)
	}
	page, err := s.Log.Read(ctx, s.Name, from, DefaultPageEntries, wait)
	var lapsed *platform.OffsetExpiredError
	if errors.As(err, &lapsed) {
		return s.recover(ctx, lapsed)
	}
	if err != nil {
		return err
	}
	for _, e := range page.Entries {
		s.fold(e)
	}
	s.noteStart(page)
	s.mu.Lock()
	next := s.next
	s.stats.LastRead = time.Now()
	if next >= page.Next {
		s.caught = true
	}
	s.advance(next)
	s.mu.Unlock()
	if s.Applied != nil {
		s.Applied(next)
	}
	return nil
}

// logTime returns the time of an entry as folds see it. It is short enough to
// be kept in every snapshot.
func logTime(e platform.Entry) time.Time { return e.Time.UTC().Truncate(time.Millisecond) }

// fold applies the records of an entry and completes their tickets.
func (s *Stream) fold(e platform.Entry) {
	s.folding.Lock()
	defer s.folding.Unlock()
	if e.Offset < s.Next() {
		return
	}
	e.Time = logTime(e)
	group, err := record.DecodeGroup(e.Data)
	if err != nil {
		s.unreadable(record.Position{Offset: e.Offset, Time: e.Time}, err)
	}
	for i, env := range group {
		pos := record.Position{Offset: e.Offset, Index: i, Time: e.Time}
		if env.Kind == record.KindSnapshot {
			s.noteSnapshot(pos, env)
			continue
		}
		if err := s.Apply(pos, env); err != nil {
			s.unreadable(pos, err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Folded += len(group)
	s.next = e.Offset + 1
	for i, env := range group {
		s.complete(env.ID, record.Position{Offset: e.Offset, Index: i, Time: e.Time})
	}
}

func (s *Stream) unreadable(pos record.Position, err error) {
	s.mu.Lock()
	s.stats.Unreadable++
	s.mu.Unlock()
	if s.Unreadable != nil {
		s.Unreadable(pos, err)
	}
}

func (s *Stream) failed(op Operation, err error) {
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
