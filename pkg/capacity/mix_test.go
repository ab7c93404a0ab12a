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

// offers draws up to four offers in up to three zones.
func offers(t *rapid.T) (list []fleet.Offer) {
	for n := range rapid.IntRange(1, 4).Draw(t, "offers") {
		list = append(list, fleet.Offer{
			Zone:   fleet.ZoneName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")),
			Class:  fleet.ClassName(fmt.Sprint("class-", n)),
			Market: rapid.SampledFrom([]fleet.Market{fleet.MarketReclaimable, fleet.MarketOnDemand}).Draw(t, "market"),
			Hourly: fleet.MicroCents(rapid.IntRange(1, 9).Draw(t, "hourly")),
		})
	}
	return list
}

// exhaustive returns the best survival within the need, and the least price of
// the mixes that reach it, by trying every mix.
func exhaustive(list []fleet.Offer, need, most int) (survive int, price fleet.MicroCents) {
	best := capacity.Mix{}
	var walk func(n int, m capacity.Mix)
	walk = func(n int, m capacity.Mix) {
		if m.Total() > most {
			return
		}
		if n == len(list) {
			a, b := min(m.AfterZoneLoss(), need), min(best.AfterZoneLoss(), need)
			if a > b || (a == b && min(m.Total(), need) > min(best.Total(), need)) ||
				(a == b && min(m.Total(), need) == min(best.Total(), need) && m.Hourly() < best.Hourly()) {
				best = m
			}
			return
		}
		for count := range most + 1 {
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
	return min(best.AfterZoneLoss(), need), best.Hourly()
}

var _ = Describe("The cheapest mix", func() {
	It("is as cheap as the best of all mixes and survives as much", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := offers(t)
			need := rapid.IntRange(0, 3).Draw(t, "need")
			most := rapid.IntRange(need, 6).Draw(t, "most")
			m := capacity.Cheapest(list, need, most)
			survive, price := exhaustive(list, need, most)
			Expect(min(m.AfterZoneLoss(), need)).To(Equal(survive))
			if survive == need {
				Expect(m.Hourly()).To(Equal(price))
			}
		})
	})
})

var _ = Describe("A decision", func() {
	now := time.Unix(1_800_000_000, 0)
	cheap := fleet.Offer{Zone: "a", Class: "small", Market: fleet.MarketReclaimable, Hourly: 10}
	other := fleet.Offer{Zone: "b", Class: "small", Market: fleet.MarketReclaimable, Hourly: 12}
	dear := fleet.Offer{Zone: "a", Class: "small", Market: fleet.MarketOnDemand, Hourly: 40}
	pool := fleet.Pool{Name: "plume", Slots: 10, Workers: fleet.Range{Min: 2, Max: 8}, Offers: []fleet.Offer{cheap, other, dear}}
	instances := func(o fleet.Offer, count int) (list []fleet.Instance) {
		for n := range count {
			list = append(list, fleet.Instance{
				ID:        fleet.InstanceID(fmt.Sprint(o.Zone, "-", o.Market, "-", n)),
				Zone:      o.Zone,
				Class:     o.Class,
				Market:    o.Market,
				Hourly:    o.Hourly,
				Condition: fleet.ConditionLive,
			})
		}
		return list
	}
	refused := map[capacity.Location]capacity.Refusal{
		capacity.LocationOf(cheap): {Count: 1, Until: now.Add(time.Minute)},
		capacity.LocationOf(other): {Count: 1, Until: now.Add(time.Minute)},
	}

	DescribeTable("starts and retires what it should",
		func(v capacity.PoolState, start []fleet.Offer, retire int) {
			v.Pool, v.Now = pool, now
			d := capacity.Decide(v)
			Expect(d.Start).To(Equal(start))
			Expect(d.Retire).To(HaveLen(retire))
		},
		Entry("spreads over both zones", capacity.PoolState{}, []fleet.Offer{cheap, cheap, other, other}, 0),
		Entry("counts what is being started", capacity.PoolState{
			Starting: map[capacity.Location]int{capacity.LocationOf(cheap): 2, capacity.LocationOf(other): 1},
		}, []fleet.Offer{other}, 0),
		Entry("turns to on-demand when every zone refuses", capacity.PoolState{Refusals: refused}, []fleet.Offer{dear, dear}, 0),
		Entry("keeps a surplus for a while", capacity.PoolState{
			Instances: append(instances(cheap, 2), instances(other, 3)...), SurplusSince: now.Add(-time.Minute),
		}, nil, 0),
		Entry("retires the dearest of a lasting surplus, one at a time", capacity.PoolState{
			Instances:    append(append(instances(cheap, 2), instances(other, 2)...), instances(dear, 2)...),
			SurplusSince: now.Add(-time.Hour),
		}, nil, 1),
	)
})
