package capacity

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Parameters of the decisions.
const (
	// targetUtilisation is the share of its slots up to which an endpoint meets the
	// latency target.
	targetUtilisation = 0.7
	// maxStartsPerDecision is the maximum number of starts per pool and decision.
	maxStartsPerDecision = 8
	// surplusDelay is how long surplus instances are kept.
	surplusDelay = 10 * time.Minute
	// initialBackoff and maxBackoff bound the delay after a refused start.
	initialBackoff = 5 * time.Second
	maxBackoff     = 5 * time.Minute
	// maxBackoffDoublings is the maximum number of times that the delay is doubled.
	maxBackoffDoublings = 16
)

// Location is a zone, class and market of the cloud.
type Location struct {
	Zone   fleet.ZoneName
	Class  fleet.ClassName
	Market fleet.Market
}

// LocationOf returns the location of an offer.
func LocationOf(o fleet.Offer) Location {
	return Location{Zone: o.Zone, Class: o.Class, Market: o.Market}
}

// instanceLocation returns the location of an instance.
func instanceLocation(i fleet.Instance) Location {
	return Location{Zone: i.Zone, Class: i.Class, Market: i.Market}
}

// Demand holds the requests on a pool and the consumption of its error budget.
type Demand struct {
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	// BurnRate is the share of the error budget consumed in the last hour, divided by
	// the elapsed share of the period; above 1 the objective is at risk.
	BurnRate float64
}

// PoolState is the state of a pool that a decision is made from.
type PoolState struct {
	Pool fleet.Pool
	Now  time.Time
	Seed uint64
	// Instances are the instances of the pool that are not terminated.
	Instances []fleet.Instance
	// Starting is the number of open intents by location.
	Starting map[Location]int
	Demand   Demand
	// Refusals holds the locations that refused starts.
	Refusals map[Location]Refusal
	// SurplusSince is when the pool began to exceed its mix; zero if it does not.
	SurplusSince time.Time
}

// Refusal is the state of a location that refused a start.
type Refusal struct {
	Count int
	Until time.Time
}

// Next returns the state after one more refusal. The delay grows exponentially,
// with full jitter.
func (r Refusal) Next(now time.Time, seed uint64) Refusal {
	limit := min(maxBackoff, initialBackoff<<min(r.Count, maxBackoffDoublings))
	jitter := rand.New(rand.NewPCG(seed, uint64(r.Count))).Int64N(int64(limit))
	return Refusal{Count: r.Count + 1, Until: now.Add(time.Duration(jitter))}
}

// Decision lists the changes to make to a pool.
type Decision struct {
	Required int
	Mix      Mix
	Start    []fleet.Offer
	Retire   []fleet.Instance
	Surplus  bool
}

// RequiredInstances returns how many instances must remain after the loss of a zone. A
// burn rate above 1 multiplies the demand, at most by 2.
func RequiredInstances(p fleet.Pool, d Demand) int {
	slots := max(1, p.Slots)
	busy := float64(d.Running + d.Waiting)
	if d.BurnRate > 1 {
		busy *= math.Min(d.BurnRate, 2)
	}
	required := int(math.Ceil(busy / (float64(slots) * targetUtilisation)))
	return min(max(required, p.Workers.Min), max(p.Workers.Max, p.Workers.Min))
}

// Decide returns the changes to make to a pool.
func Decide(s PoolState) Decision {
	offers := slices.DeleteFunc(slices.Clone(s.Pool.Offers), func(o fleet.Offer) bool {
		return s.Refusals[LocationOf(o)].Until.After(s.Now)
	})
	d := Decision{Required: RequiredInstances(s.Pool, s.Demand)}
	d.Mix = Cheapest(offers, d.Required, max(s.Pool.Workers.Max, s.Pool.Workers.Min))
	present := s.countLive()
	for _, o := range sortedOffers(d.Mix) {
		missing := d.Mix[o] - present[LocationOf(o)] - s.Starting[LocationOf(o)]
		for range missing {
			d.Start = append(d.Start, o)
		}
	}
	d.Start = d.Start[:min(len(d.Start), maxStartsPerDecision, max(0, s.maxStarts()))]
	d.Surplus = len(s.live()) > d.Mix.Total()
	if d.Surplus && len(d.Start) == 0 && !s.SurplusSince.IsZero() && s.Now.Sub(s.SurplusSince) >= surplusDelay {
		d.Retire = s.surplusInstance(d.Mix)
	}
	return d
}

// live returns the instances that are not leaving.
func (s PoolState) live() []fleet.Instance {
	return slices.DeleteFunc(slices.Clone(s.Instances), func(i fleet.Instance) bool { return i.Condition.Rank() > 0 })
}

// countLive counts the live instances by location.
func (s PoolState) countLive() map[Location]int {
	count := make(map[Location]int)
	for _, i := range s.live() {
		count[instanceLocation(i)]++
	}
	return count
}

// maxStarts returns how many instances may be started. While instances are
// replaced, a pool may have up to twice its maximum.
func (s PoolState) maxStarts() int {
	starting := 0
	for _, n := range s.Starting {
		starting += n
	}
	limit := max(s.Pool.Workers.Max, s.Pool.Workers.Min)
	return 2*limit - len(s.live()) - starting
}

// surplusInstance returns the most expensive instance that exceeds the mix, or none.
// Only one is retired at a time, so that a wrong view does little harm.
func (s PoolState) surplusInstance(m Mix) []fleet.Instance {
	extra := s.countLive()
	for o, n := range m {
		extra[LocationOf(o)] -= n
	}
	live := s.live()
	slices.SortFunc(live, func(a, b fleet.Instance) int {
		return cmp.Or(cmp.Compare(b.HourlyPrice, a.HourlyPrice), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range live {
		if extra[instanceLocation(i)] > 0 {
			return []fleet.Instance{i}
		}
	}
	return nil
}

// sortedOffers returns the offers of a mix in the order of compareOffers.
func sortedOffers(m Mix) []fleet.Offer {
	offers := make([]fleet.Offer, 0, len(m))
	for o := range m {
		offers = append(offers, o)
	}
	slices.SortFunc(offers, compareOffers)
	return offers
}
