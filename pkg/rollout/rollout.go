// Package rollout brings the engines of a pool to the model and version of the
// configuration: a few at a time, in one zone at a time, each one only after its
// work has finished. Decide is pure; Keeper carries it out under a lease.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Limits of a rollout.
const (
	// batchShare is the part of a pool that is changed at a time: one in so many.
	batchShare = 4
	// loadEvery is the least time between two loads of one pool, so that the
	// weight store's rate is kept.
	loadEvery = 5 * time.Second
	// loadMost is how long an engine may take for a load before the command is
	// given again.
	loadMost = 5 * time.Minute
)

// Endpoint is one engine as the deciding node sees it.
type Endpoint struct {
	Instance fleet.Instance
	// Model and Version are what the engine reports; empty if not known.
	Model   string
	Version string
	Idle    bool
	// Held says that new work is kept from the engine.
	OnHold bool
	// Commanded is when the engine was last given its command.
	LastCommand time.Time
}

// View is what a decision for one pool is made from.
type PoolState struct {
	Pool      fleet.Pool
	Now       time.Time
	Endpoints []Endpoint
	// Loaded is when the last command of the pool was given.
	LastLoad time.Time
}

// Verb says what is to be done to an engine.
type Action string

// The steps of a rollout, in the order in which an engine goes through them.
const (
	// VerbHold keeps new work from the engine.
	ActionHold Action = "hold"
	// VerbLoad gives the engine its commands.
	ActionLoad Action = "load"
	// VerbFree lets new work come again.
	ActionRelease Action = "free"
)

// Step is one thing to do to one engine.
type Step struct {
	Action   Action
	Instance fleet.Instance
}

// Outdated reports whether an engine serves another model or version than the
// pool's. What an engine does not report is taken as right.
func Outdated(p fleet.Pool, e Endpoint) bool {
	model := p.Model != "" && e.Model != "" && e.Model != p.Model
	version := p.Version != "" && e.Version != p.Version
	return model || version
}

// Decide returns the next steps for a pool.
func Decide(v PoolState) (steps []Step) {
	changing := 0
	var zone fleet.ZoneName
	for _, e := range v.Endpoints {
		if !e.OnHold {
			continue
		}
		if !Outdated(v.Pool, e) {
			steps = append(steps, Step{Action: ActionRelease, Instance: e.Instance})
			continue
		}
		changing++
		zone = e.Instance.Zone
		if v.mayLoad(e) {
			steps = append(steps, Step{Action: ActionLoad, Instance: e.Instance})
			v.LastLoad = v.Now
		}
	}
	for _, e := range v.waiting(zone) {
		if changing >= v.batch() {
			break
		}
		if zone != "" && e.Instance.Zone != zone {
			break
		}
		zone = e.Instance.Zone
		changing++
		steps = append(steps, Step{Action: ActionHold, Instance: e.Instance})
	}
	return steps
}

// batch is how many engines may be changed at a time. A pool of one engine is
// changed all the same: there is no other way.
func (v PoolState) batch() int { return max(1, len(v.Endpoints)/batchShare) }

func (v PoolState) mayLoad(e Endpoint) bool {
	return e.Idle && v.Now.Sub(v.LastLoad) >= loadEvery && v.Now.Sub(e.LastCommand) >= loadMost
}

// waiting returns the outdated engines that are not held, those of the given
// zone first, so that a zone is finished before the next one.
func (v PoolState) waiting(zone fleet.ZoneName) (list []Endpoint) {
	for _, e := range v.Endpoints {
		if !e.OnHold && Outdated(v.Pool, e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int {
		return cmp.Or(
			cmp.Compare(boolRank(a.Instance.Zone != zone), boolRank(b.Instance.Zone != zone)),
			cmp.Compare(a.Instance.Zone, b.Instance.Zone),
			cmp.Compare(a.Instance.ID, b.Instance.ID),
		)
	})
	return list
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Commands returns what an engine of the pool is told. Each sets a desired
// state, so one that comes twice or late does no harm.
func Commands(p fleet.Pool, fence fleet.Fence) (list []engine.Command) {
	if p.Model != "" {
		list = append(list, engine.Command{Kind: engine.CommandModel, Value: p.Model, Fence: fence})
	}
	for _, a := range p.Adapters {
		list = append(list, engine.Command{Kind: engine.CommandAdapter, Value: a, Fence: fence})
	}
	if p.Version != "" {
		list = append(list, engine.Command{Kind: engine.CommandVersion, Value: p.Version, Fence: fence})
	}
	return list
}
