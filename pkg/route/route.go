// Package route decides which endpoint serves a request. A decision is a pure
// function of the request, the view, the clock reading and the seed, so that it
// can be replayed.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Candidate is an endpoint as the deciding node sees it.
type Candidate struct {
	Instance fleet.Instance
	// Mine is this node's own work in flight there, which is exact.
	Mine int
	// Slots is how many requests the endpoint runs at a time; 0 if not known.
	Slots int
}

// Query is what a decision is made for.
type Query struct {
	Account fleet.AccountName
	Pool    fleet.PoolName
	// Prefix is the chain of hashes of the prompt's blocks.
	Prefix   []uint64
	Prompt   fleet.Tokens
	Max      fleet.Tokens
	Deadline time.Time
	Now      time.Time
	Weights  Weights
	// Failed lists endpoints that the request has tried in vain.
	Failed []fleet.InstanceRef
	Seed   uint64
}

// Weights say what the account or pool pays attention to.
type Weights struct {
	Latency   float64
	Recompute float64
	Price     float64
}

// NoEndpointError reports that no endpoint can take the request.
type NoEndpointError struct{ Pool fleet.PoolName }

// Error implements error.
func (e *NoEndpointError) Error() string {
	return "no endpoint of pool " + string(e.Pool) + " can take work"
}

// Policy picks one of the candidates, which are never empty.
type Policy func(q Query, candidates []Candidate) Candidate

// Pick chooses an endpoint by a policy. Endpoints that the request has tried
// in vain are used only if there is no other.
func Pick(policy Policy, q Query, candidates []Candidate) (Candidate, error) {
	if len(candidates) == 0 {
		return Candidate{}, &NoEndpointError{Pool: q.Pool}
	}
	fresh := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return slices.Contains(q.Failed, c.Instance.Ref())
	})
	if len(fresh) == 0 {
		fresh = candidates
	}
	return policy(q, fresh), nil
}

// TwoChoices picks the one with less of this node's own work of two endpoints
// chosen at random.
func TwoChoices(q Query, candidates []Candidate) Candidate {
	r := rand.New(rand.NewPCG(q.Seed, 0))
	a := candidates[r.IntN(len(candidates))]
	b := candidates[r.IntN(len(candidates))]
	if b.Mine < a.Mine {
		return b
	}
	return a
}
