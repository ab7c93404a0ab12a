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

func supplies(reclaimable ...int) []provision.Supply {
	present := make([]provision.Supply, len(reclaimable))
	for i, n := range reclaimable {
		present[i] = provision.Supply{DataCentre: fleet.DataCentreName(rune('a' + i)), Reclaimable: n}
	}
	return present
}

func total(targets []provision.Target) (onDemand, reclaimable int) {
	for _, c := range targets {
		onDemand += c.OnDemand
		reclaimable += c.Reclaimable
	}
	return onDemand, reclaimable
}

var _ = Describe("A provisioning plan", func() {
	policy := provision.DefaultPolicy

	It("requests all required endpoints on demand until reclaimable ones serve", func() {
		onDemand, reclaimable := total(provision.Plan(policy, 8, scale, supplies(0, 0, 0)))
		Expect(onDemand).To(Equal(8))
		Expect(reclaimable).To(Equal(12))
	})

	It("requests only the minimum on demand while reclaimable ones serve", func() {
		onDemand, reclaimable := total(provision.Plan(policy, 8, scale, supplies(4, 4, 4)))
		Expect(onDemand).To(Equal(3))
		Expect(reclaimable).To(Equal(12))
	})

	// Guards against two reclaims in a row: one data centre loses its reclaimable
	// endpoints, no replacements are available anywhere, and then a second data centre
	// loses its reclaimable endpoints too.
	It("meets the demand through a second reclaim", func() {
		present := supplies(0, 4, 4)
		for i := range present {
			present[i].ReclaimableUnavailable = true
		}
		targets := provision.Plan(policy, 8, scale, present)
		onDemand, reclaimable := total(targets)
		Expect(reclaimable).To(Equal(8), "the remaining endpoints are kept")
		Expect(onDemand+4).To(BeNumerically(">=", 8), "the required number is met without either data centre")
	})

	It("requests on-demand endpoints in the cheapest data centre first", func() {
		targets := provision.Plan(policy, 4, scale, supplies(0, 0, 0))
		Expect(targets[0].OnDemand).To(Equal(2))
		Expect(targets[1].OnDemand).To(Equal(1))
	})

	It("requires the initial number of endpoints until the demand is measured", func() {
		Expect(policy.RequiredEngines(0, false, 18)).To(Equal(18))
		Expect(policy.RequiredEngines(0, true, 18)).To(BeNumerically("<", 4))
	})

	It("meets the required number without any one data centre, within the bounds of each", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			required := rapid.IntRange(0, 30).Draw(t, "required")
			present := supplies(rapid.IntRange(0, 11).Draw(t, "a"), rapid.IntRange(0, 11).Draw(t, "b"), rapid.IntRange(0, 11).Draw(t, "c"))
			for i := range present {
				present[i].ReclaimableUnavailable = rapid.Bool().Draw(t, "unavailable")
			}
			freeCapacity := false
			available, largest := 0, 0
			targets := provision.Plan(policy, required, scale, present)
			for i, c := range targets {
				if c.OnDemand < scale.Min || c.OnDemand > scale.Max || c.Reclaimable < 0 || c.OnDemand+c.Reclaimable > scale.Max {
					t.Fatalf("%+v is out of bounds", c)
				}
				if present[i].ReclaimableUnavailable && c.Reclaimable > present[i].Reclaimable {
					t.Fatalf("%+v requests reclaimable endpoints that are unavailable", c)
				}
				freeCapacity = freeCapacity || c.OnDemand+present[i].Reclaimable < scale.Max
				available += c.OnDemand + present[i].Reclaimable
				largest = max(largest, present[i].Reclaimable)
			}
			if freeCapacity && available-largest < required {
				t.Fatalf("%d of %d endpoints without the largest data centre, with free capacity left: %+v", available-largest, required, targets)
			}
		})
	})
})

var _ = Describe("The initial endpoints of a pool", func() {
	It("are counted until no more register, without those that are requested later", func() {
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
		count, complete := c.Complete(now)
		Expect(complete).To(BeTrue())
		Expect(count).To(Equal(4))
	})
})

var _ = Describe("Demand", func() {
	It("is measured in engines once requests have been measured for long enough", func() {
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

	It("is not underestimated while an abruptly started load is measured", func() {
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
