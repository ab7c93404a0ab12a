package front

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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

// loadQuarantines applies the quarantines and the crashes in the store, which include those
// that nodes found which are gone. Later ones are in the digests of the nodes.
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
		key, err := parseStoreKey(r.Key)
		switch {
		case err != nil:
		case key.Suspicion != 0:
			var record crashRecord
			if err = json.Unmarshal(r.Value, &record); err == nil {
				report.Suspicions = append(report.Suspicions, record.suspicion(key, f.correctedTime()))
			}
		default:
			var record quarantineRecord
			if err = json.Unmarshal(r.Value, &record); err == nil {
				report.Quarantines = append(report.Quarantines, quarantine.Quarantine{Subject: key.Subject, Remaining: record.Until.Sub(f.correctedTime()), Count: record.Count})
			}
		}
		if err != nil {
			f.Logs.Emit(event.StoreEntryInvalid, zap.String("key", r.Key), zap.Error(err))
		}
	}
	f.quarantine.Load(report, f.nodes().Total, clock.Now())
	f.Logs.Emit(event.CrashesLoaded, zap.String("from", "store"), zap.Int("suspicions", len(report.Suspicions)), zap.Int("quarantines", len(report.Quarantines)))
}
