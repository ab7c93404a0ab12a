package replay

import (
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// scheduleReclaim schedules the notices and terminations of the reclaimable
// instances of a zone.
func (s *simulation) scheduleReclaim(r Reclaim) {
	for _, h := range s.hosts {
		if h.instance.Zone != r.Zone || h.instance.Market != fleet.MarketReclaimable {
			continue
		}
		announcedEnd := r.At + r.Notice
		terminatesAt := announcedEnd
		if s.random.Float64() < earlyTerminationProbability {
			terminatesAt = r.At + r.Notice/2
		}
		s.terminationTimes[h], s.noticeTimes[h] = terminatesAt, r.At
		s.schedule(r.At+noticeDelay, func() { s.startLeaving(h, announcedEnd) })
		s.schedule(terminatesAt, func() { s.terminate(h) })
	}
}

// startLeaving removes a host from the nodes' views and schedules the moves off
// it.
func (s *simulation) startLeaving(h *host, announcedEnd time.Duration) {
	if h.leaving || h.terminated {
		return
	}
	h.leaving = true
	s.rebuildViews()
	if !s.policy.MoveOnReclaim {
		return
	}
	for _, n := range s.nodes {
		s.planMoves(n, h, announcedEnd)
	}
}

// planMoves schedules the moves of a node's requests off a host in the same way as
// pkg/router.
func (s *simulation) planMoves(n *node, h *host, announcedEnd time.Duration) {
	var jobs []*job
	var running []route.RunningRequest
	for _, j := range h.jobs() {
		if j.node != n {
			continue
		}
		r := j.request
		delivered := j.delivered(s.now)
		jobs = append(jobs, j)
		running = append(running, route.RunningRequest{
			Deadline:        epoch.Add(r.At + r.Deadline),
			RecomputeTokens: r.PromptTokens + delivered,
			Remaining:       time.Duration(r.OutputTokens-delivered) * h.model.TokenTimes.Decode,
		})
	}
	for _, m := range route.PlanMoves(running, epoch.Add(announcedEnd), epoch.Add(s.now), h.model.TokenTimes) {
		j := jobs[m.Index]
		attempt := j.attempt
		s.schedule(m.At.Sub(epoch), func() {
			if j.host == h && j.attempt == attempt && !h.terminated {
				s.move(j)
			}
		})
	}
}

// move stops a job, exports its KV cache and dispatches the job to another host
// once the export is complete. Without enough time to export, the job is
// dispatched immediately and its tokens are recomputed.
func (s *simulation) move(j *job) {
	h := j.host
	j.emitted = j.delivered(s.now)
	started := j.decodeStart >= 0
	h.waiting = slices.DeleteFunc(h.waiting, func(o *job) bool { return o == j })
	s.removeFromHost(j)
	j.moved = j.attempt > 0
	if !started || j.emitted == 0 {
		s.clearFirstToken(j)
		s.dispatch(j)
		return
	}
	contextTokens := j.request.PromptTokens + j.emitted
	h.exportBusyUntil = max(h.exportBusyUntil, s.now) + time.Duration(float64(contextTokens)/h.model.ExportTokensPerSecond*float64(time.Second))
	arrival := h.exportBusyUntil
	if h.exportBusyUntil < s.terminationTimes[h] {
		j.importedTokens = contextTokens
	} else {
		arrival = s.now
	}
	s.schedule(arrival, func() { s.dispatch(j) })
}

// clearFirstToken clears the time of a first token that was not delivered.
func (s *simulation) clearFirstToken(j *job) {
	if j.emitted == 0 {
		j.firstToken = -1
	}
}

// terminate terminates a host and dispatches its remaining jobs again.
func (s *simulation) terminate(h *host) {
	if h.terminated {
		return
	}
	h.leaving, h.terminated, h.terminatedAt = true, true, s.now
	s.rebuildViews()
	for _, j := range h.jobs() {
		j.emitted = j.delivered(s.now)
		s.clearFirstToken(j)
		j.moved, j.importedTokens = false, 0
		h.waiting = slices.DeleteFunc(h.waiting, func(o *job) bool { return o == j })
		delete(h.running, j)
		j.node.localWork[h]--
		j.host = nil
		s.dispatch(j)
	}
}

// jobs returns the waiting and running jobs of a host, oldest request first.
func (h *host) jobs() []*job {
	jobs := slices.Clone(h.waiting)
	for j := range h.running {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return int(a.request.At - b.request.At) })
	return jobs
}
