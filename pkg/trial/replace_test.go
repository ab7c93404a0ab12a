package trial_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

var _ = Describe("A reclaimed zone", func() {
	It("gets its engines replaced without an operator", func(ctx context.Context) {
		t := &trial.Trial{}
		Expect(t.Start(ctx)).To(Succeed())
		DeferCleanup(func(ctx context.Context) { Expect(t.Stop(ctx)).To(Succeed()) })
		a, err := t.Open()
		Expect(err).NotTo(HaveOccurred())
		before := liveEnginesByZone(t)
		t.Cloud.Reclaim(trial.ZoneFirst, time.Second)
		Eventually(func() map[fleet.ZoneName]int { return liveEnginesByZone(t) }).
			WithContext(ctx).WithTimeout(40 * time.Second).ShouldNot(Equal(before))
		Eventually(func() map[fleet.ZoneName]int { return liveEnginesByZone(t) }).
			WithContext(ctx).WithTimeout(40 * time.Second).Should(Equal(before))
		status, err := sendChat(ctx, a.Callers, "a trolley for the gate")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
	}, NodeTimeout(time.Minute))
})

// liveEnginesByZone returns the number of live engines by zone.
func liveEnginesByZone(t *trial.Trial) map[fleet.ZoneName]int {
	count := map[fleet.ZoneName]int{}
	for _, i := range t.Cloud.List() {
		if i.Pool == trial.PoolModel && i.Condition == fleet.ConditionLive {
			count[i.Zone]++
		}
	}
	return count
}
