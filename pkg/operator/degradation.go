package operator

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
)

// DegradationTracker records since when each current problem of a node has lasted.
// The zero value is ready to use.
type DegradationTracker struct {
	mu   sync.Mutex
	list []operate.Degraded
}

// Observe records the problems that exist at a time, each by its description. It
// returns those that began and those that ended since the last call.
func (d *DegradationTracker) Observe(now time.Time, current []string) (began, ended []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []operate.Degraded
	for _, k := range d.list {
		if slices.Contains(current, k.Problem) {
			list = append(list, k)
			continue
		}
		ended = append(ended, k.Problem)
	}
	for _, problem := range current {
		if !slices.ContainsFunc(list, func(k operate.Degraded) bool { return k.Problem == problem }) {
			list = append(list, operate.Degraded{Problem: problem, Since: now})
			began = append(began, problem)
		}
	}
	d.list = list
	return began, ended
}

// List returns the current problems, oldest first.
func (d *DegradationTracker) List() []operate.Degraded {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.list)
}
