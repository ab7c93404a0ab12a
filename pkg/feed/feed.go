// Package feed follows the topics of the platform's store: the operator's
// configuration by waiting reads, the entries of endpoints by paced ones. It
// notes when each was last known to be complete.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	base "github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// callTimeout bounds a read beyond the time that it was asked to wait. The
	// store answers in milliseconds; a lost answer must not cost a second try
	// within the configuration's bound.
	callTimeout = 700 * time.Millisecond
	// skipPace is the pause until it is asked again whether a read may be left out.
	skipPace = 100 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed read.
	retryLeast = 60 * time.Millisecond
	retryMost  = 180 * time.Millisecond
	// servedLeast and servedMost bound it for a node that another one reads for: all
	// nodes of a large fleet would otherwise press a store that is away. A few tries
	// still fit into the age that a confirmation may have.
	servedLeast = 400 * time.Millisecond
	servedMost  = 900 * time.Millisecond
)

// Source reads a topic of the store.
type Source struct {
	Read   func(ctx context.Context, topic platform.Topic, from fleet.Offset, wait time.Duration) (platform.Batch, error)
	Newest func(ctx context.Context, topic platform.Topic) (platform.Batch, error)
}

// Follower reads one topic from its newest records on. Its functions are
// called from Run only.
type Follower struct {
	Source Source
	Topic  platform.Topic
	// Wait is how long a read waits for a record; Pace is the pause between reads.
	Wait, Interval time.Duration
	// Skip tells whether the next read may be left out, since what another node has
	// read serves. It may be nil.
	Skip func() bool
	// Served tells whether another node reads for this one as a rule. It may be nil.
	ServedByPeer func() bool
	// Whole is called with the newest record of each key, Changed with those
	// that came from an offset on. Sent is when the call that returned them was made.
	OnFullRead   func(b platform.Batch, sent clock.Instant)
	OnNewRecords func(from fleet.Offset, records []platform.Record, sent clock.Instant)
	// Restored is called before the first records after failed reads, if set.
	OnRestored func()
	Logs       *event.Logs

	mark mark
	// folding orders what is read and what is adopted; it guards primed and failed.
	folding sync.Mutex
	primed  bool
	failed  bool
}

// mark is up to where a topic was read, and the latest instant at which nothing
// further was there.
type mark struct {
	mu   sync.Mutex
	next fleet.Offset
	at   clock.Instant
}

func (m *mark) set(next fleet.Offset, at clock.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next, m.at = next, max(m.at, at)
}

// Seen returns up to where the topic was read, and the latest instant at which
// that was known to be all.
func (f *Follower) Position() (next fleet.Offset, at clock.Instant) {
	f.mark.mu.Lock()
	defer f.mark.mu.Unlock()
	return f.mark.next, f.mark.at
}

// Adopt takes another node's reading for an own one: what it read from an offset
// up to another, and that nothing further was there at an instant. It does
// nothing unless this node has read up to the first. Fold is called to fold the
// records, if there are any.
func (f *Follower) ApplyPeerRead(from, to fleet.Offset, at clock.Instant, fold func()) (adopted bool) {
	f.folding.Lock()
	defer f.folding.Unlock()
	next, read := f.Position()
	if !f.primed || read == 0 || next != from || to < from {
		return false
	}
	f.mark.set(to, at)
	if to > from {
		f.restore()
		fold()
	}
	return true
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.Skip != nil && f.isPrimed() && f.Skip() {
			pause(ctx, skipPace)
			continue
		}
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.fail(err)
			pause(ctx, f.retryPause())
		default:
			pause(ctx, f.Interval)
		}
	}
}

// retryPause returns the pause after a failed read.
func (f *Follower) retryPause() time.Duration {
	if f.ServedByPeer != nil && f.isPrimed() && f.ServedByPeer() {
		return servedLeast + rand.N(servedMost-servedLeast)
	}
	return retryLeast + rand.N(retryMost-retryLeast)
}

func (f *Follower) isPrimed() bool {
	f.folding.Lock()
	defer f.folding.Unlock()
	return f.primed
}

func (f *Follower) fail(err error) {
	f.folding.Lock()
	defer f.folding.Unlock()
	var lapsed *base.LapsedError
	if errors.As(err, &lapsed) {
		f.primed = false
		f.Logs.Emit(event.TopicLapsed, zap.String("topic", string(f.Topic)), zap.Error(err))
		return
	}
	if !f.failed {
		f.Logs.Emit(event.StoreLost, zap.String("topic", string(f.Topic)), zap.Error(err))
	}
	f.failed = true
}

// step makes one read and passes on what it returned.
func (f *Follower) step(ctx context.Context) error {
	sent := clock.Now()
	if !f.isPrimed() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		b, err := f.Source.Newest(ctx, f.Topic)
		if err != nil {
			return err
		}
		f.folding.Lock()
		defer f.folding.Unlock()
		f.restore()
		f.primed = true
		f.mark.set(b.End, sent)
		f.OnFullRead(b, sent)
		return nil
	}
	from, _ := f.Position()
	ctx, cancel := context.WithTimeout(ctx, f.Wait+callTimeout)
	defer cancel()
	b, err := f.Source.Read(ctx, f.Topic, from, f.Wait)
	if err != nil {
		return err
	}
	if b.End < from {
		return errors.Newf("the store answered from an older state: end %d, read up to %d", b.End, from)
	}
	f.folding.Lock()
	defer f.folding.Unlock()
	f.restore()
	if next, _ := f.Position(); next != from {
		// What was adopted meanwhile must not give way to older records.
		return nil
	}
	next := from + fleet.Offset(len(b.Records))
	if next < b.End {
		// The answer was cut at its size; what follows is read at once, and only
		// the last part shows that nothing is missing.
		sent = 0
	}
	f.mark.set(next, sent)
	f.OnNewRecords(from, b.Records, sent)
	return nil
}

func (f *Follower) restore() {
	if !f.failed {
		return
	}
	f.failed = false
	if f.OnRestored != nil {
		f.OnRestored()
	}
	f.Logs.Emit(event.StoreRegained, zap.String("topic", string(f.Topic)))
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
