package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
)

var _ = Describe("What a node knows of crashes", func() {
	const start = clock.Instant(time.Hour)
	at := start.Add
	crash := func(t *quarantine.Tracker, number int, subjects []quarantine.Subject, when time.Duration) {
		t.RecordCrash(fleet.InstanceID(fmt.Sprint("i", number)), quarantine.Run{Subjects: subjects, Sent: at(when - 20*time.Millisecond), Broke: at(when)})
	}
	// store lets a node store what it has to, and returns the suspicions.
	store := func(t *quarantine.Tracker, now clock.Instant) []quarantine.Suspicion {
		added, removed := t.Unstored(now)
		t.MarkStored(added, removed)
		return added
	}

	// Crashes that lay further apart than crashTTL never added up.
	It("counts crashes of a content that lie minutes apart", func() {
		var t quarantine.Tracker
		for i := range 3 {
			when := time.Duration(i) * 9 * time.Minute
			t.Expire(at(when))
			crash(&t, i, subjects(7, "shared"), when)
			t.Expire(at(when + 3*time.Minute))
		}
		now := at(18*time.Minute + 10*time.Second)
		Expect(t.Quarantined(subjects(7), now)).To(BeTrue())
		Expect(t.Quarantined(subjects(8, "shared"), now)).To(BeFalse())
	})

	It("does not count them if the content was served meanwhile, however many others were since", func() {
		var t quarantine.Tracker
		for i := range 3 {
			when := time.Duration(i) * 5 * time.Minute
			crash(&t, i, subjects(7), when)
			t.RecordServed(subjects(7), at(when+time.Second))
			for other := range 10_000 {
				t.RecordServed(subjects(uint64(100+i*10_000+other)), at(when+2*time.Second))
			}
			t.Expire(at(when + 4*time.Minute))
		}
		Expect(t.Count(at(11 * time.Minute))).To(BeZero())
	})

	It("is limited, and keeps what crashed more than one endpoint", func() {
		var t quarantine.Tracker
		crash(&t, 0, subjects(7), 0)
		crash(&t, 1, subjects(7), time.Second)
		for i := range 1500 {
			crash(&t, 2+i/10, subjects(uint64(100+i)), time.Duration(2+i/10)*time.Second)
		}
		t.Expire(at(15 * time.Minute))
		Expect(len(t.FullReport(at(15 * time.Minute)).Suspicions)).To(BeNumerically("<=", 512))
		crash(&t, 999, subjects(7), 16*time.Minute)
		Expect(t.Quarantined(subjects(7), at(16*time.Minute+time.Second))).To(BeTrue())
	})

	It("keeps what crashed two endpoints while very many requests are lost", func() {
		var t quarantine.Tracker
		crash(&t, 0, subjects(7), 0)
		crash(&t, 1, subjects(7), time.Second)
		for i := range 5000 {
			crash(&t, 2+i/100, subjects(uint64(100+i)), 2*time.Second)
		}
		crash(&t, 999, subjects(7), 10*time.Second)
		Expect(t.Quarantined(subjects(7), at(11*time.Second))).To(BeTrue())
	})

	It("is not on probation for a peer's word once it was served after the quarantine", func() {
		var t quarantine.Tracker
		t.RecordServed(subjects(7), at(time.Minute))
		t.Merge(quarantine.Report{Quarantines: []quarantine.Quarantine{{Subject: subjects(7)[0], Remaining: -2 * time.Minute, Count: 1}}}, at(2*time.Minute))
		crash(&t, 0, subjects(7), 2*time.Minute)
		Expect(t.Quarantined(subjects(7), at(2*time.Minute+time.Second))).To(BeFalse())
	})

	It("is stored by the node that saw a crash at once, and by others only if that one has not", func() {
		var observer, other quarantine.Tracker
		crash(&observer, 0, subjects(7), 0)
		other.Merge(observer.Report(at(time.Second)), at(time.Second))
		Expect(store(&other, at(time.Second))).To(BeEmpty())
		Expect(store(&observer, at(time.Second))).To(HaveLen(1))
		Expect(store(&observer, at(time.Second))).To(BeEmpty())
		other.Merge(observer.Report(at(2*time.Second)), at(2*time.Second))
		Expect(store(&other, at(5*time.Second))).To(BeEmpty())

		crash(&observer, 1, subjects(7), 6*time.Second)
		other.Merge(observer.Report(at(7*time.Second)), at(7*time.Second))
		Expect(store(&other, at(8*time.Second))).To(BeEmpty())
		Expect(store(&other, at(10*time.Second))).To(HaveLen(1))
	})

	It("holds no contents in use, of which many are in flight where endpoints are lost", func() {
		var t quarantine.Tracker
		t.RecordServed(subjects(7, "shared"), at(-5*time.Second))
		crash(&t, 0, subjects(7, "shared"), 0)
		crash(&t, 0, subjects(8, "shared"), 0)
		added := store(&t, at(time.Second))
		Expect(added).To(HaveLen(1))
		Expect(added[0].Subjects).To(Equal(quarantine.Subjects(8, nil)))
	})

	// A subject on probation was trusted after a start, and crashed three endpoints more.
	It("includes a quarantine that is over but on probation, from the store and from other nodes", func() {
		var t quarantine.Tracker
		for i := range 3 {
			crash(&t, i, subjects(7), time.Duration(i)*time.Second)
		}
		Expect(t.Quarantined(subjects(7), at(4*time.Second))).To(BeTrue())
		now := at(5 * time.Minute)
		for _, report := range []quarantine.Report{
			t.FullReport(now),
			{Quarantines: []quarantine.Quarantine{{Subject: subjects(7)[0], Remaining: -3 * time.Minute, Count: 1}}},
		} {
			var started quarantine.Tracker
			started.Load(report, 1, now)
			Expect(started.Quarantined(subjects(7), now)).To(BeFalse())
			crash(&started, 9, subjects(7), 5*time.Minute)
			Expect(started.Quarantined(subjects(7), now.Add(time.Second))).To(BeTrue())
		}
	})

	It("is removed from the store once, though others still report that it is stored", func() {
		var observer, other quarantine.Tracker
		crash(&observer, 0, subjects(7), 0)
		store(&observer, at(time.Second))
		observer.RecordServed(subjects(7), at(2*time.Second))
		other.Merge(observer.Report(at(2*time.Second)), at(2*time.Second))
		removals := 0
		for when := 3 * time.Second; when < 9*time.Second; when += time.Second {
			for _, t := range []*quarantine.Tracker{&observer, &other} {
				t.Expire(at(when))
				_, removed := t.Unstored(at(when))
				t.MarkStored(nil, removed)
				removals += len(removed)
			}
			observer.Merge(other.Report(at(when)), at(when))
		}
		Expect(removals).To(Equal(1))
	})

	It("is removed from the store when the content is served or too old", func() {
		var t quarantine.Tracker
		crash(&t, 0, subjects(7), 0)
		crash(&t, 1, subjects(8), 0)
		stored := store(&t, at(time.Second))
		Expect(stored).To(HaveLen(2))
		t.RecordServed(subjects(7), at(2*time.Second))
		t.Expire(at(3 * time.Second))
		_, removed := t.Unstored(at(3 * time.Second))
		Expect(removed).To(HaveLen(1))
		t.MarkStored(nil, removed)
		t.Expire(at(31 * time.Minute))
		_, removed = t.Unstored(at(31 * time.Minute))
		Expect(removed).To(HaveLen(1))

		var started quarantine.Tracker
		for i := range stored {
			stored[i].Age = time.Hour
		}
		started.Load(quarantine.Report{Suspicions: stored}, 1, at(time.Hour))
		_, removed = started.Unstored(at(time.Hour))
		Expect(removed).To(HaveLen(2))
	})
})
