package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// serviceLate returns the share of requests to three services of 6 slots each that take
// longer than 150 ms. 76 nodes send them with loads that are 0.45 s old; the services
// stall in a seventh of the time.
func serviceLate(view func(draw float64) placement.View) float64 {
	const nodes, slots, perSecond, lag = 76, 6, 263, 450 * time.Millisecond
	rng := rand.New(rand.NewPCG(5, 6))
	var endpoints []serving.Endpoint
	var trackers [nodes]placement.Tracker
	for i := range 3 {
		endpoints = append(endpoints, serving.Endpoint{ID: fleet.InstanceID(fmt.Sprint("s", i)), Slots: slots, DataCentre: "a"})
	}
	// freeAt holds when each slot of an endpoint is free.
	freeAt := make(map[fleet.InstanceID][]clock.Instant)
	stalledUntil := make(map[fleet.InstanceID]clock.Instant)
	type running struct {
		until    clock.Instant
		node     int
		endpoint fleet.InstanceID
		end      func()
	}
	var inFlight []running
	var snapshots []map[fleet.InstanceID]placement.Work
	late, total := 0, 0
	start := clock.Instant(time.Hour)
	nextExchange := start
	for now := start; now.Sub(start) < 40*time.Second; now = now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))) {
		inFlight = slices.DeleteFunc(inFlight, func(r running) bool {
			if r.until <= now {
				r.end()
			}
			return r.until <= now
		})
		for ; nextExchange <= now; nextExchange = nextExchange.Add(digestInterval) {
			work := make(map[fleet.InstanceID]placement.Work)
			for _, r := range inFlight {
				work[r.endpoint] = placement.Work{Running: work[r.endpoint].Running + 1}
			}
			if snapshots = append(snapshots, work); len(snapshots) > int(lag/digestInterval)+1 {
				snapshots = snapshots[1:]
			}
			for i := range trackers {
				trackers[i].SetPeerWork(snapshots[0])
			}
			for _, e := range endpoints {
				if rng.IntN(12) == 0 {
					stalledUntil[e.ID] = nextExchange.Add(600 * time.Millisecond)
				}
			}
		}
		n := rng.IntN(nodes)
		c, ok := placement.ChooseService(view(rng.Float64()), trackers[n].Loads(endpoints, nil, "a", now))
		Expect(ok).To(BeTrue())
		id, took := c.Endpoint.ID, 30*time.Millisecond
		if now < stalledUntil[id] {
			took = 75 * time.Millisecond
		}
		if freeAt[id] == nil {
			freeAt[id] = make([]clock.Instant, slots)
		}
		slices.Sort(freeAt[id])
		end := max(freeAt[id][0], now).Add(took)
		freeAt[id][0] = end
		p := trackers[n].Begin(id, 0, now)
		inFlight = append(inFlight, running{end, n, id, func() { trackers[n].End(p) }})
		if total++; end.Sub(now) > 150*time.Millisecond {
			late++
		}
	}
	return float64(late) / float64(total)
}

var _ = It("spreads requests to a service with fewer slots than nodes, whose views are late", func() {
	before := serviceLate(func(float64) placement.View { return placement.View{} })
	after := serviceLate(func(draw float64) placement.View {
		return placement.View{Lag: 450 * time.Millisecond, Nodes: 76, Draw: draw}
	})
	AddReportEntry("late", fmt.Sprintf("before %.3f, after %.3f", before, after))
	Expect(after).To(BeNumerically("<", 0.08))
	Expect(after).To(BeNumerically("<", before/2))
})

var _ = It("doesn't draw a service that fails or may be unreachable while another is well", func() {
	loads := []placement.Load{
		{Endpoint: serving.Endpoint{ID: "unreachable"}, DataCentreUnreachable: true},
		{Endpoint: serving.Endpoint{ID: "failing"}, FailureRate: 0.25},
		{Endpoint: serving.Endpoint{ID: "avoided"}, Avoid: true},
		{Endpoint: serving.Endpoint{ID: "well"}, Running: 6},
	}
	for i := range 100 {
		c, ok := placement.ChooseService(placement.View{Lag: time.Second, Nodes: 100, Draw: float64(i) / 100}, loads)
		Expect(ok).To(BeTrue())
		Expect(c.Endpoint.ID).To(Equal(fleet.InstanceID("well")))
	}
})

var _ = It("chooses the shortest wait among services that take longer than the views are old", func() {
	loads := []placement.Load{
		{Endpoint: serving.Endpoint{ID: "full", Slots: 6}, Running: 6, UnitTime: 3 * time.Second},
		{Endpoint: serving.Endpoint{ID: "free", Slots: 6}, UnitTime: 3 * time.Second},
	}
	for i := range 100 {
		c, ok := placement.ChooseService(placement.View{Lag: 450 * time.Millisecond, Nodes: 76, Draw: float64(i) / 100}, loads)
		Expect(ok).To(BeTrue())
		Expect(c.Endpoint.ID).To(Equal(fleet.InstanceID("free")))
	}
})
