package provision_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
)

// load sends the prompts and streams of a deployment to engines of given speeds: one in
// eight engines is slow, and some prompts wait behind others that the node does not see.
func load(m *provision.EngineModel, random *rand.Rand, prefill, decode float64, requests int) {
	for range requests {
		tokens := 200 + random.ExpFloat64()*3000
		took := 35 + random.Float64()*25 + tokens/prefill*(1+0.1*random.NormFloat64())
		switch {
		case random.IntN(8) == 0:
			took *= 6
		case random.IntN(5) == 0:
			took += random.ExpFloat64() * 3000 / prefill
		}
		m.AddPrefill("p", fleet.Tokens(tokens), time.Duration(took*float64(time.Millisecond)))
		events := 2 + random.IntN(60)
		m.AddStream("p", events, 4, time.Duration(float64(4*(events-1))*decode*(1+0.2*random.Float64())*float64(time.Millisecond)))
	}
}

var _ = Describe("The model of an engine", func() {
	DescribeTable("requires as many engines as its speeds need, within one or an eighth", func(prefill, decode float64) {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			var m provision.EngineModel
			required := func(s provision.Speeds) int {
				// Forty requests a second of 3,000 uncached and 200 output tokens.
				return provision.DefaultPolicy.RequiredEngines(40*s.EngineTime(3000, 200)/1000, true, 0)
			}
			load(&m, random, prefill, decode, 400)
			best := required(provision.Speeds{Prefill: prefill, Decode: 1.1 * decode})
			allowed := max(1, int(math.Ceil(float64(best)/8)))
			Expect(required(m.Speeds("p"))).To(BeNumerically("~", best, allowed), "seed %d", seed)
			load(&m, random, prefill/2, decode*2, 400)
			best = required(provision.Speeds{Prefill: prefill / 2, Decode: 2.2 * decode})
			allowed = max(1, int(math.Ceil(float64(best)/8)))
			Expect(required(m.Speeds("p"))).To(BeNumerically("~", best, allowed), "seed %d, at half the speeds", seed)
		}
	},
		Entry("10 tokens a millisecond", 10.0, 16.0),
		Entry("25 tokens a millisecond", 25.0, 8.0),
		Entry("100 tokens a millisecond", 100.0, 2.5),
		Entry("300 tokens a millisecond", 300.0, 1.0),
	)

	It("changes by at most a quarter with each estimate, and adopts what another node knows until then", func() {
		var m provision.EngineModel
		Expect(m.Known()).To(BeEmpty())
		m.Adopt("p", provision.Speeds{Prefill: 90, Decode: 3})
		Expect(m.Speeds("p").Prefill).To(Equal(90.0))
		for n := range 16 {
			m.AddPrefill("p", fleet.Tokens(1000*n), time.Duration(n)*time.Second)
		}
		Expect(m.Speeds("p").Prefill).To(Equal(90 / 1.25))
		m.Adopt("p", provision.Speeds{Prefill: 90, Decode: 3})
		Expect(m.Speeds("p").Prefill).To(Equal(90/1.25), "it has measured its own")
	})
})

var _ = Describe("The forecast of the demand", func() {
	It("is ahead of a ramp by the time until an endpoint serves, and never below the demand", func() {
		var trend provision.Trend
		const slope, step = 0.25, 200 * time.Millisecond
		now := clock.Instant(time.Hour)
		for i := range 300 {
			demand := 3 + slope*step.Seconds()*float64(i)
			forecast := trend.Forecast(demand, 4*time.Second, now)
			Expect(forecast).To(BeNumerically(">=", demand))
			if i > 250 {
				Expect(forecast-demand).To(BeNumerically("~", slope*10, 0.25), "4 s of averaging, 4 s of boot and 2 s until it is known")
			}
			now = now.Add(step)
		}
		Expect(trend.Forecast(3, 4*time.Second, now)).To(Equal(3.0))
	})
})
