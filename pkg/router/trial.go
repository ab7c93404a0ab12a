package router

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

// Quiet returns the live endpoints of a pool that no trial has for itself, the
// one with the least of this node's work first.
func (r *Router) Quiet(pool fleet.PoolName) []fleet.Instance {
	live := slices.DeleteFunc(slices.Clone(r.Roster.Pool(pool)), func(i fleet.Instance) bool { return r.avoided(i.Ref()) })
	slices.SortStableFunc(live, func(a, b fleet.Instance) int {
		return cmp.Compare(r.InFlight(a.Ref()), r.InFlight(b.Ref()))
	})
	return live
}

// On leases one named engine for one attempt of a generation.
func (r *Router) On(_ context.Context, _ generation.Request, i fleet.Instance) (generation.Lease, error) {
	return r.lease(i), nil
}

// lease counts an attempt on an engine until it is released.
func (r *Router) lease(i fleet.Instance) generation.Lease {
	stay, release := r.use(i.Ref())
	return generation.Lease{
		Engine:  endpoint.DialEngine(i, r.Client),
		Stay:    stay,
		Release: func(err error) { release(); r.note(i, err) },
	}
}

// avoided reports whether an endpoint takes no ordinary work.
func (r *Router) avoided(ref fleet.InstanceRef) bool {
	return r.Avoid != nil && r.Avoid(ref)
}

// contentSeed makes every node consider the same endpoints for the same
// content, so that copies of one content meet on few of them.
func contentSeed(g generation.Request, emitted, failed int) uint64 {
	return xxhash.Sum64String(g.Prompt) + uint64(emitted) + uint64(failed)
}
