package directory

import (
	"cmp"
	"slices"
	"sync"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// mostKept bounds the changes that are kept to be passed on: those of all
// endpoints of a large fleet, a few times over.
const mostKept = 8192

// History keeps the latest changes of entries with their place in the topic, so
// that a node can pass on what it has read. Renewals that change nothing are left
// out; what is left out follows from the topic alone, not from what else the node
// knows of its endpoints. The zero value is empty.
type History struct {
	mu sync.Mutex
	// last is the last change of each entry that exists.
	last map[fleet.InstanceID]serving.Endpoint
	// The history holds every change from one offset up to another.
	from, to fleet.Offset
	changes  []dated
}

// dated is a change with the offset up to which a reader knows it.
type dated struct {
	Change
	to fleet.Offset
}

// Restart begins the history anew with the complete list at an offset.
func (h *History) Reset(at fleet.Offset, list []Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.restart(at)
	h.add(at, list)
	h.changes = nil
}

func (h *History) restart(at fleet.Offset) {
	h.from, h.to, h.changes = at, at, nil
	h.last = make(map[fleet.InstanceID]serving.Endpoint)
}

// Add adds the changes that were read from an offset up to another: one for each
// record, or those that another node passed on.
func (h *History) Add(from, to fleet.Offset, changes []Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if from != h.to || h.last == nil {
		h.restart(from)
	}
	h.add(to, changes)
}

func (h *History) add(to fleet.Offset, changes []Change) {
	from := h.to
	h.to = to
	each := fleet.Offset(len(changes)) == to-from
	for i, c := range changes {
		at := to
		if each {
			at = from + fleet.Offset(i) + 1
		}
		if c.Endpoint == nil {
			delete(h.last, c.ID)
		} else if last, ok := h.last[c.ID]; ok && last == *c.Endpoint {
			continue
		} else {
			h.last[c.ID] = *c.Endpoint
		}
		h.changes = append(h.changes, dated{Change: c, to: at})
	}
	for len(h.changes) > mostKept {
		h.from = h.changes[0].to
		for len(h.changes) > 0 && h.changes[0].to == h.from {
			h.changes = h.changes[1:]
		}
	}
}

// Since returns changes from an offset on, the oldest first and at most a number
// of them, and up to where they go. It tells whether the history reaches back so far.
func (h *History) Since(from fleet.Offset, most int) (changes []Change, to fleet.Offset, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if from < h.from || from > h.to {
		return nil, 0, false
	}
	begin, _ := slices.BinarySearchFunc(h.changes, from+1, func(c dated, at fleet.Offset) int { return cmp.Compare(c.to, at) })
	rest := h.changes[begin:]
	to = h.to
	if len(rest) > most {
		// Changes of one offset are told together or not at all.
		cut := most
		for cut > 0 && rest[cut-1].to == rest[cut].to {
			cut--
		}
		if cut == 0 {
			return nil, 0, false
		}
		rest, to = rest[:cut], rest[cut-1].to
	}
	for _, c := range rest {
		changes = append(changes, c.Change)
	}
	return changes, to, true
}
