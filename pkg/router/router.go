// Package router is a node's use of the endpoints: it keeps the node's view of
// them, asks package route for decisions, and tells running work to move when
// its instance leaves.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/order"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// Router leases endpoints to requests. Roster and Client must be set.
type Router struct {
	Roster *roster.Roster
	Client *http.Client
	// Orders is used for orders, if set: a client that opens a connection for
	// each, so that none is lost on a connection that its endpoint has closed.
	Orders *http.Client
	// Policy decides; nil takes route.TwoChoices.
	Policy route.Policy
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu   sync.Mutex
	used map[fleet.InstanceRef]*usage
}

// usage is this node's work on one life of an instance.
type usage struct {
	running int
	stay    context.Context
	leave   context.CancelFunc
}

// Marked tells the work on an instance to move. It is the roster's Marked.
func (r *Router) Marked(m roster.Mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.used[m.Instance]; u != nil {
		u.leave()
	}
}

// InFlight returns this node's work on one life of an instance.
func (r *Router) InFlight(ref fleet.InstanceRef) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.used[ref]; u != nil {
		return u.running
	}
	return 0
}

// Generation leases an engine for one attempt of a generation.
func (r *Router) Generation(_ context.Context, g generation.Request, _ int, failed []fleet.InstanceRef) (generation.Lease, error) {
	q := route.Query{Account: g.Account, Pool: g.Pool, Max: g.Max, Deadline: g.Deadline, Failed: failed}
	c, err := r.pick(q)
	if err != nil {
		return generation.Lease{}, err
	}
	stay, release := r.use(c.Instance.Ref())
	return generation.Lease{
		Engine:  endpoint.DialEngine(c.Instance, r.Client),
		Stay:    stay,
		Release: func(err error) { release(); r.note(c.Instance, err) },
	}, nil
}

// Call makes a call of a plain service. It goes on to another endpoint only
// while none has begun the call, or if the call may be repeated.
func (r *Router) Call(ctx context.Context, pool fleet.PoolName, call endpoint.Call, repeatable bool) (a endpoint.Answer, err error) {
	q := route.Query{Account: call.Account, Pool: pool}
	for range generation.DefaultAttempts {
		c, pickErr := r.pick(q)
		if pickErr != nil {
			return a, &endpoint.NotStartedError{Cause: pickErr}
		}
		_, release := r.use(c.Instance.Ref())
		a, err = endpoint.DialService(c.Instance, r.client(call)).CallFunc(ctx, call)
		release()
		r.note(c.Instance, err)
		if err == nil || ctx.Err() != nil || (!repeatable && !endpoint.NotStarted(err)) {
			return a, err
		}
		q.Failed = append(q.Failed, c.Instance.Ref())
	}
	return a, err
}

func (r *Router) client(call endpoint.Call) *http.Client {
	if call.Key != "" && r.Orders != nil {
		return r.Orders
	}
	return r.Client
}

// Send gives an order to an endpoint; it is the desk's Send.
func (r *Router) Send(ctx context.Context, o order.Order) (order.Reply, error) {
	q := o.Request
	a, err := r.Call(ctx, q.Pool, endpoint.Call{
		Method:  q.Method,
		Path:    q.Path,
		Type:    q.Type,
		Body:    q.Body,
		Account: q.Ref.Account,
		Key:     q.Ref.Key,
		Fence:   o.Fence,
	}, false)
	return order.Reply{Status: a.Status, Type: a.Type, Body: a.Body}, err
}

func (r *Router) pick(q route.Query) (route.Candidate, error) {
	if q.Now = time.Now(); r.Now != nil {
		q.Now = r.Now()
	}
	q.Seed = rand.Uint64()
	live := r.Roster.Pool(q.Pool)
	candidates := make([]route.Candidate, len(live))
	for i, instance := range live {
		candidates[i] = route.Candidate{Instance: instance, Mine: r.InFlight(instance.Ref())}
	}
	policy := r.Policy
	if policy == nil {
		policy = route.TwoChoices
	}
	return route.Pick(policy, q, candidates)
}

// use counts work on an instance until release is called.
func (r *Router) use(ref fleet.InstanceRef) (stay context.Context, release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.used[ref]
	if u == nil {
		u = &usage{}
		u.stay, u.leave = context.WithCancel(context.Background())
		if r.used == nil {
			r.used = make(map[fleet.InstanceRef]*usage)
		}
		r.used[ref] = u
	}
	u.running++
	if r.Roster.Condition(ref).Rank() > 0 {
		u.leave()
	}
	return u.stay, sync.OnceFunc(func() { r.drop(ref, u) })
}

func (r *Router) drop(ref fleet.InstanceRef, u *usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.running--
	if u.running == 0 {
		u.leave()
		delete(r.used, ref)
	}
}

// note records a refused connection as evidence that the instance is gone.
func (r *Router) note(i fleet.Instance, err error) {
	var refused *endpoint.NotStartedError
	var status *endpoint.StatusError
	if errors.As(err, &refused) && !errors.As(err, &status) {
		r.Roster.Mark(roster.Mark{Instance: i.Ref(), Condition: fleet.ConditionGone, Source: roster.SourceFailure})
	}
}
