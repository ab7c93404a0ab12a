package router

import (
	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Demand returns the number of requests on the endpoints of a pool. For each
// endpoint it counts the latest report or this node's work, whichever is larger.
func (r *Router) Demand(name fleet.PoolName) (work int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshViews()
	p := r.pools[name]
	if p == nil {
		return 0
	}
	for _, c := range p.view.Candidates {
		work += max(c.LocalWork, c.Report.Work)
	}
	return work
}

// Idle reports whether an endpoint has no requests, by its latest report and by
// this node's work.
func (r *Router) Idle(ref fleet.InstanceRef) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[ref]
	return s == nil || (len(s.assignments) == 0 && s.report.Work == 0)
}

// Load returns the latest load report of an endpoint, unchanged.
func (r *Router) Load(ref fleet.InstanceRef) engine.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[ref]; s != nil {
		return s.load
	}
	return engine.Load{}
}
