package replay

import (
	"github.com/skylarkloom/skylarkloom/pkg/capacity"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// Policy is a named combination of decisions for a pool.
type Policy struct {
	Name  string
	Route route.Policy
	// ChooseInstances returns the instances for a required number of instances.
	ChooseInstances func(offers []fleet.Offer, required int) capacity.Mix
	// MoveOnReclaim moves requests off leaving instances. Otherwise they are
	// interrupted by the termination.
	MoveOnReclaim bool
	// Oracle makes load reports exact and keeps requests off instances that will be
	// terminated before the requests end.
	Oracle bool
	// Admission makes the nodes queue and refuse requests like entry nodes.
	Admission bool
}

// zoneLossTolerant returns the cheapest mix that has the required instances after
// the loss of any zone.
func zoneLossTolerant(offers []fleet.Offer, required int) capacity.Mix {
	return capacity.Cheapest(offers, required, 10*required)
}

// cheapestOnDemand uses only the cheapest on-demand offer, which is never
// reclaimed.
func cheapestOnDemand(offers []fleet.Offer, required int) capacity.Mix {
	return singleOffer(offers, required, fleet.MarketOnDemand)
}

// cheapestReclaimable uses only the cheapest reclaimable offer.
func cheapestReclaimable(offers []fleet.Offer, required int) capacity.Mix {
	return singleOffer(offers, required, fleet.MarketReclaimable)
}

// singleOffer uses only the cheapest offer of a market.
func singleOffer(offers []fleet.Offer, required int, m fleet.Market) capacity.Mix {
	var best fleet.Offer
	for _, o := range offers {
		if o.Market == m && (best.HourlyPrice == 0 || o.HourlyPrice < best.HourlyPrice) {
			best = o
		}
	}
	return capacity.Mix{best: required}
}

// lowestCost chooses the candidate with the lowest predicted cost. It compares all
// candidates.
func lowestCost(q *route.Query, v *route.View) int {
	best, minCost := route.None, 0.0
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if q.Allow != nil && !q.Allow(c) {
			continue
		}
		if cost := v.Score(q, c, float64(q.Cached(i))).Sum(); best == route.None || cost < minCost {
			best, minCost = i, cost
		}
	}
	return best
}

// Policies returns the policy in use, the baselines and the oracle, which is meant
// as a lower bound of the cost.
func Policies() []Policy {
	return []Policy{
		{Name: "policy", Route: route.Predictor{}.Pick, ChooseInstances: zoneLossTolerant, MoveOnReclaim: true},
		{Name: "round robin", Route: route.RoundRobin, ChooseInstances: zoneLossTolerant, MoveOnReclaim: true},
		{Name: "least reported load", Route: route.LeastReported, ChooseInstances: zoneLossTolerant, MoveOnReclaim: true},
		{Name: "power of two by report", Route: route.TwoReported, ChooseInstances: zoneLossTolerant, MoveOnReclaim: true},
		{Name: "power of two by own work", Route: route.TwoChoices, ChooseInstances: zoneLossTolerant, MoveOnReclaim: true},
		{Name: "no move on reclaim", Route: route.Predictor{}.Pick, ChooseInstances: zoneLossTolerant},
		{Name: "on-demand only", Route: route.Predictor{}.Pick, ChooseInstances: cheapestOnDemand, MoveOnReclaim: true},
		{Name: "cheapest zone only", Route: route.Predictor{}.Pick, ChooseInstances: cheapestReclaimable, MoveOnReclaim: true},
		{Name: "oracle", Route: lowestCost, ChooseInstances: zoneLossTolerant, MoveOnReclaim: true, Oracle: true},
	}
}

// Ablations returns the policy in use, its variants that each omit one term of the
// score, and its variants with other numbers of choices.
func Ablations() []Policy {
	policies := []Policy{{Name: "policy", Route: route.Predictor{}.Pick, ChooseInstances: zoneLossTolerant, MoveOnReclaim: true}}
	for _, t := range []route.Term{route.TermQueue, route.TermPrefill, route.TermRecompute} {
		policies = append(policies, Policy{Name: "without " + string(t), Route: route.Predictor{Omit: t}.Pick, ChooseInstances: zoneLossTolerant, MoveOnReclaim: true})
	}
	for _, p := range []struct {
		name    string
		choices int
	}{{"three choices", 3}, {"four choices", 4}} {
		policies = append(policies, Policy{Name: p.name, Route: route.Predictor{Choices: p.choices}.Pick, ChooseInstances: zoneLossTolerant, MoveOnReclaim: true})
	}
	return policies
}
