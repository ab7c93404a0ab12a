package intake

import (
	"context"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
)

// waiter is a large body that waits for room.
type waiter struct {
	sender *Sender
	total  Bytes
	ready  chan struct{}
}

// Reserve raises what the body of the current request may take to a total. A body over
// SmallBody waits up to MaxWait for room, but not beyond its time. It answers many large bodies at once, which would
// each hold a part and wait for the rest.
func (s *Sender) Reserve(ctx context.Context, total Bytes) error {
	if s == nil || s.budget == nil || s.response && total <= freeBody {
		return nil
	}
	w, err := s.request(total)
	if w == nil {
		return err
	}
	wait := MaxWait
	if s.due > 0 {
		wait = min(wait, s.due.Sub(clock.Now()))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.ready:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.budget.withdraw(w)
}

// request grants room or returns a waiter.
func (s *Sender) request(total Bytes) (*waiter, error) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n, large := total-s.body, total > SmallBody
	switch {
	case n <= 0:
		return nil, nil
	case !b.register(s):
		return nil, ErrNoRoom
	case !large && !b.ensure(n) || large && len(b.waiting) >= maxWaiting:
		b.refused(CauseMemory)
		return nil, ErrNoRoom
	case large && (len(b.waiting) > 0 || !b.fits(n, true)):
		w := &waiter{sender: s, total: total, ready: make(chan struct{})}
		b.waiting = append(b.waiting, w)
		s.enter(phaseWaiting)
		return w, nil
	}
	b.grant(s, total)
	return nil, nil
}

// withdraw ends the wait of a body. It may have been granted room in the meantime.
func (b *Budget) withdraw(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return nil
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	w.sender.enter(phaseBody)
	b.refused(CauseMemory)
	b.admitWaiting()
	return ErrNoRoom
}
