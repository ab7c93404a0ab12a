package provision_test

import (
	"math"
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

// both requires n engines while nothing is lost and after a loss.
func both(n int) provision.Requirement { return provision.Requirement{Usual: n, AfterLoss: n} }

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
		onDemand, reclaimable := total(provision.Plan(policy, both(8), scale, supplies(0, 0, 0)))
		Expect(onDemand).To(Equal(8))
		Expect(reclaimable).To(Equal(12))
	})

	It("requests only the minimum on demand while reclaimable ones serve", func() {
		onDemand, reclaimable := total(provision.Plan(policy, both(8), scale, supplies(4, 4, 4)))
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
		targets := provision.Plan(policy, both(8), scale, present)
		onDemand, reclaimable := total(targets)
		Expect(reclaimable).To(Equal(8), "the remaining endpoints are kept")
		Expect(onDemand+4).To(BeNumerically(">=", 8), "the required number is met without either data centre")
	})

	It("requests on-demand endpoints in the cheapest data centre first", func() {
		targets := provision.Plan(policy, both(4), scale, supplies(0, 0, 0))
		Expect(targets[0].OnDemand).To(Equal(2))
		Expect(targets[1].OnDemand).To(Equal(1))
	})

	It("requires the initial number of endpoints until the demand is measured", func() {
		Expect(policy.RequiredEngines(0, false, 18)).To(Equal(18))
		Expect(policy.RequiredEngines(0, true, 18)).To(BeNumerically("<", 4))
		Expect(policy.Require(0, false, 18)).To(Equal(both(18)))
	})

	It("leaves enough engines for the demand after a loss, and not more on demand than that takes", func() {
		required := policy.Require(36, true, 0)
		Expect(required.Usual).To(Equal(policy.RequiredEngines(36, true, 0)))
		Expect(36 / float64(required.AfterLoss)).To(BeNumerically("<=", policy.LossUtilisation))
		Expect(36 / float64(required.AfterLoss-4)).To(BeNumerically(">", policy.LossUtilisation-0.05))
		present := supplies(0, 0, 11)
		present[0].ReclaimableUnavailable, present[1].ReclaimableUnavailable = true, true
		onDemand, _ := total(provision.Plan(policy, required, serving.Scale{Min: 1, Max: 76}, present))
		Expect(onDemand).To(Equal(max(required.Usual-11, required.AfterLoss)))
	})

	It("meets the required number without any one data centre, within the bounds of each", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			required := provision.Requirement{Usual: rapid.IntRange(0, 30).Draw(t, "required")}
			required.AfterLoss = rapid.IntRange(0, required.Usual).Draw(t, "required after a loss")
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
			if freeCapacity && (available < required.Usual || available-largest < required.AfterLoss) {
				t.Fatalf("%d endpoints, %d without the largest data centre, of %+v, with free capacity left: %+v", available, available-largest, required, targets)
			}
		})
	})
})

var _ = Describe("Held endpoints", func() {
	It("outlast a dip of the demand and are released after it", func() {
		var h provision.Hold
		now, small := clock.Instant(time.Hour), serving.Scale{Min: 1, Max: 12}
		plan := func(required int, present []provision.Supply) []provision.Target {
			targets := provision.Plan(provision.DefaultPolicy, both(required), small, present)
			h.Apply(targets, present, small, now)
			return targets
		}
		present := supplies(8, 8, 8)
		Expect(plan(16, present)[0].Reclaimable).To(Equal(8))
		now = now.Add(5 * time.Second)
		Expect(plan(6, present)[0].Reclaimable).To(Equal(8))
		Expect(plan(20, present)[0].Reclaimable).To(Equal(10))
		now = now.Add(14 * time.Second)
		Expect(plan(6, present)[0].Reclaimable).To(Equal(10))
		present[1].ReclaimableUnavailable = true
		Expect(plan(6, present)[1].Reclaimable).To(Equal(3), "no more are to be had there")
		now = now.Add(2 * time.Second)
		Expect(plan(6, present)[0].Reclaimable).To(Equal(3))
	})

	It("leave room for the endpoints on demand", func() {
		var h provision.Hold
		now, small := clock.Instant(time.Hour), serving.Scale{Min: 1, Max: 10}
		targets := []provision.Target{{DataCentre: "a", OnDemand: 1, Reclaimable: 9}}
		h.Apply(targets, supplies(9), small, now)
		targets[0] = provision.Target{DataCentre: "a", OnDemand: 6, Reclaimable: 2}
		h.Apply(targets, supplies(2), small, now)
		Expect(targets[0].Reclaimable).To(Equal(4))
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

	It("outlasts reports that are missing while a relay is replaced, and follows a fall", func() {
		var r provision.ReportedDemand
		now := clock.Instant(time.Hour)
		Expect(r.Observe(48, now)).To(Equal(48.0))
		for range 5 {
			now = now.Add(200 * time.Millisecond)
			Expect(r.Observe(0.7, now)).To(BeNumerically(">", 36))
		}
		Expect(r.Observe(49, now)).To(Equal(49.0))
		now = now.Add(20 * time.Second)
		Expect(r.Observe(3, now)).To(Equal(3.0))
	})

	It("recovers from a report that is no number", func() {
		var r provision.ReportedDemand
		now := clock.Instant(time.Hour)
		for _, sum := range []float64{math.NaN(), math.Inf(1)} {
			Expect(r.Observe(sum, now)).To(BeZero())
			now = now.Add(time.Second)
		}
		Expect(r.Observe(5, now)).To(Equal(5.0))
		now = now.Add(time.Second)
		Expect(r.Observe(math.NaN(), now)).To(BeNumerically("~", 3.9, 0.1))
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
