// Package canary moves a pool to the version that the operator ordered: a bounded part of the requests
// goes to the new version until there is a verdict. Decide and Judge are pure; Tracker keeps what one
// node knows.
package canary

import (
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Phase is how far an order has come.
type Phase string

// The phases. Their values are logged and stored.
const (
	// PhaseUnknown means that no verdict or state is known yet. Nothing goes to the new version.
	PhaseUnknown Phase = ""
	// PhaseSampling sends a bounded part of the requests to the new version.
	PhaseSampling Phase = "sampling"
	// PhaseSwitching sends all requests to the new version while the old endpoints finish.
	PhaseSwitching Phase = "switching"
	// PhaseDone and PhaseRolledBack are the verdicts.
	PhaseDone       Phase = "done"
	PhaseRolledBack Phase = "rolled back"
)

// Final reports whether the phase is a verdict.
func (p Phase) Final() bool { return p == PhaseDone || p == PhaseRolledBack }

// Reason is why an order came to its phase.
type Reason string

// The reasons. Their values are logged and stored.
const (
	ReasonOrdered     Reason = "ordered"
	ReasonBarred      Reason = "rolled back before"
	ReasonFailures    Reason = "bad answers"
	ReasonDoubtful    Reason = "too many bad answers at the verdict"
	ReasonGood        Reason = "no worse than the old version"
	ReasonUnsampled   Reason = "too few answers sampled"
	ReasonNoEndpoints Reason = "no endpoints of the version"
	ReasonCounts      Reason = "counts kept"
	ReasonSwitched    Reason = "old endpoints have finished"
	ReasonInUse       Reason = "no other version in use"
	ReasonTimeUp      Reason = "no time left for the old endpoints"
)

// Bounds are what the deployment guarantees. The zero value disables roll-outs.
type Bounds struct {
	// ExposeShare and ExposeSlack bound the requests to a bad version: a share of all requests to
	// its pool, plus the slack.
	ExposeShare, ExposeSlack float64
	// RollbackTime is how long after its 50th bad answer a bad version may still get requests.
	RollbackTime time.Duration
}

// Enabled reports whether the deployment has roll-outs.
func (b Bounds) Enabled() bool { return b.ExposeShare > 0 || b.ExposeSlack > 0 }

// Order is an order of the operator to move a pool to a version.
type Order struct {
	Pool     fleet.PoolName  `cbor:"1,keyasint" json:"pool"`
	To       serving.Version `cbor:"2,keyasint" json:"to"`
	Duration time.Duration   `cbor:"3,keyasint" json:"duration"`
	// Offset is the offset of the order in the operator's topic. Of two orders for a pool the later
	// one is in force.
	Offset fleet.Offset `cbor:"4,keyasint" json:"offset"`
}

// maxVersions bounds the lists of versions in a State.
const maxVersions = 8

// State is the stored state of a pool's latest order. Each one is appended directly after the one that it
// was made from, so they form one sequence.
type State struct {
	Order Order `cbor:"1,keyasint" json:"order"`
	Phase Phase `cbor:"2,keyasint" json:"phase"`
	// Number counts the states of the pool.
	Number int64 `cbor:"3,keyasint" json:"number"`
	// Old are the versions that the pool had beside the new one.
	Old []serving.Version `cbor:"4,keyasint,omitempty" json:"old,omitempty"`
	// Barred are versions that were rolled back, or whose orders were superseded before a verdict.
	Barred []serving.Version `cbor:"5,keyasint,omitempty" json:"barred,omitempty"`
	// Begun is when the order was first known and Since when the phase began, in Unix milliseconds.
	Begun int64 `cbor:"6,keyasint" json:"begun"`
	Since int64 `cbor:"7,keyasint" json:"since"`
	// Counted is when the counts were last kept.
	Counted int64 `cbor:"8,keyasint,omitempty" json:"counted,omitempty"`
	// Reason and Tallies are what led to the phase.
	Reason  Reason  `cbor:"-" json:"reason,omitempty"`
	Tallies []Tally `cbor:"-" json:"tallies,omitempty"`
}

// Concerns reports whether the state is about an order. The same version ordered again is the same order:
// its verdict still holds.
func (s *State) Concerns(o *Order) bool { return s.Phase != PhaseUnknown && s.Order.To == o.To }

// Class says what an endpoint is to an order.
type Class string

// The classes.
const (
	ClassOld Class = "old"
	ClassNew Class = "new"
	// ClassBarred endpoints get nothing.
	ClassBarred Class = "barred"
)

// Classify returns the class of a version while an order is in force. Versions that are not known count as
// old: machines are replaced during an order too.
func Classify(o *Order, s *State, version serving.Version) Class {
	switch {
	case version != "" && version == o.To:
		return ClassNew
	case slices.Contains(s.Barred, version) || s.Phase != PhaseUnknown && !s.Concerns(o) && s.Phase != PhaseDone && version == s.Order.To && version != "":
		return ClassBarred
	case s.Phase == PhaseDone && s.Concerns(o) && slices.Contains(s.Old, version):
		return ClassBarred
	default:
		return ClassOld
	}
}

const (
	// verdictShare is the part of the time ordered after which the verdict comes, and verdictMargin the
	// time that is left for the switch at least if the order allows. Some versions turn bad late.
	verdictShare  = 0.75
	verdictMargin = 6 * time.Second
	// maxSwitchTime bounds how long old endpoints may finish.
	maxSwitchTime = 6 * time.Second
	// minSwitchTime is two exchanges with all nodes.
	minSwitchTime = 1500 * time.Millisecond
	// minSampled is the number of sampled answers below which a version that had minPassed requests
	// to sample from has no verdict.
	minSampled = 3
	minPassed  = 60
	// wellSampled is the number of sampled answers from which the switch takes only as long as the old
	// endpoints need.
	wellSampled = 300
	// countInterval is the interval at which the counts of a sampled version are kept in the state, for
	// the case that all nodes are lost.
	countInterval = 2 * time.Second
	// minCapacity is the part of the old endpoints that the new ones must reach before the switch.
	minCapacity = 0.5
)

// VerdictTime returns how long after an order its verdict comes.
func (o *Order) VerdictTime() time.Duration {
	return max(o.Duration/2, min(time.Duration(verdictShare*float64(o.Duration)), o.Duration-verdictMargin))
}

// switchTime returns how long the old endpoints of the order may finish.
func (o *Order) switchTime() time.Duration {
	return min(maxSwitchTime, (o.Duration-o.VerdictTime())/2)
}

// Situation is the input of Decide.
type Situation struct {
	Order Order
	// State is the newest known state of the pool.
	State State
	// Elapsed is the time since the order, UnixTime the time of day in Unix milliseconds.
	Elapsed  time.Duration
	UnixTime int64
	// Versions are the versions of the pool's endpoints. ReadyOld and ReadyNew count those that accept
	// requests.
	Versions           []serving.Version
	ReadyOld, ReadyNew int
	// Tallies are the counts of all nodes.
	Tallies []Tally
	// Stopped reports whether evidence against the version was seen before.
	Stopped bool
	// Acknowledged is the number of nodes that know the state, of the Nodes that respond. OldRunning is
	// the number of requests in flight at old endpoints.
	Acknowledged, Nodes, OldRunning int
	// Passed is the number of requests passed on to the pool since the order.
	Passed int
}

// remembered returns the counts of all nodes, with those that were kept in the state if most of these are lost with
// the nodes that knew them.
func (s *State) remembered(current []Tally) []Tally {
	if Sampled(s.Tallies) > 2*Sampled(current) {
		return addTallies(s.Tallies, current)
	}
	return current
}

// Decide returns the next state of an order, if it changes. It answers versions that are bad at once or later,
// on all routes or on one; pools with few requests, of which no evidence may be had; and new endpoints that
// do not come or crash.
func Decide(in Situation) (next State, changed bool) {
	next = in.State
	if next.Concerns(&in.Order) {
		in.Tallies = next.remembered(in.Tallies)
	}
	move := func(p Phase, r Reason) (State, bool) {
		next.Phase, next.Reason, next.Since = p, r, in.UnixTime
		next.Number++
		next.Tallies = in.Tallies
		return next, true
	}
	if !next.Concerns(&in.Order) {
		next.begin(&in)
		if slices.Contains(next.Barred, in.Order.To) {
			return move(PhaseRolledBack, ReasonBarred)
		}
		if len(next.Old) == 0 && in.ReadyNew > 0 {
			return move(PhaseDone, ReasonInUse)
		}
		return move(PhaseSampling, ReasonOrdered)
	}
	order, left := &next.Order, in.Order.Duration-in.Elapsed
	switch next.Phase {
	case PhaseSampling:
		if in.Stopped || Judge(in.Tallies, false).Bad {
			return move(PhaseRolledBack, ReasonFailures)
		}
		if in.Elapsed < order.VerdictTime() {
			if Sampled(in.Tallies) == 0 || in.UnixTime-max(next.Counted, next.Since) < countInterval.Milliseconds() {
				return next, false
			}
			next.Number, next.Reason, next.Counted, next.Tallies = next.Number+1, ReasonCounts, in.UnixTime, in.Tallies
			return next, true
		}
		unsampled := Sampled(in.Tallies) < minSampled && in.Passed >= minPassed
		switch {
		case Judge(in.Tallies, true).Bad:
			return move(PhaseRolledBack, ReasonDoubtful)
		case left > order.switchTime() && (float64(in.ReadyNew) < minCapacity*float64(in.ReadyOld) || unsampled):
			// They may still come.
			return next, false
		case in.ReadyNew == 0 && left <= 0:
			return move(PhaseRolledBack, ReasonNoEndpoints)
		case in.ReadyNew == 0:
			return next, false
		case unsampled:
			return move(PhaseRolledBack, ReasonUnsampled)
		default:
			return move(PhaseSwitching, ReasonGood)
		}
	case PhaseSwitching:
		took := time.Duration(in.UnixTime-next.Since) * time.Millisecond
		shortest := min(minSwitchTime, order.switchTime())
		if Sampled(in.Tallies) < wellSampled {
			shortest = order.switchTime()
		}
		switch {
		case in.Stopped || Judge(in.Tallies, false).Bad:
			return move(PhaseRolledBack, ReasonFailures)
		case took < shortest:
		case Judge(in.Tallies, true).Bad:
			return move(PhaseRolledBack, ReasonDoubtful)
		case in.OldRunning == 0 && in.Acknowledged >= in.Nodes:
			return move(PhaseDone, ReasonSwitched)
		case took >= order.switchTime():
			return move(PhaseDone, ReasonTimeUp)
		}
	case PhaseUnknown, PhaseDone, PhaseRolledBack:
	}
	return next, false
}

// begin makes the state that of a new order.
func (s *State) begin(in *Situation) {
	barred := slices.Clone(s.Barred)
	if s.Phase != PhaseUnknown && s.Phase != PhaseDone && !slices.Contains(barred, s.Order.To) {
		barred = append(barred, s.Order.To)
	}
	s.Barred = barred[max(0, len(barred)-maxVersions):]
	s.Order, s.Old, s.Counted = in.Order, nil, 0
	s.Begun = in.UnixTime - in.Elapsed.Milliseconds()
	for _, v := range in.Versions {
		if v != in.Order.To && !slices.Contains(s.Old, v) && !slices.Contains(s.Barred, v) && len(s.Old) < maxVersions {
			s.Old = append(s.Old, v)
		}
	}
}
