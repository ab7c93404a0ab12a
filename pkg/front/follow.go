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
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

func (f *Front) source() feed.Source {
	return feed.Source{Read: f.store.Read, Newest: f.store.Newest}
}

// configService follows the operator's configuration.
func (f *Front) configService() kernel.Service {
	done := make(chan struct{})
	f.configFeed = feed.Follower{
		Source: f.source(), Topic: platform.TopicOperator, Wait: configWait, Logs: f.Logs,
		OnFullRead:   func(b platform.Batch, sent clock.Instant) { f.foldConfig(b.Records, sent) },
		OnNewRecords: func(_ fleet.Offset, records []platform.Record, sent clock.Instant) { f.foldConfig(records, sent) },
		Skip:         f.skipConfig,
		ServedByPeer: f.served,
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

// foldConfig adopts newer versions. A read without one confirms the version in
// force; a version never gives way to an older one, nor to an absent record.
func (f *Front) foldConfig(records []platform.Record, sent clock.Instant) {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	next := gateway.Config{}
	if now := f.config.Load(); now != nil {
		next = *now
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
	next.Confirmed = max(next.Confirmed, sent)
	f.config.Store(&next)
}

// directoryService follows the entries of endpoints.
func (f *Front) directoryService() kernel.Service {
	f.endpointFeed = feed.Follower{
		Source: f.source(), Topic: platform.TopicEndpoints, Skip: f.skipEndpoints, ServedByPeer: f.served, Interval: directoryPace, Logs: f.Logs,
		OnFullRead: func(b platform.Batch, sent clock.Instant) {
			list := f.changes(b.Records)
			f.directory.Replace(list, clock.Now())
			f.history.Reset(b.End, list)
			f.directoryRead.Store(int64(sent))
		},
		OnNewRecords: func(from fleet.Offset, records []platform.Record, sent clock.Instant) {
			f.applyEntries(from, from+fleet.Offset(len(records)), f.changes(records))
			f.directoryRead.Store(int64(sent))
		},
		OnRestored: func() { f.directory.MarkStoreRestored(clock.Now()) },
	}
	done := make(chan struct{})
	return kernel.Service{
		Name: ServiceDirectory,
		Done: done,
		Start: func(ctx context.Context) error {
			reads := f.run(func() { f.endpointFeed.Run(ctx) })
			sweeps := f.run(func() { interval.Run(ctx, sweepEvery, f.housekeep) })
			f.group.Go(func() error {
				defer close(done)
				<-reads
				<-sweeps
				return nil
			})
			return nil
		},
	}
}

// applyEntries folds changes of the endpoints' entries, and keeps them for the
// nodes that this one relays for.
func (f *Front) applyEntries(from, to fleet.Offset, changes []directory.Change) {
	if from == to {
		return
	}
	f.history.Add(from, to, changes)
	f.directory.Apply(changes, clock.Now())
}

// news returns what a node that has read the entries up to an offset has missed.
func (f *Front) news(from fleet.Offset) *gossip.Delta {
	changes, to, ok := f.history.Since(from, mostNews)
	if !ok {
		return nil
	}
	return &gossip.Delta{From: from, To: to, Changes: changes}
}

// served tells whether another node reads the store for this one as a rule.
func (f *Front) served() bool { return !f.fellows.IsRelay() }

// skipConfig tells whether another node's reading of the configuration serves:
// it was confirmed lately, and nobody is known to have a newer version.
func (f *Front) skipConfig() bool {
	c := f.config.Load()
	if c == nil || f.fellows.IsRelay() {
		return false
	}
	return clock.Now().Sub(c.Confirmed) < skipConfigAge && f.newest.Load() <= c.Version
}

// skipEndpoints tells whether another node's reading of the entries serves.
func (f *Front) skipEndpoints() bool {
	if f.fellows.IsRelay() {
		return false
	}
	_, at := f.endpointFeed.Position()
	return clock.Now().Sub(at) < skipEntriesAge
}

// endpointChanged logs what becomes of an endpoint.
func (f *Front) endpointChanged(e serving.Endpoint, gone bool) {
	f.Logs.Emit(event.EndpointChanged, zap.String("endpoint", string(e.ID)), zap.String("pool", string(e.Pool)),
		zap.String("datacentre", string(e.DataCentre)), zap.String("state", string(e.State)), zap.Bool("gone", gone))
}

// changes decodes the records of endpoints. One that cannot be read names no
// endpoint, and leaves no trust in what its key said before.
func (f *Front) changes(records []platform.Record) []directory.Change {
	changes := make([]directory.Change, 0, len(records))
	for _, r := range records {
		c := directory.Change{ID: fleet.InstanceID(r.Key)}
		if r.Value != nil {
			e, err := platform.ParseEndpoint(r.Key, r.Value)
			if err != nil {
				f.Logs.Emit(event.DirectoryEntryInvalid, zap.Error(err))
			} else {
				c.Endpoint = &e
			}
		}
		changes = append(changes, c)
	}
	return changes
}
