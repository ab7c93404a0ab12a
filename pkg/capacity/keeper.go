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

// LeaseCapacity is the duty to start and retire instances.
const LeaseCapacity record.LeaseName = "capacity"

// Times and bounds of the keeper.
const (
	// DefaultEvery is how often the pools are looked at.
	DefaultInterval = 2 * time.Second
	// leaseWindow is how long the lease holds without renewal.
	leaseWindow = 30 * time.Second
	// resolveAfter is how long an intent without an instance stays open.
	resolveAfter = 90 * time.Second
	// drainMost is how long a retired instance may finish its work.
	drainMost = 15 * time.Minute
	// outageStarts bounds the starts of one node in one outage of the log.
	outageStarts = 4
	// callTimeout bounds one call of the cloud.
	callTimeout = 10 * time.Second
)

// Action is what the keeper did.
type Action string

// The actions of the keeper.
const (
	ActionStarted     Action = "started"
	ActionRefused     Action = "refused"
	ActionUnconfirmed Action = "unsure"
	ActionLost        Action = "lost"
	ActionRetiring    Action = "retiring"
	ActionStopped     Action = "stopped"
)

// Keeper keeps each pool at the instances that Decide asks for. One node does
// so at a time, under a lease of the log; every start is announced as an intent
// first, so that a lost answer is resolved from the instance list by its tag
// before another start. While the log takes no records, the node that Stands
// chooses goes on, with few starts: a doubled start costs money, not more.
type Controller struct {
	Leases *lease.Registry
	Cloud  *platform.Cloud
	// Pools returns the pools of the configuration in force.
	Pools func() []fleet.Pool
	// Instances returns the instances of all pools that are not gone.
	Instances func() []fleet.Instance
	// Demand returns what is asked of a pool.
	Demand func(pool fleet.PoolName) Demand
	// Candidate reports whether this node should hold the lease.
	Candidate func() bool
	// Stands reports whether this node acts while the log takes no records.
	ActsInOutage func() bool
	// Retire tells all nodes that an instance takes no new work; Retired
	// returns the instances so told, Idle whether one has finished its work.
	Retire  func(i fleet.Instance)
	Retired func() []fleet.Instance
	Idle    func(i fleet.Instance) bool
	// Did is told of every action.
	OnAction func(a Action, pool fleet.PoolName, place Location, err error)
	// Every overrides DefaultEvery.
	Interval time.Duration

	once     sync.Once
	done     chan struct{}
	refusals map[Location]Refusal
	surplus  map[fleet.PoolName]time.Time
	retired  map[fleet.InstanceRef]time.Time
	// outage counts the starts since the log stopped taking records, local
	// holds their tags until the list shows them.
	outage int
	local  map[string]lease.Intent
}

func (k *Controller) init() {
	k.once.Do(func() {
		k.done = make(chan struct{})
		k.refusals = make(map[Location]Refusal)
		k.surplus = make(map[fleet.PoolName]time.Time)
		k.retired = make(map[fleet.InstanceRef]time.Time)
		k.local = make(map[string]lease.Intent)
	})
}

// Done is closed when Run has returned.
func (k *Controller) Done() <-chan struct{} {
	k.init()
	return k.done
}

// Run keeps the pools until the context ends.
func (k *Controller) Run(ctx context.Context) error {
	k.init()
	defer close(k.done)
	interval.Run(ctx, cmp.Or(k.Interval, DefaultInterval), k.Step)
	return nil
}

// Step looks at every pool once, if the duty is this node's.
func (k *Controller) Step(ctx context.Context) {
	k.init()
	held, sure := k.hold(ctx)
	if !sure {
		return
	}
	k.resolve(ctx, held)
	for _, p := range k.Pools() {
		k.keep(ctx, held, p)
	}
	k.finish(ctx)
}

// hold claims the lease. It reports whether this node may act; the lease is
// empty while the log takes no records.
func (k *Controller) hold(ctx context.Context) (l lease.Lease, act bool) {
	if !k.Candidate() {
		return l, false
	}
	claimCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, mine, err := k.Leases.Claim(claimCtx, LeaseCapacity, leaseWindow)
	if err == nil {
		k.outage = 0
		return l, mine
	}
	var down *journal.UnavailableError
	if errors.As(err, &down) && down.Reason == journal.ReasonOutage {
		return lease.Lease{}, k.ActsInOutage()
	}
	return l, false
}

// resolve closes the intents whose instance the list shows, and those that had
// no instance for so long that none will come.
func (k *Controller) resolve(ctx context.Context, held lease.Lease) {
	tags := make(map[string]fleet.InstanceID)
	for _, i := range k.Instances() {
		tags[i.Tag] = i.ID
	}
	for tag, i := range k.local {
		if _, listed := tags[tag]; listed || time.Since(i.Since) > resolveAfter {
			delete(k.local, tag)
		}
	}
	if held.Fence == 0 {
		return
	}
	for _, i := range k.Leases.Intents() {
		id, listed := tags[i.Tag]
		if listed {
			k.close(ctx, i.Tag, record.StartRunning, id)
			continue
		}
		if time.Since(i.Since) > resolveAfter {
			k.close(ctx, i.Tag, record.StartLost, "")
			k.did(ActionLost, i.Pool, placeOf(i.Intent), nil)
		}
	}
}

func (k *Controller) close(ctx context.Context, tag string, result record.StartResult, id fleet.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// An intent that could not be closed is closed at the next step.
	_ = k.Leases.Write(ctx, record.KindClosed, record.Closed{Tag: tag, Result: result, Instance: id})
}

// keep starts and retires what one pool needs.
func (k *Controller) keep(ctx context.Context, held lease.Lease, p fleet.Pool) {
	if len(p.Offers) == 0 {
		return
	}
	now := time.Now()
	d := Decide(PoolState{
		Pool:         p,
		Now:          now,
		Seed:         uint64(now.UnixNano()),
		Instances:    k.of(p.Name),
		Starting:     k.starting(p.Name),
		Demand:       k.Demand(p.Name),
		Refusals:     k.refusals,
		SurplusSince: k.surplus[p.Name],
	})
	k.noteSurplus(p.Name, d.Surplus, now)
	for _, o := range d.Start {
		k.start(ctx, held, p.Name, o)
	}
	for _, i := range d.Retire {
		k.Retire(i)
		k.did(ActionRetiring, p.Name, placeAt(i), nil)
	}
}

func (k *Controller) noteSurplus(pool fleet.PoolName, surplus bool, now time.Time) {
	if !surplus {
		delete(k.surplus, pool)
		return
	}
	if k.surplus[pool].IsZero() {
		k.surplus[pool] = now
	}
}

func (k *Controller) of(pool fleet.PoolName) (list []fleet.Instance) {
	for _, i := range k.Instances() {
		if i.Pool == pool {
			list = append(list, i)
		}
	}
	return list
}

func (k *Controller) starting(pool fleet.PoolName) map[Location]int {
	count := make(map[Location]int)
	for _, i := range k.Leases.Intents() {
		if i.Pool == pool {
			count[placeOf(i.Intent)]++
		}
	}
	for _, i := range k.local {
		if i.Pool == pool {
			count[placeOf(i.Intent)]++
		}
	}
	return count
}

func placeOf(i record.Intent) Location {
	return Location{Zone: i.Zone, Class: i.Class, Market: i.Market}
}

// start announces and starts one instance.
func (k *Controller) start(ctx context.Context, held lease.Lease, pool fleet.PoolName, o fleet.Offer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	i := record.Intent{
		Lease:  LeaseCapacity,
		Fence:  held.Fence,
		Tag:    ulid.Make().String(),
		Pool:   pool,
		Zone:   o.Zone,
		Class:  o.Class,
		Market: o.Market,
		Hourly: o.Hourly,
	}
	if !k.announce(ctx, held, i) {
		return
	}
	_, err := k.Cloud.Start(ctx, platform.StartRequest{
		Tag:    i.Tag,
		Pool:   pool,
		Zone:   o.Zone,
		Class:  o.Class,
		Market: o.Market,
		Hourly: o.Hourly,
		Fence:  held.Fence,
	})
	k.started(ctx, i, err)
}

// announce records an intent and reports whether the start may go on.
func (k *Controller) announce(ctx context.Context, held lease.Lease, i record.Intent) bool {
	if held.Fence == 0 {
		if k.outage >= outageStarts {
			return false
		}
		k.outage++
		k.local[i.Tag] = lease.Intent{Intent: i, Since: time.Now()}
		return true
	}
	if err := k.Leases.Write(ctx, record.KindIntent, i); err != nil {
		return false
	}
	l, mine := k.Leases.Owned(LeaseCapacity)
	return mine && l.Fence == held.Fence && k.Leases.Open(i.Tag)
}

// started notes how a start went. An intent whose answer was lost, or whose
// instance the list does not show yet, stays open.
func (k *Controller) started(ctx context.Context, i record.Intent, err error) {
	place := placeOf(i)
	switch {
	case err == nil:
		delete(k.refusals, place)
		k.did(ActionStarted, i.Pool, place, nil)
	case platform.MayHaveExecuted(err):
		k.did(ActionUnconfirmed, i.Pool, place, err)
	default:
		k.refusals[place] = k.refusals[place].Next(time.Now(), uint64(time.Now().UnixNano()))
		delete(k.local, i.Tag)
		if i.Fence != 0 {
			k.close(ctx, i.Tag, record.StartRefused, "")
		}
		k.did(ActionRefused, i.Pool, place, err)
	}
}

// finish stops the retired instances that have finished their work.
func (k *Controller) finish(ctx context.Context) {
	for _, i := range k.Retired() {
		since, known := k.retired[i.Ref()]
		if !known {
			k.retired[i.Ref()] = time.Now()
			continue
		}
		if !k.Idle(i) && time.Since(since) < drainMost {
			continue
		}
		stopCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := k.Cloud.Stop(stopCtx, i.ID)
		cancel()
		if err == nil {
			delete(k.retired, i.Ref())
		}
		k.did(ActionStopped, i.Pool, placeAt(i), err)
	}
}

func (k *Controller) did(a Action, pool fleet.PoolName, place Location, err error) {
	if k.OnAction != nil {
		k.OnAction(a, pool, place, err)
	}
}
