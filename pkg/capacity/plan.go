package capacity

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Limits of the plan.
const (
	// utilisation is the share of its slots up to which an endpoint keeps the
	// latency target.
	utilisation = 0.7
	// startsAtOnce bounds the starts that one decision asks for, per pool.
	startsAtOnce = 8
	// surplusWait is how long more instances than planned are kept.
	surplusWait = 10 * time.Minute
	// refusalDelay and refusalMost bound the delay after a refused start.
	refusalDelay = 5 * time.Second
	refusalMost  = 5 * time.Minute
	// refusalDoublings bounds how often the delay is doubled.
	refusalDoublings = 16
)

// Place is a zone and class of the cloud, in one market.
type Location struct {
	Zone   fleet.ZoneName
	Class  fleet.ClassName
	Market fleet.Market
}

// PlaceOf returns the place of an offer.
func LocationOf(o fleet.Offer) Location {
	return Location{Zone: o.Zone, Class: o.Class, Market: o.Market}
}

// placeAt returns the place where an instance runs.
func placeAt(i fleet.Instance) Location {
	return Location{Zone: i.Zone, Class: i.Class, Market: i.Market}
}

// Demand is what is asked of a pool now.
type Demand struct {
	Running int
	Waiting int
	// Burning is the share of the error budget that the last hour used up, over
	// the share of the period that passed; above 1 the objective is in danger.
	BurnRate float64
}

// View is what a decision for one pool is made from.
type PoolState struct {
	Pool fleet.Pool
	Now  time.Time
	Seed uint64
	// Instances are those of the pool that are not gone.
	Instances []fleet.Instance
	// Starting counts the open intents per place.
	Starting map[Location]int
	Demand   Demand
	// Refusals are the places whose starts were refused.
	Refusals map[Location]Refusal
	// SurplusSince is since when there are more instances than planned; zero if
	// there are not.
	SurplusSince time.Time
}

// Refusal is the state of a place that refused a start.
type Refusal struct {
	Count int
	Until time.Time
}

// Refused returns the state of a place after one more refusal. The delay grows
// exponentially, with full jitter.
func (r Refusal) Next(now time.Time, seed uint64) Refusal {
	most := min(refusalMost, refusalDelay<<min(r.Count, refusalDoublings))
	jitter := rand.New(rand.NewPCG(seed, uint64(r.Count))).Int64N(int64(most))
	return Refusal{Count: r.Count + 1, Until: now.Add(time.Duration(jitter))}
}

// Decision is what to do for one pool.
type Decision struct {
	Required int
	Mix      Mix
	Start    []fleet.Offer
	Retire   []fleet.Instance
	Surplus  bool
}

// Need returns how many instances must be there after the loss of a zone.
func RequiredInstances(p fleet.Pool, d Demand) int {
	slots := max(1, p.Slots)
	busy := float64(d.Running + d.Waiting)
	if d.BurnRate > 1 {
		busy *= math.Min(d.BurnRate, 2)
	}
	need := int(math.Ceil(busy / (float64(slots) * utilisation)))
	return min(max(need, p.Workers.Min), max(p.Workers.Max, p.Workers.Min))
}

// Decide returns what to do for a pool.
func Decide(v PoolState) Decision {
	offers := slices.DeleteFunc(slices.Clone(v.Pool.Offers), func(o fleet.Offer) bool {
		return v.Refusals[LocationOf(o)].Until.After(v.Now)
	})
	d := Decision{Required: RequiredInstances(v.Pool, v.Demand)}
	d.Mix = Cheapest(offers, d.Required, max(v.Pool.Workers.Max, v.Pool.Workers.Min))
	have := v.present()
	for _, o := range sortedOffers(d.Mix) {
		missing := d.Mix[o] - have[LocationOf(o)] - v.Starting[LocationOf(o)]
		for range missing {
			d.Start = append(d.Start, o)
		}
	}
	d.Start = d.Start[:min(len(d.Start), startsAtOnce, max(0, v.room()))]
	d.Surplus = len(v.live()) > d.Mix.Total()
	if d.Surplus && len(d.Start) == 0 && !v.SurplusSince.IsZero() && v.Now.Sub(v.SurplusSince) >= surplusWait {
		d.Retire = v.surplus(d.Mix)
	}
	return d
}

// live returns the instances that are not leaving.
func (v PoolState) live() []fleet.Instance {
	return slices.DeleteFunc(slices.Clone(v.Instances), func(i fleet.Instance) bool { return i.Condition.Rank() > 0 })
}

// present counts the live instances per place.
func (v PoolState) present() map[Location]int {
	have := make(map[Location]int)
	for _, i := range v.live() {
		have[placeAt(i)]++
	}
	return have
}

// room is how many instances may be started before the pool's bound is met.
// Twice the bound may stand while instances are replaced.
func (v PoolState) room() int {
	starting := 0
	for _, n := range v.Starting {
		starting += n
	}
	most := max(v.Pool.Workers.Max, v.Pool.Workers.Min)
	return 2*most - len(v.live()) - starting
}

// surplus returns one instance that the mix does not hold, the dearest first.
// One at a time is retired, so that a wrong view does little harm.
func (v PoolState) surplus(m Mix) []fleet.Instance {
	extra := v.present()
	for o, n := range m {
		extra[LocationOf(o)] -= n
	}
	live := v.live()
	slices.SortFunc(live, func(a, b fleet.Instance) int {
		return cmp.Or(cmp.Compare(b.Hourly, a.Hourly), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range live {
		if extra[placeAt(i)] > 0 {
			return []fleet.Instance{i}
		}
	}
	return nil
}

func sortedOffers(m Mix) []fleet.Offer {
	offers := make([]fleet.Offer, 0, len(m))
	for o := range m {
		offers = append(offers, o)
	}
	slices.SortFunc(offers, compareOffers)
	return offers
}
