package canary_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

var _ = Describe("A pool with endpoints of several versions", func() {
	const now = simulationStart
	var tracker *canary.Tracker
	endpoint := func(id string, v serving.Version, s serving.EndpointState) serving.Endpoint {
		return serving.Endpoint{ID: fleet.InstanceID(id), Pool: simPool, Version: v, State: s}
	}
	list := func(v serving.Version, count int) (listed []serving.Endpoint) {
		for i := range count {
			listed = append(listed, endpoint(fmt.Sprint(v, "-", i), v, serving.StateReady))
		}
		return listed
	}
	BeforeEach(func() {
		// The store is away: the orders are never known to be complete after the start.
		tracker = &canary.Tracker{
			Bounds: simBounds, Nodes: func() int { return 1 }, Random: func() float64 { return 0 },
			Confirmed: func() clock.Instant { return now }, UnixTime: func(at clock.Instant) int64 { return time.Duration(at).Milliseconds() },
		}
	})

	It("has an endpoint for a request that tried all ready ones of the older version", func() {
		all := append(list("v1", 9), list("v2", 1)...)
		tracker.Observe(simPool, all[:9], now)
		tracker.Observe(simPool, all, now.Add(time.Second))
		Expect(tracker.Filter(simPool, all, now.Add(time.Second))).To(Equal(all[:9]))
		Expect(tracker.Filter(simPool, all[9:], now.Add(time.Second))).To(Equal(all[9:]))
		draining := []serving.Endpoint{endpoint("v1-0", "v1", serving.StateDraining), all[9]}
		Expect(tracker.Filter(simPool, draining, now.Add(time.Second))).To(ContainElement(all[9]))
	})

	It("keeps its capacity", func() {
		tracker.Observe(simPool, list("v1", 3), now)
		tracker.Observe(simPool, list("v1", 2), now.Add(time.Second))
		replaced := append(list("v1", 2), list("v2", 1)...)
		tracker.Observe(simPool, replaced, now.Add(2*time.Second))
		for at := 2 * time.Second; at < 8*time.Second; at += time.Second {
			tracker.Observe(simPool, replaced, now.Add(at))
			Expect(tracker.Filter(simPool, replaced, now.Add(at))).To(Equal(replaced))
		}
	})

	It("has an endpoint of a sampled version for a request that tried all others", func() {
		tracker.Random = func() float64 { return 0.9 }
		all := append(list("v1", 1), list("v2", 1)...)
		order := canary.Order{Pool: simPool, To: "v2", Duration: 20 * time.Second, Offset: 1}
		tracker.Observe(simPool, all, now)
		tracker.SetOrder(order, 0, now)
		tracker.SetState(canary.State{Order: order, Phase: canary.PhaseSampling, Number: 1}, now)
		tracker.Situation(simPool, all, 0, now)
		Expect(tracker.Filter(simPool, all, now)).To(Equal(all[:1]))
		Expect(tracker.Filter(simPool, all[1:], now)).To(Equal(all[1:]))
	})

	It("has an endpoint after a roll-out too", func() {
		tracker.Observe(simPool, list("v1", 3), now)
		order := canary.Order{Pool: simPool, To: "v2", Duration: 20 * time.Second, Offset: 1}
		tracker.SetOrder(order, 0, now)
		tracker.SetState(canary.State{Order: order, Phase: canary.PhaseDone, Number: 3, Old: []serving.Version{"v1"}}, now)
		tracker.Observe(simPool, list("v2", 3), now.Add(time.Minute))
		Expect(tracker.Filter(simPool, list("v3", 1), now.Add(2*time.Minute))).To(Equal(list("v3", 1)))
	})
})

var _ = Describe("The slack of a node", func() {
	It("is not given again when the node reads the order long after its start", func() {
		const started, order = simulationStart, 60 * time.Second
		tracker := &canary.Tracker{
			Bounds: simBounds, Nodes: func() int { return 1 }, Started: started, Random: func() float64 { return 0 },
			UnixTime: func(at clock.Instant) int64 { return time.Duration(at).Milliseconds() },
		}
		e := serving.Endpoint{ID: "b", Pool: simPool, Version: "v2", State: serving.StateReady}
		tracker.Observe(simPool, []serving.Endpoint{{ID: "a", Pool: simPool, Version: "v1", State: serving.StateReady}, e}, started)
		// The store was away for a while, and the order is older than the start.
		now := started.Add(10 * time.Second)
		o := canary.Order{Pool: simPool, To: "v2", Duration: order, Offset: 1}
		tracker.SetOrder(o, 0, now)
		tracker.SetState(canary.State{Order: o, Phase: canary.PhaseSampling, Number: 1, Begun: time.Duration(started).Milliseconds() - 1000}, now)
		tracker.Situation(simPool, nil, 0, now)
		_, ok := tracker.Begin(e, "r", true, now)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("An order for the version that a pool has", func() {
	It("is done at once", func() {
		before := canary.State{Order: canary.Order{Pool: simPool, To: "v3"}, Phase: canary.PhaseRolledBack, Number: 5, Old: []serving.Version{"v2"}}
		in := canary.Situation{
			Order: canary.Order{Pool: simPool, To: "v2", Duration: time.Minute, Offset: 9}, State: before,
			Versions: []serving.Version{"v2", "v3", "v2"}, ReadyNew: 2,
		}
		next, changed := canary.Decide(in)
		Expect(changed).To(BeTrue())
		Expect(next.Phase).To(Equal(canary.PhaseDone))
		in.Versions = []serving.Version{"v1", "v2"}
		next, _ = canary.Decide(in)
		Expect(next.Phase).To(Equal(canary.PhaseSampling))
	})
})
