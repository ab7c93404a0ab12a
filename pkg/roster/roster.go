// Package roster holds what one node believes of the instances: the listed
// ones, merged with evidence that they leave or are gone. For one incarnation
// leaving wins over live and gone over leaving, whatever arrives last, so late
// news never brings an instance back.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Source says where evidence about an instance comes from.
type Source string

// The sources of evidence.
const (
	SourceList    Source = "list"
	SourceNotice  Source = "notice"
	SourceEngine  Source = "engine"
	SourcePeer    Source = "peer"
	SourceFailure Source = "failure"
)

// Mark is one piece of evidence: an instance's condition.
type Report struct {
	Instance  fleet.InstanceRef
	Condition fleet.Condition
	// Leaves is when a leaving instance goes, if known.
	Leaves time.Time
	Source Source
}

// Roster merges evidence. The zero value is empty and ready to use.
type Roster struct {
	// Marked is called, without the lock, for a mark that changed something.
	Reported func(m Report)

	mu    sync.RWMutex
	all   map[fleet.InstanceID]fleet.Instance
	marks map[fleet.InstanceRef]Report
	view  []fleet.Instance
	read  bool
	// version counts the changes of the view.
	version uint64
	// absent counts the lists in a row that lacked an instance with evidence.
	absent map[fleet.InstanceRef]int
}

// keepMarks is for how many lists in a row evidence is kept on an instance
// that they lack, so that an old list does not bring it back.
const keepMarks = 1200

// Version changes whenever Instances does.
func (r *Roster) Version() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version
}

// changed makes the next look at the instances build a new view. The lock is
// held.
func (r *Roster) changed() {
	r.view = nil
	r.version++
}

// Read reports whether a list has been read.
func (r *Roster) Loaded() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.read
}

// Add merges a listed instance. An older incarnation is ignored.
func (r *Roster) Add(i fleet.Instance) {
	r.mu.Lock()
	known, ok := r.all[i.ID]
	if r.all == nil {
		r.all = make(map[fleet.InstanceID]fleet.Instance)
	}
	if !ok || (i.Incarnation >= known.Incarnation && i != known) {
		r.all[i.ID] = i
		r.changed()
	}
	r.mu.Unlock()
	if i.Condition != "" && i.Condition != fleet.ConditionLive {
		r.Report(Report{Instance: i.Ref(), Condition: i.Condition, Leaves: i.Leaves, Source: SourceList})
	}
}

// Mark merges one piece of evidence and reports whether it changed anything.
// Of several notices the earliest leave counts.
func (r *Roster) Report(m Report) (changed bool) {
	r.mu.Lock()
	known := r.marks[m.Instance]
	sooner := m.Condition == known.Condition && !m.Leaves.IsZero() &&
		(known.Leaves.IsZero() || m.Leaves.Before(known.Leaves))
	if m.Condition.Rank() > known.Condition.Rank() || (sooner && m.Condition == fleet.ConditionLeaving) {
		if r.marks == nil {
			r.marks = make(map[fleet.InstanceRef]Report)
		}
		if m.Leaves.IsZero() {
			m.Leaves = known.Leaves
		}
		r.marks[m.Instance] = m
		r.changed()
		changed = true
	}
	r.mu.Unlock()
	if changed && r.Reported != nil {
		r.Reported(m)
	}
	return changed
}

// Marks returns all evidence, in no defined order.
func (r *Roster) Reports() []Report {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]Report, 0, len(r.marks))
	for _, m := range r.marks {
		list = append(list, m)
	}
	return list
}

// Instances returns every instance that is not gone, with its condition, in
// order of ID. The slice is shared; callers must not change it.
func (r *Roster) Instances() []fleet.Instance {
	r.mu.RLock()
	view := r.view
	r.mu.RUnlock()
	if view != nil {
		return view
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = r.build()
	return r.view
}

func (r *Roster) build() []fleet.Instance {
	view := make([]fleet.Instance, 0, len(r.all))
	for _, i := range r.all {
		m := r.marks[i.Ref()]
		if m.Condition.Rank() > i.Condition.Rank() {
			i.Condition = m.Condition
		}
		if !m.Leaves.IsZero() {
			i.Leaves = m.Leaves
		}
		if i.Condition != fleet.ConditionGone {
			view = append(view, i)
		}
	}
	slices.SortFunc(view, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return view
}

// Pool returns the instances of a pool that may take new work.
func (r *Roster) LiveInPool(pool fleet.PoolName) (live []fleet.Instance) {
	for _, i := range r.Instances() {
		if i.Pool == pool && i.Condition.Rank() == 0 {
			live = append(live, i)
		}
	}
	return live
}

// Condition returns what is believed of one life of an instance.
func (r *Roster) Condition(ref fleet.InstanceRef) fleet.Condition {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if c := r.marks[ref].Condition; c != "" {
		return c
	}
	return fleet.ConditionLive
}

// Keep drops instances that a fresh list no longer holds, and in time the
// evidence on them.
func (r *Roster) RemoveUnlisted(listed []fleet.Instance) {
	ids := make(map[fleet.InstanceID]bool, len(listed))
	for _, i := range listed {
		ids[i.ID] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read = true
	for id := range r.all {
		if !ids[id] {
			delete(r.all, id)
			r.changed()
		}
	}
	r.forget(ids)
}

// forget drops evidence on instances that the lists have long lacked. The lock
// is held.
func (r *Roster) forget(listed map[fleet.InstanceID]bool) {
	for ref := range r.marks {
		if listed[ref.ID] {
			delete(r.absent, ref)
			continue
		}
		if r.absent == nil {
			r.absent = make(map[fleet.InstanceRef]int)
		}
		r.absent[ref]++
		if r.absent[ref] > keepMarks {
			delete(r.absent, ref)
			delete(r.marks, ref)
		}
	}
}
