// Package route decides which endpoint serves a request. A decision is a pure
// function of the request, the view, the clock reading and the seed, so that it
// can be replayed.
package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
// that the seed chooses.
func TwoChoices(q Query, candidates []Candidate) Candidate {
	a, b := pair(q.Seed, candidates)
	if b.Mine < a.Mine {
		return b
	}
	return a
}

// pair returns the two candidates that rank highest for a seed by rendezvous
// hashing; the same one twice if there is no other. Nodes with almost the same
// candidates consider almost always the same two.
func pair(seed uint64, candidates []Candidate) (first, second Candidate) {
	var high, next uint64
	first, second = candidates[0], candidates[0]
	for i, c := range candidates {
		score := rank(seed, c.Instance.ID)
		switch {
		case i == 0 || score > high:
			second, next = first, high
			first, high = c, score
		case score > next || i == 1:
			second, next = c, score
		}
	}
	return first, second
}

// rank is the weight of an instance for a seed.
func rank(seed uint64, id fleet.InstanceID) uint64 {
	h := xxhash.NewWithSeed(seed)
	_, _ = h.WriteString(string(id))
	return h.Sum64()
}
