package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/pace"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// failureWeight is the weight of one request in the moving average of the
	// failure rate.
	failureWeight = 0.25
	// minFailureRate is the failure rate below which the rate is set to 0.
	minFailureRate = 0.02
	// minAvoidTime and maxAvoidTime bound how long an unreachable endpoint is
	// avoided. The time doubles with each consecutive failure.
	minAvoidTime = 300 * time.Millisecond
	maxAvoidTime = 4 * time.Second
	// fullAvoidTime is how long a full endpoint is avoided while others may have
	// free slots. Several requests end at an endpoint in this time.
	fullAvoidTime = 150 * time.Millisecond
)

// Work is the load that one node puts on an endpoint.
type Work struct {
	Running int
	Backlog fleet.Tokens
}

// Tracker records the load, failures and cached prefix blocks of endpoints, as
// observed by a node. The zero value is ready to use.
type Tracker struct {
	// DataCentreSilent, if set, reports whether no node of a data centre has
	// been seen recently. The data centre is then treated as unreachable, unless one
	// of its endpoints sent something recently.
	DataCentreSilent func(fleet.DataCentreName) bool
	// PoolPrefillRate, if set, returns the usual prefill rate of a pool's engines, which
	// applies to an engine until its own was observed.
	PoolPrefillRate func(fleet.PoolName) float64
	// OnPrefill, if set, is called with the time to the first event of a prompt before
	// which no other one waited at the engine.
	OnPrefill func(pool fleet.PoolName, uncached fleet.Tokens, took time.Duration)

	// Pace, if set, models the speed of each endpoint. Where the endpoints of a pool differ
	// clearly, it replaces the rates that this node observed.
	Pace *pace.Model

	mu        sync.Mutex
	endpoints map[fleet.InstanceID]*endpointState
	// lastResponse is when any endpoint of a data centre last sent something.
	lastResponse map[fleet.DataCentreName]clock.Instant
}

// unreachableAfter is how long after the last response from its endpoints a data
// centre counts as unreachable, if none of its nodes has been seen recently.
const unreachableAfter = 400 * time.Millisecond

// RecordResponse records that an endpoint sent something.
func (t *Tracker) RecordResponse(e serving.Endpoint, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastResponse == nil {
		t.lastResponse = make(map[fleet.DataCentreName]clock.Instant)
	}
	t.lastResponse[e.DataCentre] = now
}

// unreachableDataCentres returns the data centres that may be unreachable from the
// local one. The caller holds the lock.
func (t *Tracker) unreachableDataCentres(endpoints []serving.Endpoint, local fleet.DataCentreName, now clock.Instant) map[fleet.DataCentreName]bool {
	unreachable := make(map[fleet.DataCentreName]bool)
	if t.DataCentreSilent == nil {
		return unreachable
	}
	for _, e := range endpoints {
		if _, ok := unreachable[e.DataCentre]; !ok {
			unreachable[e.DataCentre] = e.DataCentre != local && now.Sub(t.lastResponse[e.DataCentre]) > unreachableAfter && t.DataCentreSilent(e.DataCentre)
		}
	}
	return unreachable
}

// endpointState is the recorded state of one endpoint.
type endpointState struct {
	localWork Work
	// peerWork is the load from the other nodes.
	peerWork            Work
	failureRate         float64
	consecutiveFailures int
	avoidUntil          clock.Instant
	// pausedUntil is until when the incarnations born up to pausedBorn want no requests.
	pausedUntil  clock.Instant
	pausedBorn   int64
	measuredRate float64
	// endpoint is the incarnation that was last considered for a request.
	endpoint serving.Endpoint
	// poolRate is the prefill rate that is expected of the endpoint: the usual one of its
	// pool or, with a speed, the one by that speed.
	poolRate float64
	// speed is the speed relative to the pool's usual, 0 in a pool of equal endpoints, and
	// firstStep the time to the first event of an empty prompt, 0 for the default.
	speed     float64
	firstStep time.Duration
	// prefills are the requests without a first event, oldest first.
	prefills     []*Prefill
	cachedBlocks *lru.Cache[serving.PrefixBlockID, clock.Instant]
}

// state returns the state of an endpoint and adds it if it is missing. The caller
// holds the lock.
func (t *Tracker) state(id fleet.InstanceID) *endpointState {
	if t.endpoints == nil {
		t.endpoints = make(map[fleet.InstanceID]*endpointState)
	}
	s := t.endpoints[id]
	if s == nil {
		// New fails only if the size is not positive.
		cachedBlocks, _ := lru.New[serving.PrefixBlockID, clock.Instant](maxCachedBlocks)
		s = &endpointState{cachedBlocks: cachedBlocks}
		t.endpoints[id] = s
	}
	return s
}

// Loads returns the loads of endpoints for a request whose prompt consists of the
// given prefix blocks, as seen from the local data centre.
func (t *Tracker) Loads(endpoints []serving.Endpoint, blocks []serving.PrefixBlock, local fleet.DataCentreName, now clock.Instant) []Load {
	loads := make([]Load, 0, len(endpoints))
	// The endpoints usually belong to one pool.
	var pool fleet.PoolName
	poolRate := 0.0
	var estimate *pace.Pool
	ranked := preferredEndpoints(endpoints, blocks, t.speedOf)
	t.mu.Lock()
	defer t.mu.Unlock()
	unreachable := t.unreachableDataCentres(endpoints, local, now)
	for _, e := range endpoints {
		s := t.state(e.ID)
		if e.Pool != pool || poolRate == 0 {
			pool, poolRate, estimate = e.Pool, t.poolPrefillRate(e.Pool), t.estimate(e.Pool)
		}
		s.endpoint, s.poolRate = e, poolRate
		s.applyEstimate(estimate)
		loads = append(loads, Load{
			Endpoint:              e,
			Running:               s.localWork.Running + s.peerWork.Running,
			Backlog:               s.localWork.Backlog + s.peerWork.Backlog,
			CachedTokens:          s.cachedTokens(blocks, now),
			PreferenceRank:        1 + slices.Index(ranked, e.ID),
			Draining:              e.State == serving.StateDraining,
			PrefillRate:           s.prefillRate(now),
			Speed:                 s.speed,
			FirstStep:             s.firstStep,
			UnitTime:              estimate.PerUnit,
			FailureRate:           s.failureRate,
			Remote:                e.DataCentre != local,
			DataCentreUnreachable: unreachable[e.DataCentre],
			Avoid:                 now < s.avoidUntil,
		})
	}
	return loads
}

// poolPrefillRate returns the usual prefill rate of a pool's engines.
func (t *Tracker) poolPrefillRate(pool fleet.PoolName) float64 {
	if t.PoolPrefillRate == nil {
		return provision.DefaultSpeeds.Prefill
	}
	return t.PoolPrefillRate(pool)
}

// Prefill is a request at an endpoint, from its start to its end. Its prompt counts
// towards the endpoint's backlog until the first event.
type Prefill struct {
	id        fleet.InstanceID
	endpoint  serving.Endpoint
	startedAt clock.Instant
	// uncached is the number of tokens to prefill for the request, queued the
	// endpoint's backlog including them at the start.
	uncached, queued fleet.Tokens
	finished         bool
}

// Begin records a request that is sent to an endpoint.
func (t *Tracker) Begin(id fleet.InstanceID, uncached fleet.Tokens, now clock.Instant) *Prefill {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.localWork.Running++
	s.localWork.Backlog += uncached
	p := &Prefill{id: id, endpoint: s.endpoint, startedAt: now, uncached: uncached, queued: s.localWork.Backlog + s.peerWork.Backlog}
	s.prefills = append(s.prefills, p)
	return p
}

// RecordFirstEvent records the first event of a request: its prompt has been
// prefilled and is cached.
func (t *Tracker) RecordFirstEvent(p *Prefill, blocks []serving.PrefixBlock, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(p.id)
	if !s.finish(p) {
		return
	}
	for _, b := range blocks {
		s.cachedBlocks.Add(b.ID, now)
	}
	if p.uncached > 0 && p.queued == p.uncached {
		if t.OnPrefill != nil {
			t.OnPrefill(p.endpoint.Pool, p.uncached, now.Sub(p.startedAt))
		}
		if t.Pace != nil {
			t.Pace.AddPrompt(p.endpoint, p.uncached, now.Sub(p.startedAt), now)
		}
	}
	if rate, ok := s.observedRate(p, now); ok {
		if s.measuredRate == 0 {
			s.measuredRate = s.usualRate()
		}
		s.measuredRate += prefillRateWeight * (rate - s.measuredRate)
	}
}

// End records the end of a request.
func (t *Tracker) End(p *Prefill) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(p.id)
	s.finish(p)
	s.localWork.Running--
}

// finish removes a request from the backlog. It reports whether it was still there.
func (s *endpointState) finish(p *Prefill) bool {
	if p.finished {
		return false
	}
	p.finished = true
	s.localWork.Backlog -= p.uncached
	s.prefills = slices.DeleteFunc(s.prefills, func(other *Prefill) bool { return other == p })
	return true
}

// RecordOutcome records whether a request to an endpoint succeeded.
func (t *Tracker) RecordOutcome(id fleet.InstanceID, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	if ok {
		s.consecutiveFailures = 0
		s.avoidUntil = 0
		s.failureRate -= failureWeight * s.failureRate
		if s.failureRate < minFailureRate {
			s.failureRate = 0
		}
		return
	}
	s.failureRate += failureWeight * (1 - s.failureRate)
}

// RecordUnreachable records that an endpoint could not be reached or that its
// address now belongs to another instance.
func (t *Tracker) RecordUnreachable(id fleet.InstanceID, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.consecutiveFailures++
	s.failureRate += failureWeight * (1 - s.failureRate)
	const maxDoublings = 4
	wait := minAvoidTime << min(s.consecutiveFailures-1, maxDoublings)
	s.avoidUntil = now.Add(min(wait, maxAvoidTime))
	// The endpoint may have lost its cache.
	s.cachedBlocks.Purge()
}

// RecordFull records that an endpoint refused a request because it was full.
func (t *Tracker) RecordFull(id fleet.InstanceID, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.avoidUntil = max(s.avoidUntil, now.Add(fullAvoidTime))
}

// SetPeerWork replaces the load from the other nodes.
func (t *Tracker) SetPeerWork(work map[fleet.InstanceID]Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.endpoints {
		s.peerWork = Work{}
	}
	for id, w := range work {
		t.state(id).peerWork = w
	}
}

// LocalWork returns the load from this node on the endpoints that have any.
func (t *Tracker) LocalWork() map[fleet.InstanceID]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := make(map[fleet.InstanceID]Work)
	for id, s := range t.endpoints {
		if s.localWork.Running > 0 {
			work[id] = s.localWork
		}
	}
	return work
}

// Prune removes the state of endpoints that are no longer known, have no requests in
// flight and are not paused.
func (t *Tracker) Prune(known func(fleet.InstanceID) bool, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.endpoints {
		if s.localWork.Running == 0 && s.pausedUntil <= now && !known(id) {
			delete(t.endpoints, id)
		}
	}
}
