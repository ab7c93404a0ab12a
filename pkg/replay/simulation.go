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

// Parameters of the reports to the nodes and of the terminations.
const (
	// reportInterval is the interval between reports of load and cache events.
	reportInterval = 250 * time.Millisecond
	// noticeDelay is the time from a reclaim notice until the nodes act on it.
	noticeDelay = 500 * time.Millisecond
	// eventLossProbability is the probability that a node misses a batch of cache
	// events.
	eventLossProbability = 0.05
	// earlyTerminationProbability is the probability that an instance is
	// terminated after half of its notice period.
	earlyTerminationProbability = 0.1
)

// epoch is the wall clock time at the start of a trace.
var epoch = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)

// Result holds the measurements of one simulation.
type Result struct {
	// Cost is the sum of the hourly prices times the hours of the instances.
	Cost     float64
	Requests int
	OnTime   int
	// Lost is the number of requests that missed their deadline or had no endpoint.
	Lost int
	// Refused is the number of requests that were not admitted.
	Refused int
	// SmallAccountRequests is the number of requests of all accounts but the
	// largest, SmallAccountOnTime the number of these that were on time.
	SmallAccountRequests int
	SmallAccountOnTime   int
	// Uncached is the number of prompt tokens computed by first attempts.
	Uncached fleet.Tokens
	// RecomputedAfterMove and RecomputedAfterTermination are the numbers of tokens
	// computed again after moves and after terminations of instances.
	RecomputedAfterMove        fleet.Tokens
	RecomputedAfterTermination fleet.Tokens
	// LastDispatchAfterNotice is the longest time from a reclaim notice to a request
	// that was dispatched to the instance nevertheless.
	LastDispatchAfterNotice time.Duration
}

// OnTimeShare returns the fraction of requests that were on time.
func (r Result) OnTimeShare() float64 { return float64(r.OnTime) / float64(r.Requests) }

// node is an entry node, which routes requests by its own view of the pool.
type node struct {
	view  route.View
	hosts []*host
	index prefix.Index
	// localWork is the number of the node's requests on each host.
	localWork map[*host]int
	sequence  uint64
	// queue holds the accepted requests if the policy uses admission.
	queue   limit.Queue
	pending []pending
	// meanTokenTime is the moving average of the time between tokens.
	meanTokenTime time.Duration
}

// simulation is the state of one simulation.
type simulation struct {
	trace  Trace
	policy Policy
	random *rand.Rand
	now    time.Duration
	events eventQueue
	serial int
	hosts  []*host
	nodes  []*node
	// terminationTimes and noticeTimes are those of the reclaimed hosts.
	terminationTimes map[*host]time.Duration
	noticeTimes      map[*host]time.Duration
	result           Result
}

// Simulate runs a policy on a trace with the instances that the policy chooses for
// a required number of instances.
func Simulate(t Trace, p Policy, required int, seed uint64) Result {
	s := &simulation{
		trace:            t,
		policy:           p,
		random:           rand.New(rand.NewPCG(seed, 2)),
		terminationTimes: make(map[*host]time.Duration),
		noticeTimes:      make(map[*host]time.Duration),
	}
	s.setUp(p.ChooseInstances(t.Offers, required))
	for _, r := range t.Reclaims {
		s.scheduleReclaim(r)
	}
	for i := range t.Requests {
		r := &t.Requests[i]
		s.schedule(r.At, func() { s.arrive(r) })
	}
	s.schedule(0, s.reportLoad)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.result.Requests = len(t.Requests)
	for _, h := range s.hosts {
		paid := t.Duration
		if h.terminated {
			paid = min(paid, h.terminatedAt)
		}
		s.result.Cost += float64(h.instance.HourlyPrice) * paid.Hours()
	}
	return s.result
}

// setUp creates the hosts and nodes.
func (s *simulation) setUp(m capacity.Mix) {
	for _, o := range s.trace.Offers {
		for range m[o] {
			i := fleet.Instance{
				ID:          fleet.InstanceID(fmt.Sprintf("i-%03d", len(s.hosts))),
				Incarnation: 1,
				Zone:        o.Zone,
				Market:      o.Market,
				HourlyPrice: o.HourlyPrice,
			}
			s.hosts = append(s.hosts, newHost(i, s.trace.Model))
		}
	}
	for range s.trace.Nodes {
		s.nodes = append(s.nodes, &node{localWork: make(map[*host]int)})
	}
	s.rebuildViews()
}

// rebuildViews rebuilds the nodes' views after the set of usable instances has
// changed. Load reports are kept.
func (s *simulation) rebuildViews() {
	for _, n := range s.nodes {
		candidates := n.view.Candidates
		reports := make(map[fleet.InstanceID]route.LoadReport, len(candidates))
		for _, c := range candidates {
			reports[c.Instance.ID] = c.Report
		}
		n.view = route.View{TokenTimes: s.trace.Model.TokenTimes}
		n.hosts = nil
		for _, h := range s.hosts {
			if h.leaving || h.terminated {
				continue
			}
			n.hosts = append(n.hosts, h)
			n.view.Candidates = append(n.view.Candidates, route.Candidate{
				Instance:  h.instance,
				LocalWork: n.localWork[h],
				Slots:     s.trace.Model.Slots,
				Report:    reports[h.instance.ID],
			})
		}
		n.view.Refresh()
	}
}

// reportLoad gives every node the current load, which it uses until the next
// report, and the cache events since the last report.
func (s *simulation) reportLoad() {
	for _, h := range s.hosts {
		batch := h.unreadEvents
		h.unreadEvents = nil
		for _, n := range s.nodes {
			if !h.terminated && s.random.Float64() >= eventLossProbability {
				n.index.Apply(h.instance.Ref(), batch, epoch.Add(s.now))
			}
		}
	}
	for _, n := range s.nodes {
		n.updateReports(s.now)
		if s.policy.Admission {
			n.queue.Resize(s.concurrencyLimit(n))
			s.dispatchReady(n)
		}
	}
	if s.now < s.trace.Duration {
		s.schedule(s.now+reportInterval, s.reportLoad)
	}
}

// updateReports updates the load reports in a node's view.
func (n *node) updateReports(now time.Duration) {
	for i, h := range n.hosts {
		n.view.Candidates[i].Report = route.LoadReport{At: epoch.Add(now), Work: h.requestCount(), LocalWork: n.localWork[h]}
	}
	n.view.Refresh()
}

// arrive handles a new request on a random node.
func (s *simulation) arrive(r *Request) {
	j := &job{request: r, node: s.nodes[s.random.IntN(len(s.nodes))], firstToken: -1}
	if r.Account > 0 {
		s.result.SmallAccountRequests++
	}
	if s.policy.Admission {
		s.admit(j)
		return
	}
	s.dispatch(j)
}

// dispatch chooses a host for a job and adds the job to it.
func (s *simulation) dispatch(j *job) {
	n := j.node
	if s.policy.Oracle {
		n.updateReports(s.now)
	}
	q := s.routeQuery(j)
	i, err := route.Pick(s.policy.Route, q, &n.view)
	if err != nil {
		s.result.Lost++
		s.releaseRequest(n)
		return
	}
	h := n.hosts[i]
	if at, ok := s.noticeTimes[h]; ok && s.now >= at {
		s.result.LastDispatchAfterNotice = max(s.result.LastDispatchAfterNotice, s.now-at)
	}
	n.localWork[h]++
	n.view.Candidates[i].LocalWork++
	n.index.AddPrompt(h.instance.Ref(), j.request.BlockHashes, epoch.Add(s.now))
	j.host, j.decodeStart = h, -1
	h.waiting = append(h.waiting, j)
	s.startWaiting(h)
}

// routeQuery returns the query for the routing decision on a job. The oracle
// excludes hosts that are terminated before the predicted end of the job.
func (s *simulation) routeQuery(j *job) *route.Query {
	n := j.node
	n.sequence++
	r := j.request
	q := &route.Query{
		Now:          epoch.Add(s.now),
		Weights:      s.trace.Weights,
		PromptTokens: r.PromptTokens + j.emitted,
		OutputTokens: r.OutputTokens - j.emitted,
		Seed:         s.random.Uint64(),
		Sequence:     n.sequence,
	}
	for _, hit := range n.index.Find(r.BlockHashes, q.Now, nil) {
		for i, h := range n.hosts {
			if h.instance.ID == hit.Instance.ID {
				q.Hits = append(q.Hits, route.Hit{Index: i, Tokens: hit.Tokens, UnconfirmedTokens: hit.UnconfirmedTokens})
			}
		}
	}
	if s.policy.Oracle {
		end := s.now + n.view.ServiceTime(q.PromptTokens, q.OutputTokens)
		leavesBeforeEnd := make(map[fleet.InstanceID]bool)
		for h, at := range s.terminationTimes {
			leavesBeforeEnd[h.instance.ID] = at < end+time.Second
		}
		q.Allow = func(c *route.Candidate) bool { return !leavesBeforeEnd[c.Instance.ID] }
	}
	return q
}

// startWaiting starts waiting jobs while the host has free slots.
func (s *simulation) startWaiting(h *host) {
	for len(h.waiting) > 0 && len(h.running) < h.model.Slots {
		j := h.waiting[0]
		h.waiting = h.waiting[1:]
		s.start(j)
	}
}

// start starts an attempt of a job on its host and schedules its end.
func (s *simulation) start(j *job) {
	h, r := j.host, j.request
	cached := max(h.cachePrompt(r.BlockHashes), j.importedTokens)
	uncached := max(0, r.PromptTokens+j.emitted-cached)
	switch {
	case j.attempt == 0:
		s.result.Uncached += uncached
	case j.moved:
		s.result.RecomputedAfterMove += uncached
	default:
		s.result.RecomputedAfterTermination += uncached
	}
	j.attempt++
	j.importedTokens = 0
	h.running[j] = struct{}{}
	h.prefillBusyUntil = max(h.prefillBusyUntil, s.now) + time.Duration(uncached)*h.model.TokenTimes.Prefill
	j.decodeStart = h.prefillBusyUntil
	utilisation := float64(len(h.running)) / float64(h.model.Slots)
	j.tokenTime = time.Duration(float64(h.model.TokenTimes.Decode) * (1 + utilisation))
	if j.firstToken < 0 {
		j.firstToken = j.decodeStart
	}
	attempt := j.attempt
	end := j.decodeStart + time.Duration(r.OutputTokens-j.emitted)*j.tokenTime
	s.schedule(end, func() {
		if j.attempt == attempt && j.host == h {
			s.finish(j)
		}
	})
}

// finish records the result of a completed job.
func (s *simulation) finish(j *job) {
	s.removeFromHost(j)
	r := j.request
	late := s.now > r.At+r.Deadline
	switch {
	case late:
		s.result.Lost++
	case j.firstToken <= r.At+r.FirstTokenTarget:
		s.result.OnTime++
		if r.Account > 0 {
			s.result.SmallAccountOnTime++
		}
	}
	n := j.node
	n.meanTokenTime += time.Duration(tokenTimeSmoothing * float64(j.tokenTime-n.meanTokenTime))
	s.releaseRequest(n)
}

// removeFromHost removes a job from its host and starts waiting jobs there.
func (s *simulation) removeFromHost(j *job) {
	h, n := j.host, j.node
	delete(h.running, j)
	n.localWork[h]--
	for i, o := range n.hosts {
		if o == h {
			n.view.Candidates[i].LocalWork = n.localWork[h]
		}
	}
	j.host = nil
	s.startWaiting(h)
}
