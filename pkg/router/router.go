// Package router assigns endpoints to requests. It maintains the node's view of the
// endpoints, chooses among them by package route and requests running work to move
// when its instance leaves.
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

// Router assigns endpoints to requests. Roster and Client must be set.
type Router struct {
	Roster *roster.Roster
	Client *http.Client
	// OrderClient, if set, is used for calls of orders. It opens a connection for each
	// call, so that none is lost on a connection that the endpoint has closed.
	OrderClient *http.Client
	// Policy chooses the endpoint; nil means route.Predictor.
	Policy route.Policy
	// Weights returns the weights of an account on a pool; nil means 1 for all.
	Weights func(account fleet.AccountName, pool fleet.PoolName) route.Weights
	// Excluded reports whether an endpoint is excluded, even if there is no other, from all
	// requests except a trial that it is reserved for; nil means none. It is called with
	// mu held and must not call the router.
	Excluded func(ref fleet.InstanceRef) bool
	// OnAvoid, if set, is called when an endpoint is avoided after a refused
	// connection, that is, used only if there is no other. It must not call the router.
	OnAvoid func(i fleet.Instance, until time.Time)
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu            sync.Mutex
	rosterVersion uint64
	sequence      uint64
	pools         map[fleet.PoolName]*pool
	// states holds the state of each incarnation of an instance.
	states      map[fleet.InstanceRef]*endpointState
	prefixIndex prefix.Index
	// prefixHitBuf and routeHitBuf are reused between lookups.
	prefixHitBuf []prefix.Hit
	routeHitBuf  []route.Hit
}

func (r *Router) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

// InFlight returns the number of this node's requests on an incarnation of an
// instance.
func (r *Router) InFlight(ref fleet.InstanceRef) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[ref]; s != nil {
		return len(s.assignments)
	}
	return 0
}

// AssignEngine assigns an engine for one attempt of a generation.
func (r *Router) AssignEngine(_ context.Context, g generation.Request, emitted int, failed []fleet.InstanceRef) (generation.Assignment, error) {
	q := route.Query{
		Account:      g.Account,
		Pool:         g.Pool,
		Deadline:     g.Deadline,
		PromptTokens: promptTokens(g.Prompt) + fleet.Tokens(emitted),
		Failed:       failed,
		Seed:         contentSeed(g, emitted, len(failed)),
	}
	a, err := r.acquire(q, prefix.BlockHashes(g.Prompt), g.MaxTokens)
	if err != nil {
		return generation.Assignment{}, err
	}
	a.emittedTokens = emitted
	return a.engineAssignment(), nil
}

// Call calls a plain service. After a failure it tries another endpoint only if the
// call has not started or is repeatable.
func (r *Router) Call(ctx context.Context, pool fleet.PoolName, call endpoint.ServiceCall, repeatable bool) (resp endpoint.Response, err error) {
	q := route.Query{Account: call.Account, Pool: pool, Seed: rand.Uint64()}
	for range generation.DefaultMaxFailures {
		a, assignErr := r.acquire(q, nil, 0)
		if assignErr != nil {
			return resp, &endpoint.NotStartedError{Cause: assignErr}
		}
		resp, err = endpoint.DialService(a.instance, r.clientFor(call)).CallFunc(ctx, call)
		a.release(err)
		if err == nil || ctx.Err() != nil || (!repeatable && !endpoint.NotStarted(err)) {
			return resp, err
		}
		q.Failed = append(q.Failed, a.instance.Ref())
	}
	return resp, err
}

// clientFor returns the client for a call.
func (r *Router) clientFor(call endpoint.ServiceCall) *http.Client {
	if call.Key != "" && r.OrderClient != nil {
		return r.OrderClient
	}
	return r.Client
}

// Send sends an order to an endpoint. It implements Executor.Send of package order.
func (r *Router) Send(ctx context.Context, o order.Order) (order.Response, error) {
	req := o.Request
	resp, err := r.Call(ctx, req.Pool, endpoint.ServiceCall{
		Method:      req.Method,
		Path:        req.Path,
		ContentType: req.Type,
		Body:        req.Body,
		Account:     req.Ref.Account,
		Key:         req.Ref.Key,
		Fence:       o.Fence,
	}, false)
	return order.Response{Status: resp.Status, Type: resp.ContentType, Body: resp.Body}, err
}

// acquire chooses an endpoint and assigns it.
func (r *Router) acquire(q route.Query, blockHashes []uint64, maxTokens fleet.Tokens) (*assignment, error) {
	q.Weights = route.Weights{Latency: 1, Recompute: 1}
	if r.Weights != nil {
		q.Weights = r.Weights(q.Account, q.Pool)
	}
	q.Now = r.now()
	if r.Excluded != nil {
		q.Allow = func(c *route.Candidate) bool { return !r.Excluded(c.Instance.Ref()) }
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	index, err := r.decide(&q, blockHashes, maxTokens)
	if err != nil {
		return nil, err
	}
	a := r.addAssignment(r.pools[q.Pool].view.Candidates[index].Instance, q)
	a.blockHashes = blockHashes
	a.cachedTokens = q.Cached(index)
	r.prefixIndex.AddPrompt(a.instance.Ref(), blockHashes, q.Now)
	return a, nil
}

// decide completes the query from the view and applies the policy. The caller must
// hold mu.
func (r *Router) decide(q *route.Query, blockHashes []uint64, maxTokens fleet.Tokens) (index int, err error) {
	r.refreshViews()
	r.sequence++
	q.Sequence = r.sequence
	p := r.pools[q.Pool]
	if p == nil {
		return route.None, &route.NoEndpointError{Pool: q.Pool}
	}
	p.refreshIfDue(q.Now)
	q.OutputTokens = min(maxTokens, fleet.Tokens(p.meanOutputTokens))
	q.Hits = r.findHits(p, blockHashes, q.Now)
	policy := r.Policy
	if policy == nil {
		policy = route.Predictor{}.Pick
	}
	return route.Pick(policy, q, &p.view)
}

// promptTokens estimates the number of tokens of a prompt.
func promptTokens(prompt string) fleet.Tokens { return fleet.Tokens(len(prompt)/4 + 1) }

// connectionRefused reports whether err means that the endpoint refused the
// connection. A dial that the caller cancelled says nothing about the endpoint.
func connectionRefused(err error) bool {
	if errors.Is(err, context.Canceled) {
		return false
	}
	var notStarted *endpoint.NotStartedError
	var status *endpoint.StatusError
	return errors.As(err, &notStarted) && !errors.As(err, &status)
}
