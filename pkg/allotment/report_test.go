package allotment_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

var _ = Describe("The report of a node's quotas", func() {
	now := clock.Instant(time.Hour)
	account := serving.Account{Name: "acc", Quota: serving.Quota{Rate: 100, Burst: 100}}
	nodes := allotment.Nodes{Total: 2}
	restarted := func() *allotment.QuotaLimiter {
		q := &allotment.QuotaLimiter{Started: now}
		q.Track([]serving.Account{account}, nodes, now)
		return q
	}
	admits := func(q *allotment.QuotaLimiter, amount float64) bool {
		ok, _ := q.Take(&account, amount, nodes, now)
		return ok
	}
	known := func(level float64) allotment.Report {
		return allotment.Report{Known: true, Levels: map[fleet.AccountName]float64{"acc": level}}
	}

	It("replaces the assumption of a node that restarted, beside what that node admitted", func() {
		q := restarted()
		Expect(admits(q, 50)).To(BeTrue())
		q.Adopt(known(30), now)
		Expect(admits(q, 30)).To(BeFalse())
		Expect(admits(q, 20)).To(BeTrue())
		q = restarted()
		q.Adopt(allotment.Report{Known: true}, now)
		Expect(admits(q, 100)).To(BeTrue(), "a quota without a level is unused")
	})

	It("only raises the level of a node that knows it", func() {
		q := restarted()
		q.Adopt(known(60), now)
		q.Adopt(known(20), now)
		Expect(admits(q, 50)).To(BeFalse())
		q.Adopt(known(90), now)
		Expect(admits(q, 20)).To(BeFalse())
	})

	It("is ignored if its sender only assumes, and bounded if it is wrong", func() {
		q := restarted()
		q.Adopt(restarted().Report(now), now)
		Expect(admits(q, 60)).To(BeFalse())
		for _, level := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
			q = restarted()
			q.Adopt(known(level), now)
			ok, _ := q.Take(&account, 10, nodes, now.Add(2500*time.Millisecond))
			Expect(ok).To(BeTrue(), fmt.Sprint(level))
			ok, _ = q.Take(&account, 120, nodes, now.Add(2500*time.Millisecond))
			Expect(ok).To(BeFalse(), fmt.Sprint(level))
		}
	})

	It("names a bounded number of accounts, those with the fullest quotas", func() {
		q := &allotment.QuotaLimiter{}
		for i := range 300 {
			a := serving.Account{Name: fleet.AccountName(fmt.Sprint("a", i)), Quota: serving.Quota{Rate: 1, Burst: 1000}}
			ok, _ := q.Take(&a, float64(1+i), nodes, now)
			Expect(ok).To(BeTrue())
		}
		Expect(q.Report(now).Levels).To(And(HaveLen(200), HaveKey(fleet.AccountName("a299")), Not(HaveKey(fleet.AccountName("a99")))))
	})

	It("takes the whole quota as used once the list of nodes is known", func() {
		q := &allotment.QuotaLimiter{Started: now}
		guess := allotment.Nodes{Total: 8, Silent: 7, Assumed: true}
		q.Track([]serving.Account{account}, guess, now)
		listed := allotment.Nodes{Total: 2, Silent: 1}
		ok, wait := q.Take(&account, 80, listed, now)
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 300*time.Millisecond, time.Millisecond))
	})

	It("leaves a node that restarts while it is cut off its even share", func() {
		q := &allotment.QuotaLimiter{Started: now, Tolerance: 0.1, Window: 8 * time.Second}
		cutOff := allotment.Nodes{Total: 6, Silent: 5}
		admitted := 0.0
		for at := time.Duration(0); at < 8*time.Second; at += 10 * time.Millisecond {
			if ok, _ := q.Take(&account, 1, cutOff, now.Add(at)); ok {
				admitted++
			}
		}
		Expect(admitted).To(BeNumerically("<=", 1.1*(8*100+100)/6))
		Expect(admitted).To(BeNumerically(">=", 8*100/6))
	})

	It("holds once the list of nodes is known, if it came before the list", func() {
		q := &allotment.QuotaLimiter{Started: now}
		q.Track([]serving.Account{account}, allotment.Nodes{Total: 8, Silent: 7, Assumed: true}, now)
		q.Adopt(known(20), now)
		Expect(admits(q, 70)).To(BeTrue())
		Expect(admits(q, 20)).To(BeFalse())
	})

	It("ignores usage that is no number", func() {
		q := &allotment.QuotaLimiter{}
		Expect(admits(q, 50)).To(BeTrue())
		for _, amount := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
			q.AddPeerUsage("acc", amount, now)
			Expect(admits(q, 60)).To(BeFalse(), fmt.Sprint(amount))
			Expect(q.Report(now).Levels).To(HaveKeyWithValue(fleet.AccountName("acc"), 50.0), fmt.Sprint(amount))
		}
	})

	It("is kept until the accounts are known", func() {
		q := &allotment.QuotaLimiter{Started: now, Slack: 100, Tolerance: 0.1, Window: 8 * time.Second}
		q.Adopt(known(100), now)
		q.Track([]serving.Account{account}, nodes, now)
		Expect(admits(q, 20)).To(BeFalse())
	})

	It("is no knowledge before the accounts are known", func() {
		q := &allotment.QuotaLimiter{Started: now}
		q.Adopt(known(100), now)
		Expect(q.Report(now).Known).To(BeFalse())
		Expect(q.Report(now.Add(time.Minute)).Known).To(BeFalse())
	})
})
