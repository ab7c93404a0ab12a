package operator

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
)

// Degradation remembers since when things do not work. The zero value is ready
// to use.
type DegradationTracker struct {
	mu   sync.Mutex
	list []operate.Degraded
}

// Observe takes what does not work at a time. It returns what began and what
// ended since the last call.
func (d *DegradationTracker) Observe(now time.Time, broken []string) (began, ended []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []operate.Degraded
	for _, k := range d.list {
		if slices.Contains(broken, k.What) {
			list = append(list, k)
			continue
		}
		ended = append(ended, k.What)
	}
	for _, what := range broken {
		if !slices.ContainsFunc(list, func(k operate.Degraded) bool { return k.What == what }) {
			list = append(list, operate.Degraded{What: what, Since: now})
			began = append(began, what)
		}
	}
	d.list = list
	return began, ended
}

// List returns what does not work now, oldest first.
func (d *DegradationTracker) List() []operate.Degraded {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.list)
}
