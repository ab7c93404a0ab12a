package roster

import "github.com/skylarkloom/skylarkloom/pkg/fleet"

// SourceRetire is the word of the node that retires an instance.
const SourceRetire Source = "retire"

// Announced reports whether the cloud, the list or an operator's plan said that
// an instance leaves, so that its end is no crash.
func (r *Roster) Announced(ref fleet.InstanceRef) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, ok := r.marks[ref]
	return ok && m.Source != SourceFailure
}

// From returns the instances whose condition a source has told.
func (r *Roster) ReportedBy(source Source) (list []fleet.Instance) {
	for _, i := range r.Instances() {
		r.mu.RLock()
		m := r.marks[i.Ref()]
		r.mu.RUnlock()
		if m.Source == source {
			list = append(list, i)
		}
	}
	return list
}
