package router

import (
	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Demand returns the work on the endpoints of a pool: by their newest reports,
// and by this node's own work where that is more.
func (r *Router) Demand(name fleet.PoolName) (work int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	p := r.pools[name]
	if p == nil {
		return 0
	}
	for _, c := range p.view.Candidates {
		work += max(c.LocalWork, c.Report.Work)
	}
	return work
}

// Idle reports whether an endpoint has no work, by its newest report and by
// this node's own.
func (r *Router) Idle(ref fleet.InstanceRef) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[ref]
	return s == nil || (len(s.work) == 0 && s.report.Work == 0)
}

// Load returns the newest load report of an endpoint as it gave it.
func (r *Router) Load(ref fleet.InstanceRef) engine.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[ref]; s != nil {
		return s.load
	}
	return engine.Load{}
}
