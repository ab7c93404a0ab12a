package front

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

// maxQuarantineDelay bounds the random pause before a quarantine is written. All nodes
// find it at almost the same time, and the store limits their calls.
const maxQuarantineDelay = 2 * time.Second

// quarantineRecord is the record of a quarantined subject in the store. It outlives the
// nodes; its key is the subject.
type quarantineRecord struct {
	Until time.Time `json:"until"`
	Count int       `json:"count"`
}

// recordCrash records that an endpoint crashed while it ran a request.
func (f *Front) recordCrash(e serving.Endpoint, r quarantine.Run) {
	f.tracker.RecordUnreachable(e.ID, clock.Now())
	f.quarantine.RecordCrash(e.ID, r)
	f.canary.RecordCrash(e)
	texts := make([]string, len(r.Subjects))
	for i, s := range r.Subjects {
		texts[i] = formatSubject(s)
	}
	f.Logs.Emit(event.EndpointCrashed, zap.String("endpoint", string(e.ID)), zap.Strings("subjects", texts))
}

func formatSubject(s quarantine.Subject) string { return fmt.Sprintf("%016x", uint64(s)) }

// handleQuarantined logs a new quarantine. If this node found it, it writes it to the
// store in the background.
func (f *Front) handleQuarantined(ctx context.Context, q quarantine.Quarantine, found bool) {
	f.Logs.Emit(event.ContentRefused, zap.String("subject", formatSubject(q.Subject)), zap.Duration("for", q.Remaining), zap.Bool("found", found))
	if !found {
		return
	}
	until := f.correctedTime().Add(q.Remaining)
	f.group.Go(func() error {
		f.storeQuarantine(ctx, q, until)
		return nil
	})
}

// storeQuarantine writes a quarantine to the store. It retries until it succeeds, the
// quarantine is over or the context is done.
func (f *Front) storeQuarantine(ctx context.Context, q quarantine.Quarantine, until time.Time) {
	value, err := json.Marshal(quarantineRecord{Until: until, Count: q.Count})
	if err != nil {
		f.Logs.Emit(event.QuarantineNotStored, zap.Error(err))
		return
	}
	select {
	case <-time.After(rand.N(maxQuarantineDelay)):
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, until.Sub(f.correctedTime()))
	defer cancel()
	retryStoreCall(ctx, func(ctx context.Context) error {
		_, err := f.store.Append(ctx, platform.TopicQuarantine, platform.Record{Key: formatSubject(q.Subject), Value: value})
		return err
	}, func(err error) {
		f.Logs.Emit(event.QuarantineNotStored, zap.String("subject", formatSubject(q.Subject)), zap.Error(err))
	})
}

// loadQuarantines applies the quarantines in the store, which include those that nodes
// found which are gone. Later ones are in the digests of the nodes.
func (f *Front) loadQuarantines(ctx context.Context) {
	retryStoreCall(ctx, func(ctx context.Context) error {
		batch, err := f.store.Newest(ctx, platform.TopicQuarantine)
		if err == nil {
			f.applyQuarantines(batch.Records)
		}
		return err
	}, func(err error) { f.Logs.Emit(event.QuarantineNotStored, zap.Error(err)) })
}

func (f *Front) applyQuarantines(records []platform.Record) {
	var report quarantine.Report
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		subject, err := strconv.ParseUint(r.Key, 16, 64)
		var record quarantineRecord
		if err == nil {
			err = json.Unmarshal(r.Value, &record)
		}
		if err != nil {
			f.Logs.Emit(event.StoreEntryInvalid, zap.String("key", r.Key), zap.Error(err))
			continue
		}
		if remaining := record.Until.Sub(f.correctedTime()); remaining > 0 {
			report.Quarantines = append(report.Quarantines, quarantine.Quarantine{Subject: quarantine.Subject(subject), Remaining: remaining, Count: record.Count})
		}
	}
	f.quarantine.Merge(report, clock.Now())
}
