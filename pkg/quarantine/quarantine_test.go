package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var _ = Describe("The quarantine", func() {
	now := clock.Instant(time.Hour)

	It("refuses a content that broke three endpoints, wherever they were noted", func() {
		var here, there quarantine.Tracker
		told := 0
		here.OnQuarantined = func(quarantine.ContentHash) { told++ }
		there.Record(quarantine.Crash{Content: 7, Instance: "a"}, now)
		there.Record(quarantine.Crash{Content: 7, Instance: "b"}, now)
		here.Record(quarantine.Crash{Content: 7, Instance: "c"}, now)
		Expect(here.Quarantined(7)).To(BeFalse())
		for range 2 {
			for _, b := range there.Recent() {
				here.Record(b, now)
			}
		}
		Expect(here.Quarantined(7)).To(BeTrue())
		Expect(told).To(Equal(1))
		Expect(there.Quarantined(7)).To(BeFalse())
	})

	It("does not count an endpoint twice, nor many contents of one that crashed", func() {
		var w quarantine.Tracker
		for range 5 {
			w.Record(quarantine.Crash{Content: 1, Instance: "a"}, now)
		}
		for c := range quarantine.ContentHash(100) {
			w.Record(quarantine.Crash{Content: 10 + c, Instance: "a"}, now)
		}
		Expect(w.Quarantined(1)).To(BeFalse())
		Expect(w.Quarantined(50)).To(BeFalse())
	})

	It("forgets", func() {
		var w quarantine.Tracker
		for _, id := range []fleet.InstanceID{"a", "b", "c"} {
			w.Record(quarantine.Crash{Content: 1, Instance: id}, now)
		}
		w.Expire(now.Add(time.Hour))
		Expect(w.Quarantined(1)).To(BeFalse())
		Expect(w.Recent()).To(BeEmpty())
	})
})
