// Package capacity decides how many instances a pool needs, in which zones and
// classes, and which to start or retire. The decisions are pure functions of the
// observed state, the time and a seed. Controller carries them out under a lease.
package capacity

import (
	"cmp"
	"slices"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Mix is the number of instances to keep for each offer.
type Mix map[fleet.Offer]int

// Total returns the total number of instances.
func (m Mix) Total() (count int) {
	for _, n := range m {
		count += n
	}
	return count
}

// HourlyPrice returns the total price of an hour.
func (m Mix) HourlyPrice() (price fleet.MicroCents) {
	for o, n := range m {
		price += o.HourlyPrice * fleet.MicroCents(n)
	}
	return price
}

// AfterZoneLoss returns how many instances remain if the cloud reclaims every
// reclaimable instance of one zone, in the worst case.
func (m Mix) AfterZoneLoss() int {
	zones := make(map[fleet.ZoneName]int)
	for o, n := range m {
		if o.Market == fleet.MarketReclaimable {
			zones[o.Zone] += n
		}
	}
	worst := 0
	for _, n := range zones {
		worst = max(worst, n)
	}
	return m.Total() - worst
}

// Cheapest returns the cheapest mix of at most maxTotal instances of which the
// required number remain after the loss of the reclaimable instances of any one
// zone. If there is none, it returns the mix that keeps the most instances.
//
// If each zone has at most perZone reclaimable instances, required+perZone
// instances survive the loss of any zone. For each value of perZone, filling the
// offers in order of price gives the cheapest such mix. On-demand instances are not
// reclaimed, so their number per zone is not limited.
func Cheapest(offers []fleet.Offer, required, maxTotal int) Mix {
	sorted := slices.Clone(offers)
	slices.SortFunc(sorted, compareOffers)
	var best Mix
	for perZone := 0; perZone <= required; perZone++ {
		m := fill(sorted, perZone, min(required+perZone, maxTotal))
		if preferred(m, best, required) {
			best = m
		}
	}
	return best
}

// compareOffers orders offers by price; at equal price, reclaimable offers come
// first.
func compareOffers(a, b fleet.Offer) int {
	return cmp.Or(
		cmp.Compare(a.HourlyPrice, b.HourlyPrice),
		cmp.Compare(b.Market, a.Market),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Class, b.Class),
	)
}

// fill takes total instances from the offers in order, with at most perZone
// reclaimable instances in each zone.
func fill(offers []fleet.Offer, perZone, total int) Mix {
	m := make(Mix)
	zones := make(map[fleet.ZoneName]int)
	for _, o := range offers {
		n := total - m.Total()
		if o.Market == fleet.MarketReclaimable {
			n = min(n, perZone-zones[o.Zone])
			zones[o.Zone] += max(0, n)
		}
		if n > 0 {
			m[o] = n
		}
	}
	return m
}

// preferred reports whether m is preferred to another mix; any mix is preferred to
// nil. It compares the number of instances that remain after the loss of a zone, then
// the total number, both capped at the required number, where more is better. If both
// are equal, the lower price is better.
func preferred(m, other Mix, required int) bool {
	if other == nil {
		return true
	}
	return cmp.Or(
		cmp.Compare(min(m.AfterZoneLoss(), required), min(other.AfterZoneLoss(), required)),
		cmp.Compare(min(m.Total(), required), min(other.Total(), required)),
		cmp.Compare(other.HourlyPrice(), m.HourlyPrice()),
	) > 0
}
