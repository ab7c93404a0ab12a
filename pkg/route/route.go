// Package route decides which endpoint serves a request. A decision is a pure
// function of the query and the view, including the clock reading and the seed, so
// it can be replayed.
package route

import (
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Query describes the request that a decision is made for.
type Query struct {
	Account  fleet.AccountName
	Pool     fleet.PoolName
	Deadline time.Time
	Now      time.Time
	Weights  Weights
	// PromptTokens is the number of tokens that must be cached before the next token
	// is generated: the prompt and the tokens emitted so far. OutputTokens is the
	// expected number of tokens to generate.
	PromptTokens fleet.Tokens
	OutputTokens fleet.Tokens
	// Hits lists the candidates that have part of the prompt cached.
	Hits []Hit
	// Failed lists the endpoints on which the request has failed.
	Failed []fleet.InstanceRef
	// Allow reports whether the request may use a candidate; nil allows all.
	Allow func(c *Candidate) bool
	// lastResort allows the endpoints in Failed and the candidates that are avoided.
	lastResort bool
	// Seed determines the random choices. With a seed derived from the content, every
	// node considers the same endpoints for it.
	Seed uint64
	// Sequence is the number of this decision on the node; RoundRobin uses it.
	Sequence uint64
}

// Hit is the cached prefix of the prompt on one candidate.
type Hit struct {
	// Index is the position of the candidate in the view.
	Index int
	// Tokens is the length of the confirmed cached prefix. UnconfirmedTokens is the
	// number of further tokens that are cached unless an eviction was missed.
	Tokens            fleet.Tokens
	UnconfirmedTokens fleet.Tokens
}

// Weights are the weights of latency and recomputation for an account and pool.
// There is none for the price: its weight affects which instances are started, not
// the choice among them.
type Weights struct {
	Latency   float64
	Recompute float64
}

// NoEndpointError reports that no endpoint of a pool can take the request.
type NoEndpointError struct{ Pool fleet.PoolName }

// Error implements error.
func (e *NoEndpointError) Error() string {
	return "no endpoint of pool " + string(e.Pool) + " can take the request"
}

// Policy returns the index of the chosen candidate, or None.
type Policy func(q *Query, v *View) int

// None is the index that a Policy returns if it chooses no candidate.
const None = -1

// Pick chooses an endpoint by a policy. It returns an endpoint on which the request
// has failed, or one whose AvoidUntil has not passed, only if there is no other. It
// never returns one that Query.Allow excludes.
func Pick(policy Policy, q *Query, v *View) (index int, err error) {
	index = policy(q, v)
	if index == None && len(v.Candidates) > 0 {
		retry := *q
		retry.lastResort = true
		index = policy(&retry, v)
	}
	if index == None {
		return None, &NoEndpointError{Pool: q.Pool}
	}
	return index, nil
}

// allows reports whether the request may use a candidate.
func (q *Query) allows(c *Candidate) bool {
	if !q.lastResort && (q.Now.Before(c.AvoidUntil) || slices.Contains(q.Failed, c.Instance.Ref())) {
		return false
	}
	return q.Allow == nil || q.Allow(c)
}
