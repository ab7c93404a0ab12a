package rollout

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/lease"
)

// LeaseRollout is the duty to bring engines to their version.
const LeaseRollout record.LeaseName = "rollout"

// Times of the keeper.
const (
	// DefaultEvery is how often the pools are looked at.
	DefaultInterval = 2 * time.Second
	// leaseWindow is how long the lease holds without renewal.
	leaseWindow = 30 * time.Second
	// holdWindow is how long an engine is kept from new work at most.
	holdWindow = 30 * time.Minute
	// callTimeout bounds one call.
	callTimeout = 10 * time.Second
)

// Keeper brings the engines of the pools to their version. One node does so at
// a time, under a lease of the log; without the log nothing is changed.
type Controller struct {
	Leases *lease.Registry
	// Pools returns the pools of the configuration in force.
	Pools func() []fleet.Pool
	// Endpoints returns the live engines of a pool, without Held and Commanded.
	Endpoints func(pool fleet.PoolName) []Endpoint
	// Command gives an engine a command.
	Command func(ctx context.Context, i fleet.Instance, c engine.Command) error
	// Candidate reports whether this node should hold the lease.
	Candidate func() bool
	// Did is told of every step.
	OnStep func(s Step, pool fleet.PoolName, err error)
	// Every overrides DefaultEvery.
	Interval time.Duration

	once      sync.Once
	done      chan struct{}
	commanded map[fleet.InstanceRef]time.Time
	loaded    map[fleet.PoolName]time.Time
}

func (k *Controller) init() {
	k.once.Do(func() {
		k.done = make(chan struct{})
		k.commanded = make(map[fleet.InstanceRef]time.Time)
		k.loaded = make(map[fleet.PoolName]time.Time)
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
	interval.Run(ctx, cmp.Or(k.Interval, DefaultInterval), k.Reconcile)
	return nil
}

// Step looks at every pool once. The lease is claimed only while there is
// something to do, so that an idle fleet appends nothing.
func (k *Controller) Reconcile(ctx context.Context) {
	k.init()
	if !k.Candidate() {
		return
	}
	for _, p := range k.Pools() {
		steps := Decide(k.view(p))
		if len(steps) == 0 {
			continue
		}
		claimCtx, cancel := context.WithTimeout(ctx, callTimeout)
		l, mine, err := k.Leases.Claim(claimCtx, LeaseRollout, leaseWindow)
		cancel()
		if err != nil || !mine {
			return
		}
		for _, s := range steps {
			k.take(ctx, l, p, s)
		}
	}
}

func (k *Controller) view(p fleet.Pool) PoolState {
	v := PoolState{Pool: p, Now: time.Now(), LastLoad: k.loaded[p.Name]}
	for _, e := range k.Endpoints(p.Name) {
		e.OnHold = k.Leases.OnHold(e.Instance.Ref())
		e.LastCommand = k.commanded[e.Instance.Ref()]
		v.Endpoints = append(v.Endpoints, e)
	}
	return v
}

// take carries out one step under the lease.
func (k *Controller) take(ctx context.Context, l lease.Lease, p fleet.Pool, s Step) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch s.Action {
	case ActionHold:
		err = k.hold(ctx, l, s.Instance, holdWindow)
	case ActionRelease:
		err = k.hold(ctx, l, s.Instance, 0)
	case ActionLoad:
		k.loaded[p.Name], k.commanded[s.Instance.Ref()] = time.Now(), time.Now()
		err = k.load(ctx, l, p, s.Instance)
	}
	if k.OnStep != nil {
		k.OnStep(s, p.Name, err)
	}
}

func (k *Controller) hold(ctx context.Context, l lease.Lease, i fleet.Instance, window time.Duration) error {
	return k.Leases.Write(ctx, record.KindHold, record.Hold{Lease: LeaseRollout, Fence: l.Fence, Instance: i.Ref(), Window: window})
}

func (k *Controller) load(ctx context.Context, l lease.Lease, p fleet.Pool, i fleet.Instance) error {
	for _, c := range Commands(p, l.Fence) {
		if _, mine := k.Leases.Owned(LeaseRollout); !mine {
			return nil
		}
		if err := k.Command(ctx, i, c); err != nil {
			return err
		}
	}
	return nil
}
