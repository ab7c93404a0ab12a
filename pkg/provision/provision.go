// Package provision decides how many endpoints of a pool are ordered in each
// data centre, from which market. The plan is pure: it sees the demand and what
// there is, and returns what there should be.
package provision

import (
	"cmp"
	"math"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Policy is how a plan weighs price against lost work.
type Policy struct {
	// Utilisation is the share of an engine's time that demand may fill.
	Utilisation float64
	// Spare is how many engines there are beyond the demand.
	SpareEngines float64
	// LeastOnDemand is how many engines on demand each data centre keeps, so that
	// one that is cut off goes on.
	MinOnDemand int
}

// DefaultPolicy is used unless a deployment says otherwise.
var DefaultPolicy = Policy{Utilisation: 0.6, SpareEngines: 1.2, MinOnDemand: 1}

// Place is what there is of a pool in a data centre.
type Supply struct {
	DataCentre fleet.DataCentreName
	// Reclaimable counts the reclaimable endpoints that serve there and are not leaving.
	Reclaimable int
	// Refused tells that no reclaimable ones are to be had there now.
	ReclaimableUnavailable bool
}

// Count is how many endpoints a data centre should have.
type Target struct {
	DataCentre            fleet.DataCentreName
	OnDemand, Reclaimable int
}

// Need returns how many engines a demand takes. Initial is how many the
// deployment began with: as many are needed while the demand is not measured yet,
// since callers come all at once.
func (p Policy) RequiredEngines(demand float64, measured bool, initial int) int {
	if !measured {
		return initial
	}
	return int(math.Ceil(demand/p.Utilisation + p.SpareEngines))
}

// Plan returns what each place should have for a need. It answers the reclaim of
// one data centre after another: reclaimable endpoints are spread so that the
// need is met without any one data centre's, and where they are not there to do
// so, endpoints on demand are, before the next reclaim.
func Plan(p Policy, need int, scale serving.Scale, places []Supply) []Target {
	if len(places) == 0 {
		return nil
	}
	total, largest := 0, 0
	for _, place := range places {
		total += place.Reclaimable
		largest = max(largest, place.Reclaimable)
	}
	counts := onDemand(p, need-(total-largest), scale, places)
	each := need
	if others := len(places) - 1; others > 0 {
		each = (need + others - 1) / others
	}
	for i, place := range places {
		counts[i].Reclaimable = max(0, min(scale.Max-counts[i].OnDemand, each))
		if place.ReclaimableUnavailable {
			// The order stands for what is left, so that none that live are given back.
			counts[i].Reclaimable = min(counts[i].Reclaimable, place.Reclaimable)
		}
	}
	return counts
}

// onDemand spreads a number of endpoints on demand over the places that have room
// for them, the cheapest first among those with the fewest.
func onDemand(p Policy, number int, scale serving.Scale, places []Supply) []Target {
	counts := make([]Target, len(places))
	for i, place := range places {
		counts[i] = Target{DataCentre: place.DataCentre, OnDemand: max(scale.Min, p.MinOnDemand)}
		number -= counts[i].OnDemand
	}
	room := func(i int) int { return scale.Max - counts[i].OnDemand - places[i].Reclaimable }
	for ; number > 0; number-- {
		best := -1
		for i := range counts {
			if room(i) > 0 && (best < 0 || cheaper(counts[i], counts[best], scale)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		counts[best].OnDemand++
	}
	return counts
}

func cheaper(a, b Target, scale serving.Scale) bool {
	return cmp.Or(cmp.Compare(a.OnDemand, b.OnDemand), cmp.Compare(scale.OnDemandPrice[a.DataCentre], scale.OnDemandPrice[b.DataCentre])) < 0
}
