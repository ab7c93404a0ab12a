package load_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/load"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// TestLatencyIsMeasuredFromTheIntendedStart guards against coordinated omission:
// a stall of the server must count in every request due during the stall, also if
// the limit of requests in flight delayed their start.
func TestLatencyIsMeasuredFromTheIntendedStart(t *testing.T) {
	for _, inFlight := range []int{1, 1000} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			begin := time.Now()
			stallEnd := begin.Add(5 * time.Second)
			r := &load.Runner{
				Plan:    load.Plan{Seed: 7, Rate: 100, Duration: 10 * time.Second, MaxInFlight: inFlight},
				Targets: load.Targets{FirstToken: time.Second},
				Send: func(context.Context, load.Arrival) load.Response {
					time.Sleep(time.Until(stallEnd))
					return load.Response{Status: 200, FirstToken: time.Now(), End: time.Now(), Tokens: 1}
				},
			}
			s := r.Run(t.Context(), "test").Summary()
			var late int
			for _, a := range r.Plan.Arrivals("test") {
				if a.At < 4*time.Second {
					late++
				}
			}
			g.Expect(s.OnTimeFraction).To(BeNumerically("~", 1-float64(late)/float64(s.Requests), 1e-9))
			g.Expect(s.Latencies[0].Max).To(BeNumerically(">", 4900*time.Millisecond))
			g.Expect(s.Latencies[0].P50).To(BeNumerically("<", 200*time.Millisecond))
		})
	}
}

var _ = Describe("Plan", func() {
	plan := load.Plan{Seed: 3, Rate: 200, Duration: 20 * time.Second, OrderShare: .25, MaxInFlight: 10}

	It("draws the same requests for the same seed, at the configured rate and fraction of orders", func() {
		arrivals := plan.Arrivals("x")
		Expect(plan.Arrivals("x")).To(Equal(arrivals))
		Expect(len(arrivals)).To(BeNumerically("~", 4000, 200))
		orders := 0
		keys := map[fleet.Key]bool{}
		for _, a := range arrivals {
			if a.Kind == load.KindOrder {
				orders++
				keys[a.Key] = true
			}
		}
		Expect(orders).To(BeNumerically("~", len(arrivals)/4, 120))
		Expect(keys).To(HaveLen(orders))
		other := plan
		other.Seed = 4
		Expect(other.Arrivals("x")).NotTo(Equal(arrivals))
	})

	DescribeTable("rejects values out of range", func(change func(*load.Plan)) {
		Expect(plan.Check()).To(Succeed())
		p := plan
		change(&p)
		Expect(p.Check()).NotTo(Succeed())
	},
		Entry("rate 0", func(p *load.Plan) { p.Rate = 0 }),
		Entry("duration 0", func(p *load.Plan) { p.Duration = 0 }),
		Entry("fraction of orders above 1", func(p *load.Plan) { p.OrderShare = 1.1 }),
		Entry("no requests in flight", func(p *load.Plan) { p.MaxInFlight = 0 }),
		Entry("too many requests in flight", func(p *load.Plan) { p.MaxInFlight = load.InFlightLimit + 1 }),
		Entry("too many requests", func(p *load.Plan) { p.Rate = 1e6 }),
	)

	DescribeTable("detects loopback addresses", func(address string, loopback bool) {
		Expect(load.IsLoopback(address)).To(Equal(loopback))
	},
		Entry(nil, "http://127.0.0.1:80", true), Entry(nil, "http://[::1]:80", true), Entry(nil, "http://10.0.0.1:80", false),
		Entry(nil, "http://localhost.example.org", false), Entry(nil, "http://127.0.0.1.example.org", false), Entry(nil, "::", false),
	)
})
