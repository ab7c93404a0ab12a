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

// LeaseRollout is the name of the lease under which rollouts are executed.
const LeaseRollout record.LeaseName = "rollout"

// Times of Controller.
const (
	// DefaultInterval is the default interval between two checks of the pools.
	DefaultInterval = 2 * time.Second
	// leaseWindow is how long the lease is in force without renewal.
	leaseWindow = 30 * time.Second
	// holdWindow is the maximum time that an engine stays on hold.
	holdWindow = 30 * time.Minute
	// callTimeout bounds a claim of the lease and the execution of a step.
	callTimeout = 10 * time.Second
)

// Controller updates the engines of the pools to the configured model and version. Only
// one node does so at a time, under a lease in the log. While the log is unavailable,
// nothing is changed.
type Controller struct {
	Leases *lease.Registry
	// Pools returns the pools of the active configuration.
	Pools func() []fleet.Pool
	// Endpoints returns the live engines of a pool. OnHold and LastCommand are unset.
	Endpoints func(pool fleet.PoolName) []Endpoint
	// Command sends a command to an engine.
	Command func(ctx context.Context, i fleet.Instance, c engine.Command) error
	// Candidate reports whether this node should hold the lease.
	Candidate func() bool
	// OnStep is called after every step.
	OnStep func(s Step, pool fleet.PoolName, err error)
	// Interval overrides DefaultInterval.
	Interval time.Duration

	once               sync.Once
	done               chan struct{}
	lastEngineCommands map[fleet.InstanceRef]time.Time
	lastPoolCommands   map[fleet.PoolName]time.Time
}

func (c *Controller) init() {
	c.once.Do(func() {
		c.done = make(chan struct{})
		c.lastEngineCommands = make(map[fleet.InstanceRef]time.Time)
		c.lastPoolCommands = make(map[fleet.PoolName]time.Time)
	})
}

// Done returns a channel that is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} {
	c.init()
	return c.done
}

// Run reconciles the pools at every interval until the context is done.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	defer close(c.done)
	interval.Run(ctx, cmp.Or(c.Interval, DefaultInterval), c.Reconcile)
	return nil
}

// Reconcile checks every pool once and executes the necessary steps. The lease is
// claimed only if there are steps, so that an idle fleet appends nothing to the log.
func (c *Controller) Reconcile(ctx context.Context) {
	c.init()
	if !c.Candidate() {
		return
	}
	for _, p := range c.Pools() {
		steps := Decide(c.poolState(p))
		if len(steps) == 0 {
			continue
		}
		claimCtx, cancel := context.WithTimeout(ctx, callTimeout)
		l, owned, err := c.Leases.Claim(claimCtx, LeaseRollout, leaseWindow)
		cancel()
		if err != nil || !owned {
			return
		}
		for _, s := range steps {
			c.execute(ctx, l, p, s)
		}
	}
}

// poolState returns the current state of a pool for Decide.
func (c *Controller) poolState(p fleet.Pool) PoolState {
	state := PoolState{Pool: p, Now: time.Now(), LastCommand: c.lastPoolCommands[p.Name]}
	for _, e := range c.Endpoints(p.Name) {
		e.OnHold = c.Leases.OnHold(e.Instance.Ref())
		e.LastCommand = c.lastEngineCommands[e.Instance.Ref()]
		state.Endpoints = append(state.Endpoints, e)
	}
	return state
}

// execute executes one step under the lease.
func (c *Controller) execute(ctx context.Context, l lease.Lease, p fleet.Pool, s Step) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch s.Action {
	case ActionHold:
		err = c.hold(ctx, l, s.Instance, holdWindow)
	case ActionRelease:
		err = c.hold(ctx, l, s.Instance, 0)
	case ActionCommand:
		c.lastPoolCommands[p.Name], c.lastEngineCommands[s.Instance.Ref()] = time.Now(), time.Now()
		err = c.sendCommands(ctx, l, p, s.Instance)
	}
	if c.OnStep != nil {
		c.OnStep(s, p.Name, err)
	}
}

// hold puts an engine on hold for a window; a window of 0 releases it.
func (c *Controller) hold(ctx context.Context, l lease.Lease, i fleet.Instance, window time.Duration) error {
	return c.Leases.Write(ctx, record.KindHold, record.Hold{Lease: LeaseRollout, Fence: l.Fence, Instance: i.Ref(), Window: window})
}

// sendCommands sends an engine its commands. It stops when the lease is no longer owned.
func (c *Controller) sendCommands(ctx context.Context, l lease.Lease, p fleet.Pool, i fleet.Instance) error {
	for _, cmd := range Commands(p, l.Fence) {
		if _, owned := c.Leases.Owned(LeaseRollout); !owned {
			return nil
		}
		if err := c.Command(ctx, i, cmd); err != nil {
			return err
		}
	}
	return nil
}
