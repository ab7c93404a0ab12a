// Package feed follows topics of the platform's store: the operator's configuration
// by long polling, the entries of endpoints with a fixed pause between reads. It
// records when each topic was last known to be read completely.
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
	"github.com/skylarkloom/skylarkloom/pkg/intake"
	serviceclient "github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// callTimeout bounds a read beyond its requested wait. The store responds in
	// milliseconds; after a lost response, there must be time for a second try within
	// the maximum age of the configuration.
	callTimeout = 700 * time.Millisecond
	// skipInterval is the interval between checks of Follower.Skip while reads are
	// skipped.
	skipInterval = 100 * time.Millisecond
	// minRetryPause and maxRetryPause bound the random pause after a failed read.
	minRetryPause = 60 * time.Millisecond
	maxRetryPause = 180 * time.Millisecond
	// minServedPause and maxServedPause bound that pause for a node that a peer
	// reads for. With shorter pauses, the retries of a large fleet would overload an
	// unavailable store. A few tries still fit into the maximum age of a
	// confirmation.
	minServedPause = 400 * time.Millisecond
	maxServedPause = 900 * time.Millisecond
	// slowRead is the time from which a read counts as slow. The store then has more to
	// send than its bandwidth allows.
	slowRead = 300 * time.Millisecond
	// maxSlowPause bounds the pause after slow reads of a node that a peer reads for.
	maxSlowPause = 8 * time.Second
)

// Source reads a topic of the store.
type Source struct {
	Read func(ctx context.Context, topic platform.Topic, from fleet.Offset, wait time.Duration) (platform.Batch, error)
	// NewestPage returns the newest records of the keys after the given one, and whether
	// there are more.
	NewestPage func(ctx context.Context, topic platform.Topic, after string) (b platform.Batch, more bool, err error)
}

// Follower reads one topic, starting with the newest record of each key. Its
// functions are called from Run; OnRestored also from ApplyPeerRead.
type Follower struct {
	Source Source
	Topic  platform.Topic
	// Wait is how long a read waits for a record, Pause how long to pause after it.
	Wait, Pause time.Duration
	// Skip reports whether the next read may be skipped, because the read of a peer
	// is recent enough. It may be nil.
	Skip func() bool
	// ServedByPeer reports whether a peer usually reads for this node. It may be nil.
	ServedByPeer func() bool
	// OnFullRead is called with the newest record of each key, OnNewRecords with the
	// records that begin at an offset. sentAt is when the read was sent; it is 0 if
	// the response was truncated.
	OnFullRead   func(b platform.Batch, sentAt clock.Instant)
	OnNewRecords func(from fleet.Offset, records []platform.Record, sentAt clock.Instant)
	// OnPage, if set, is called with the records of each page of a full read, and returns how
	// much memory it keeps of them. OnFullRead then gets no records. first is set for the first
	// page, and without records when a read is given up: what was kept before is dropped then.
	OnPage func(records []platform.Record, first bool) intake.Bytes
	// Held accounts for what is kept of the pages of a full read.
	Held intake.Holding
	// OnRestored is called before the first records after failed reads. It may be nil.
	OnRestored func()
	Logs       *event.Logs

	position position
	// applyMu serialises the reads of this node with those applied from peers. It
	// guards synced and failing.
	applyMu sync.Mutex
	// synced is set after a full read.
	synced bool
	// failing is set after a failed read, until a read succeeds.
	failing bool
	// pages is a full read in progress. Only Run uses it.
	pages pagedRead
	// slowPause is the pause after the last slow read, 0 after one that was not slow. Only
	// Run uses it.
	slowPause time.Duration
}

// pagedRead is the progress of a full read. Nodes that start together share the store's
// bandwidth, so a page may take long, and a failed one must not cost those before it.
type pagedRead struct {
	batch  platform.Batch
	begun  bool
	sentAt clock.Instant
	// after is the last key of the pages read.
	after string
	// failures counts the failed reads of the current page.
	failures int
}

// maxPageDoublings bounds by how much the timeout of a page grows when its reads fail.
const maxPageDoublings = 2

// readPages continues a full read until it is complete or a page fails. It begins again if
// there is no room for what the pages hold, as when none of them is the last.
func (f *Follower) readPages(ctx context.Context) (platform.Batch, clock.Instant, error) {
	p := &f.pages
	for {
		sentAt := clock.Now()
		page, more, err := f.readPage(ctx, p.after)
		if err != nil {
			p.failures++
			return platform.Batch{}, 0, err
		}
		first := !p.begun
		if first {
			p.begun, p.sentAt, p.batch.End = true, sentAt, page.End
		}
		p.failures = 0
		if err = f.keepPage(page.Records, first); err != nil {
			f.endPages()
			if f.OnPage != nil {
				f.OnPage(nil, true)
			}
			return platform.Batch{}, 0, err
		}
		if !more {
			complete := *p
			f.endPages()
			return complete.batch, complete.sentAt, nil
		}
		if n := len(page.Records); n > 0 {
			p.after = page.Records[n-1].Key
		}
	}
}

// keepPage keeps the records of a page until the full read is complete.
func (f *Follower) keepPage(records []platform.Record, first bool) error {
	if f.OnPage != nil {
		return f.Held.Add(f.OnPage(records, first))
	}
	f.pages.batch.Records = append(f.pages.batch.Records, records...)
	return f.Held.Add(platform.Size(records))
}

// endPages ends a full read.
func (f *Follower) endPages() {
	f.pages = pagedRead{}
	f.Held.Release()
}

func (f *Follower) readPage(ctx context.Context, after string) (platform.Batch, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout<<min(f.pages.failures, maxPageDoublings))
	defer cancel()
	return f.Source.NewestPage(ctx, f.Topic, after)
}

// position is the offset up to which a topic was read, and the latest instant at
// which there were no further records.
type position struct {
	mu          sync.Mutex
	next        fleet.Offset
	confirmedAt clock.Instant
}

// set replaces the offset and advances the instant.
func (p *position) set(next fleet.Offset, confirmedAt clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next, p.confirmedAt = next, max(p.confirmedAt, confirmedAt)
}

// Position returns the offset up to which the topic was read, and the latest
// instant at which there were no further records.
func (f *Follower) Position() (next fleet.Offset, confirmedAt clock.Instant) {
	f.position.mu.Lock()
	defer f.position.mu.Unlock()
	return f.position.next, f.position.confirmedAt
}

// ApplyPeerRead applies the read of a peer as if this node had made it: the records
// between two offsets, and that there were no further ones at confirmedAt. It does
// nothing unless this node has read exactly up to from. apply is called to apply
// the records, if there are any.
func (f *Follower) ApplyPeerRead(from, to fleet.Offset, confirmedAt clock.Instant, apply func()) (applied bool) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	next, confirmed := f.Position()
	if !f.synced || confirmed == 0 || next != from || to < from {
		return false
	}
	f.position.set(to, confirmedAt)
	if to > from {
		f.recordRecovery()
		apply()
	}
	return true
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.Skip != nil && f.isSynced() && f.Skip() {
			sleep(ctx, skipInterval)
			continue
		}
		begun := time.Now()
		err := f.readOnce(ctx)
		pause := f.Pause
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.recordFailure(err)
			pause = f.retryPause()
		}
		sleep(ctx, pause)
		f.pauseAfterSlowRead(ctx, time.Since(begun)-pause)
	}
}

// pauseAfterSlowRead makes a node that a peer reads for leave the store's bandwidth to
// that peer. If a large fleet shared it, the peers' reads would be late, and for that
// reason all others would go on to read by themselves. Long polls transfer little.
func (f *Follower) pauseAfterSlowRead(ctx context.Context, took time.Duration) {
	if took < slowRead || f.Wait > 0 || f.ServedByPeer == nil || !f.isSynced() {
		f.slowPause = 0
		return
	}
	f.slowPause = min(max(2*f.slowPause, minServedPause), maxSlowPause)
	until := time.Now().Add(f.slowPause/2 + rand.N(f.slowPause))
	for time.Now().Before(until) && f.ServedByPeer() && ctx.Err() == nil {
		sleep(ctx, skipInterval)
	}
}

// retryPause returns the pause after a failed read.
func (f *Follower) retryPause() time.Duration {
	if f.ServedByPeer != nil && f.isSynced() && f.ServedByPeer() {
		return minServedPause + rand.N(maxServedPause-minServedPause)
	}
	return minRetryPause + rand.N(maxRetryPause-minRetryPause)
}

func (f *Follower) isSynced() bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	return f.synced
}

// recordFailure records a failed read. If the store no longer keeps the next records,
// the next read is a full read.
func (f *Follower) recordFailure(err error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	var expired *serviceclient.OffsetExpiredError
	if errors.As(err, &expired) {
		f.synced = false
		f.Logs.Emit(event.TopicRecordsExpired, zap.String("topic", string(f.Topic)), zap.Error(err))
		return
	}
	if !f.failing {
		f.Logs.Emit(event.StoreLost, zap.String("topic", string(f.Topic)), zap.Error(err))
	}
	f.failing = true
}

// readOnce makes one read and passes its records to the callbacks.
func (f *Follower) readOnce(ctx context.Context) error {
	if !f.isSynced() {
		b, sentAt, err := f.readPages(ctx)
		if err != nil {
			return err
		}
		f.applyMu.Lock()
		defer f.applyMu.Unlock()
		f.recordRecovery()
		f.synced = true
		f.position.set(b.End, sentAt)
		f.OnFullRead(b, sentAt)
		return nil
	}
	sentAt := clock.Now()
	from, _ := f.Position()
	ctx, cancel := context.WithTimeout(ctx, f.Wait+callTimeout)
	defer cancel()
	b, err := f.Source.Read(ctx, f.Topic, from, f.Wait)
	if err != nil {
		return err
	}
	if b.End < from {
		return errors.Newf("store answered from an older state: end offset %d, already read up to %d", b.End, from)
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.recordRecovery()
	if next, _ := f.Position(); next != from {
		// A peer's read was applied meanwhile; older records must not replace it.
		return nil
	}
	next := from + fleet.Offset(len(b.Records))
	if next < b.End {
		// The response was truncated at its maximum size. The next read continues
		// there, and only the last one confirms that no records are missing.
		sentAt = 0
	}
	f.position.set(next, sentAt)
	f.OnNewRecords(from, b.Records, sentAt)
	return nil
}

// recordRecovery records a successful read. The caller holds applyMu.
func (f *Follower) recordRecovery() {
	if !f.failing {
		return
	}
	f.failing = false
	if f.OnRestored != nil {
		f.OnRestored()
	}
	f.Logs.Emit(event.StoreRestored, zap.String("topic", string(f.Topic)))
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
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
