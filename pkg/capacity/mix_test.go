package capacity_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/capacity"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// drawOffers draws up to four offers in up to three zones.
func drawOffers(t *rapid.T) (list []fleet.Offer) {
	for n := range rapid.IntRange(1, 4).Draw(t, "offers") {
		list = append(list, fleet.Offer{
			Zone:        fleet.ZoneName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")),
			Class:       fleet.ClassName(fmt.Sprint("class-", n)),
			Market:      rapid.SampledFrom([]fleet.Market{fleet.MarketReclaimable, fleet.MarketOnDemand}).Draw(t, "market"),
			HourlyPrice: fleet.MicroCents(rapid.IntRange(1, 9).Draw(t, "hourly")),
		})
	}
	return list
}

// exhaustiveSearch tries every mix. It returns the largest number of instances that
// can remain after a loss, up to the required number, and the lowest price of a mix
// that keeps as many.
func exhaustiveSearch(list []fleet.Offer, required, maxTotal int) (remaining int, price fleet.MicroCents) {
	best := capacity.Mix{}
	var walk func(n int, m capacity.Mix)
	walk = func(n int, m capacity.Mix) {
		if m.Total() > maxTotal {
			return
		}
		if n == len(list) {
			a, b := min(m.AfterZoneLoss(), required), min(best.AfterZoneLoss(), required)
			if a > b || (a == b && min(m.Total(), required) > min(best.Total(), required)) ||
				(a == b && min(m.Total(), required) == min(best.Total(), required) && m.HourlyPrice() < best.HourlyPrice()) {
				best = m
			}
			return
		}
		for count := range maxTotal + 1 {
			next := capacity.Mix{}
			for o, c := range m {
				next[o] = c
			}
			if count > 0 {
				next[list[n]] = count
			}
			walk(n+1, next)
		}
	}
	walk(0, best)
	return min(best.AfterZoneLoss(), required), best.HourlyPrice()
}

var _ = Describe("The cheapest mix", func() {
	It("keeps as many instances after a loss as the best of all mixes, at its price", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := drawOffers(t)
			required := rapid.IntRange(0, 3).Draw(t, "required")
			maxTotal := rapid.IntRange(required, 6).Draw(t, "maxTotal")
			m := capacity.Cheapest(list, required, maxTotal)
			remaining, price := exhaustiveSearch(list, required, maxTotal)
			Expect(min(m.AfterZoneLoss(), required)).To(Equal(remaining))
			if remaining == required {
				Expect(m.HourlyPrice()).To(Equal(price))
			}
		})
	})
})

var _ = Describe("A decision", func() {
	now := time.Unix(1_800_000_000, 0)
	zoneA := fleet.Offer{Zone: "a", Class: "small", Market: fleet.MarketReclaimable, HourlyPrice: 10}
	zoneB := fleet.Offer{Zone: "b", Class: "small", Market: fleet.MarketReclaimable, HourlyPrice: 12}
	onDemand := fleet.Offer{Zone: "a", Class: "small", Market: fleet.MarketOnDemand, HourlyPrice: 40}
	pool := fleet.Pool{Name: "plume", Slots: 10, Workers: fleet.Range{Min: 2, Max: 8}, Offers: []fleet.Offer{zoneA, zoneB, onDemand}}
	instances := func(o fleet.Offer, count int) (list []fleet.Instance) {
		for n := range count {
			list = append(list, fleet.Instance{
				ID:          fleet.InstanceID(fmt.Sprint(o.Zone, "-", o.Market, "-", n)),
				Zone:        o.Zone,
				Class:       o.Class,
				Market:      o.Market,
				HourlyPrice: o.HourlyPrice,
				Condition:   fleet.ConditionLive,
			})
		}
		return list
	}
	refused := map[capacity.Location]capacity.Refusal{
		capacity.LocationOf(zoneA): {Count: 1, Until: now.Add(time.Minute)},
		capacity.LocationOf(zoneB): {Count: 1, Until: now.Add(time.Minute)},
	}

	DescribeTable("starts and retires the expected instances",
		func(s capacity.PoolState, start []fleet.Offer, retire int) {
			s.Pool, s.Now = pool, now
			d := capacity.Decide(s)
			Expect(d.Start).To(Equal(start))
			Expect(d.Retire).To(HaveLen(retire))
		},
		Entry("spreads the starts over both zones", capacity.PoolState{}, []fleet.Offer{zoneA, zoneA, zoneB, zoneB}, 0),
		Entry("counts the instances that are being started", capacity.PoolState{
			Starting: map[capacity.Location]int{capacity.LocationOf(zoneA): 2, capacity.LocationOf(zoneB): 1},
		}, []fleet.Offer{zoneB}, 0),
		Entry("starts on-demand instances when every zone refuses", capacity.PoolState{Refusals: refused}, []fleet.Offer{onDemand, onDemand}, 0),
		Entry("keeps a short surplus", capacity.PoolState{
			Instances: append(instances(zoneA, 2), instances(zoneB, 3)...), SurplusSince: now.Add(-time.Minute),
		}, nil, 0),
		Entry("retires the most expensive instance of a lasting surplus, one at a time", capacity.PoolState{
			Instances:    append(append(instances(zoneA, 2), instances(zoneB, 2)...), instances(onDemand, 2)...),
			SurplusSince: now.Add(-time.Hour),
		}, nil, 1),
	)
})
