package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

const (
	// maxRevocationDelay is how long after its revocation a key may still be accepted,
	// equal to revokeMs in the settings.
	maxRevocationDelay = 3 * time.Second
	// maxDrainDelay is how long after the start of its draining an endpoint may
	// still receive work.
	maxDrainDelay = 2 * time.Second
	// recoveryMargin is how long a node must have been free of faults before the
	// time limits apply to it.
	recoveryMargin = 3 * time.Second
	// maxVersionLag is how long after a version took effect an older one may still
	// be served.
	maxVersionLag = 250 * time.Millisecond
	// minHandoverTime is the shortest time in which the duties may pass to another
	// holder and back, equal to leaseMs in the settings. maxCallDelay is how late a
	// call of a paused or disconnected node may arrive.
	minHandoverTime, maxCallDelay = 3 * time.Second, 300 * time.Millisecond
	// minServedShare is the share of calls that must be served after the faults.
	minServedShare = 0.95
	// maxLateWork is how long after a caller left its request may still be sent to an
	// endpoint.
	maxLateWork = 500 * time.Millisecond
	// A prefix block that has crashed learningCrashes engines may reach maxLateTainted
	// further ones later than recoveryMargin after that.
	learningCrashes, maxLateTainted = 5, 3
)

// runsByRequest returns the endpoints that ran each request, by request ID, one
// entry for each run.
func (cl *cluster) runsByRequest() map[string][]string {
	ran := make(map[string][]string)
	for _, e := range append(cl.removed, cl.endpoints...) {
		for _, r := range e.Runs() {
			ran[r.ID] = append(ran[r.ID], e.ID)
		}
	}
	return ran
}

// verify returns a line for each rule that the run violated.
func (cl *cluster) verify() (violations []string) {
	report := func(format string, values ...any) { violations = append(violations, fmt.Sprintf(format, values...)) }
	runs := cl.runsByRequest()
	for _, c := range cl.calls.entries {
		cl.checkCall(c, runs[c.id], report)
	}
	cl.checkVersions(report)
	cl.checkDrains(report)
	cl.checkDuties(report)
	cl.checkRecovery(report)
	cl.checkArrivals(report)
	cl.checkAnnouncements(report)
	for _, p := range cl.nodes {
		violations = append(violations, p.unexpectedExits...)
	}
	return violations
}

func (cl *cluster) checkCall(c *call, runBy []string, report func(string, ...any)) {
	sentAfter := c.sentAt.Sub(cl.startedAt).Seconds()
	nonRepeatable := c.kind == "unsafe" || c.kind == "note"
	switch {
	case nonRepeatable && len(runBy) > 1:
		report("%.2fs %s %s ran %d times: %v", sentAfter, c.kind, c.id, len(runBy), runBy)
	case nonRepeatable && c.reportsNotRun() && len(runBy) > 0:
		report("%.2fs %s %s received status %d but ran at %v", sentAfter, c.kind, c.id, c.status, runBy)
	}
	if c.key == "taken" && c.kind != "open" && c.kind != "version" && len(runBy) > 0 &&
		!cl.revokedAt.IsZero() && c.sentAt.After(cl.revokedAt.Add(maxRevocationDelay)) {
		report("%.2fs %s ran with a key that was revoked %.2fs before", sentAfter, c.id, c.sentAt.Sub(cl.revokedAt).Seconds())
	}
	if c.status == http.StatusOK && c.err == nil {
		cl.checkResponse(c, runBy, report)
	}
	shutdown := cl.nodes[c.node].shutdowns.overlaps(c.sentAt, c.endedAt)
	if shutdown && c.aborted() && len(runBy) > 0 && !cl.hadFault(c.node, c.sentAt.Add(-recoveryMargin), c.endedAt) {
		report("%.2fs %s %s was aborted by a planned shutdown: %v", sentAfter, c.kind, c.id, c.err)
	}
}

// checkResponse checks that a successful response is the complete response of an
// endpoint that ran the request.
func (cl *cluster) checkResponse(c *call, runBy []string, report func(string, ...any)) {
	sentAfter := c.sentAt.Sub(cl.startedAt).Seconds()
	complete := false
	for _, id := range runBy {
		if c.kind == "tale" || c.kind == "note" {
			complete = complete || c.body == standin.Stream(8)
		} else {
			// With FaultDuplicate, an endpoint sends a response with the body ok twice.
			complete = complete || c.body == "answer of "+id+" to "+c.id || c.body == "ok"
		}
	}
	if !complete || c.seal == "" {
		report("%.2fs %s %s: response %q with seal %q is not complete; ran at %v", sentAfter, c.kind, c.id, c.body, c.seal, runBy)
	}
}

// hadFault reports whether a fault other than a planned shutdown happened that
// can abort a request of the node.
func (cl *cluster) hadFault(node int, from, to time.Time) bool {
	return cl.nodes[node].faults.overlaps(from, to) || cl.storeFaults.overlaps(from, to) || cl.endpointFaults.overlaps(from, to)
}

// checkVersions checks that no incarnation of a node returns to a version older
// than one that it has served.
func (cl *cluster) checkVersions(report func(string, ...any)) {
	type nodeVersion struct{ node, incarnation, version int }
	firstServed := make(map[nodeVersion]time.Time)
	for _, c := range cl.calls.entries {
		key := nodeVersion{c.node, c.incarnation, c.version}
		if c.kind == "version" && c.status == http.StatusOK && (firstServed[key].IsZero() || c.endedAt.Before(firstServed[key])) {
			firstServed[key] = c.endedAt
		}
	}
	for _, c := range cl.calls.entries {
		served := firstServed[nodeVersion{c.node, c.incarnation, c.version}]
		if c.kind == "version" && c.status == http.StatusNotFound && !served.IsZero() && c.sentAt.After(served.Add(maxVersionLag)) {
			report("%.2fs node %d no longer has route %d", c.sentAt.Sub(cl.startedAt).Seconds(), c.node, c.version)
		}
	}
}

// checkDrains checks that draining endpoints receive no work from nodes that are
// connected to the store.
func (cl *cluster) checkDrains(report func(string, ...any)) {
	byID := make(map[string]*call)
	for _, c := range cl.calls.entries {
		byID[c.id] = c
	}
	for _, e := range append(cl.removed, cl.endpoints...) {
		for _, r := range e.Runs() {
			c := byID[r.ID]
			if e.drainingSince.IsZero() || c == nil || !c.sentAt.After(e.drainingSince.Add(maxDrainDelay)) {
				continue
			}
			if !cl.nodes[c.node].faults.overlaps(e.drainingSince.Add(-recoveryMargin), c.endedAt) && !cl.storeFaults.overlaps(e.drainingSince.Add(-recoveryMargin), c.endedAt) {
				report("%.2fs %s reached %s, which began to drain %.2fs before", c.sentAt.Sub(cl.startedAt).Seconds(), c.id, e.ID, c.sentAt.Sub(e.drainingSince).Seconds())
			}
		}
	}
}

// checkArrivals checks that requests whose callers left, and those with a prefix block
// that crashes engines, stop reaching endpoints.
func (cl *cluster) checkArrivals(report func(string, ...any)) {
	byID := make(map[string]*call)
	for _, c := range cl.calls.entries {
		byID[c.id] = c
	}
	var crashes []time.Time
	late := 0
	for _, a := range cl.arrivals {
		c := byID[a.id]
		if c == nil || cl.nodes[c.node].faults.overlaps(a.at.Add(-recoveryMargin), a.at) {
			continue
		}
		// A disturbed link may hold a request up.
		heldUp := a.endpoint.linkFaults.overlaps(a.at.Add(-recoveryMargin), a.at)
		if !c.leftAt.IsZero() && a.sentAt.After(c.leftAt.Add(maxLateWork)) && !heldUp {
			report("%.2fs %s reached an endpoint %.2fs after its caller had left, %.2fs after its latest bytes", a.at.Sub(cl.startedAt).Seconds(), a.id, a.at.Sub(c.leftAt).Seconds(), a.at.Sub(a.sentAt).Seconds())
		}
		if !a.crashed {
			continue
		}
		crashes = append(crashes, a.at)
		if len(crashes) > learningCrashes && a.at.After(crashes[learningCrashes-1].Add(recoveryMargin)) {
			late++
		}
	}
	if late > maxLateTainted {
		report("%d requests with a block that had crashed engines reached engines late", late)
	}
}

// checkDuties checks the calls to the platform's API.
func (cl *cluster) checkDuties(report func(string, ...any)) {
	counts := make(map[int64]string)
	var last, previous dutyCall
	for _, d := range cl.dutyCalls {
		calledAfter := d.at.Sub(cl.startedAt).Seconds()
		if reported, ok := counts[d.window]; ok && reported != d.counts {
			report("%.2fs window %d was reported as %s after %s", calledAfter, d.window, d.counts, reported)
		}
		counts[d.window] = d.counts
		if cl.isDelayed(d) {
			continue
		}
		if d.fence < last.fence {
			report("%.2fs %s acted with fencing number %d after %d of %s", calledAfter, d.holder, d.fence, last.fence, last.holder)
		}
		if d.holder != last.holder {
			if d.holder == previous.holder && d.at.Sub(previous.at) < minHandoverTime {
				report("%.2fs %s acted again %.2fs after its last call before %s took over", calledAfter, d.holder, d.at.Sub(previous.at).Seconds(), last.holder)
			}
			previous = last
		}
		last = d
	}
}

// isDelayed reports whether the sender of the call had a fault just before it.
func (cl *cluster) isDelayed(d dutyCall) bool {
	for _, p := range cl.nodes {
		if p.name == d.holder {
			return p.faults.overlaps(d.at.Add(-maxCallDelay), d.at)
		}
	}
	return false
}

// checkRecovery checks that requests are served again after the faults.
func (cl *cluster) checkRecovery(report func(string, ...any)) {
	checkedFrom := cl.startedAt.Add(faultTime + recoveryTime - 2*time.Second)
	sent, served := 0, 0
	var failures []string
	for _, c := range cl.calls.entries {
		if c.sentAt.Before(checkedFrom) || c.key != "kept" || !c.leftAt.IsZero() || c.tainted || cl.nodes[c.node].shutdowns.overlaps(c.sentAt.Add(-gracePeriod), c.endedAt) {
			continue
		}
		sent++
		if c.status == http.StatusOK && c.err == nil {
			served++
		} else if len(failures) < 5 {
			failures = append(failures, fmt.Sprintf("%s of n%d %d %v", c.kind, c.node, c.status, c.err))
		}
	}
	if float64(served) < minServedShare*float64(sent) || sent == 0 {
		report("%d of %d calls were served after the faults: %s", served, sent, strings.Join(failures, "; "))
	}
}
