// Package placement chooses the endpoint of a request and tells when a request
// can no longer be answered in time. The choices are pure: they see loads and
// a need, and perform no I/O.
package placement

import (
	"math"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// defaultReadRate is how many prompt tokens an engine reads in a millisecond
	// beside running streams, until its own answers tell.
	defaultReadRate = 25.0
	// firstEvent is the time to the first event of an idle engine with a warm prompt.
	firstEvent = 60 * time.Millisecond
	// streamCost is what one running stream adds to the reading of a prompt, as
	// a part of its duration: each step of the batch serves all streams.
	streamCost = 0.004
	// homeTrust is the part of the shared tokens that an endpoint is believed to
	// hold for being the home of the prompt, without a record of it.
	homeTrust = 0.8
	// rereadWait is the wait at which shared tokens that are read again count
	// twice, rereadMost the most that they count beyond once.
	rereadWait = 150 * time.Millisecond
	rereadMost = 4.0
	// remoteCost is the extra time to an endpoint of another data centre.
	remoteCost = 3 * time.Millisecond
	// doubtCost is the penalty for an endpoint whose data centre may be cut off.
	doubtCost = 700 * time.Millisecond
	// fullCost is the wait for a place in a full batch, for each request beyond it.
	fullCost = 60 * time.Millisecond
	// faultCost is the penalty for an endpoint whose last exchanges failed, at a
	// failure rate of one.
	faultCost = 2 * time.Second
	// coldCost is the penalty for an endpoint that is slow after its start.
	coldCost = 150 * time.Millisecond
)

// Load is what a node knows of an endpoint's load.
type Load struct {
	Endpoint serving.Endpoint
	// Running is how many requests the endpoint works on for all nodes.
	Running int
	// Backlog is how many prompt tokens it has yet to read.
	Backlog fleet.Tokens
	// Warm is how many leading tokens of the request's prompt it is known to hold.
	CachedTokens fleet.Tokens
	// Home is the endpoint's place among the homes of the prompt's shared parts,
	// from 1 on; 0 if it is none of them.
	PreferenceRank int
	// Leaving tells that it takes no more requests; it may still hold parts.
	Draining bool
	// ReadRate is how many prompt tokens it reads in a millisecond; 0 if unknown.
	PrefillRate float64
	// Faults is the recent share of its exchanges that failed, 0 to 1.
	FailureRate float64
	// Remote tells that it is in another data centre.
	Remote bool
	// Doubted tells that its data centre may be cut off.
	DataCentreUnreachable bool
	// Avoid takes it only if there is no other.
	Avoid bool
}

// Need is what a request asks of an endpoint.
type Requirements struct {
	PromptTokens fleet.Tokens
	// Shared is how many leading tokens other requests share.
	SharedTokens fleet.Tokens
	// Fetches tells that engines can take over cached parts from each other.
	FetchesKV bool
}

// Choice is an endpoint with what is expected of it.
type Choice struct {
	Endpoint serving.Endpoint
	// First is the predicted time to the first event, or to the answer.
	TimeToFirstEvent time.Duration
	// Uncached is how many prompt tokens the endpoint will have to read.
	UncachedTokens fleet.Tokens
	// Source is another engine that probably holds parts of the prompt which the
	// endpoint lacks; its address is empty if there is none.
	KVSource serving.Endpoint
	// Idle tells that the endpoint has places free and nothing waits there.
	Idle bool
}

// Engine chooses the engine with the least predicted time to the first event.
// It answers a hot prompt by weighing its warm home against the home's backlog,
// so that a home that falls behind sheds to colder engines.
func ChooseEngine(n Requirements, loads []Load) (c Choice, ok bool) {
	best := math.Inf(1)
	home := homeOf(loads)
	var warm fleet.Tokens
	for _, l := range loads {
		if l.Draining {
			continue
		}
		cost, choice := engineCost(n, l, l.PreferenceRank > 0 && l.PreferenceRank == home)
		if cost < best {
			best, c, warm, ok = cost, choice, l.CachedTokens, true
		}
	}
	if ok && n.FetchesKV {
		c.KVSource = sourceFor(n, c.Endpoint.ID, warm, loads)
	}
	return c, ok
}

// homeOf returns the first place among the homes that takes requests.
func homeOf(loads []Load) (home int) {
	for _, l := range loads {
		if l.PreferenceRank > 0 && !l.Draining && (home == 0 || l.PreferenceRank < home) {
			home = l.PreferenceRank
		}
	}
	return home
}

// leastFetched is the least number of tokens that are worth a transfer.
const leastFetched = 500

// sourceFor returns the engine that probably holds most of what another one lacks
// of a prompt's shared parts, by a record or for being a home. It answers fleets
// that change: a home that is leaving still holds what its successor lacks, and
// the second home was the first until a new endpoint went before it. What is
// taken over is not counted on, since the source may not hold it.
func sourceFor(n Requirements, id fleet.InstanceID, warm fleet.Tokens, loads []Load) (source serving.Endpoint) {
	most := warm + leastFetched
	for _, l := range loads {
		if l.Endpoint.ID == id || l.Avoid || l.DataCentreUnreachable {
			continue
		}
		tokens := l.CachedTokens
		if l.PreferenceRank > 0 {
			tokens = max(tokens, fleet.Tokens(homeTrust/float64(l.PreferenceRank)*float64(n.SharedTokens)))
		}
		if tokens >= most {
			most, source = tokens+1, l.Endpoint
		}
	}
	return source
}

// avoidCost keeps avoided endpoints behind all others.
const avoidCost = float64(time.Hour)

// rate returns how many prompt tokens an engine reads in a millisecond.
func (l Load) rate() float64 {
	if l.PrefillRate > 0 {
		return l.PrefillRate
	}
	return defaultReadRate
}

// rereadWeight returns by how much shared tokens that an engine reads again count
// more than others. It grows with the time that prompts wait there, since each of
// them waits longer.
func rereadWeight(l Load) float64 {
	waiting := time.Duration(float64(l.Backlog) / l.rate() * float64(time.Millisecond))
	return min(rereadMost, float64(waiting)/float64(rereadWait))
}

func engineCost(n Requirements, l Load, home bool) (float64, Choice) {
	rate := l.rate()
	warm := l.CachedTokens
	if home {
		warm = max(warm, fleet.Tokens(homeTrust*float64(n.SharedTokens)))
	}
	uncached := max(0, n.PromptTokens-warm)
	reading := float64(l.Backlog+uncached) / rate * float64(time.Millisecond)
	first := float64(firstEvent) + reading*(1+streamCost*float64(l.Running))
	slots := max(1, l.Endpoint.Slots)
	if over := l.Running + 1 - slots; over > 0 {
		first += float64(over) * float64(fullCost)
	}
	reread := float64(max(0, n.SharedTokens-warm)) / rate * float64(time.Millisecond)
	return first + rereadWeight(l)*reread + penalty(l), Choice{
		Endpoint:         l.Endpoint,
		TimeToFirstEvent: time.Duration(first),
		UncachedTokens:   uncached,
		Idle:             l.Running < slots/2 && l.Backlog == 0,
	}
}

// penalty is what speaks against an endpoint beside its load.
func penalty(l Load) float64 {
	cost := l.FailureRate * float64(faultCost)
	if l.Remote {
		cost += float64(remoteCost)
	}
	if l.DataCentreUnreachable {
		cost += float64(doubtCost)
	}
	if l.Endpoint.Cold > 0 {
		cost += float64(coldCost)
	}
	if l.Avoid {
		cost += avoidCost
	}
	return cost
}

const (
	// serviceTime is what one request beyond an endpoint's places waits for.
	serviceTime = 30 * time.Millisecond
	// serviceSlots is used for an endpoint that does not name its places.
	serviceSlots = 4
)

// Service chooses the endpoint of a plain service with the most free places.
func ChooseService(loads []Load) (c Choice, ok bool) {
	best := math.Inf(1)
	for _, l := range loads {
		slots := l.Endpoint.Slots
		if slots <= 0 {
			slots = serviceSlots
		}
		wait := float64(serviceTime) * float64(l.Running) / float64(slots)
		cost := wait + penalty(l)
		if cost < best {
			best, ok = cost, true
			c = Choice{Endpoint: l.Endpoint, TimeToFirstEvent: time.Duration(wait) + serviceTime, Idle: l.Running < slots}
		}
	}
	return c, ok
}
