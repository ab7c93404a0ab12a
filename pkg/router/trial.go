package router

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/prefix"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// LeastLoaded returns the live endpoints of a pool that Excluded allows, in
// order of this node's requests in flight, least first.
func (r *Router) LeastLoaded(pool fleet.PoolName) []fleet.Instance {
	live := slices.DeleteFunc(slices.Clone(r.Roster.LiveInPool(pool)), func(i fleet.Instance) bool { return r.isExcluded(i.Ref()) })
	slices.SortStableFunc(live, func(a, b fleet.Instance) int {
		return cmp.Compare(r.InFlight(a.Ref()), r.InFlight(b.Ref()))
	})
	return live
}

// AssignInstance assigns the given engine for one attempt of a generation, even if it is
// excluded.
func (r *Router) AssignInstance(_ context.Context, g generation.Request, i fleet.Instance) (generation.Assignment, error) {
	q := route.Query{Deadline: g.Deadline, PromptTokens: promptTokens(g.Prompt), OutputTokens: g.MaxTokens, Now: r.now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshViews()
	a := r.addAssignment(i, q)
	a.blockHashes = prefix.BlockHashes(g.Prompt)
	return a.engineAssignment(), nil
}

// isExcluded reports whether Excluded is set and excludes an endpoint.
func (r *Router) isExcluded(ref fleet.InstanceRef) bool {
	return r.Excluded != nil && r.Excluded(ref)
}

// contentSeed returns a seed derived from the content, so that every node considers
// the same endpoints for it and copies of a content reach few of them.
func contentSeed(g generation.Request, emitted, failed int) uint64 {
	return xxhash.Sum64String(g.Prompt) + uint64(emitted) + uint64(failed)
}
