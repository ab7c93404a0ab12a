// Package placement chooses the endpoint for a request and predicts the time to
// its first event. The choices are pure functions of the query and the endpoints'
// loads; they perform no I/O.
package placement

import (
	"math"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// idleFirstEventTime is the time to the first event on an idle engine that has
	// the whole prompt cached.
	idleFirstEventTime = 60 * time.Millisecond
	// streamSlowdown is the fraction by which each running stream lengthens the
	// prefill of a prompt, because each step of the batch serves all streams.
	streamSlowdown = 0.004
	// preferredCachedShare is the fraction of the shared tokens that the preferred
	// endpoint of a prompt is assumed to have cached when there is no record of it.
	preferredCachedShare = 0.8
	// recomputeWeightWait is the backlog time at which recomputed shared tokens
	// count twice.
	recomputeWeightWait = 150 * time.Millisecond
	// maxRecomputeWeight bounds the weight that is added to recomputed shared tokens.
	maxRecomputeWeight = 4.0
	// remotePenalty is the extra latency of an endpoint in another data centre.
	remotePenalty = 3 * time.Millisecond
	// unreachablePenalty applies to an endpoint whose data centre may be unreachable.
	unreachablePenalty = 700 * time.Millisecond
	// fullBatchWait is the wait for a slot in a full batch, for each request that
	// exceeds its slots.
	fullBatchWait = 60 * time.Millisecond
	// failurePenalty applies to an endpoint whose recent requests failed, in
	// proportion to its failure rate. This is the value for a rate of 1.
	failurePenalty = 2 * time.Second
	// coldStartPenalty applies to an endpoint that is still slow after its start.
	coldStartPenalty = 150 * time.Millisecond
)

// Load is the load and condition of an endpoint as seen by a node.
type Load struct {
	Endpoint serving.Endpoint
	// Running is the number of requests in flight at the endpoint from all nodes.
	Running int
	// Backlog is the number of prompt tokens that are yet to be prefilled.
	Backlog fleet.Tokens
	// CachedTokens is the number of leading tokens of the request's prompt that
	// are known to be cached.
	CachedTokens fleet.Tokens
	// PreferenceRank is the endpoint's rank among the preferred endpoints of the
	// prompt's shared prefix, starting at 1; 0 if it is not one of them.
	PreferenceRank int
	// Draining reports whether the endpoint accepts no further requests. It may
	// still hold cached prefix blocks.
	Draining bool
	// PrefillRate is the number of prompt tokens processed in a millisecond; 0 if
	// unknown.
	PrefillRate float64
	// Speed is the endpoint's speed relative to the usual one of its pool; 0 if the speeds
	// there don't differ clearly.
	Speed float64
	// FirstStep is the time to the first event of an empty prompt at the idle engine; 0
	// stands for idleFirstEventTime.
	FirstStep time.Duration
	// UnitTime is the usual time in the pool for an output token of an engine or for a
	// request to a plain service; 0 if unknown.
	UnitTime time.Duration
	// FailureRate is the fraction of recent requests that failed, from 0 to 1.
	FailureRate float64
	// Remote reports whether the endpoint is in another data centre.
	Remote bool
	// DataCentreUnreachable reports whether the endpoint's data centre may be
	// unreachable.
	DataCentreUnreachable bool
	// Avoid makes the endpoint a last resort.
	Avoid bool
}

// Query describes the request that an engine is chosen for.
type Query struct {
	PromptTokens fleet.Tokens
	// SharedTokens is the number of leading tokens that other requests share.
	SharedTokens fleet.Tokens
	// OutputTokens is the maximum number of output tokens.
	OutputTokens fleet.Tokens
	// FetchesKV reports whether engines can fetch cached prefix blocks from each
	// other.
	FetchesKV bool
	View      View
}

// Choice is a chosen endpoint with the predicted cost of the request there.
type Choice struct {
	Endpoint serving.Endpoint
	// TimeToFirstEvent is the predicted time to the first event of a stream, or to
	// the response of a plain service.
	TimeToFirstEvent time.Duration
	// Queue is the part of TimeToFirstEvent for which other requests are served.
	Queue time.Duration
	// UncachedTokens is the predicted number of prompt tokens to prefill.
	UncachedTokens fleet.Tokens
	// KVSource is another engine that probably has prefix blocks cached that the
	// endpoint lacks; its address is empty if there is none.
	KVSource serving.Endpoint
	// Elsewhere is the predicted time to the first event at an idle engine of usual speed;
	// 0 in a pool of equal engines.
	Elsewhere time.Duration
	// Idle reports whether the endpoint has free capacity: an engine if it has no
	// backlog and fewer requests in flight than half its slots, a plain service if
	// it has a free slot.
	Idle bool
}

// Uneven reports whether the engines of the pool differ clearly in speed.
func (c Choice) Uneven() bool { return c.Elsewhere > 0 }

// ChooseEngine returns the engine with the lowest predicted time to the first
// event, including penalties. Weighing the preferred endpoint's cache against its
// backlog spreads a hot prompt: when the preferred endpoint falls behind, requests
// go to engines with less of the prompt cached. Between engines of different speeds and
// by a late view it considers only some, so that nodes don't gather on one.
func ChooseEngine(q Query, loads []Load) (c Choice, ok bool) {
	preferred := bestPreferenceRank(loads)
	isPreferred := func(l Load) bool { return l.PreferenceRank > 0 && l.PreferenceRank == preferred }
	late := q.View.late() && len(loads) > 0 && loads[0].Speed > 0
	var costs []float64
	least, best := math.Inf(1), -1
	for i, l := range loads {
		cost := math.Inf(1)
		if !l.Draining {
			cost, _ = engineCost(q, l, isPreferred(l))
		}
		if late {
			costs = append(costs, cost)
		}
		if cost < least {
			least, best = cost, i
		}
	}
	if best < 0 {
		return c, false
	}
	if late {
		best = sample(q.View, loads, isPreferred, costs, best)
	}
	_, c = engineCost(q, loads[best], isPreferred(loads[best]))
	if q.FetchesKV {
		c.KVSource = kvSource(q, c.Endpoint.ID, loads[best].CachedTokens, loads)
	}
	return c, true
}

// bestPreferenceRank returns the lowest rank of a preferred endpoint that accepts
// requests, or 0 if there is none.
func bestPreferenceRank(loads []Load) (best int) {
	for _, l := range loads {
		if l.PreferenceRank > 0 && !l.Draining && (best == 0 || l.PreferenceRank < best) {
			best = l.PreferenceRank
		}
	}
	return best
}

// minKVTransferTokens is the minimum number of additional cached tokens that
// justifies a transfer between engines.
const minKVTransferTokens = 500

// kvSource returns the engine that probably has the most tokens of the prompt
// cached, if they exceed those of the chosen engine by at least
// minKVTransferTokens. id is the chosen engine and cached its number of cached
// tokens. The estimate for another engine is the higher of its recorded cache
// content and a share of the shared tokens by its preference rank. The rank serves
// pools whose endpoints change: a draining preferred endpoint still has the blocks
// cached that its successor lacks, and when a new endpoint takes rank 1, the former
// one has rank 2. The predicted time does not include the saving, since the source
// may not have the blocks.
func kvSource(q Query, id fleet.InstanceID, cached fleet.Tokens, loads []Load) (source serving.Endpoint) {
	minTokens := cached + minKVTransferTokens
	for _, l := range loads {
		if l.Endpoint.ID == id || l.Avoid || l.DataCentreUnreachable {
			continue
		}
		tokens := l.CachedTokens
		if l.PreferenceRank > 0 {
			tokens = max(tokens, fleet.Tokens(preferredCachedShare/float64(l.PreferenceRank)*float64(q.SharedTokens)))
		}
		if tokens >= minTokens {
			minTokens, source = tokens+1, l.Endpoint
		}
	}
	return source
}

// avoidPenalty ranks avoided endpoints behind all others.
const avoidPenalty = float64(time.Hour)

// effectivePrefillRate returns the prefill rate, in prompt tokens a millisecond,
// or the default if it is unknown.
func (l Load) effectivePrefillRate() float64 {
	if l.PrefillRate > 0 {
		return l.PrefillRate
	}
	return provision.DefaultSpeeds.Prefill
}

// firstStep returns the time to the first event of an empty prompt.
func (l Load) firstStep() time.Duration {
	if l.FirstStep > 0 {
		return l.FirstStep
	}
	return idleFirstEventTime
}

// relativeSpeed returns the speed relative to the pool's usual, 1 if there is none.
func (l Load) relativeSpeed() float64 {
	if l.Speed > 0 {
		return l.Speed
	}
	return 1
}

// recomputeWeight returns the additional weight of shared tokens that an engine
// would recompute. It grows with the engine's backlog, since the recomputation
// delays every prompt that waits there.
func recomputeWeight(l Load) float64 {
	backlogTime := time.Duration(float64(l.Backlog) / l.effectivePrefillRate() * float64(time.Millisecond))
	return min(maxRecomputeWeight, float64(backlogTime)/float64(recomputeWeightWait))
}

// engineCost returns the cost by which engines are compared, in nanoseconds, and
// the choice of the engine. preferred is set for the preferred endpoint of lowest
// rank that accepts requests.
func engineCost(q Query, l Load, preferred bool) (float64, Choice) {
	rate := l.effectivePrefillRate()
	cached := l.CachedTokens
	if preferred {
		cached = max(cached, fleet.Tokens(preferredCachedShare*float64(q.SharedTokens)))
	}
	uncached := max(0, q.PromptTokens-cached)
	prefill := float64(l.Backlog+uncached) / rate * float64(time.Millisecond)
	first := float64(l.firstStep()) + prefill*(1+streamSlowdown*float64(l.Running))
	slots := max(1, l.Endpoint.Slots)
	if excess := l.Running + 1 - slots; excess > 0 {
		first += float64(excess) * float64(fullBatchWait) / l.relativeSpeed()
	}
	own := float64(uncached) / rate * float64(time.Millisecond)
	recompute := float64(max(0, q.SharedTokens-cached)) / rate * float64(time.Millisecond)
	choice := Choice{
		Endpoint:         l.Endpoint,
		TimeToFirstEvent: time.Duration(first),
		UncachedTokens:   uncached,
		Queue:            time.Duration(max(0, first-float64(l.firstStep())-own)),
		Idle:             l.Running < slots/2 && l.Backlog == 0,
	}
	cost := first + recomputeWeight(l)*recompute + penalty(l)
	if l.Speed > 0 {
		choice.Elsewhere = l.FirstStep + time.Duration(l.Speed*own)
		cost += besideCost(q, l, own)
	}
	return cost, choice
}

// penalty returns the cost of an endpoint's condition, apart from its load, in
// nanoseconds.
func penalty(l Load) float64 {
	cost := l.FailureRate * float64(failurePenalty)
	if l.Remote {
		cost += float64(remotePenalty)
	}
	if l.DataCentreUnreachable {
		cost += float64(unreachablePenalty)
	}
	if l.Endpoint.Cold > 0 {
		cost += float64(coldStartPenalty)
	}
	if l.Avoid {
		cost += avoidPenalty
	}
	return cost
}
