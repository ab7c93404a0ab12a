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

	It("quarantines a content that crashed three endpoints, whichever node recorded the crashes", func() {
		var local, remote quarantine.Tracker
		notified := 0
		local.OnQuarantined = func(quarantine.ContentHash) { notified++ }
		remote.Record(quarantine.Crash{Content: 7, Instance: "a"}, now)
		remote.Record(quarantine.Crash{Content: 7, Instance: "b"}, now)
		local.Record(quarantine.Crash{Content: 7, Instance: "c"}, now)
		Expect(local.Quarantined(7)).To(BeFalse())
		for range 2 {
			for _, crash := range remote.Recent() {
				local.Record(crash, now)
			}
		}
		Expect(local.Quarantined(7)).To(BeTrue())
		Expect(notified).To(Equal(1))
		Expect(remote.Quarantined(7)).To(BeFalse())
	})

	It("counts an endpoint once, and does not quarantine contents for a single crashed endpoint", func() {
		var t quarantine.Tracker
		for range 5 {
			t.Record(quarantine.Crash{Content: 1, Instance: "a"}, now)
		}
		for c := range quarantine.ContentHash(100) {
			t.Record(quarantine.Crash{Content: 10 + c, Instance: "a"}, now)
		}
		Expect(t.Quarantined(1)).To(BeFalse())
		Expect(t.Quarantined(50)).To(BeFalse())
	})

	It("removes crashes that expired", func() {
		var t quarantine.Tracker
		for _, id := range []fleet.InstanceID{"a", "b", "c"} {
			t.Record(quarantine.Crash{Content: 1, Instance: id}, now)
		}
		t.Expire(now.Add(time.Hour))
		Expect(t.Quarantined(1)).To(BeFalse())
		Expect(t.Recent()).To(BeEmpty())
	})
})
