package front

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/feed"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// nodesWait is how long a read waits for announcements of nodes.
	nodesWait = 20 * time.Second
	// nodesPause is the pause between such reads. It need not be short, because all
	// nodes of a fleet announce themselves at the same time, and a node that is added
	// later queries the others.
	nodesPause = 3 * time.Second
	// maxNodesAge is the maximum age of the list of nodes while a relay serves this node. The
	// list then matters only for the choice of the next relay.
	maxNodesAge = time.Minute
	// storeCallTimeout limits one call of retryStoreCall.
	storeCallTimeout = time.Second
	// storeRetryDelay is the pause before a failed call to the store is repeated.
	storeRetryDelay = 500 * time.Millisecond
	// reportedWindows is the number of past usage windows in a digest.
	reportedWindows = 4
)

// internalAddress returns the address for requests of other nodes.
func (f *Front) internalAddress() string {
	return net.JoinHostPort(f.Settings.IP, strconv.Itoa(f.Settings.InternalPorts[0]))
}

// gossipService announces this node, exchanges digests with other nodes and serves
// snapshots to them.
func (f *Front) gossipService() kernel.Service {
	done := make(chan struct{})
	s := kernel.Service{Name: ServiceGossip, Done: done}
	s.Start = func(ctx context.Context) error {
		f.exchange = gossip.Exchange{
			ListenAddress: f.internalAddress(), Describe: f.Describe, OnDigest: f.applyDigest, DeltaSince: f.deltaSince,
			OnReply: func(d gossip.Digest, delta *gossip.Delta, sentAt clock.Instant) {
				f.applyReply(ctx, d, delta, sentAt)
			},
			WallClock: f.wallClock, Table: &f.peers, Logs: f.Logs,
		}
		if err := f.exchange.Listen(); err != nil {
			close(done)
			return err
		}
		snapshotServerDone := make(chan struct{})
		f.snapshotServer = &http.Server{Handler: http.HandlerFunc(f.serveSnapshot)}
		if _, err := f.serve(ctx, f.snapshotServer, otherGuard(&f.intake.snapshots), f.internalAddress(), snapshotServerDone); err != nil {
			close(done)
			return errors.CombineErrors(err, f.exchange.Close())
		}
		running := []<-chan struct{}{
			snapshotServerDone,
			f.goWithDone(f.exchange.Receive),
			f.goWithDone(func() { f.exchange.Run(ctx) }),
			f.goWithDone(func() { f.announce(ctx) }),
			f.goWithDone(func() { f.followNodes(ctx) }),
			f.goWithDone(func() { f.loadQuarantines(ctx) }),
			f.goWithDone(func() { f.storeCrashes(ctx) }),
		}
		f.group.Go(func() error {
			defer close(done)
			for _, ch := range running {
				<-ch
			}
			return nil
		})
		return nil
	}
	s.Stop = func(context.Context) error {
		f.exchange.Leave()
		return errors.CombineErrors(f.snapshotServer.Close(), f.exchange.Close())
	}
	return s
}

// announce writes this node's announcement to the store. It retries until it
// succeeds or the context is cancelled.
func (f *Front) announce(ctx context.Context) {
	a := gossip.Announcement{
		Address: f.internalAddress(), DataCentre: f.Settings.DataCentre, Incarnation: f.self.Incarnation, Cores: f.Settings.Cores,
	}
	f.peers.AddAnnounced(f.self.Name, a, clock.Now())
	value, err := json.Marshal(a)
	if err != nil {
		f.Logs.Emit(event.AnnounceFailed, zap.Error(err))
		return
	}
	retryStoreCall(ctx, func(ctx context.Context) error {
		_, err := f.store.Append(ctx, platform.TopicNodes, platform.Record{Key: string(f.self.Name), Value: value})
		return err
	}, func(err error) { f.Logs.Emit(event.AnnounceFailed, zap.Error(err)) })
}

// retryStoreCall repeats a call to the store until it succeeds or the context is done,
// and passes each error to onError.
func retryStoreCall(ctx context.Context, call func(context.Context) error, onError func(error)) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := call(callCtx)
		cancel()
		if err == nil {
			return
		}
		onError(err)
		select {
		case <-time.After(storeRetryDelay):
		case <-ctx.Done():
		}
	}
}

// followNodes adds the nodes that are announced in the store to the table of peers.
func (f *Front) followNodes(ctx context.Context) {
	f.nodesFeed = feed.Follower{
		Source: f.storeSource(), Topic: platform.TopicNodes, Wait: nodesWait, Pause: nodesPause, Logs: f.Logs,
		Skip: f.skipNodes, Held: f.heldOfServices(),
		OnFullRead: func(b platform.Batch, _ clock.Instant) {
			f.applyNodes(b.Records)
			f.nodesLoaded.Store(true)
		},
		OnNewRecords: func(_ fleet.Offset, records []platform.Record, _ clock.Instant) { f.applyNodes(records) },
	}
	f.nodesFeed.Run(ctx)
}

// applyNodes applies announcements of nodes.
func (f *Front) applyNodes(records []platform.Record) {
	for _, r := range records {
		var a gossip.Announcement
		if r.Key == string(f.self.Name) || r.Value == nil {
			continue
		}
		err := json.Unmarshal(r.Value, &a)
		if err == nil {
			err = a.Validate(fleet.NodeName(r.Key))
		}
		if err != nil {
			f.Logs.Emit(event.StoreEntryInvalid, zap.String("key", r.Key), zap.Error(err))
			continue
		}
		f.peers.AddAnnounced(fleet.NodeName(r.Key), a, clock.Now())
	}
}

// skipNodes reports whether a read of the list of nodes may be skipped, because a relay
// serves this node. All nodes announce themselves at the same time, so the first reads
// are not skipped.
func (f *Front) skipNodes() bool {
	_, at := f.nodesFeed.Position()
	age := clock.Now().Sub(at)
	return clock.Now().Sub(f.startInstant) > 2*nodesPause && age < maxNodesAge && f.peers.ServedByRelay()
}

// wallClock returns the time of day. It does not jump when the system clock is set
// after the start.
func (f *Front) wallClock() time.Time {
	return f.startTime.Add(clock.Now().Sub(f.startInstant))
}

// correctedTime returns the time of day, corrected by the clocks of the other nodes.
func (f *Front) correctedTime() time.Time { return f.wallClock().Add(f.peers.ClockCorrection()) }

// Describe returns this node's digest.
func (f *Front) Describe() gossip.Digest {
	d := gossip.Digest{
		Node:       f.self,
		DataCentre: f.Settings.DataCentre,
		Address:    f.internalAddress(),
		Work:       f.tracker.LocalWork(),
		Consumed:   f.quotas.LocalTotals(),
		Quotas:     f.quotas.Report(clock.Now()),
		Quarantine: f.quarantine.Report(clock.Now()),
		Demand:     f.demand.ByPool(),
		Leaving:    f.directory.Announced(),
		Speeds:     f.engines.Known(),
		Pace:       f.pace.Evidence(clock.Now()),
		Rollouts:   f.canary.Reports(clock.Now()),
		Clock:      f.wallClock(),
		Shortage:   f.shortage(),
	}
	if f.holdsDuties.Load() {
		d.DutyHolder, d.DutyHolderAddress = f.self.Name, f.internalAddress()
	}
	if w := f.Settings.Bounds.UsageWindow; w > 0 {
		d.Usage = f.usageCounter.NodeCounts(f.self, usage.WindowAt(f.correctedTime(), w)-reportedWindows)
	}
	if next, at := f.endpointFeed.Position(); at != 0 {
		d.DirectoryOffset, d.DirectoryAge = next, clock.Now().Sub(at)
	}
	if c := f.config.Load(); c != nil {
		d.ConfigVersion, d.ConfigAge = c.Version, clock.Now().Sub(c.Confirmed)
	}
	return d
}

// applyDigest applies the digest of another node.
func (f *Front) applyDigest(d gossip.Digest) {
	f.usageCounter.Merge(d.Node, d.Usage)
	f.quarantine.Merge(d.Quarantine, clock.Now())
	for pool, speeds := range d.Speeds {
		f.engines.Adopt(pool, speeds)
	}
	for id, born := range d.Leaving {
		f.directory.MarkLeaving(id, born, clock.Now())
	}
	if len(d.Rollouts) > 0 {
		f.canary.Merge(d.Rollouts, nil, clock.Now())
	}
	f.tracker.SetPeerWork(f.peers.Work())
	f.applyShortage()
	f.newestConfigVersion.Store(max(f.newestConfigVersion.Load(), d.ConfigVersion))
}

// nodes returns the number of nodes that share the limits. Until the list of nodes
// has been read, at least assumedNodes are assumed, the missing ones as silent.
func (f *Front) nodes() allotment.Nodes {
	n := f.peers.Count()
	n.Lag = f.peers.Lag()
	n.Assumed = !f.nodesLoaded.Load()
	if n.Assumed && n.Total < assumedNodes {
		n.Silent += assumedNodes - n.Total
		n.Total = assumedNodes
	}
	return n
}

// recordStart counts a started request in the account's usage.
func (f *Front) recordStart(account fleet.AccountName) {
	if w := f.Settings.Bounds.UsageWindow; w > 0 {
		f.usageCounter.Count(f.self, usage.WindowAt(f.correctedTime(), w), account)
	}
}

// expireGossipState removes expired crashes and usage counts and updates the demand.
func (f *Front) expireGossipState() {
	f.quarantine.Expire(clock.Now())
	f.expireReplies(clock.Now())
	f.demand.Update(clock.Now())
	if w := f.Settings.Bounds.UsageWindow; w > 0 {
		f.usageCounter.Expire(usage.WindowAt(f.correctedTime(), w) - 2*reportedWindows)
	}
}

// totalDemand returns the demand of all nodes by pool, in engines.
func (f *Front) totalDemand() map[fleet.PoolName]float64 {
	sum := f.peers.Demand()
	local := f.demand.ByPool()
	for pool := range maps.Keys(local) {
		sum[pool] += local[pool]
	}
	return sum
}
