package roster

import "github.com/skylarkloom/skylarkloom/pkg/fleet"

// SourceRetire marks reports of the node that retires an instance.
const SourceRetire Source = "retire"

// Announced reports whether an instance was reported as leaving or gone by any
// source but SourceFailure, such as the cloud, the list or an operator's plan. The
// end of an announced instance is not a crash.
func (r *Roster) Announced(ref fleet.InstanceRef) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	rep, ok := r.reports[ref]
	return ok && rep.Source != SourceFailure
}

// ReportedBy returns the instances whose condition a source reported.
func (r *Roster) ReportedBy(source Source) (list []fleet.Instance) {
	for _, i := range r.Instances() {
		r.mu.RLock()
		rep := r.reports[i.Ref()]
		r.mu.RUnlock()
		if rep.Source == source {
			list = append(list, i)
		}
	}
	return list
}
