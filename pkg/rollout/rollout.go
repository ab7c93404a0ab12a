// Package rollout updates the engines of a pool to the configured model and version: a
// limited number at a time, in one zone at a time, and each engine only when it is
// idle. Decide is a pure function; Controller executes its steps under a lease.
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
	// batchDivisor limits the engines that are updated at a time to one in four of the
	// pool.
	batchDivisor = 4
	// minLoadInterval is the minimum interval between two loads in one pool, so that
	// they stay within the rate limit of the weight store.
	minLoadInterval = 5 * time.Second
	// loadTimeout is how long an engine may take to load before its commands are sent
	// again.
	loadTimeout = 5 * time.Minute
)

// Endpoint is the state of one engine as known to this node.
type Endpoint struct {
	Instance fleet.Instance
	// Model and Version are reported by the engine; empty if unknown.
	Model   string
	Version string
	Idle    bool
	// OnHold reports whether the engine is on hold and receives no new work.
	OnHold bool
	// LastCommand is when commands were last sent to the engine.
	LastCommand time.Time
}

// PoolState is the input of Decide for one pool.
type PoolState struct {
	Pool      fleet.Pool
	Now       time.Time
	Endpoints []Endpoint
	// LastCommand is when commands were last sent to an engine of the pool.
	LastCommand time.Time
}

// Action is the kind of a step.
type Action string

// The actions of a rollout, in the order in which an engine goes through them.
const (
	// ActionHold puts the engine on hold, so that it receives no new work.
	ActionHold Action = "hold"
	// ActionCommand sends the engine its commands.
	ActionCommand Action = "load"
	// ActionRelease ends the hold.
	ActionRelease Action = "free"
)

// Step is an action on one engine.
type Step struct {
	Action   Action
	Instance fleet.Instance
}

// Outdated reports whether an engine serves another model or version than configured
// for the pool. An unreported model counts as current, an unreported
// version as outdated.
func Outdated(p fleet.Pool, e Endpoint) bool {
	model := p.Model != "" && e.Model != "" && e.Model != p.Model
	version := p.Version != "" && e.Version != p.Version
	return model || version
}

// Decide returns the next steps for a pool.
func Decide(state PoolState) (steps []Step) {
	changing := 0
	var zone fleet.ZoneName
	for _, e := range state.Endpoints {
		if !e.OnHold {
			continue
		}
		if !Outdated(state.Pool, e) {
			steps = append(steps, Step{Action: ActionRelease, Instance: e.Instance})
			continue
		}
		changing++
		zone = e.Instance.Zone
		if state.maySendCommands(e) {
			steps = append(steps, Step{Action: ActionCommand, Instance: e.Instance})
			state.LastCommand = state.Now
		}
	}
	for _, e := range state.pending(zone) {
		if changing >= state.batchSize() {
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

// batchSize returns the maximum number of engines updated at a time. It is at least 1,
// so that a pool with fewer than batchDivisor engines is updated, too.
func (s PoolState) batchSize() int { return max(1, len(s.Endpoints)/batchDivisor) }

// maySendCommands reports whether an engine may be sent its commands now.
func (s PoolState) maySendCommands(e Endpoint) bool {
	return e.Idle && s.Now.Sub(s.LastCommand) >= minLoadInterval && s.Now.Sub(e.LastCommand) >= loadTimeout
}

// pending returns the outdated engines that are not on hold, those of the given zone
// first, so that one zone is finished before the next.
func (s PoolState) pending(zone fleet.ZoneName) (list []Endpoint) {
	for _, e := range s.Endpoints {
		if !e.OnHold && Outdated(s.Pool, e) {
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

// Commands returns the commands for an engine of the pool. Each command sets a desired
// state, so duplicate and late commands are harmless.
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
