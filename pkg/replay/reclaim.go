package replay

import (
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// reclaim schedules the notice and the end of a zone's instances.
func (w *player) reclaim(r Reclaim) {
	for _, h := range w.hosts {
		if h.instance.Zone != r.Zone || h.instance.Market != fleet.MarketReclaimable {
			continue
		}
		leaves := r.At + r.Notice
		goes := leaves
		if w.random.Float64() < earlyLeave {
			goes = r.At + r.Notice/2
		}
		w.leaves[h], w.notice[h] = goes, r.At
		w.at(r.At+noticeLag, func() { w.leave(h, leaves) })
		w.at(goes, func() { w.end(h) })
	}
}

// leave takes a host out of the views and plans the moves off it.
func (w *player) leave(h *host, leaves time.Duration) {
	if h.leaving || h.gone {
		return
	}
	h.leaving = true
	w.see()
	if !w.policy.Move {
		return
	}
	for _, n := range w.nodes {
		w.plan(n, h, leaves)
	}
}

// plan moves a node's work off a host, as the router does.
func (w *player) plan(n *node, h *host, leaves time.Duration) {
	var jobs []*job
	var work []route.RunningRequest
	for _, j := range h.jobs() {
		if j.node != n {
			continue
		}
		r := j.request
		done := j.delivered(w.now)
		jobs = append(jobs, j)
		work = append(work, route.RunningRequest{
			Deadline:        epoch.Add(r.At + r.Deadline),
			RecomputeTokens: r.Prompt + done,
			Remaining:       time.Duration(r.Output-done) * h.model.Speed.Decode,
		})
	}
	for _, m := range route.PlanMoves(work, epoch.Add(leaves), epoch.Add(w.now), h.model.Speed) {
		j := jobs[m.Index]
		attempt := j.attempt
		w.at(m.At.Sub(epoch), func() {
			if j.host == h && j.attempt == attempt && !h.gone {
				w.move(j)
			}
		})
	}
}

// move stops a job, exports its KV cache and sends it on once that has come.
func (w *player) move(j *job) {
	h := j.host
	j.emitted = j.delivered(w.now)
	running := j.begin >= 0
	h.waiting = slices.DeleteFunc(h.waiting, func(o *job) bool { return o == j })
	w.release(j)
	j.moved = j.attempt > 0
	if !running || j.emitted == 0 {
		w.reset(j)
		w.send(j)
		return
	}
	stake := j.request.Prompt + j.emitted
	h.exports = max(h.exports, w.now) + time.Duration(float64(stake)/h.model.Transfer*float64(time.Second))
	come := h.exports
	if h.exports < w.leaves[h] {
		j.imported = stake
	} else {
		come = w.now
	}
	w.at(come, func() { w.send(j) })
}

// reset forgets a first token that did not come.
func (w *player) reset(j *job) {
	if j.emitted == 0 {
		j.first = -1
	}
}

// end breaks what still runs on a host.
func (w *player) end(h *host) {
	if h.gone {
		return
	}
	h.leaving, h.gone, h.ended = true, true, w.now
	w.see()
	for _, j := range h.jobs() {
		j.emitted = j.delivered(w.now)
		w.reset(j)
		j.moved, j.imported = false, 0
		h.waiting = slices.DeleteFunc(h.waiting, func(o *job) bool { return o == j })
		delete(h.running, j)
		j.node.mine[h]--
		j.host = nil
		w.send(j)
	}
}

// jobs returns what is on a host, oldest request first.
func (h *host) jobs() []*job {
	list := slices.Clone(h.waiting)
	for j := range h.running {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return int(a.request.At - b.request.At) })
	return list
}
