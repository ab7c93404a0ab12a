// Package roster holds one node's view of the instances: the platform's list
// merged with reports that instances are leaving or gone. For one incarnation,
// leaving overrides live and gone overrides leaving, in whatever order the reports
// arrive, so a late report never brings an instance back.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Source is where a report on an instance comes from.
type Source string

// The sources of reports; see also SourceRetire.
const (
	SourceList    Source = "list"
	SourceNotice  Source = "notice"
	SourceEngine  Source = "engine"
	SourcePeer    Source = "peer"
	SourceFailure Source = "failure"
)

// ConditionReport states the condition of an instance.
type ConditionReport struct {
	Instance  fleet.InstanceRef
	Condition fleet.Condition
	// Leaves is when a leaving instance is terminated; zero if unknown.
	Leaves time.Time
	Source Source
}

// Roster merges the instance list and reports. The zero value is ready to use.
type Roster struct {
	// Reported, if set, is called without the lock for each report that changed the
	// roster.
	Reported func(rep ConditionReport)

	mu sync.RWMutex
	// known holds the listed instances; reports holds the report with the
	// highest-ranked condition on each incarnation.
	known   map[fleet.InstanceID]fleet.Instance
	reports map[fleet.InstanceRef]ConditionReport
	// instances caches the result of merge; nil if it is out of date.
	instances []fleet.Instance
	loaded    bool
	// version counts the changes of known and reports.
	version uint64
	// missedLists counts the consecutive lists that lacked an instance with a report.
	missedLists map[fleet.InstanceRef]int
}

// maxMissedLists is for how many consecutive lists the reports on an instance are
// kept although the lists lack it, so that an outdated list does not bring the
// instance back.
const maxMissedLists = 1200

// Version returns a number that changes whenever the result of Instances does.
func (r *Roster) Version() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version
}

// invalidate discards the cached instances. The caller holds the lock.
func (r *Roster) invalidate() {
	r.instances = nil
	r.version++
}

// Loaded reports whether a list has been read.
func (r *Roster) Loaded() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loaded
}

// Add merges a listed instance. It ignores an incarnation older than the known one.
func (r *Roster) Add(i fleet.Instance) {
	r.mu.Lock()
	previous, ok := r.known[i.ID]
	if r.known == nil {
		r.known = make(map[fleet.InstanceID]fleet.Instance)
	}
	if !ok || (i.Incarnation >= previous.Incarnation && i != previous) {
		r.known[i.ID] = i
		r.invalidate()
	}
	r.mu.Unlock()
	if i.Condition != "" && i.Condition != fleet.ConditionLive {
		r.Report(ConditionReport{Instance: i.Ref(), Condition: i.Condition, Leaves: i.Leaves, Source: SourceList})
	}
}

// Report merges a report and returns whether it changed the roster. Of several
// leaving reports on one incarnation, the earliest time counts.
func (r *Roster) Report(rep ConditionReport) (changed bool) {
	r.mu.Lock()
	previous := r.reports[rep.Instance]
	earlier := rep.Condition == previous.Condition && !rep.Leaves.IsZero() &&
		(previous.Leaves.IsZero() || rep.Leaves.Before(previous.Leaves))
	if rep.Condition.Rank() > previous.Condition.Rank() || (earlier && rep.Condition == fleet.ConditionLeaving) {
		if r.reports == nil {
			r.reports = make(map[fleet.InstanceRef]ConditionReport)
		}
		if rep.Leaves.IsZero() {
			rep.Leaves = previous.Leaves
		}
		r.reports[rep.Instance] = rep
		r.invalidate()
		changed = true
	}
	r.mu.Unlock()
	if changed && r.Reported != nil {
		r.Reported(rep)
	}
	return changed
}

// Reports returns all reports, in no defined order.
func (r *Roster) Reports() []ConditionReport {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]ConditionReport, 0, len(r.reports))
	for _, rep := range r.reports {
		list = append(list, rep)
	}
	return list
}

// Instances returns every instance that is not gone, with its condition, sorted
// by ID. The slice is shared; callers must not modify it.
func (r *Roster) Instances() []fleet.Instance {
	r.mu.RLock()
	instances := r.instances
	r.mu.RUnlock()
	if instances != nil {
		return instances
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = r.merge()
	return r.instances
}

func (r *Roster) merge() []fleet.Instance {
	instances := make([]fleet.Instance, 0, len(r.known))
	for _, i := range r.known {
		rep := r.reports[i.Ref()]
		if rep.Condition.Rank() > i.Condition.Rank() {
			i.Condition = rep.Condition
		}
		if !rep.Leaves.IsZero() {
			i.Leaves = rep.Leaves
		}
		if i.Condition != fleet.ConditionGone {
			instances = append(instances, i)
		}
	}
	slices.SortFunc(instances, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// LiveInPool returns the instances of a pool that may take new work.
func (r *Roster) LiveInPool(pool fleet.PoolName) (live []fleet.Instance) {
	for _, i := range r.Instances() {
		if i.Pool == pool && i.Condition.Rank() == 0 {
			live = append(live, i)
		}
	}
	return live
}

// Condition returns the reported condition of one incarnation of an instance.
func (r *Roster) Condition(ref fleet.InstanceRef) fleet.Condition {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if c := r.reports[ref].Condition; c != "" {
		return c
	}
	return fleet.ConditionLive
}

// RemoveUnlisted removes the instances that a new list lacks, and marks the roster as
// loaded. Reports on an instance are removed once more than maxMissedLists
// consecutive lists lacked it.
func (r *Roster) RemoveUnlisted(listed []fleet.Instance) {
	ids := make(map[fleet.InstanceID]bool, len(listed))
	for _, i := range listed {
		ids[i.ID] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = true
	for id := range r.known {
		if !ids[id] {
			delete(r.known, id)
			r.invalidate()
		}
	}
	r.expireReports(ids)
}

// expireReports removes the reports on instances that more than maxMissedLists
// consecutive lists lacked. The caller holds the lock.
func (r *Roster) expireReports(listed map[fleet.InstanceID]bool) {
	for ref := range r.reports {
		if listed[ref.ID] {
			delete(r.missedLists, ref)
			continue
		}
		if r.missedLists == nil {
			r.missedLists = make(map[fleet.InstanceRef]int)
		}
		r.missedLists[ref]++
		if r.missedLists[ref] > maxMissedLists {
			delete(r.missedLists, ref)
			delete(r.reports, ref)
		}
	}
}
