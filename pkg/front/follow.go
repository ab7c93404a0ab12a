package front

import (
	"context"

	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/feed"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gateway"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

// storeSource returns the store as the source of followers.
func (f *Front) storeSource() feed.Source {
	return feed.Source{Read: f.store.Read, NewestPage: f.store.NewestPage}
}

// heldOfServices accounts for what is kept of several responses of the store.
func (f *Front) heldOfServices() intake.Holding { return intake.Holding{Budget: &f.intake.services} }

// endpointBytes is how much memory the entry of an endpoint takes.
const endpointBytes intake.Bytes = 512

// configService follows the operator's configuration in the store.
func (f *Front) configService() kernel.Service {
	done := make(chan struct{})
	f.configFeed = feed.Follower{
		Source: f.storeSource(), Topic: platform.TopicOperator, Wait: configWait, Logs: f.Logs,
		OnFullRead: func(b platform.Batch, sentAt clock.Instant) { f.applyOperator(b.Records, sentAt) },
		OnNewRecords: func(_ fleet.Offset, records []platform.Record, sentAt clock.Instant) {
			f.applyOperator(records, sentAt)
		},
		Skip:         f.skipConfig,
		ServedByPeer: f.servedByPeer,
		Held:         f.heldOfServices(),
	}
	return kernel.Service{
		Name: ServiceConfig,
		Done: done,
		Start: func(ctx context.Context) error {
			f.group.Go(func() error {
				defer close(done)
				f.configFeed.Run(ctx)
				return nil
			})
			return nil
		},
	}
}

// applyOperator applies records of the operator. Orders come first: the node serves once it has a configuration.
func (f *Front) applyOperator(records []platform.Record, sentAt clock.Instant) {
	f.applyOrders(records)
	f.applyConfig(records, sentAt)
}

// applyConfig applies a newer configuration. Records without one confirm the version
// in force. A version is never replaced by an older one, nor dropped because its
// record is absent.
func (f *Front) applyConfig(records []platform.Record, sentAt clock.Instant) {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	next := gateway.Config{}
	if current := f.config.Load(); current != nil {
		next = *current
	}
	for _, r := range records {
		if r.Key != platform.KeyConfig || r.Value == nil {
			continue
		}
		c, err := platform.ParseConfig(r.Value)
		if err != nil {
			f.Logs.Emit(event.ConfigUnreadable, zap.Error(err))
			return
		}
		if next.Config != nil && c.Version <= next.Version {
			continue
		}
		next.Config = c
		f.document.Store(&r.Value)
		f.quotas.Track(c.Accounts, f.nodes(), clock.Now())
		f.Logs.Emit(event.ConfigAdopted, zap.Int64("version", c.Version), zap.Int("routes", len(c.Routes)))
	}
	if next.Config == nil {
		return
	}
	next.Confirmed = max(next.Confirmed, sentAt)
	f.config.Store(&next)
}

// directoryService returns the service that follows the endpoint directory in the
// store and runs housekeep.
func (f *Front) directoryService() kernel.Service {
	// list holds the endpoints of a full read.
	var list []directory.Change
	f.endpointFeed = feed.Follower{
		Source: f.storeSource(), Topic: platform.TopicEndpoints, Skip: f.skipEndpoints, ServedByPeer: f.servedByPeer, Pause: directoryPause, Logs: f.Logs,
		Held: f.heldOfServices(),
		// Others may write entries that are long and no endpoint's. They are dropped page by page.
		OnPage: func(records []platform.Record, first bool) intake.Bytes {
			if first {
				list = nil
			}
			before := len(list)
			for _, c := range f.parseChanges(records) {
				if c.Endpoint != nil {
					list = append(list, c)
				}
			}
			return intake.Bytes(len(list)-before) * endpointBytes
		},
		OnFullRead: func(b platform.Batch, sentAt clock.Instant) {
			f.directory.Replace(list, clock.Now())
			f.history.Reset(b.End, list)
			list = nil
			f.directoryReadAt.Store(int64(sentAt))
		},
		OnNewRecords: func(from fleet.Offset, records []platform.Record, sentAt clock.Instant) {
			f.applyChanges(from, from+fleet.Offset(len(records)), f.parseChanges(records))
			f.directoryReadAt.Store(int64(sentAt))
		},
		OnRestored: func() { f.directory.MarkStoreRestored(clock.Now()) },
	}
	done := make(chan struct{})
	return kernel.Service{
		Name: ServiceDirectory,
		Done: done,
		Start: func(ctx context.Context) error {
			readsDone := f.goWithDone(func() { f.endpointFeed.Run(ctx) })
			housekeepingDone := f.goWithDone(func() { interval.Run(ctx, housekeepInterval, f.housekeep) })
			f.group.Go(func() error {
				defer close(done)
				<-readsDone
				<-housekeepingDone
				return nil
			})
			return nil
		},
	}
}

// applyChanges applies directory changes and keeps them for the nodes that this one
// relays for.
func (f *Front) applyChanges(from, to fleet.Offset, changes []directory.Change) {
	if from == to {
		return
	}
	f.history.Add(from, to, changes)
	f.directory.Apply(changes, clock.Now())
}

// deltaSince returns the directory changes after an offset, or nil if they are not
// known.
func (f *Front) deltaSince(from fleet.Offset) *gossip.Delta {
	changes, to, ok := f.history.Since(from, maxDeltaChanges)
	if !ok {
		return nil
	}
	return &gossip.Delta{From: from, To: to, Changes: changes}
}

// servedByPeer reports whether a relay usually reads the store for this node.
func (f *Front) servedByPeer() bool { return !f.peers.IsRelay() }

// skipConfig reports whether a read of the configuration may be skipped: a peer
// confirmed it recently, and no node is known to have a newer version.
func (f *Front) skipConfig() bool {
	c := f.config.Load()
	if c == nil || f.peers.IsRelay() {
		return false
	}
	return clock.Now().Sub(c.Confirmed) < maxPeerConfigAge && f.newestConfigVersion.Load() <= c.Version
}

// skipEndpoints reports whether a read of the directory may be skipped, because a
// peer's read is recent enough.
func (f *Front) skipEndpoints() bool {
	if f.peers.IsRelay() {
		return false
	}
	_, at := f.endpointFeed.Position()
	return clock.Now().Sub(at) < maxPeerDirectoryAge
}

// logEndpointChange logs the new state of an endpoint, or that it is gone.
func (f *Front) logEndpointChange(e serving.Endpoint, gone bool) {
	f.Logs.Emit(event.EndpointChanged, zap.String("endpoint", string(e.ID)), zap.String("pool", string(e.Pool)),
		zap.String("datacentre", string(e.DataCentre)), zap.String("state", string(e.State)), zap.Bool("gone", gone))
}

// parseChanges decodes directory records, one change for each. A record that cannot be
// decoded removes the endpoint, since its former entry is no longer reliable either. A
// key that no endpoint can have results in an empty change.
func (f *Front) parseChanges(records []platform.Record) []directory.Change {
	changes := make([]directory.Change, 0, len(records))
	for _, r := range records {
		c := directory.Change{ID: platform.EndpointID(r.Key)}
		if r.Value != nil {
			e, err := platform.ParseEndpoint(r.Key, r.Value)
			if err != nil {
				f.Logs.Emit(event.StoreEntryInvalid, zap.Error(err))
			} else {
				c.Endpoint = &e
			}
		}
		changes = append(changes, c)
	}
	return changes
}
