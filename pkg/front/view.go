package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// borrowAge is how old the own view of the endpoints may be before another
	// node's is asked for.
	borrowAge = 2 * time.Second
	// borrowTimeout bounds the call for another node's view.
	borrowTimeout = time.Second
	// maxView bounds another node's view, in bytes.
	maxView = 16 << 20
	// pathConfig is where a node lends its configuration, pathEndpoints where it
	// lends its endpoints too.
	pathConfig, pathEndpoints = "/config", "/endpoints"
)

// view is what a node lends to others that cannot read the store.
type view struct {
	Document  []byte             `cbor:"1,keyasint"`
	Age       time.Duration      `cbor:"2,keyasint"`
	Endpoints []serving.Endpoint `cbor:"3,keyasint"`
	// EndpointsAge is how long ago the endpoints were read.
	EndpointsAge time.Duration `cbor:"4,keyasint"`
}

// confirmed takes another node's confirmation of the configuration for its own
// reading: it is at most as old as the question and the other's reading together.
func (f *Front) confirmed(d gossip.Digest, news *gossip.Delta, asked clock.Instant) {
	mine := f.config.Load()
	if mine != nil && d.ConfigVersion == mine.Version {
		f.confirm(mine.Version, asked.Add(-d.ConfigAge))
	}
	if news == nil {
		news = &gossip.Delta{From: d.DirectoryOffset, To: d.DirectoryOffset}
	}
	// The digest says up to where its sender had read when it replied. What it
	// passes on may end before: then more is to come, and nothing is confirmed.
	at := asked.Add(-d.DirectoryAge)
	if news.To < d.DirectoryOffset {
		at = 0
	}
	fold := func() { f.applyEntries(news.From, news.To, news.Changes) }
	if d.DirectoryOffset != 0 && f.endpointFeed.ApplyPeerRead(news.From, news.To, at, fold) {
		f.readAt(at)
	}
	behind := d.ConfigVersion > 0 && (mine == nil || d.ConfigVersion > mine.Version)
	if (behind || f.blind()) && f.borrowing.CompareAndSwap(false, true) {
		f.group.Go(func() error {
			defer f.borrowing.Store(false)
			if err := f.borrow(d.Address, f.blind()); err != nil {
				f.Logs.Emit(event.SnapshotUnavailable, zap.String("from", string(d.Node.Name)), zap.Error(err))
			}
			return nil
		})
	}
}

// blind tells whether the endpoints' entries were not known to be complete lately.
func (f *Front) blind() bool {
	return clock.Now().Sub(clock.Instant(f.directoryRead.Load())) > borrowAge
}

// readAt notes an instant up to which the entries of the endpoints are known.
func (f *Front) readAt(at clock.Instant) {
	if old := f.directoryRead.Load(); int64(at) > old {
		// A concurrent reading is as recent; whichever is kept is true.
		f.directoryRead.CompareAndSwap(old, int64(at))
	}
}

// confirm notes that a version was the newest at an instant.
func (f *Front) confirm(version int64, at clock.Instant) {
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

// lend answers with the node's view of the configuration, and of the endpoints if
// it is asked for them too.
func (f *Front) lend(w http.ResponseWriter, r *http.Request) {
	c := f.config.Load()
	if c == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := clock.Now()
	v := view{Document: *f.document.Load(), Age: now.Sub(c.Confirmed)}
	if r.URL.Path == pathEndpoints {
		v.Endpoints, v.EndpointsAge = f.directory.Listed(), now.Sub(clock.Instant(f.directoryRead.Load()))
	}
	data, err := cbor.Marshal(v)
	if err != nil {
		f.Logs.Emit(event.SnapshotUnavailable, zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A reader that went away asks again by itself.
	_, _ = w.Write(data)
}

// borrow takes over another node's newer configuration, or its whole view.
func (f *Front) borrow(address string, whole bool) (err error) {
	defer func() { err = errors.Wrapf(err, "view of %s", address) }()
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	asked := clock.Now()
	path := pathConfig
	if whole {
		path = pathEndpoints
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	res, err := f.borrower.Do(req)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, res.Body.Close()) }()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("status %d", res.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxView))
	if err != nil {
		return err
	}
	var v view
	if err := cbor.Unmarshal(data, &v); err != nil {
		return err
	}
	f.foldConfig([]platform.Record{{Key: platform.KeyConfig, Value: v.Document}}, asked.Add(-v.Age))
	// An own reading that is recent knows more than a view: which endpoints were
	// dropped on purpose.
	if read := asked.Add(-v.EndpointsAge); whole && f.blind() && read > clock.Instant(f.directoryRead.Load()) {
		changes := make([]directory.Change, len(v.Endpoints))
		for i := range v.Endpoints {
			changes[i] = directory.Change{ID: v.Endpoints[i].ID, Endpoint: &v.Endpoints[i]}
		}
		f.directory.Replace(changes, clock.Now())
		f.directoryRead.Store(int64(read))
	}
	return nil
}
