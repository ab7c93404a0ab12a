package front

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/platform"
)

// ServiceRollouts names the service that carries out the operator's roll-outs.
const ServiceRollouts kernel.ServiceName = "rollouts"

const (
	// canaryInterval is the pause between two looks at the counts and two decisions.
	canaryInterval = 200 * time.Millisecond
	// canaryCallTimeout bounds a call to the store, which responds in milliseconds.
	canaryCallTimeout = 600 * time.Millisecond
	// stateWait is how long a node waits for the state of an order from the others before it reads
	// the store.
	stateWait = 1500 * time.Millisecond
)

// decider decides on roll-outs while this node is the one to decide. Only its loop uses it.
type decider struct {
	front *Front
	// loaded is set while end is where the log of states ended.
	loaded bool
	end    fleet.Offset
	// statuses are the last written statuses by pool.
	statuses map[fleet.PoolName][]byte
	// unknownSince is since when the state of an order is not known; 0 if it is.
	unknownSince clock.Instant
}

// configureCanary prepares the tracker of roll-outs.
func (f *Front) configureCanary() {
	bounds := f.Settings.Bounds
	f.canary.Bounds = canary.Bounds{ExposeShare: bounds.ExposeShare, ExposeSlack: bounds.ExposeSlack, RollbackTime: bounds.RollbackTime}
	f.canary.Node, f.canary.Started = f.self.Name, f.startInstant
	f.canary.Nodes = func() int { return f.nodes().Total }
	f.canary.Random = rand.Float64
	f.canary.UnixTime = func(clock.Instant) int64 { return f.correctedTime().UnixMilli() }
	f.canary.Confirmed = func() clock.Instant {
		if c := f.config.Load(); c != nil {
			return c.Confirmed
		}
		return 0
	}
	f.canary.OnState = func(s canary.State) {
		f.Logs.Emit(event.CanaryPhase, zap.String("pool", string(s.Order.Pool)), zap.String("to", string(s.Order.To)), zap.String("phase", string(s.Phase)),
			zap.String("reason", string(s.Reason)), zap.Int64("number", s.Number), zap.Any("counts", s.Tallies))
	}
	f.canary.OnStop = func(o canary.Order, j canary.Judgement, tallies []canary.Tally) {
		f.Logs.Emit(event.CanaryStopped, zap.String("pool", string(o.Pool)), zap.String("to", string(o.To)), zap.String("route", string(j.Route)),
			zap.Bool("recent", j.Recent), zap.Any("counts", tallies))
	}
}

// rolloutsService carries out the operator's roll-outs.
func (f *Front) rolloutsService() kernel.Service {
	done := make(chan struct{})
	return kernel.Service{
		Name: ServiceRollouts,
		Done: done,
		Start: func(ctx context.Context) error {
			if !f.canary.Bounds.Enabled() {
				close(done)
				return nil
			}
			checked := f.goWithDone(func() { interval.Run(ctx, canaryInterval, f.checkVersions) })
			d := &decider{front: f, statuses: make(map[fleet.PoolName][]byte)}
			f.group.Go(func() error {
				defer close(done)
				interval.Run(ctx, canaryInterval, d.step)
				<-checked
				return nil
			})
			return nil
		},
	}
}

// checkVersions notes the versions of all pools and stops sampling where there is evidence.
func (f *Front) checkVersions(context.Context) {
	now := clock.Now()
	if c := f.config.Load(); c != nil {
		for name := range c.Pools {
			f.canary.Observe(name, f.directory.Endpoints(name), now)
		}
	}
	f.canary.Merge(nil, f.peers.Rollouts(), now)
	f.canary.Check(now)
}

// applyOrders applies the orders among the records of the operator.
func (f *Front) applyOrders(records []platform.Record) {
	for _, r := range records {
		o, ok, err := platform.ParseRollout(r)
		switch {
		case !ok:
		case err != nil:
			f.Logs.Emit(event.CanaryOrderInvalid, zap.Error(err))
		default:
			f.Logs.Emit(event.CanaryOrdered, zap.String("pool", string(o.Pool)), zap.String("to", string(o.To)), zap.Duration("within", o.Duration))
			f.canary.SetOrder(o, 0, clock.Now())
		}
	}
}

// decides reports whether this node decides on roll-outs: the holder of the duties, or without duties the first
// node by rank. Should there be two, the store accepts the states of one.
func (f *Front) decides() bool {
	if f.Settings.Cloud.Address == "" {
		return f.peers.DutyRank() == 0
	}
	return f.holdsDuties.Load()
}

// step decides on the orders, or reads the states that this node should know and does not.
func (d *decider) step(ctx context.Context) {
	f, now := d.front, clock.Now()
	pools, unknown := f.canary.Unfinished()
	if !unknown {
		d.unknownSince = 0
	} else if d.unknownSince == 0 {
		d.unknownSince = now
	}
	if !f.decides() {
		d.loaded = false
		clear(d.statuses)
		if unknown && now.Sub(d.unknownSince) > stateWait {
			d.unknownSince = now
			d.report(d.load(ctx))
			d.loaded = false
		}
		return
	}
	if len(pools) == 0 && len(f.canary.States()) == 0 {
		return
	}
	if !d.loaded {
		if err := d.load(ctx); err != nil {
			d.report(err)
			return
		}
	}
	nodes := f.peers.Count()
	for _, name := range pools {
		in := f.canary.Situation(name, f.directory.Endpoints(name), nodes.Total-nodes.Silent-1, clock.Now())
		if next, changed := canary.Decide(in); changed {
			d.report(d.write(ctx, next))
		}
	}
	for _, s := range f.canary.States() {
		d.writeStatus(ctx, s)
	}
}

func (d *decider) report(err error) {
	if err != nil {
		d.front.Logs.Emit(event.CanaryStateNotStored, zap.Error(err))
	}
}

// load reads all states from the store.
func (d *decider) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, canaryCallTimeout)
	defer cancel()
	b, err := d.front.store.Newest(ctx, platform.TopicRollouts)
	if err != nil {
		return err
	}
	d.loaded, d.end = true, b.End
	for _, r := range b.Records {
		var s canary.State
		if err := json.Unmarshal(r.Value, &s); err != nil || string(s.Order.Pool) != r.Key {
			d.front.Logs.Emit(event.StoreEntryInvalid, zap.String("key", r.Key), zap.Error(err))
			continue
		}
		d.front.canary.SetState(s, clock.Now())
	}
	return nil
}

// write appends a state directly after those that were read. Whether an append without an answer took effect
// shows when the log is read again, before the next decision.
func (d *decider) write(ctx context.Context, s canary.State) (err error) {
	defer func() { err = errors.Wrapf(err, "state of the roll-out of %s", s.Order.Pool) }()
	value, err := json.Marshal(s)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, canaryCallTimeout)
	defer cancel()
	if err = d.front.store.AppendAt(callCtx, platform.TopicRollouts, platform.Record{Key: string(s.Order.Pool), Value: value}, d.end); err != nil {
		d.loaded = false
		// The next step reads again if this fails.
		return errors.CombineErrors(err, d.load(ctx))
	}
	d.end++
	d.front.canary.SetState(s, clock.Now())
	return nil
}

// isNewest reports whether the node knows no later state of the pool.
func (d *decider) isNewest(s canary.State) bool {
	return !slices.ContainsFunc(d.front.canary.States(), func(o canary.State) bool { return o.Order.Pool == s.Order.Pool && o.Number > s.Number })
}

// writeStatus writes the status of a state, unless it was written.
func (d *decider) writeStatus(ctx context.Context, s canary.State) {
	r, err := platform.RolloutStatus(s)
	if err == nil && bytes.Equal(d.statuses[s.Order.Pool], r.Value) {
		return
	}
	written := false
	if err == nil {
		written, err = d.appendStatus(ctx, s, r)
	}
	pool := zap.String("pool", string(s.Order.Pool))
	switch {
	case err != nil:
		d.front.Logs.Emit(event.CanaryStatusNotWritten, pool, zap.Error(err))
	case written:
		d.statuses[s.Order.Pool] = r.Value
		d.front.Logs.Emit(event.CanaryStatusWritten, pool, zap.ByteString("status", r.Value))
	}
}

// appendStatus appends the status of a state unless it is there or there is a later state. It is appended directly after
// what was read, so that a node that was frozen, or an append that is executed late, never replaces a later status.
func (d *decider) appendStatus(ctx context.Context, s canary.State, r platform.Record) (written bool, err error) {
	readCtx, cancel := context.WithTimeout(ctx, canaryCallTimeout)
	defer cancel()
	b, err := d.front.store.Newest(readCtx, platform.TopicStatus)
	if err != nil {
		return false, err
	}
	// A status that was written before this read has a state that was written before too.
	if err = d.load(ctx); err != nil || !d.isNewest(s) {
		return false, err
	}
	if slices.ContainsFunc(b.Records, func(w platform.Record) bool { return w.Key == r.Key && bytes.Equal(w.Value, r.Value) }) {
		return true, nil
	}
	writeCtx, cancelWrite := context.WithTimeout(ctx, canaryCallTimeout)
	defer cancelWrite()
	return true, d.front.store.AppendAt(writeCtx, platform.TopicStatus, r, b.End)
}
