package provision_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

func TestProvision(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "provision")
}

var scale = serving.Scale{Min: 1, Max: 12, OnDemandPrice: map[fleet.DataCentreName]float64{"a": 0.8, "b": 1.2, "c": 1}}

func places(reclaimable ...int) []provision.Supply {
	all := make([]provision.Supply, len(reclaimable))
	for i, n := range reclaimable {
		all[i] = provision.Supply{DataCentre: fleet.DataCentreName(rune('a' + i)), Reclaimable: n}
	}
	return all
}

func total(counts []provision.Target) (onDemand, reclaimable int) {
	for _, c := range counts {
		onDemand += c.OnDemand
		reclaimable += c.Reclaimable
	}
	return onDemand, reclaimable
}

var _ = Describe("A plan of endpoints", func() {
	policy := provision.DefaultPolicy

	It("keeps endpoints on demand until the reclaimable ones serve", func() {
		onDemand, reclaimable := total(provision.Plan(policy, 8, scale, places(0, 0, 0)))
		Expect(onDemand).To(Equal(8))
		Expect(reclaimable).To(Equal(12))
	})

	It("pays for few on demand while the reclaimable ones serve", func() {
		onDemand, reclaimable := total(provision.Plan(policy, 8, scale, places(4, 4, 4)))
		Expect(onDemand).To(Equal(3))
		Expect(reclaimable).To(Equal(12))
	})

	// The load pattern: one data centre's reclaimable endpoints are taken, none
	// are to be had anywhere, and another data centre's follow.
	It("covers the next reclaim after a first one", func() {
		now := places(0, 4, 4)
		for i := range now {
			now[i].ReclaimableUnavailable = true
		}
		counts := provision.Plan(policy, 8, scale, now)
		onDemand, reclaimable := total(counts)
		Expect(reclaimable).To(Equal(8), "those that live are kept")
		Expect(onDemand+4).To(BeNumerically(">=", 8), "the need is met without either one")
	})

	It("orders on demand where it is cheapest first", func() {
		counts := provision.Plan(policy, 4, scale, places(0, 0, 0))
		Expect(counts[0].OnDemand).To(Equal(2))
		Expect(counts[1].OnDemand).To(Equal(1))
	})

	It("goes by what the deployment began with until the demand is measured", func() {
		Expect(policy.RequiredEngines(0, false, 18)).To(Equal(18))
		Expect(policy.RequiredEngines(0, true, 18)).To(BeNumerically("<", 4))
	})

	It("meets the need without any one data centre, within the bounds of each", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			need := rapid.IntRange(0, 30).Draw(t, "need")
			now := places(rapid.IntRange(0, 11).Draw(t, "a"), rapid.IntRange(0, 11).Draw(t, "b"), rapid.IntRange(0, 11).Draw(t, "c"))
			for i := range now {
				now[i].ReclaimableUnavailable = rapid.Bool().Draw(t, "refused")
			}
			room := false
			serving, largest := 0, 0
			counts := provision.Plan(policy, need, scale, now)
			for i, c := range counts {
				if c.OnDemand < scale.Min || c.OnDemand > scale.Max || c.Reclaimable < 0 || c.OnDemand+c.Reclaimable > scale.Max {
					t.Fatalf("%+v is out of bounds", c)
				}
				if now[i].ReclaimableUnavailable && c.Reclaimable > now[i].Reclaimable {
					t.Fatalf("%+v asks a market that has none", c)
				}
				room = room || c.OnDemand+now[i].Reclaimable < scale.Max
				serving += c.OnDemand + now[i].Reclaimable
				largest = max(largest, now[i].Reclaimable)
			}
			if room && serving-largest < need {
				t.Fatalf("%d of %d without the largest, with room left: %+v", serving-largest, need, counts)
			}
		})
	})
})

var _ = Describe("The endpoints that a pool begins with", func() {
	It("are counted until no more register, without those that were ordered", func() {
		var c provision.InitialCount
		now := clock.Instant(time.Hour)
		_, complete := c.Complete(now)
		Expect(complete).To(BeFalse())
		for present := range 5 {
			c.Observe(present, now)
			now = now.Add(time.Second)
		}
		_, complete = c.Complete(now)
		Expect(complete).To(BeFalse())
		now = now.Add(5 * time.Second)
		c.Observe(30, now)
		number, complete := c.Complete(now)
		Expect(complete).To(BeTrue())
		Expect(number).To(Equal(4))
	})
})

var _ = Describe("Demand", func() {
	It("is measured in engines, once requests were counted for a while", func() {
		var d provision.DemandMeter
		now := clock.Instant(time.Hour)
		d.Update(now)
		Expect(d.Measured(now)).To(BeFalse())
		for range 30 {
			now = now.Add(time.Second)
			d.Add("p", 2500)
			d.Update(now)
		}
		Expect(d.Measured(now)).To(BeTrue())
		Expect(d.ByPool()["p"]).To(BeNumerically("~", 2.5, 0.05))
	})

	It("is not too low while a load that set in at once is measured", func() {
		var d provision.DemandMeter
		now := clock.Instant(time.Hour)
		d.Update(now)
		for !d.Measured(now) {
			now = now.Add(time.Second)
			d.Add("p", 18000)
			d.Update(now)
			Expect(d.ByPool()["p"]).To(BeNumerically("~", 18, 0.01))
		}
		Expect(now.Sub(clock.Instant(time.Hour))).To(BeNumerically("<=", 5*time.Second))
	})

	It("falls when the requests end", func() {
		var d provision.DemandMeter
		now := clock.Instant(time.Hour)
		d.Update(now)
		d.Add("p", 4000)
		for range 60 {
			now = now.Add(time.Second)
			d.Update(now)
		}
		Expect(d.ByPool()["p"]).To(BeNumerically("<", 0.01))
	})
})
