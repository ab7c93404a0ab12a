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
	"github.com/skylarkloom/skylarkloom/pkg/prefix"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// Router leases endpoints to requests. Roster and Client must be set.
type Router struct {
	Roster *roster.Roster
	Client *http.Client
	// Orders is used for orders, if set: a client that opens a connection for
	// each, so that none is lost on a connection that its endpoint has closed.
	OrderClient *http.Client
	// Policy decides; nil takes route.Predictor.
	Policy route.Policy
	// Weights returns what an account pays attention to on a pool; nil weighs
	// all the same.
	Weights func(account fleet.AccountName, pool fleet.PoolName) route.Weights
	// Avoid reports whether an endpoint takes no ordinary work; nil means none. It
	// is called with the router's lock held and must not call the router.
	Avoid func(ref fleet.InstanceRef) bool
	// Shunned is told of an endpoint that is avoided after a refused connection.
	// It must not call the router. Nil tells nobody.
	OnAvoid func(i fleet.Instance, until time.Time)
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	version  uint64
	turn     uint64
	pools    map[fleet.PoolName]*pool
	states   map[fleet.InstanceRef]*endpointState
	prefixes prefix.Index
	found    []prefix.Hit
	hit      []route.Hit
}

func (r *Router) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

// InFlight returns this node's work on one life of an instance.
func (r *Router) InFlight(ref fleet.InstanceRef) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[ref]; s != nil {
		return len(s.work)
	}
	return 0
}

// Generation leases an engine for one attempt of a generation.
func (r *Router) LeaseEngine(_ context.Context, g generation.Request, emitted int, failed []fleet.InstanceRef) (generation.Lease, error) {
	q := route.Query{
		Account:      g.Account,
		Pool:         g.Pool,
		Deadline:     g.Deadline,
		PromptTokens: promptTokens(g.Prompt) + fleet.Tokens(emitted),
		Failed:       failed,
		Seed:         contentSeed(g, emitted, len(failed)),
	}
	l, err := r.lease(q, prefix.BlockHashes(g.Prompt), g.MaxTokens)
	if err != nil {
		return generation.Lease{}, err
	}
	l.emitted = emitted
	return l.generation(), nil
}

// Call makes a call of a plain service. It goes on to another endpoint only
// while none has begun the call, or if the call may be repeated.
func (r *Router) Call(ctx context.Context, pool fleet.PoolName, call endpoint.Call, repeatable bool) (a endpoint.Response, err error) {
	q := route.Query{Account: call.Account, Pool: pool, Seed: rand.Uint64()}
	for range generation.DefaultMaxFailures {
		l, pickErr := r.lease(q, nil, 0)
		if pickErr != nil {
			return a, &endpoint.NotStartedError{Cause: pickErr}
		}
		a, err = endpoint.DialService(l.instance, r.client(call)).CallFunc(ctx, call)
		l.release(err)
		if err == nil || ctx.Err() != nil || (!repeatable && !endpoint.NotStarted(err)) {
			return a, err
		}
		q.Failed = append(q.Failed, l.instance.Ref())
	}
	return a, err
}

func (r *Router) client(call endpoint.Call) *http.Client {
	if call.Key != "" && r.OrderClient != nil {
		return r.OrderClient
	}
	return r.Client
}

// Send gives an order to an endpoint; it is the desk's Send.
func (r *Router) Send(ctx context.Context, o order.Order) (order.Reply, error) {
	q := o.Request
	a, err := r.Call(ctx, q.Pool, endpoint.Call{
		Method:      q.Method,
		Path:        q.Path,
		ContentType: q.Type,
		Body:        q.Body,
		Account:     q.Ref.Account,
		Key:         q.Ref.Key,
		Fence:       o.Fence,
	}, false)
	return order.Reply{Status: a.Status, Type: a.ContentType, Body: a.Body}, err
}

// lease decides and counts the work in.
func (r *Router) lease(q route.Query, chain []uint64, most fleet.Tokens) (*lease, error) {
	q.Weights = route.Weights{Latency: 1, Recompute: 1}
	if r.Weights != nil {
		q.Weights = r.Weights(q.Account, q.Pool)
	}
	q.Now = r.now()
	if r.Avoid != nil {
		q.Allow = func(c *route.Candidate) bool { return !r.Avoid(c.Instance.Ref()) }
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	index, err := r.decide(&q, chain, most)
	if err != nil {
		return nil, err
	}
	l := r.use(r.pools[q.Pool].view.Candidates[index].Instance, q)
	l.chain = chain
	l.cached = q.Cached(index)
	r.prefixes.AddPrompt(l.instance.Ref(), chain, q.Now)
	return l, nil
}

// decide completes the query from the view and picks. The lock is held.
func (r *Router) decide(q *route.Query, chain []uint64, most fleet.Tokens) (index int, err error) {
	r.refresh()
	r.turn++
	q.Sequence = r.turn
	p := r.pools[q.Pool]
	if p == nil {
		return route.None, &route.NoEndpointError{Pool: q.Pool}
	}
	p.settle(q.Now)
	q.OutputTokens = min(most, fleet.Tokens(p.output))
	q.Hits = r.hits(p, chain, q.Now)
	policy := r.Policy
	if policy == nil {
		policy = route.Predictor{}.Pick
	}
	return route.Pick(policy, q, &p.view)
}

// promptTokens estimates how many tokens a prompt has.
func promptTokens(prompt string) fleet.Tokens { return fleet.Tokens(len(prompt)/4 + 1) }

// refused reports whether an error is that of a refused connection. One that
// the caller's going away cut short tells nothing of the endpoint.
func refused(err error) bool {
	if errors.Is(err, context.Canceled) {
		return false
	}
	var notStarted *endpoint.NotStartedError
	var status *endpoint.StatusError
	return errors.As(err, &notStarted) && !errors.As(err, &status)
}
