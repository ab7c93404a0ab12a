package replay

import (
	"github.com/skylarkloom/skylarkloom/pkg/capacity"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// Policy is a named way to run a pool.
type Policy struct {
	Name  string
	Route route.Policy
	// Fleet chooses the instances for a need.
	Fleet func(offers []fleet.Offer, need int) capacity.Mix
	// Move moves work off leaving instances; without it work breaks there.
	Move bool
	// Oracle makes reports exact and keeps work off instances that will leave
	// before it ends.
	Oracle bool
	// Admit makes the nodes refuse and queue as the daemon does.
	Admit bool
}

// spread is the mix that survives the loss of any zone.
func spread(offers []fleet.Offer, need int) capacity.Mix {
	return capacity.Cheapest(offers, need, 10*need)
}

// onDemand takes the cheapest offer that is never reclaimed.
func onDemand(offers []fleet.Offer, need int) capacity.Mix {
	return single(offers, need, fleet.MarketOnDemand)
}

// cheapestZone takes the cheapest offer of all.
func cheapestZone(offers []fleet.Offer, need int) capacity.Mix {
	return single(offers, need, fleet.MarketReclaimable)
}

func single(offers []fleet.Offer, need int, m fleet.Market) capacity.Mix {
	var best fleet.Offer
	for _, o := range offers {
		if o.Market == m && (best.Hourly == 0 || o.Hourly < best.Hourly) {
			best = o
		}
	}
	return capacity.Mix{best: need}
}

// all takes the candidate of least predicted cost of all.
func all(q *route.Query, v *route.View) int {
	best, least := route.None, 0.0
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if q.Allow != nil && !q.Allow(c) {
			continue
		}
		if cost := v.Score(q, c, float64(q.Cached(i))).Sum(); best == route.None || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// Policies lists the policy, the baselines and the lower bound.
func Policies() []Policy {
	return []Policy{
		{Name: "policy", Route: route.Predictor{}.Pick, Fleet: spread, Move: true},
		{Name: "round robin", Route: route.RoundRobin, Fleet: spread, Move: true},
		{Name: "least reported load", Route: route.LeastReported, Fleet: spread, Move: true},
		{Name: "power of two by report", Route: route.TwoReported, Fleet: spread, Move: true},
		{Name: "power of two by own work", Route: route.TwoChoices, Fleet: spread, Move: true},
		{Name: "no move on reclaim", Route: route.Predictor{}.Pick, Fleet: spread},
		{Name: "on-demand only", Route: route.Predictor{}.Pick, Fleet: onDemand, Move: true},
		{Name: "cheapest zone only", Route: route.Predictor{}.Pick, Fleet: cheapestZone, Move: true},
		{Name: "oracle", Route: all, Fleet: spread, Move: true, Oracle: true},
	}
}

// Ablations lists the policy with each term of the score left out, and with
// other numbers of choices.
func Ablations() []Policy {
	list := []Policy{{Name: "policy", Route: route.Predictor{}.Pick, Fleet: spread, Move: true}}
	for _, t := range []route.Term{route.TermQueue, route.TermPrefix, route.TermRecompute} {
		list = append(list, Policy{Name: "without " + string(t), Route: route.Predictor{Omit: t}.Pick, Fleet: spread, Move: true})
	}
	for _, p := range []struct {
		name    string
		choices int
	}{{"three choices", 3}, {"four choices", 4}} {
		list = append(list, Policy{Name: p.name, Route: route.Predictor{Choices: p.choices}.Pick, Fleet: spread, Move: true})
	}
	return list
}
