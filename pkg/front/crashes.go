package front

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// crashStoreDelay is the pause before the crash of an endpoint is stored, which lets one
	// call hold all requests that were in flight there.
	crashStoreDelay = 20 * time.Millisecond
	// maxCrashStoreDelay bounds the pause after calls that failed.
	maxCrashStoreDelay = 4 * time.Second
	// maxCrashRecords is the maximum number of records in one call to the store.
	maxCrashRecords = 256
	// pathCrashes serves what a node knows of crashes.
	pathCrashes = "/crashes"
)

// crashRecord is the record of a suspicion in the store. Its key is that of the suspicion.
type crashRecord struct {
	Endpoint fleet.InstanceID `json:"endpoint"`
	// Subjects are the subjects of the request except those in use, the content last.
	Subjects []string `json:"subjects"`
	// At is the time of the crash, Ran the time for which the request had run, in nanoseconds.
	At      time.Time     `json:"at"`
	Ran     time.Duration `json:"ran"`
	Started bool          `json:"started"`
	Resent  bool          `json:"resent"`
	// Answered is as quarantine.Suspicion.Answered.
	Answered bool `json:"answered"`
}

// suspicion returns the suspicion that a record describes.
func (r *crashRecord) suspicion(key quarantine.StoreKey, now time.Time) quarantine.Suspicion {
	s := quarantine.Suspicion{
		Instance: r.Endpoint, Age: now.Sub(r.At), Ran: r.Ran, Started: r.Started, Resent: r.Resent,
		ID: key.Suspicion, Stored: true, Answered: r.Answered,
	}
	// The key holds the content.
	for _, text := range r.Subjects[:max(0, len(r.Subjects)-1)] {
		if subject, err := parseSubject(text); err == nil {
			s.Subjects = append(s.Subjects, subject)
		}
	}
	s.Subjects = append(s.Subjects, key.Subject)
	return s
}

func formatSubject(s quarantine.Subject) string { return fmt.Sprintf("%016x", uint64(s)) }

func parseSubject(text string) (quarantine.Subject, error) {
	subject, err := strconv.ParseUint(text, 16, 64)
	return quarantine.Subject(subject), err
}

// storeKeySeparator separates the subject and the suspicion in a key of the store.
const storeKeySeparator = "-"

// formatStoreKey returns the key of a suspicion or a quarantine in the store.
func formatStoreKey(k quarantine.StoreKey) string {
	if k.Suspicion == 0 {
		return formatSubject(k.Subject)
	}
	return formatSubject(k.Subject) + storeKeySeparator + fmt.Sprintf("%016x", uint64(k.Suspicion))
}

func parseStoreKey(text string) (k quarantine.StoreKey, err error) {
	defer func() { err = errors.Wrapf(err, "parse key %q", text) }()
	subject, suspicion, isCrash := strings.Cut(text, storeKeySeparator)
	if k.Subject, err = parseSubject(subject); err != nil || !isCrash {
		return k, err
	}
	id, err := strconv.ParseUint(suspicion, 16, 64)
	if err == nil && id == 0 {
		err = errors.New("the suspicion has no ID")
	}
	k.Suspicion = quarantine.SuspicionID(id)
	return k, err
}

// noteUnstored wakes storeCrashes.
func (f *Front) noteUnstored() {
	select {
	case f.unstored <- struct{}{}:
	default:
	}
}

// storeCrashes stores crashes that this node observed as soon as it has, and those that others
// observed if they have not stored them, until the context is done.
func (f *Front) storeCrashes(ctx context.Context) {
	delay := crashStoreDelay
	for {
		select {
		case <-f.unstored:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		if err := f.storeUnstored(ctx); err != nil {
			f.Logs.Emit(event.QuarantineNotStored, zap.Error(err))
			delay = min(max(2*delay, storeRetryDelay), maxCrashStoreDelay)
			f.noteUnstored()
			continue
		}
		delay = crashStoreDelay
	}
}

// storeUnstored makes the calls to the store that are due.
func (f *Front) storeUnstored(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "store crashes") }()
	for {
		added, removed := f.quarantine.Unstored(clock.Now())
		added = added[:min(len(added), maxCrashRecords)]
		removed = removed[:min(len(removed), maxCrashRecords-len(added))]
		if len(added)+len(removed) == 0 {
			return nil
		}
		records := make([]platform.Record, 0, len(added)+len(removed))
		for i := range added {
			r, err := f.crashRecord(&added[i])
			if err != nil {
				return err
			}
			records = append(records, r)
		}
		for _, k := range removed {
			records = append(records, platform.Record{Key: formatStoreKey(k)})
		}
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		_, err = f.store.Append(callCtx, platform.TopicQuarantine, records...)
		cancel()
		if err != nil {
			return err
		}
		f.quarantine.MarkStored(added, removed)
	}
}

// crashRecord returns the record of a suspicion in the store.
func (f *Front) crashRecord(s *quarantine.Suspicion) (r platform.Record, err error) {
	c := crashRecord{Endpoint: s.Instance, At: f.correctedTime().Add(-s.Age), Ran: s.Ran, Started: s.Started, Resent: s.Resent, Answered: s.Answered}
	for _, subject := range s.Subjects {
		c.Subjects = append(c.Subjects, formatSubject(subject))
	}
	r.Key = formatStoreKey(s.Key())
	r.Value, err = json.Marshal(c)
	return r, err
}

// reunionAge is the age of a peer's last reply above which this node may have missed digests.
const reunionAge = 5 * time.Second

// fetchRetryDelay is the pause before the crashes that a peer knows are fetched again.
const fetchRetryDelay = time.Second

// peerReply is when a peer replied last.
type peerReply struct {
	incarnation fleet.Incarnation
	at          clock.Instant
}

// reunited reports whether a node replies for the first time since it started or since it was
// cut off. Crashes that are no longer in digests are fetched from it then.
func (f *Front) reunited(d *gossip.Digest, now clock.Instant) bool {
	f.repliesMu.Lock()
	defer f.repliesMu.Unlock()
	if f.replies == nil {
		f.replies = make(map[fleet.NodeName]peerReply)
	}
	last, known := f.replies[d.Node.Name]
	f.replies[d.Node.Name] = peerReply{incarnation: d.Node.Incarnation, at: now}
	return !known || last.incarnation != d.Node.Incarnation || now.Sub(last.at) > reunionAge
}

// expireReplies forgets the nodes that have not replied for long.
func (f *Front) expireReplies(now clock.Instant) {
	f.repliesMu.Lock()
	defer f.repliesMu.Unlock()
	maps.DeleteFunc(f.replies, func(_ fleet.NodeName, r peerReply) bool { return now.Sub(r.at) > 2*reunionAge })
}

// fetchCrashes fetches and applies what a peer knows of crashes. If that fails, the next reply
// of the peer after fetchRetryDelay lets it be fetched again.
func (f *Front) fetchCrashes(ctx context.Context, peer fleet.NodeName, address string) {
	var report quarantine.Report
	if err := f.getFromPeer(ctx, address, pathCrashes, &report); err != nil {
		f.Logs.Emit(event.SnapshotUnavailable, zap.String("from", string(peer)), zap.Error(err))
		select {
		case <-time.After(fetchRetryDelay):
		case <-ctx.Done():
		}
		f.repliesMu.Lock()
		defer f.repliesMu.Unlock()
		delete(f.replies, peer)
		return
	}
	f.quarantine.Merge(report, clock.Now())
	if len(report.Suspicions)+len(report.Quarantines) > 0 {
		f.Logs.Emit(event.CrashesLoaded, zap.String("from", string(peer)), zap.Int("suspicions", len(report.Suspicions)), zap.Int("quarantines", len(report.Quarantines)))
	}
}
