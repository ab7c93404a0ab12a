package capacity

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/lease"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// LeaseCapacity names the lease of the duty to start and retire instances.
const LeaseCapacity record.LeaseName = "capacity"

// Intervals and limits of the controller.
const (
	// DefaultInterval is the default interval between reconciliations of the pools.
	DefaultInterval = 2 * time.Second
	// leaseDuration is how long the lease is valid without renewal.
	leaseDuration = 30 * time.Second
	// intentTimeout is how long an intent without an instance stays open. After that
	// time no instance is expected to be listed for it.
	intentTimeout = 90 * time.Second
	// maxDrainTime is how long a retired instance may take to finish its work.
	maxDrainTime = 15 * time.Minute
	// maxOutageStarts is the maximum number of starts by a node in one outage of the
	// log.
	maxOutageStarts = 4
	// callTimeout bounds a call to the cloud or the log.
	callTimeout = 10 * time.Second
)

// Action is an action of the controller.
type Action string

// The actions of the controller.
const (
	ActionStarted     Action = "started"
	ActionRefused     Action = "refused"
	ActionUnconfirmed Action = "unsure"
	ActionLost        Action = "lost"
	ActionRetiring    Action = "retiring"
	ActionStopped     Action = "stopped"
)

// Controller keeps each pool at the instances that Decide returns. One node does so
// at a time, under a lease in the log. Every start is recorded as an intent first,
// so that a lost response is resolved from the instance list, by the intent's tag,
// before another start. While the log accepts no records, the node for which
// ActsInOutage returns true continues, with few starts: at worst an instance is
// started twice, which only costs money.
type Controller struct {
	Leases *lease.Registry
	Cloud  *platform.Cloud
	// Pools returns the pools of the active configuration.
	Pools func() []fleet.Pool
	// Instances returns the instances of all pools that are not terminated.
	Instances func() []fleet.Instance
	// Demand returns the demand on a pool.
	Demand func(pool fleet.PoolName) Demand
	// Candidate reports whether this node should hold the lease.
	Candidate func() bool
	// ActsInOutage reports whether this node acts while the log accepts no records.
	ActsInOutage func() bool
	// Retire reports to all nodes that an instance accepts no new work. Retired returns
	// the instances so reported, and Idle reports whether one has finished its work.
	Retire  func(i fleet.Instance)
	Retired func() []fleet.Instance
	Idle    func(i fleet.Instance) bool
	// OnAction, if set, is called after every action.
	OnAction func(a Action, pool fleet.PoolName, loc Location, err error)
	// Interval overrides DefaultInterval.
	Interval time.Duration

	once         sync.Once
	done         chan struct{}
	refusals     map[Location]Refusal
	surplusSince map[fleet.PoolName]time.Time
	retiredAt    map[fleet.InstanceRef]time.Time
	// outageStarts is the number of starts since the log stopped accepting records;
	// outageIntents holds their intents by tag until the instance list shows them.
	outageStarts  int
	outageIntents map[string]lease.Intent
}

func (c *Controller) init() {
	c.once.Do(func() {
		c.done = make(chan struct{})
		c.refusals = make(map[Location]Refusal)
		c.surplusSince = make(map[fleet.PoolName]time.Time)
		c.retiredAt = make(map[fleet.InstanceRef]time.Time)
		c.outageIntents = make(map[string]lease.Intent)
	})
}

// Done returns a channel that is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} {
	c.init()
	return c.done
}

// Run reconciles the pools until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	defer close(c.done)
	interval.Run(ctx, cmp.Or(c.Interval, DefaultInterval), c.Step)
	return nil
}

// Step reconciles every pool once, if this node may act.
func (c *Controller) Step(ctx context.Context) {
	c.init()
	held, act := c.claim(ctx)
	if !act {
		return
	}
	c.resolveIntents(ctx, held)
	for _, p := range c.Pools() {
		c.reconcilePool(ctx, held, p)
	}
	c.stopDrained(ctx)
}

// claim acquires or renews the lease and reports whether this node may act. The
// lease is empty while the log accepts no records.
func (c *Controller) claim(ctx context.Context) (l lease.Lease, act bool) {
	if !c.Candidate() {
		return l, false
	}
	claimCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, holds, err := c.Leases.Claim(claimCtx, LeaseCapacity, leaseDuration)
	if err == nil {
		c.outageStarts = 0
		return l, holds
	}
	var unavailable *journal.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Reason == journal.ReasonOutage {
		return lease.Lease{}, c.ActsInOutage()
	}
	return l, false
}

// resolveIntents closes the intents whose instance is listed, and those that have
// had none for intentTimeout.
func (c *Controller) resolveIntents(ctx context.Context, held lease.Lease) {
	tags := make(map[string]fleet.InstanceID)
	for _, i := range c.Instances() {
		tags[i.Tag] = i.ID
	}
	for tag, i := range c.outageIntents {
		if _, listed := tags[tag]; listed || time.Since(i.Since) > intentTimeout {
			delete(c.outageIntents, tag)
		}
	}
	if held.Fence == 0 {
		return
	}
	for _, i := range c.Leases.Intents() {
		id, listed := tags[i.Tag]
		if listed {
			c.closeIntent(ctx, i.Tag, record.StartRunning, id)
			continue
		}
		if time.Since(i.Since) > intentTimeout {
			c.closeIntent(ctx, i.Tag, record.StartLost, "")
			c.reportAction(ActionLost, i.Pool, intentLocation(i.Intent), nil)
		}
	}
}

// closeIntent records the result of a start.
func (c *Controller) closeIntent(ctx context.Context, tag string, result record.StartResult, id fleet.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// An intent that could not be closed is closed in the next step.
	_ = c.Leases.Write(ctx, record.KindClosed, record.Closed{Tag: tag, Result: result, Instance: id})
}

// reconcilePool starts and retires the instances that Decide returns for a pool.
func (c *Controller) reconcilePool(ctx context.Context, held lease.Lease, p fleet.Pool) {
	if len(p.Offers) == 0 {
		return
	}
	now := time.Now()
	d := Decide(PoolState{
		Pool:         p,
		Now:          now,
		Seed:         uint64(now.UnixNano()),
		Instances:    c.instancesOf(p.Name),
		Starting:     c.countStarting(p.Name),
		Demand:       c.Demand(p.Name),
		Refusals:     c.refusals,
		SurplusSince: c.surplusSince[p.Name],
	})
	c.recordSurplus(p.Name, d.Surplus, now)
	for _, o := range d.Start {
		c.startInstance(ctx, held, p.Name, o)
	}
	for _, i := range d.Retire {
		c.Retire(i)
		c.reportAction(ActionRetiring, p.Name, instanceLocation(i), nil)
	}
}

// recordSurplus records since when a pool has a surplus.
func (c *Controller) recordSurplus(pool fleet.PoolName, surplus bool, now time.Time) {
	if !surplus {
		delete(c.surplusSince, pool)
		return
	}
	if c.surplusSince[pool].IsZero() {
		c.surplusSince[pool] = now
	}
}

// instancesOf returns the instances of a pool.
func (c *Controller) instancesOf(pool fleet.PoolName) (list []fleet.Instance) {
	for _, i := range c.Instances() {
		if i.Pool == pool {
			list = append(list, i)
		}
	}
	return list
}

// countStarting counts the open intents of a pool by location.
func (c *Controller) countStarting(pool fleet.PoolName) map[Location]int {
	count := make(map[Location]int)
	for _, i := range c.Leases.Intents() {
		if i.Pool == pool {
			count[intentLocation(i.Intent)]++
		}
	}
	for _, i := range c.outageIntents {
		if i.Pool == pool {
			count[intentLocation(i.Intent)]++
		}
	}
	return count
}

// intentLocation returns the location of an intent.
func intentLocation(i record.Intent) Location {
	return Location{Zone: i.Zone, Class: i.Class, Market: i.Market}
}

// startInstance records an intent and starts an instance.
func (c *Controller) startInstance(ctx context.Context, held lease.Lease, pool fleet.PoolName, o fleet.Offer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	i := record.Intent{
		Lease:       LeaseCapacity,
		Fence:       held.Fence,
		Tag:         ulid.Make().String(),
		Pool:        pool,
		Zone:        o.Zone,
		Class:       o.Class,
		Market:      o.Market,
		HourlyPrice: o.HourlyPrice,
	}
	if !c.recordIntent(ctx, held, i) {
		return
	}
	_, err := c.Cloud.Start(ctx, platform.StartRequest{
		Tag:         i.Tag,
		Pool:        pool,
		Zone:        o.Zone,
		Class:       o.Class,
		Market:      o.Market,
		HourlyPrice: o.HourlyPrice,
		Fence:       held.Fence,
	})
	c.recordStartResult(ctx, i, err)
}

// recordIntent records an intent and reports whether the start may proceed.
func (c *Controller) recordIntent(ctx context.Context, held lease.Lease, i record.Intent) bool {
	if held.Fence == 0 {
		if c.outageStarts >= maxOutageStarts {
			return false
		}
		c.outageStarts++
		c.outageIntents[i.Tag] = lease.Intent{Intent: i, Since: time.Now()}
		return true
	}
	if err := c.Leases.Write(ctx, record.KindIntent, i); err != nil {
		return false
	}
	l, holds := c.Leases.Owned(LeaseCapacity)
	return holds && l.Fence == held.Fence && c.Leases.IntentOpen(i.Tag)
}

// recordStartResult handles the result of a start. It closes the intent only if the
// start was certainly refused; otherwise resolveIntents closes it once the instance
// is listed or intentTimeout has passed.
func (c *Controller) recordStartResult(ctx context.Context, i record.Intent, err error) {
	loc := intentLocation(i)
	switch {
	case err == nil:
		delete(c.refusals, loc)
		c.reportAction(ActionStarted, i.Pool, loc, nil)
	case platform.MayHaveExecuted(err):
		c.reportAction(ActionUnconfirmed, i.Pool, loc, err)
	default:
		c.refusals[loc] = c.refusals[loc].Next(time.Now(), uint64(time.Now().UnixNano()))
		delete(c.outageIntents, i.Tag)
		if i.Fence != 0 {
			c.closeIntent(ctx, i.Tag, record.StartRefused, "")
		}
		c.reportAction(ActionRefused, i.Pool, loc, err)
	}
}

// stopDrained stops the retired instances that have finished their work, or whose
// maxDrainTime has passed.
func (c *Controller) stopDrained(ctx context.Context) {
	for _, i := range c.Retired() {
		since, known := c.retiredAt[i.Ref()]
		if !known {
			c.retiredAt[i.Ref()] = time.Now()
			continue
		}
		if !c.Idle(i) && time.Since(since) < maxDrainTime {
			continue
		}
		stopCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.Cloud.Stop(stopCtx, i.ID)
		cancel()
		if err == nil {
			delete(c.retiredAt, i.Ref())
		}
		c.reportAction(ActionStopped, i.Pool, instanceLocation(i), err)
	}
}

// reportAction calls OnAction.
func (c *Controller) reportAction(a Action, pool fleet.PoolName, loc Location, err error) {
	if c.OnAction != nil {
		c.OnAction(a, pool, loc, err)
	}
}
