package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	serviceclient "github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// staleDirectoryAge is the age above which the directory is stale and is fetched
	// from a peer.
	staleDirectoryAge = 2 * time.Second
	// snapshotTimeout limits the request for a peer's snapshot.
	snapshotTimeout = time.Second
	// maxSnapshotBytes is the maximum size of a peer's snapshot.
	maxSnapshotBytes = 16 << 20
	// pathConfig serves a snapshot of the configuration, pathEndpoints one that also
	// holds the endpoints.
	pathConfig, pathEndpoints = "/config", "/endpoints"
)

// snapshot is the state that a node serves to peers that cannot read the store.
type snapshot struct {
	// Document is the encoded configuration, ConfigAge the time since it was last
	// confirmed as the newest.
	Document  []byte             `cbor:"1,keyasint"`
	ConfigAge time.Duration      `cbor:"2,keyasint"`
	Endpoints []serving.Endpoint `cbor:"3,keyasint"`
	// EndpointsAge is the time since the endpoints were last known to be complete.
	EndpointsAge time.Duration `cbor:"4,keyasint"`
}

// applyReply applies a peer's reply as if this node had read the store itself. The
// state in it is at most as old as the request plus the age that the peer reports.
// If the peer has a newer configuration or this node's directory is stale, a
// snapshot is fetched from the peer.
func (f *Front) applyReply(ctx context.Context, d gossip.Digest, delta *gossip.Delta, sentAt clock.Instant) {
	if f.reunited(&d, clock.Now()) {
		f.group.Go(func() error {
			f.fetchCrashes(ctx, d.Node.Name, d.Address)
			return nil
		})
	}
	f.canary.Confirm(d.Rollouts, sentAt)
	current := f.config.Load()
	if current != nil && d.ConfigVersion == current.Version {
		f.confirmConfig(current.Version, sentAt.Add(-d.ConfigAge))
	}
	if delta == nil {
		delta = &gossip.Delta{From: d.DirectoryOffset, To: d.DirectoryOffset}
	}
	// The digest holds the offset up to which its sender had read when it replied. A
	// delta that ends before that offset is incomplete and confirms nothing.
	confirmedAt := sentAt.Add(-d.DirectoryAge)
	if delta.To < d.DirectoryOffset {
		confirmedAt = 0
	}
	apply := func() { f.applyChanges(delta.From, delta.To, delta.Changes) }
	if d.DirectoryOffset != 0 && f.endpointFeed.ApplyPeerRead(delta.From, delta.To, confirmedAt, apply) {
		f.recordDirectoryRead(confirmedAt)
	}
	behind := d.ConfigVersion > 0 && (current == nil || d.ConfigVersion > current.Version)
	if (behind || f.directoryStale()) && f.fetchingSnapshot.CompareAndSwap(false, true) {
		f.group.Go(func() error {
			defer f.fetchingSnapshot.Store(false)
			if err := f.fetchSnapshot(ctx, d.Address, f.directoryStale()); err != nil {
				f.Logs.Emit(event.SnapshotUnavailable, zap.String("from", string(d.Node.Name)), zap.Error(err))
			}
			return nil
		})
	}
}

// directoryStale reports whether the directory was last known to be complete longer
// than staleDirectoryAge ago.
func (f *Front) directoryStale() bool {
	return clock.Now().Sub(clock.Instant(f.directoryReadAt.Load())) > staleDirectoryAge
}

// recordDirectoryRead records an instant at which the directory was complete.
func (f *Front) recordDirectoryRead(at clock.Instant) {
	if old := f.directoryReadAt.Load(); int64(at) > old {
		// If a concurrent update wins, its instant is valid too and about as recent.
		f.directoryReadAt.CompareAndSwap(old, int64(at))
	}
}

// confirmConfig records that a version was the newest at an instant.
func (f *Front) confirmConfig(version int64, at clock.Instant) {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	c := f.config.Load()
	if c == nil || c.Version != version || c.Confirmed >= at {
		return
	}
	next := *c
	next.Confirmed = at
	f.config.Store(&next)
}

// serveSnapshot handles requests of peers for the configuration, on pathEndpoints for the
// endpoints too, and on pathCrashes for what is known of crashes instead.
func (f *Front) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathCrashes {
		f.writeToPeer(w, f.quarantine.FullReport(clock.Now()))
		return
	}
	c := f.config.Load()
	if c == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := clock.Now()
	s := snapshot{Document: *f.document.Load(), ConfigAge: now.Sub(c.Confirmed)}
	if r.URL.Path == pathEndpoints {
		s.Endpoints, s.EndpointsAge = f.directory.Listed(), now.Sub(clock.Instant(f.directoryReadAt.Load()))
	}
	f.writeToPeer(w, s)
}

// writeToPeer responds to a peer with a value.
func (f *Front) writeToPeer(w http.ResponseWriter, value any) {
	data, err := cbor.Marshal(value)
	if err != nil {
		f.Logs.Emit(event.SnapshotUnavailable, zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A peer that did not receive the response requests it again.
	_, _ = w.Write(data)
}

// getFromPeer fetches a value that a peer serves.
func (f *Front) getFromPeer(ctx context.Context, address, path string, value any) (err error) {
	defer func() { err = errors.Wrapf(err, "get %s from %s", path, address) }()
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	res, err := f.snapshotClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, res.Body.Close()) }()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("unexpected status %d", res.StatusCode)
	}
	data, release, err := serviceclient.ReadAll(ctx, &f.intake.services, res, maxSnapshotBytes)
	if err != nil {
		return err
	}
	defer release()
	return cbor.Unmarshal(data, value)
}

// fetchSnapshot fetches and applies a peer's configuration, and its endpoints if
// withEndpoints is set.
func (f *Front) fetchSnapshot(ctx context.Context, address string, withEndpoints bool) error {
	sentAt := clock.Now()
	path := pathConfig
	if withEndpoints {
		path = pathEndpoints
	}
	var s snapshot
	if err := f.getFromPeer(ctx, address, path, &s); err != nil {
		return err
	}
	f.applySnapshot(s, sentAt, withEndpoints)
	return nil
}

// applySnapshot applies a peer's snapshot that was requested at an instant.
func (f *Front) applySnapshot(s snapshot, sentAt clock.Instant, withEndpoints bool) {
	f.applyConfig([]platform.Record{{Key: platform.KeyConfig, Value: s.Document}}, sentAt.Add(-s.ConfigAge))
	// A recent read by this node is preferred to a snapshot, because it also shows
	// which endpoints were removed on purpose.
	if readAt := sentAt.Add(-s.EndpointsAge); withEndpoints && f.directoryStale() && readAt > clock.Instant(f.directoryReadAt.Load()) {
		changes := make([]directory.Change, len(s.Endpoints))
		for i := range s.Endpoints {
			changes[i] = directory.Change{ID: s.Endpoints[i].ID, Endpoint: &s.Endpoints[i]}
		}
		f.directory.Replace(changes, clock.Now())
		f.directoryReadAt.Store(int64(readAt))
	}
}
