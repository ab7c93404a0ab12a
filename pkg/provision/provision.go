// Package provision decides how many endpoints of a pool are requested in each data
// centre and from which market. Planning is a pure function of the demand and the
// present supply. Each endpoint runs one engine.
package provision

import (
	"cmp"
	"math"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Policy balances the price of endpoints against the risk of lost work.
type Policy struct {
	// Utilisation is the fraction of an engine's time that demand may use, and
	// LossUtilisation that once one data centre has lost its reclaimable engines, until
	// others replace them.
	Utilisation, LossUtilisation float64
	// SpareEngines is the number of engines added to those that the demand requires.
	SpareEngines float64
	// Variation is the number of engines added for the variation of the demand, which
	// grows with its square root.
	Variation float64
	// MinOnDemand is the number of on-demand engines that each data centre keeps, so
	// that it continues to serve while it is cut off from the others.
	MinOnDemand int
}

// DefaultPolicy is the policy for all pools.
var DefaultPolicy = Policy{Utilisation: 0.6, LossUtilisation: 0.8, SpareEngines: 1.2, Variation: 0.5, MinOnDemand: 1}

// Supply is the present supply of a pool's reclaimable endpoints in a data centre.
type Supply struct {
	DataCentre fleet.DataCentreName
	// Reclaimable is the number of reclaimable endpoints that serve there and are not
	// about to be terminated.
	Reclaimable int
	// ReclaimableUnavailable reports whether no further reclaimable endpoints are
	// available there now.
	ReclaimableUnavailable bool
}

// Target is the number of endpoints that a data centre should have, by market.
type Target struct {
	DataCentre            fleet.DataCentreName
	OnDemand, Reclaimable int
}

// Requirement is the number of engines that a demand requires.
type Requirement struct {
	// Usual is the number while nothing is lost, and AfterLoss the number that must remain
	// if one data centre loses its reclaimable engines.
	Usual, AfterLoss int
}

// RequiredEngines returns the number of engines that a demand requires while nothing is
// lost. Before the demand has been measured this is initial, the number that the
// deployment started with, because all callers arrive at the same time.
func (p Policy) RequiredEngines(demand float64, measured bool, initial int) int {
	if !measured {
		return initial
	}
	return p.engines(demand, p.Utilisation)
}

// Require returns the requirement of a demand. It answers reclaims that follow one
// another: engines that remain may be used more until the lost ones are replaced.
func (p Policy) Require(demand float64, measured bool, initial int) Requirement {
	r := Requirement{Usual: p.RequiredEngines(demand, measured, initial), AfterLoss: initial}
	if measured {
		r.AfterLoss = p.engines(demand, max(p.Utilisation, p.LossUtilisation))
	}
	return r
}

// engines returns the number of engines that a demand uses to the given fraction.
func (p Policy) engines(demand, utilisation float64) int {
	return int(math.Ceil(demand/utilisation + p.SpareEngines + p.Variation*math.Sqrt(demand)))
}

// Plan returns the target of each data centre for a requirement. It prepares for
// reclaims in one data centre after another: the reclaimable endpoints are spread so
// that those of any one data centre can be lost, and on-demand endpoints make up for
// missing ones before the next reclaim.
func Plan(p Policy, required Requirement, scale serving.Scale, supplies []Supply) []Target {
	if len(supplies) == 0 {
		return nil
	}
	total, largest := 0, 0
	for _, s := range supplies {
		total += s.Reclaimable
		largest = max(largest, s.Reclaimable)
	}
	targets := spreadOnDemand(p, max(required.Usual-total, required.AfterLoss-(total-largest)), scale, supplies)
	perDataCentre := required.Usual
	if others := len(supplies) - 1; others > 0 {
		perDataCentre = (required.Usual + others - 1) / others
	}
	for i, s := range supplies {
		targets[i].Reclaimable = max(0, min(scale.Max-targets[i].OnDemand, perDataCentre))
		if s.ReclaimableUnavailable {
			// Keep requesting the remaining endpoints, so that none of them is released.
			targets[i].Reclaimable = min(targets[i].Reclaimable, s.Reclaimable)
		}
	}
	return targets
}

// spreadOnDemand distributes on-demand endpoints over the data centres with free
// capacity: first to those with the fewest, among these to the cheapest.
func spreadOnDemand(p Policy, remaining int, scale serving.Scale, supplies []Supply) []Target {
	targets := make([]Target, len(supplies))
	for i, s := range supplies {
		targets[i] = Target{DataCentre: s.DataCentre, OnDemand: max(scale.Min, p.MinOnDemand)}
		remaining -= targets[i].OnDemand
	}
	freeCapacity := func(i int) int { return scale.Max - targets[i].OnDemand - supplies[i].Reclaimable }
	for ; remaining > 0; remaining-- {
		best := -1
		for i := range targets {
			if freeCapacity(i) > 0 && (best < 0 || precedes(targets[i], targets[best], scale)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		targets[best].OnDemand++
	}
	return targets
}

// precedes reports whether data centre a receives the next on-demand endpoint before b.
func precedes(a, b Target, scale serving.Scale) bool {
	return cmp.Or(cmp.Compare(a.OnDemand, b.OnDemand), cmp.Compare(scale.OnDemandPrice[a.DataCentre], scale.OnDemandPrice[b.DataCentre])) < 0
}
