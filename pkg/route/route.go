// Package route decides which endpoint serves a request. A decision is a pure
// function of the query and the view, which hold the clock reading and the
// seed, so that it can be replayed.
package route

import (
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Query is what a decision is made for.
type Query struct {
	Account  fleet.AccountName
	Pool     fleet.PoolName
	Deadline time.Time
	Now      time.Time
	Weights  Weights
	// Prompt is the length of what has to be in the cache before the next token:
	// the prompt and what was emitted. Output is how many tokens are expected.
	PromptTokens fleet.Tokens
	OutputTokens fleet.Tokens
	// Hits says which candidates hold how much of the prompt.
	Hits []Hit
	// Failed lists endpoints that the request has tried in vain.
	Failed []fleet.InstanceRef
	// Allow bars candidates for this request; nil allows all.
	Allow func(c *Candidate) bool
	// desperate makes candidates count that failed.
	desperate bool
	// Seed makes the random choices. With the seed of a content, every node
	// considers the same endpoints for it.
	Seed uint64
	// Turn counts the decisions of this node.
	Sequence uint64
}

// Hit is the cached part of the prompt on one candidate.
type Hit struct {
	// Index is the candidate's place in the view.
	Index             int
	Tokens            fleet.Tokens
	UnconfirmedTokens fleet.Tokens
}

// Weights say what the account or pool pays attention to. Its weight of the
// price acts on which instances there are, not on the choice among them.
type Weights struct {
	Latency   float64
	Recompute float64
}

// NoEndpointError reports that no endpoint can take the request.
type NoEndpointError struct{ Pool fleet.PoolName }

// Error implements error.
func (e *NoEndpointError) Error() string {
	return "no endpoint of pool " + string(e.Pool) + " can take work"
}

// Policy returns the index of the chosen candidate, or None.
type Policy func(q *Query, v *View) int

// None is the index that stands for no candidate.
const None = -1

// Pick chooses an endpoint by a policy. Endpoints that the request has tried
// in vain, or that are shunned, are used only if there is no other.
func Pick(policy Policy, q *Query, v *View) (index int, err error) {
	index = policy(q, v)
	if index == None && len(v.Candidates) > 0 {
		again := *q
		again.desperate = true
		index = policy(&again, v)
	}
	if index == None {
		return None, &NoEndpointError{Pool: q.Pool}
	}
	return index, nil
}

// allows reports whether the request may go to a candidate.
func (q *Query) allows(c *Candidate) bool {
	if !q.desperate && (q.Now.Before(c.AvoidUntil) || slices.Contains(q.Failed, c.Instance.Ref())) {
		return false
	}
	return q.Allow == nil || q.Allow(c)
}
