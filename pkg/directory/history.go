package directory

import (
	"cmp"
	"slices"
	"sync"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// maxHistoryChanges bounds the changes that a History keeps. It has room for a
// few changes of every endpoint of a large fleet.
const maxHistoryChanges = 8192

// History keeps the latest changes of entries with their offsets in the topic, so
// that a node can serve them to other nodes. It omits renewals that change
// nothing, and changes without an ID. It decides this from the topic alone and not from the Directory, which
// may hold state fetched from other nodes. The zero value is empty.
type History struct {
	mu sync.Mutex
	// last holds the last state of each entry that exists.
	last map[fleet.InstanceID]serving.Endpoint
	// changes holds every change after offset from, up to and including offset to.
	from, to fleet.Offset
	changes  []offsetChange
}

// offsetChange is a change with the offset that a reader has reached once it has
// applied the change.
type offsetChange struct {
	Change
	to fleet.Offset
}

// Reset discards the history and restarts it from the complete list at an offset.
func (h *History) Reset(at fleet.Offset, list []Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reset(at)
	h.add(at, list)
	h.changes = nil
}

func (h *History) reset(at fleet.Offset) {
	h.from, h.to, h.changes = at, at, nil
	h.last = make(map[fleet.InstanceID]serving.Endpoint)
}

// Add appends the changes between two offsets: one for each record if they were
// read from the topic, or a delta that another node served. It restarts the
// history if from is not where the history ends.
func (h *History) Add(from, to fleet.Offset, changes []Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if from != h.to || h.last == nil {
		h.reset(from)
	}
	h.add(to, changes)
}

func (h *History) add(to fleet.Offset, changes []Change) {
	from := h.to
	h.to = to
	onePerRecord := fleet.Offset(len(changes)) == to-from
	for i, c := range changes {
		at := to
		if onePerRecord {
			at = from + fleet.Offset(i) + 1
		}
		if c.ID == "" {
			continue
		}
		if c.Endpoint == nil {
			delete(h.last, c.ID)
		} else if last, ok := h.last[c.ID]; ok && passedOn(last) == passedOn(*c.Endpoint) {
			continue
		} else {
			h.last[c.ID] = *c.Endpoint
		}
		h.changes = append(h.changes, offsetChange{Change: c, to: at})
	}
	for len(h.changes) > maxHistoryChanges {
		h.from = h.changes[0].to
		for len(h.changes) > 0 && h.changes[0].to == h.from {
			h.changes = h.changes[1:]
		}
	}
}

// passedOn returns an entry without what changes with each renewal and matters to no
// node: the exact times until a cold endpoint is warm and a leaving one is gone.
func passedOn(e serving.Endpoint) serving.Endpoint {
	e.Cold, e.Leaves = min(e.Cold, 1), min(e.Leaves, 1)
	return e
}

// Since returns at most limit changes after an offset, oldest first, and the
// offset that a reader reaches by applying them. ok is false if the history does
// not cover the offset, or if the changes of the next offset exceed limit.
func (h *History) Since(from fleet.Offset, limit int) (changes []Change, to fleet.Offset, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if from < h.from || from > h.to {
		return nil, 0, false
	}
	start, _ := slices.BinarySearchFunc(h.changes, from+1, func(c offsetChange, at fleet.Offset) int { return cmp.Compare(c.to, at) })
	rest := h.changes[start:]
	to = h.to
	if len(rest) > limit {
		// The changes of one offset are returned together or not at all.
		cut := limit
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
