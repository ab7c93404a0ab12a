package front

import (
	"context"
	"encoding/json"
	"fmt"
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
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// nodesWait is how long a read waits for a node's announcement.
	nodesWait = 20 * time.Second
	// nodesPace is the pause between such reads. All nodes of a fleet announce
	// themselves at once; a new one asks the others by itself.
	nodesPace = 3 * time.Second
	// announceTimeout bounds the call that announces the node.
	announceTimeout = time.Second
	// announceAgain is the pause before an announcement is tried again.
	announceAgain = 500 * time.Millisecond
	// toldWindows is how many windows of usage a digest tells.
	toldWindows = 4
)

func (f *Front) address() string {
	return net.JoinHostPort(f.Settings.IP, strconv.Itoa(f.Settings.InternalPorts[0]))
}

// fellowsService announces the node and exchanges digests with the others.
func (f *Front) fellowsService() kernel.Service {
	done := make(chan struct{})
	s := kernel.Service{Name: ServiceGossip, Done: done}
	s.Start = func(ctx context.Context) error {
		f.exchange = gossip.Exchange{
			Address: f.address(), Describe: f.Describe, OnDigest: f.heard, OnReply: f.confirmed, DeltaSince: f.news,
			WallClock: f.now, Table: &f.fellows, Logs: f.Logs,
		}
		if err := f.exchange.Listen(); err != nil {
			close(done)
			return err
		}
		served := make(chan struct{})
		f.lender = &http.Server{Handler: http.HandlerFunc(f.lend), ReadHeaderTimeout: headerTimeout}
		if err := f.serve(ctx, f.lender, f.address(), served); err != nil {
			close(done)
			return errors.CombineErrors(err, f.exchange.Close())
		}
		parts := []<-chan struct{}{
			served,
			f.run(f.exchange.Receive),
			f.run(func() { f.exchange.Run(ctx) }),
			f.run(func() { f.announce(ctx) }),
			f.run(func() { f.followNodes(ctx) }),
		}
		f.group.Go(func() error {
			defer close(done)
			for _, p := range parts {
				<-p
			}
			return nil
		})
		return nil
	}
	s.Stop = func(context.Context) error {
		f.exchange.Leave()
		return errors.CombineErrors(f.lender.Close(), f.exchange.Close())
	}
	return s
}

// announce writes the node's address to the store, where others find it.
func (f *Front) announce(ctx context.Context) {
	a := gossip.Announcement{
		Address: f.address(), DataCentre: f.Settings.DataCentre, Incarnation: f.self.Incarnation, Cores: f.Settings.Cores,
	}
	f.fellows.AddAnnounced(f.self.Name, a, clock.Now())
	value, err := json.Marshal(a)
	if err != nil {
		f.Logs.Emit(event.AnnounceFailed, zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := f.store.Append(call, platform.TopicNodes, platform.Record{Key: string(f.self.Name), Value: value})
		cancel()
		if err == nil {
			return
		}
		f.Logs.Emit(event.AnnounceFailed, zap.Error(err))
		select {
		case <-time.After(announceAgain):
		case <-ctx.Done():
		}
	}
}

func (f *Front) followNodes(ctx context.Context) {
	fold := func(records []platform.Record) {
		for _, r := range records {
			var a gossip.Announcement
			if r.Key == string(f.self.Name) || r.Value == nil {
				continue
			}
			if err := json.Unmarshal(r.Value, &a); err != nil {
				f.Logs.Emit(event.DirectoryEntryInvalid, zap.String("key", r.Key), zap.Error(err))
				continue
			}
			f.fellows.AddAnnounced(fleet.NodeName(r.Key), a, clock.Now())
		}
	}
	follow := feed.Follower{
		Source: f.source(), Topic: platform.TopicNodes, Wait: nodesWait, Interval: nodesPace, Logs: f.Logs,
		OnFullRead: func(b platform.Batch, _ clock.Instant) {
			fold(b.Records)
			f.met.Store(true)
		},
		OnNewRecords: func(_ fleet.Offset, records []platform.Record, _ clock.Instant) { fold(records) },
	}
	follow.Run(ctx)
}

// now returns the time of day, free of jumps since the start.
func (f *Front) now() time.Time {
	return f.startedAt.Add(clock.Now().Sub(f.startedOn))
}

// trueTime returns the time of day, corrected by the other nodes' clocks.
func (f *Front) trueTime() time.Time { return f.now().Add(f.fellows.ClockCorrection()) }

// Describe returns what the node tells the others of itself.
func (f *Front) Describe() gossip.Digest {
	d := gossip.Digest{
		Node:       f.self,
		DataCentre: f.Settings.DataCentre,
		Address:    f.address(),
		Work:       f.tracker.LocalWork(),
		Consumed:   f.quotas.LocalTotals(),
		Crashes:    f.ward.Recent(),
		Demand:     f.demand.ByPool(),
		Clock:      f.now(),
	}
	if f.holds.Load() {
		d.DutyHolder, d.DutyHolderAddress = f.self.Name, f.address()
	}
	if w := f.Settings.Bounds.UsageWindow; w > 0 {
		d.Usage = f.ledger.NodeCounts(f.self, usage.WindowAt(f.trueTime(), w)-toldWindows)
	}
	if next, at := f.endpointFeed.Position(); at != 0 {
		d.DirectoryOffset, d.DirectoryAge = next, clock.Now().Sub(at)
	}
	if c := f.config.Load(); c != nil {
		d.ConfigVersion, d.ConfigAge = c.Version, clock.Now().Sub(c.Confirmed)
	}
	return d
}

// heard folds what another node tells of itself.
func (f *Front) heard(d gossip.Digest) {
	f.ledger.Merge(d.Node, d.Usage)
	for _, b := range d.Crashes {
		f.ward.Record(b, clock.Now())
	}
	f.tracker.SetPeerWork(f.fellows.Work())
	f.newest.Store(max(f.newest.Load(), d.ConfigVersion))
}

// nodes tells how many nodes share the limits. Until the store has told which
// there are, the node takes an even share among as many as are usual.
func (f *Front) nodes() allotment.Nodes {
	n := f.fellows.Count()
	n.Lag = f.fellows.Lag()
	if !f.met.Load() && n.Total < assumedNodes {
		n.Silent += assumedNodes - n.Total
		n.Total = assumedNodes
	}
	return n
}

// began counts the beginning of a request for the usage.
func (f *Front) began(account fleet.AccountName) {
	if w := f.Settings.Bounds.UsageWindow; w > 0 {
		f.ledger.Count(f.self, usage.WindowAt(f.trueTime(), w), account)
	}
}

// broke notes that a content broke an endpoint.
func (f *Front) broke(content uint64, id fleet.InstanceID) {
	f.ward.Record(quarantine.Crash{Content: quarantine.ContentHash(content), Instance: id}, clock.Now())
}

func (f *Front) convicted(c quarantine.ContentHash) {
	f.Logs.Emit(event.ContentRefused, zap.String("content", fmt.Sprintf("%016x", uint64(c))))
}

// expire forgets what the exchange left behind.
func (f *Front) expire() {
	f.ward.Expire(clock.Now())
	f.demand.Update(clock.Now())
	if w := f.Settings.Bounds.UsageWindow; w > 0 {
		f.ledger.Expire(usage.WindowAt(f.trueTime(), w) - 2*toldWindows)
	}
}

// demands returns the demand on all pools, in engines.
func (f *Front) demands() map[fleet.PoolName]float64 {
	sum := f.fellows.Demand()
	own := f.demand.ByPool()
	for pool := range maps.Keys(own) {
		sum[pool] += own[pool]
	}
	return sum
}
