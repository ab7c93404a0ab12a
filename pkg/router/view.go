package router

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// EngineLoad is an engine's load as read by this node or a peer.
type EngineLoad struct {
	Instance fleet.InstanceRef
	Load     engine.Load
	// At is when the load was read, by this node's clock.
	At time.Time
}

// Parameters of the view.
const (
	// meanWeight is the weight of a new measurement in an exponential moving average.
	meanWeight = 0.1
	// minPrefillSample is the minimum number of uncached prompt tokens for a
	// measurement of the prefill time.
	minPrefillSample = 64
	// defaultOutputTokens is the expected output until a response has been observed.
	defaultOutputTokens = 128
	// minRefreshInterval is the minimum time between two refreshes of a view.
	minRefreshInterval = 20 * time.Millisecond
	// maxSlotShare is the share of the slots that the nodes fill. Further requests wait
	// at the nodes, where they are ordered, rather than at the endpoints.
	maxSlotShare = 0.9
	// initialAvoidTime and maxAvoidTime bound how long an endpoint is avoided after a
	// refused connection. The time doubles with each further refusal.
	initialAvoidTime = time.Second
	maxAvoidTime     = 30 * time.Second
)

// pool is the state of a pool on this node.
type pool struct {
	view             route.View
	index            map[fleet.InstanceRef]int
	meanOutputTokens float64
	// localWork is the number of this node's requests in the pool.
	localWork int
	// needsRefresh is set when a report has arrived since the last refresh.
	needsRefresh bool
	refreshedAt  time.Time
}

// endpointState is the state that a node keeps for one incarnation of an instance.
type endpointState struct {
	assignments map[*assignment]struct{}
	report      route.LoadReport
	// load is the latest load report, unchanged.
	load  engine.Load
	slots int
	// refusals is the number of refused connections since the last success.
	refusals   int
	avoidUntil time.Time
}

// state returns the state of an instance and creates it if needed. The caller must
// hold mu.
func (r *Router) state(ref fleet.InstanceRef) *endpointState {
	s := r.states[ref]
	if s == nil {
		if r.states == nil {
			r.states = make(map[fleet.InstanceRef]*endpointState)
		}
		s = &endpointState{assignments: make(map[*assignment]struct{})}
		r.states[ref] = s
	}
	return s
}

// refreshViews rebuilds the views if the roster has changed. The caller must hold
// mu.
func (r *Router) refreshViews() {
	rosterVersion := r.Roster.Version()
	if r.pools != nil && rosterVersion == r.rosterVersion {
		return
	}
	r.rosterVersion = rosterVersion
	previous := r.pools
	r.pools = make(map[fleet.PoolName]*pool)
	listed := make(map[fleet.InstanceRef]bool)
	for _, i := range r.Roster.Instances() {
		listed[i.Ref()] = true
		p := r.pools[i.Pool]
		if p == nil {
			p = &pool{index: make(map[fleet.InstanceRef]int), meanOutputTokens: defaultOutputTokens}
			r.pools[i.Pool] = p
		}
		if i.Condition.Rank() == 0 {
			p.add(i, r.state(i.Ref()))
		}
	}
	for name, p := range r.pools {
		if prev := previous[name]; prev != nil {
			p.view.TokenTimes, p.meanOutputTokens = prev.view.TokenTimes, prev.meanOutputTokens
		}
		p.view.Refresh()
	}
	r.prefixIndex.Retain(func(ref fleet.InstanceRef) bool { return listed[ref] })
	for ref, s := range r.states {
		if !listed[ref] && len(s.assignments) == 0 {
			delete(r.states, ref)
		}
	}
}

// add adds an instance to the candidates of the pool.
func (p *pool) add(i fleet.Instance, s *endpointState) {
	p.index[i.Ref()] = len(p.view.Candidates)
	p.localWork += len(s.assignments)
	p.view.Candidates = append(p.view.Candidates, route.Candidate{
		Instance:   i,
		LocalWork:  len(s.assignments),
		Slots:      s.slots,
		Report:     s.report,
		AvoidUntil: s.avoidUntil,
	})
}

// candidate returns the candidate of an instance, or nil if it may take no
// requests.
func (r *Router) candidate(name fleet.PoolName, ref fleet.InstanceRef) *route.Candidate {
	p := r.pools[name]
	if p == nil {
		return nil
	}
	index, ok := p.index[ref]
	if !ok {
		return nil
	}
	return &p.view.Candidates[index]
}

// MergeReport merges a load report read by this node or a peer. It ignores a report
// that is not newer than the last one.
func (r *Router) MergeReport(rep EngineLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshViews()
	s := r.state(rep.Instance)
	if !rep.At.After(s.report.At) {
		return
	}
	s.slots = rep.Load.Slots
	s.load = rep.Load
	s.report = route.LoadReport{At: rep.At, Work: rep.Load.Running + rep.Load.Waiting, LocalWork: len(s.assignments)}
	s.refusals, s.avoidUntil = 0, time.Time{}
	for name, p := range r.pools {
		if c := r.candidate(name, rep.Instance); c != nil {
			c.Slots, c.Report, c.AvoidUntil = s.slots, s.report, s.avoidUntil
			p.needsRefresh = true
		}
	}
}

// refreshIfDue refreshes the view if reports have arrived, at most once in
// minRefreshInterval.
func (p *pool) refreshIfDue(now time.Time) {
	if p.needsRefresh && now.Sub(p.refreshedAt) >= minRefreshInterval {
		p.view.Refresh()
		p.needsRefresh, p.refreshedAt = false, now
	}
}

// MergeEvents merges cache events of an engine.
func (r *Router) MergeEvents(ref fleet.InstanceRef, events []engine.CacheEvent, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixIndex.Apply(ref, events, now)
}

// NextEvent returns the sequence number of the next cache event to read from an
// engine.
func (r *Router) NextEvent(ref fleet.InstanceRef) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefixIndex.NextSequence(ref)
}

// RecordRefusal records a refused connection. The endpoint is avoided for a while,
// longer after each refusal, until it responds again. A refusal is only weak
// evidence of a failure, because an engine that restarts refuses connections too.
func (r *Router) RecordRefusal(i fleet.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(i.Ref())
	s.avoidUntil = now.Add(min(initialAvoidTime<<min(s.refusals, 8), maxAvoidTime))
	s.refusals++
	if c := r.candidate(i.Pool, i.Ref()); c != nil {
		c.AvoidUntil = s.avoidUntil
	}
	r.prefixIndex.MarkUnconfirmed(i.Ref())
	if r.OnAvoid != nil {
		r.OnAvoid(i, s.avoidUntil)
	}
}

// RecordResponse records that an endpoint has served a request.
func (r *Router) RecordResponse(i fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(i.Ref())
	s.refusals, s.avoidUntil = 0, time.Time{}
	if c := r.candidate(i.Pool, i.Ref()); c != nil {
		c.AvoidUntil = s.avoidUntil
	}
}

// observe updates the token times, the expected output and the prefix index from
// one attempt. The caller must hold mu.
func (r *Router) observe(a *assignment, o generation.Observation, now time.Time) {
	p := r.pools[a.instance.Pool]
	if p == nil || o.Tokens == 0 {
		return
	}
	if uncached := a.promptTokens - a.cachedTokens; uncached >= minPrefillSample && a.idleAtStart {
		updateMean(&p.view.TokenTimes.Prefill, o.First.Sub(o.Start)/time.Duration(uncached))
	}
	if o.Tokens > 1 {
		updateMean(&p.view.TokenTimes.Decode, o.Last.Sub(o.First)/time.Duration(o.Tokens-1))
	}
	if o.Finish.Done {
		p.meanOutputTokens += meanWeight * (float64(a.emittedTokens+o.Tokens) - p.meanOutputTokens)
		r.prefixIndex.Confirm(a.instance.Ref(), a.blockHashes, o.Finish.Cached, now)
	}
}

// updateMean moves an exponential moving average towards a measurement.
func updateMean(mean *time.Duration, measured time.Duration) {
	if *mean == 0 {
		*mean = measured
		return
	}
	*mean += time.Duration(meanWeight * float64(measured-*mean))
}

// findHits returns the candidates that have part of the prompt cached. The result
// is valid until the next call. The caller must hold mu.
func (r *Router) findHits(p *pool, blockHashes []uint64, now time.Time) []route.Hit {
	r.prefixHitBuf = r.prefixIndex.Find(blockHashes, now, r.prefixHitBuf[:0])
	r.routeHitBuf = r.routeHitBuf[:0]
	for _, h := range r.prefixHitBuf {
		if index, ok := p.index[h.Instance]; ok {
			r.routeHitBuf = append(r.routeHitBuf, route.Hit{Index: index, Tokens: h.Tokens, UnconfirmedTokens: h.UnconfirmedTokens})
		}
	}
	return r.routeHitBuf
}

// ConcurrencyLimit returns how many requests this node may have in flight in a
// pool: those in flight now, plus this node's share of the slots that are free by
// the reports, but at least its even share of the usable slots and at least 1. It
// returns 0, for no limit, if the endpoints of the pool report no slots.
func (r *Router) ConcurrencyLimit(name fleet.PoolName, nodes int) int {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshViews()
	p := r.pools[name]
	if p == nil {
		return 0
	}
	p.refreshIfDue(now)
	if p.view.Slots == 0 {
		return 0
	}
	usableSlots := maxSlotShare * float64(p.view.Slots)
	peerWork := p.view.MeanPeerWork * float64(len(p.view.Candidates))
	freeSlots := max(0, usableSlots-peerWork-float64(p.localWork))
	nodeCount := float64(max(nodes, 1))
	return max(1, p.localWork+int(freeSlots/nodeCount), int(usableSlots/nodeCount))
}

// Forecast predicts the time from dispatch to the end of a request that generates
// at most maxTokens; a maxTokens of 0 means no limit. It returns 0 if the endpoints of
// the pool report no slots.
func (r *Router) Forecast(name fleet.PoolName, prompt, maxTokens fleet.Tokens) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshViews()
	p := r.pools[name]
	if p == nil || p.view.Slots == 0 {
		return 0
	}
	output := fleet.Tokens(p.meanOutputTokens)
	if maxTokens > 0 {
		output = min(maxTokens, output)
	}
	return p.view.ServiceTime(prompt, output)
}
