// Package capacity decides how many instances a pool needs, in which zones and
// classes, and which to start or retire. The decisions are pure functions of
// what is seen, the time and a seed; Keeper carries them out under a lease.
package capacity

import (
	"cmp"
	"slices"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Mix is how many instances to keep per offer.
type Mix map[fleet.Offer]int

// Total returns the number of instances of a mix.
func (m Mix) Total() (count int) {
	for _, n := range m {
		count += n
	}
	return count
}

// Hourly returns the price of an hour of a mix.
func (m Mix) Hourly() (price fleet.MicroCents) {
	for o, n := range m {
		price += o.Hourly * fleet.MicroCents(n)
	}
	return price
}

// AfterLoss returns how many instances stay when the cloud takes every
// reclaimable instance of one zone, for the worst zone.
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

// Cheapest returns the mix of least price that keeps need instances after the
// loss of any one zone's reclaimable ones, with no more than most in all. If no
// mix within most does, it returns the one that keeps the most instances.
//
// With at most k reclaimable instances a zone, need+k instances in all survive
// any loss; for each k the cheapest such mix is found by filling the offers in
// order of price. On-demand instances are not taken away and have no bound.
func Cheapest(offers []fleet.Offer, need, most int) Mix {
	sorted := slices.Clone(offers)
	slices.SortFunc(sorted, compareOffers)
	var best Mix
	for k := 0; k <= need; k++ {
		m := fill(sorted, k, min(need+k, most))
		if better(m, best, need) {
			best = m
		}
	}
	return best
}

func compareOffers(a, b fleet.Offer) int {
	return cmp.Or(
		cmp.Compare(a.Hourly, b.Hourly),
		cmp.Compare(b.Market, a.Market),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Class, b.Class),
	)
}

// fill takes total instances from the offers in their order, with at most k
// reclaimable ones a zone.
func fill(offers []fleet.Offer, k, total int) Mix {
	m := make(Mix)
	zones := make(map[fleet.ZoneName]int)
	for _, o := range offers {
		n := total - m.Total()
		if o.Market == fleet.MarketReclaimable {
			n = min(n, k-zones[o.Zone])
			zones[o.Zone] += max(0, n)
		}
		if n > 0 {
			m[o] = n
		}
	}
	return m
}

// better reports whether a mix is to be preferred: first what survives a loss,
// up to the need, then what there is at all, then the price.
func better(m, than Mix, need int) bool {
	if than == nil {
		return true
	}
	return cmp.Or(
		cmp.Compare(min(m.AfterZoneLoss(), need), min(than.AfterZoneLoss(), need)),
		cmp.Compare(min(m.Total(), need), min(than.Total(), need)),
		cmp.Compare(than.Hourly(), m.Hourly()),
	) > 0
}
