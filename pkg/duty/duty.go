// Package duty runs the duties that one node performs for the whole deployment:
// it reports usage and requests endpoints. The holder of the duties is elected by a
// lease record in the platform's store. A record is appended only at the offset
// where the log ended when it was last read, so there is one holder. Its fencing
// number derives from the offset at which its lease began.
package duty

import (
	"context"
	"encoding/json"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	serviceclient "github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// recordKey is the only key of the topic.
	recordKey = "duties"
	// callTimeout bounds a call to the store, which responds in milliseconds.
	callTimeout = 600 * time.Millisecond
	// renewInterval is the interval between renewals, a third of the usual TTL.
	renewInterval = 900 * time.Millisecond
	// actMargin is the minimum remaining lease time for an action; it covers the
	// delivery of a call that was sent just before.
	actMargin = 900 * time.Millisecond
	// acquireMargin is how much longer than the TTL a record must be unchanged before
	// another node treats it as expired.
	acquireMargin = 400 * time.Millisecond
)

// LeaseRecord is the stored record of who holds the duties, and of the usage
// counts that are fixed.
type LeaseRecord struct {
	Holder      fleet.NodeName    `json:"holder"`
	Incarnation fleet.Incarnation `json:"life"`
	Fence       fleet.Fence       `json:"fence"`
	// Renewal is the number of renewals since the lease was acquired. It makes the
	// records of one lease distinct.
	Renewal int64 `json:"turn"`
	// LastFixed is the last window whose counts are fixed, so that every holder
	// reports the same counts.
	LastFixed usage.Window `json:"fixed"`
	// Unreported holds the fixed counts that are not confirmed as reported.
	Unreported usage.Counts `json:"open,omitempty"`
	// Released is set when the holder has given up the duties.
	Released bool `json:"released,omitempty"`
	// CountsUnknown is set when an unreadable record was replaced: windows up to now may
	// have been reported, with counts that are not known any more.
	CountsUnknown bool `json:"lost,omitempty"`
}

// unreadableHolder stands for the holder in a record that cannot be read. Its lease has
// to expire like that of any other.
const unreadableHolder fleet.NodeName = "?"

// Store reads and appends records of the topic of the duties.
type Store struct {
	Newest   func(ctx context.Context, topic platform.Topic) (platform.Batch, error)
	AppendAt func(ctx context.Context, topic platform.Topic, r platform.Record, at fleet.Offset) error
}

// Lease is this node's state of the lease on the duties. It is not safe for
// concurrent use. Store, Self and TTL must be set.
type Lease struct {
	Store Store
	Self  fleet.NodeRef
	TTL   time.Duration
	// Started is when this incarnation of the node began.
	Started clock.Instant

	record LeaseRecord
	// endOffset is the end of the log as last read, where the next record goes.
	endOffset fleet.Offset
	// unchangedSince is when this node first saw the current record.
	unchangedSince clock.Instant
	loaded         bool
	// renewedAt is when the last successful renewal was sent.
	renewedAt clock.Instant
	held      bool
}

// Record returns the last known record.
func (l *Lease) Record() LeaseRecord { return l.record }

// Held reports whether this node holds the duties, as far as it knows.
func (l *Lease) Held() bool { return l.held }

// MayAct reports whether an action sent now arrives before another node may act.
func (l *Lease) MayAct(now clock.Instant) bool {
	return l.held && now.Sub(l.renewedAt) < l.TTL-actMargin
}

// RenewalDue reports whether the lease should be renewed.
func (l *Lease) RenewalDue(now clock.Instant) bool { return now.Sub(l.renewedAt) >= renewInterval }

// Read reads the record from the store.
func (l *Lease) Read(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := l.Store.Newest(ctx, platform.TopicDuties)
	if err != nil {
		return err
	}
	now := clock.Now()
	var record LeaseRecord
	for _, r := range b.Records {
		if r.Key != recordKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &record); err != nil || record.Holder == "" {
			record = LeaseRecord{Holder: unreadableHolder, CountsUnknown: true}
		}
	}
	if !l.loaded || b.End != l.endOffset {
		l.loaded, l.unchangedSince = true, now
	}
	l.record, l.endOffset = record, b.End
	return nil
}

// MayAcquire reports whether the last read record may be replaced: there is none,
// it names this node as the holder and is not released, another node released it,
// or it has not changed for longer than the TTL. A node that has just started does
// not acquire a lease that another node released: its earlier incarnation may have
// acted before that node, and two nodes must not act alternately within the TTL.
func (l *Lease) MayAcquire(now clock.Instant) bool {
	if !l.loaded {
		return false
	}
	expiry := l.TTL + acquireMargin
	expired := now.Sub(l.unchangedSince) > expiry
	switch {
	case l.record.Holder == "":
		return true
	case l.record.Holder == l.Self.Name:
		return !l.record.Released || expired
	case l.record.Released:
		return now.Sub(l.Started) > expiry
	default:
		return expired
	}
}

// Acquire appends a record with this node as holder where the last read ended.
func (l *Lease) Acquire(ctx context.Context) error {
	next := l.record
	next.Holder, next.Incarnation = l.Self.Name, l.Self.Incarnation
	next.Fence, next.Renewal, next.Released = fleet.Fence(l.endOffset)+1, 0, false
	return l.write(ctx, next)
}

// Renew writes the record again, modified by change unless it is nil.
func (l *Lease) Renew(ctx context.Context, change func(*LeaseRecord)) error {
	next := l.record
	next.Renewal++
	if change != nil {
		change(&next)
	}
	return l.write(ctx, next)
}

// write appends a record. If the response is lost, it reads the log to determine
// whether the append took effect.
func (l *Lease) write(ctx context.Context, next LeaseRecord) (err error) {
	defer func() { err = errors.Wrap(err, "write the lease record of the duties") }()
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	sentAt := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = l.Store.AppendAt(ctx, platform.TopicDuties, platform.Record{Key: recordKey, Value: value}, l.endOffset)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		l.markWritten(next, sentAt, l.endOffset+1)
		return nil
	case errors.As(err, &conflict):
		return l.resolveWrite(ctx, next, sentAt, err)
	case serviceclient.MayHaveExecuted(err):
		return l.resolveWrite(context.WithoutCancel(ctx), next, sentAt, err)
	default:
		return err
	}
}

// resolveWrite reads the log after an append that may have taken effect. It
// returns nil if the record was written, otherwise the cause.
func (l *Lease) resolveWrite(ctx context.Context, next LeaseRecord, sentAt clock.Instant, cause error) error {
	previousEnd := l.endOffset
	if err := l.Read(ctx); err != nil {
		return errors.CombineErrors(cause, err)
	}
	own := l.record.Holder == next.Holder && l.record.Incarnation == next.Incarnation && l.record.Fence == next.Fence
	switch {
	case own && reflect.DeepEqual(l.record, next):
		l.markWritten(next, sentAt, l.endOffset)
		return nil
	case l.endOffset != previousEnd && !own:
		l.held = false
	}
	return cause
}

// markWritten records a successful append that was sent at sentAt.
func (l *Lease) markWritten(next LeaseRecord, sentAt clock.Instant, nextOffset fleet.Offset) {
	l.record, l.endOffset, l.renewedAt, l.held = next, nextOffset, sentAt, !next.Released
	l.loaded, l.unchangedSince = true, clock.Now()
}

// MarkLost records that another node may hold the duties.
func (l *Lease) MarkLost() { l.held = false }
