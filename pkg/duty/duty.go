// Package duty keeps what one node does for the whole deployment: the reports
// of usage and the orders of endpoints. The right to act lies in a record of
// the platform's store: each record is appended only where the last one ended,
// so there is one holder, and its fencing number is where its term began.
package duty

import (
	"context"
	"encoding/json"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	base "github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// key is the one key of the topic.
	key = "duties"
	// callTimeout bounds a call to the store, which answers in milliseconds.
	callTimeout = 600 * time.Millisecond
	// renewEvery is the pause between renewals, a third of the usual lease.
	renewEvery = 900 * time.Millisecond
	// actMargin is kept between an action and the end of the lease, for the way
	// of a call that was sent just before.
	actMargin = 900 * time.Millisecond
	// takeMargin is how much longer than the lease a record must stand before
	// another node takes the duties.
	takeMargin = 400 * time.Millisecond
)

// Term is the record that says who holds the duties, and what has been fixed.
type LeaseRecord struct {
	Holder      fleet.NodeName    `json:"holder"`
	Incarnation fleet.Incarnation `json:"life"`
	Fence       fleet.Fence       `json:"fence"`
	// Turn tells the records of one term apart.
	Renewal int64 `json:"turn"`
	// Fixed is the last window whose counts are fixed.
	LastFixed usage.Window `json:"fixed"`
	// Open holds the fixed counts that are not known to be reported.
	Unreported usage.Counts `json:"open,omitempty"`
	// Released tells that the holder gave the duties up.
	Released bool `json:"released,omitempty"`
}

// Store is where the record is kept.
type Store struct {
	Newest   func(ctx context.Context, topic platform.Topic) (platform.Batch, error)
	AppendAt func(ctx context.Context, topic platform.Topic, r platform.Record, at fleet.Offset) error
}

// Holding is this node's part in who holds the duties. It is used by one
// goroutine. Store, Self and Lease must be set.
type Lease struct {
	Store Store
	Self  fleet.NodeRef
	TTL   time.Duration
	// Started is when this life of the node began.
	Started clock.Instant

	term LeaseRecord
	end  fleet.Offset
	// since is when the term was first seen as it is.
	since clock.Instant
	seen  bool
	// renewed is when the call that last renewed the term was sent.
	renewed clock.Instant
	holds   bool
}

// Term returns the last known record.
func (h *Lease) Record() LeaseRecord { return h.term }

// Holds tells whether the node has the duties, as far as it knows.
func (h *Lease) Held() bool { return h.holds }

// MayAct tells whether an action sent now arrives before another may act.
func (h *Lease) MayAct(now clock.Instant) bool {
	return h.holds && now.Sub(h.renewed) < h.TTL-actMargin
}

// Due tells whether the term should be renewed.
func (h *Lease) RenewalDue(now clock.Instant) bool { return now.Sub(h.renewed) >= renewEvery }

// Look reads the record.
func (h *Lease) Read(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := h.Store.Newest(ctx, platform.TopicDuties)
	if err != nil {
		return err
	}
	now := clock.Now()
	var term LeaseRecord
	for _, r := range b.Records {
		if r.Key != key {
			continue
		}
		if err := json.Unmarshal(r.Value, &term); err != nil {
			return errors.Wrap(err, "record of the duties")
		}
	}
	if !h.seen || b.End != h.end {
		h.seen, h.since = true, now
	}
	h.term, h.end = term, b.End
	return nil
}

// MayTake tells whether the record that was read may be replaced: there is none,
// it was given up, it is of an earlier life of this node, or it stood longer
// than the lease. A node that has just started does not take over what another
// gave up: its earlier life may have acted before that one, and two nodes must
// not act in turn within the lease.
func (h *Lease) MayAcquire(now clock.Instant) bool {
	if !h.seen {
		return false
	}
	span := h.TTL + takeMargin
	stood := now.Sub(h.since) > span
	switch {
	case h.term.Holder == "":
		return true
	case h.term.Holder == h.Self.Name:
		return !h.term.Released || stood
	case h.term.Released:
		return now.Sub(h.Started) > span
	default:
		return stood
	}
}

// Take begins a term of this node where the record that was read ended.
func (h *Lease) Acquire(ctx context.Context) error {
	next := h.term
	next.Holder, next.Incarnation = h.Self.Name, h.Self.Incarnation
	next.Fence, next.Renewal, next.Released = fleet.Fence(h.end)+1, 0, false
	return h.put(ctx, next)
}

// Renew writes the record again with what change sets in it.
func (h *Lease) Renew(ctx context.Context, change func(*LeaseRecord)) error {
	next := h.term
	next.Renewal++
	if change != nil {
		change(&next)
	}
	return h.put(ctx, next)
}

// put appends a record. If the answer is lost, the log tells what became of it.
func (h *Lease) put(ctx context.Context, next LeaseRecord) (err error) {
	defer func() { err = errors.Wrap(err, "write the record of the duties") }()
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = h.Store.AppendAt(ctx, platform.TopicDuties, platform.Record{Key: key, Value: value}, h.end)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		h.written(next, sent, h.end+1)
		return nil
	case errors.As(err, &conflict):
		return h.settle(ctx, next, sent, err)
	case base.Sent(err):
		return h.settle(context.WithoutCancel(ctx), next, sent, err)
	default:
		return err
	}
}

// settle reads the log after an append that may have taken effect.
func (h *Lease) settle(ctx context.Context, next LeaseRecord, sent clock.Instant, cause error) error {
	before := h.end
	if err := h.Read(ctx); err != nil {
		return errors.CombineErrors(cause, err)
	}
	own := h.term.Holder == next.Holder && h.term.Incarnation == next.Incarnation && h.term.Fence == next.Fence
	switch {
	case own && reflect.DeepEqual(h.term, next):
		h.written(next, sent, h.end)
		return nil
	case h.end != before && !own:
		h.holds = false
	}
	return cause
}

func (h *Lease) written(next LeaseRecord, sent clock.Instant, end fleet.Offset) {
	h.term, h.end, h.renewed, h.holds = next, end, sent, !next.Released
	h.seen, h.since = true, clock.Now()
}

// Drop notes that the term may have passed to another node.
func (h *Lease) MarkLost() { h.holds = false }
