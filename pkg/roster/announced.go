package roster

import "github.com/skylarkloom/skylarkloom/pkg/fleet"

// Announced reports whether the cloud or the list said that an instance leaves,
// so that its end is no crash.
func (r *Roster) Announced(ref fleet.InstanceRef) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, ok := r.marks[ref]
	return ok && m.Source != SourceFailure
}
