package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/capacity"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/limit"
	"github.com/skylarkloom/skylarkloom/pkg/prefix"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// Parameters of what the nodes see.
const (
	reportEvery = 250 * time.Millisecond
	// noticeLag is how long after the notice the nodes know of it.
	noticeLag = 500 * time.Millisecond
	// lostEvents is the chance that a batch of cache events is lost.
	lostEvents = 0.05
	// earlyLeave is the chance that an instance goes at half its notice.
	earlyLeave = 0.1
)

// epoch is the clock reading at the start of a trace.
var epoch = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)

// Result is what one run came to.
type Result struct {
	// Cost is what the instances cost, in the offers' prices times hours.
	Cost     float64
	Requests int
	OnTime   int
	// Lost counts requests that missed their deadline or found no endpoint.
	Lost int
	// Refused counts requests that were not admitted.
	Refused int
	// Small and SmallOnTime count the requests of all but the largest account.
	Small       int
	SmallOnTime int
	// Uncached counts prompt tokens of first attempts that were computed.
	Uncached fleet.Tokens
	// Moved and Broken count the tokens computed again after moves and breaks.
	Moved  fleet.Tokens
	Broken fleet.Tokens
	// LastNew is the longest time from a notice to a request that was still sent
	// to the leaving instance.
	LastNew time.Duration
}

// Share returns the share of requests on time.
func (r Result) Share() float64 { return float64(r.OnTime) / float64(r.Requests) }

// node is one entry node's view.
type node struct {
	view  route.View
	hosts []*host
	index prefix.Index
	mine  map[*host]int
	turn  uint64
	// queue holds the accepted requests, if the policy admits.
	queue   limit.Queue
	pending []pending
	pace    time.Duration
}

// player plays one trace.
type player struct {
	trace  Trace
	policy Policy
	random *rand.Rand
	now    time.Duration
	queue  events
	serial int
	hosts  []*host
	nodes  []*node
	leaves map[*host]time.Duration
	notice map[*host]time.Duration
	result Result
}

// Play runs a policy on a trace with the instances that it chooses for a need.
func Play(t Trace, p Policy, need int, seed uint64) Result {
	w := &player{
		trace:  t,
		policy: p,
		random: rand.New(rand.NewPCG(seed, 2)),
		leaves: make(map[*host]time.Duration),
		notice: make(map[*host]time.Duration),
	}
	w.build(p.Fleet(t.Offers, need))
	for _, r := range t.Reclaims {
		w.reclaim(r)
	}
	for i := range t.Requests {
		r := &t.Requests[i]
		w.at(r.At, func() { w.arrive(r) })
	}
	w.at(0, w.report)
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.result.Requests = len(t.Requests)
	for _, h := range w.hosts {
		paid := t.Length
		if h.gone {
			paid = min(paid, h.ended)
		}
		w.result.Cost += float64(h.instance.Hourly) * paid.Hours()
	}
	return w.result
}

func (w *player) build(m capacity.Mix) {
	for _, o := range w.trace.Offers {
		for range m[o] {
			i := fleet.Instance{
				ID:          fleet.InstanceID(fmt.Sprintf("i-%03d", len(w.hosts))),
				Incarnation: 1,
				Zone:        o.Zone,
				Market:      o.Market,
				Hourly:      o.Hourly,
			}
			w.hosts = append(w.hosts, newHost(i, w.trace.Model))
		}
	}
	for range w.trace.Nodes {
		w.nodes = append(w.nodes, &node{mine: make(map[*host]int)})
	}
	w.see()
}

// see rebuilds the nodes' views after instances came or went.
func (w *player) see() {
	for _, n := range w.nodes {
		old := n.view.Candidates
		before := make(map[fleet.InstanceID]route.Report, len(old))
		for _, c := range old {
			before[c.Instance.ID] = c.Report
		}
		n.view = route.View{TokenTimes: w.trace.Model.Speed}
		n.hosts = nil
		for _, h := range w.hosts {
			if h.leaving || h.gone {
				continue
			}
			n.hosts = append(n.hosts, h)
			n.view.Candidates = append(n.view.Candidates, route.Candidate{
				Instance:  h.instance,
				LocalWork: n.mine[h],
				Slots:     w.trace.Model.Slots,
				Report:    before[h.instance.ID],
			})
		}
		n.view.Refresh()
	}
}

// report gives every node the load as of now, which it uses until the next one,
// and the cache events since the last.
func (w *player) report() {
	for _, h := range w.hosts {
		batch := h.events
		h.events = nil
		for _, n := range w.nodes {
			if !h.gone && w.random.Float64() >= lostEvents {
				n.index.Apply(h.instance.Ref(), batch, epoch.Add(w.now))
			}
		}
	}
	for _, n := range w.nodes {
		n.load(w.now)
		if w.policy.Admit {
			n.queue.Resize(w.room(n))
			w.drain(n)
		}
	}
	if w.now < w.trace.Length {
		w.at(w.now+reportEvery, w.report)
	}
}

// load sets the reports of a node's view.
func (n *node) load(now time.Duration) {
	for i, h := range n.hosts {
		n.view.Candidates[i].Report = route.Report{At: epoch.Add(now), Work: h.work(), LocalWork: n.mine[h]}
	}
	n.view.Refresh()
}

func (w *player) arrive(r *Request) {
	j := &job{request: r, node: w.nodes[w.random.IntN(len(w.nodes))], first: -1}
	if r.Account > 0 {
		w.result.Small++
	}
	if w.policy.Admit {
		w.admit(j)
		return
	}
	w.send(j)
}

// send decides where a job goes and starts it there.
func (w *player) send(j *job) {
	n := j.node
	if w.policy.Oracle {
		n.load(w.now)
	}
	q := w.query(j)
	i, err := route.Pick(w.policy.Route, q, &n.view)
	if err != nil {
		w.result.Lost++
		w.finished(n)
		return
	}
	h := n.hosts[i]
	if at, ok := w.notice[h]; ok && w.now >= at {
		w.result.LastNew = max(w.result.LastNew, w.now-at)
	}
	n.mine[h]++
	n.view.Candidates[i].LocalWork++
	n.index.AddPrompt(h.instance.Ref(), j.request.Chain, epoch.Add(w.now))
	j.host, j.begin = h, -1
	h.waiting = append(h.waiting, j)
	w.fill(h)
}

func (w *player) query(j *job) *route.Query {
	n := j.node
	n.turn++
	r := j.request
	q := &route.Query{
		Now:          epoch.Add(w.now),
		Weights:      w.trace.Weights,
		PromptTokens: r.Prompt + j.emitted,
		OutputTokens: r.Output - j.emitted,
		Seed:         w.random.Uint64(),
		Sequence:     n.turn,
	}
	for _, hit := range n.index.Find(r.Chain, q.Now, nil) {
		for i, h := range n.hosts {
			if h.instance.ID == hit.Instance.ID {
				q.Hits = append(q.Hits, route.Hit{Index: i, Tokens: hit.Tokens, UnconfirmedTokens: hit.UnconfirmedTokens})
			}
		}
	}
	if w.policy.Oracle {
		end := w.now + n.view.ServiceTime(q.PromptTokens, q.OutputTokens)
		leaving := make(map[fleet.InstanceID]bool)
		for h, at := range w.leaves {
			leaving[h.instance.ID] = at < end+time.Second
		}
		q.Allow = func(c *route.Candidate) bool { return !leaving[c.Instance.ID] }
	}
	return q
}

// fill starts waiting jobs while the host has slots.
func (w *player) fill(h *host) {
	for len(h.waiting) > 0 && len(h.running) < h.model.Slots {
		j := h.waiting[0]
		h.waiting = h.waiting[1:]
		w.start(j)
	}
}

func (w *player) start(j *job) {
	h, r := j.host, j.request
	cached := max(h.look(r.Chain), j.imported)
	again := max(0, r.Prompt+j.emitted-cached)
	switch {
	case j.attempt == 0:
		w.result.Uncached += again
	case j.moved:
		w.result.Moved += again
	default:
		w.result.Broken += again
	}
	j.attempt++
	j.imported = 0
	h.running[j] = struct{}{}
	h.prompts = max(h.prompts, w.now) + time.Duration(again)*h.model.Speed.Prefill
	j.begin = h.prompts
	crowd := float64(len(h.running)) / float64(h.model.Slots)
	j.pace = time.Duration(float64(h.model.Speed.Decode) * (1 + crowd))
	if j.first < 0 {
		j.first = j.begin
	}
	attempt := j.attempt
	end := j.begin + time.Duration(r.Output-j.emitted)*j.pace
	w.at(end, func() {
		if j.attempt == attempt && j.host == h {
			w.finish(j)
		}
	})
}

func (w *player) finish(j *job) {
	w.release(j)
	r := j.request
	late := w.now > r.At+r.Deadline
	switch {
	case late:
		w.result.Lost++
	case j.first <= r.At+r.Target:
		w.result.OnTime++
		if r.Account > 0 {
			w.result.SmallOnTime++
		}
	}
	n := j.node
	n.pace += time.Duration(learning * float64(j.pace-n.pace))
	w.finished(n)
}

// release takes a job off its host.
func (w *player) release(j *job) {
	h, n := j.host, j.node
	delete(h.running, j)
	n.mine[h]--
	for i, o := range n.hosts {
		if o == h {
			n.view.Candidates[i].LocalWork = n.mine[h]
		}
	}
	j.host = nil
	w.fill(h)
}
