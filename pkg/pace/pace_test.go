package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pace")
}

const pool = fleet.PoolName("p")

// engines returns one engine per speed.
func engines(speeds ...float64) (endpoints []serving.Endpoint) {
	for i := range speeds {
		endpoints = append(endpoints, serving.Endpoint{ID: fleet.InstanceID(fmt.Sprint("e", i)), Pool: pool, Born: 1})
	}
	return endpoints
}

// observe lets each of several nodes time streams of the engines, which stall in a
// seventh of the time, and returns the evidence of all nodes.
func observe(rng *rand.Rand, models []Model, endpoints []serving.Endpoint, speeds []float64, streams int) Evidence {
	now := clock.Instant(time.Hour)
	for range streams {
		for i, e := range endpoints {
			step := 20 / speeds[i] * math.Exp(0.1*rng.NormFloat64())
			if rng.IntN(7) == 0 {
				step *= 2.5
			}
			models[rng.IntN(len(models))].AddUnit(e, time.Duration(step*float64(time.Millisecond)), now)
		}
	}
	evidence := make(Evidence)
	for i := range models {
		evidence.Add(models[i].Evidence(now))
	}
	return evidence
}

var _ = Describe("The model", func() {
	property := func(check func(*rapid.T)) { rapid.Check(GinkgoT(), check) }

	It("finds the speeds of uneven engines from the evidence of many nodes, despite stalls", func() {
		property(func(t *rapid.T) {
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			speeds := make([]float64, rapid.IntRange(6, 60).Draw(t, "engines"))
			for i := range speeds {
				speeds[i] = []float64{0.6, 1, 1.6}[i%3]
			}
			endpoints, models := engines(speeds...), make([]Model, 20)
			p := estimate(pool, endpoints, observe(rng, models, endpoints, speeds, 60), false)
			if !p.Uneven {
				t.Fatalf("the pool isn't uneven: spread %v", p.Spread)
			}
			for i, e := range endpoints {
				if got := p.Speed(e) / speeds[i]; got < 0.8 || got > 1.25 {
					t.Fatalf("speed %v of an engine of %v", p.Speed(e), speeds[i])
				}
			}
		})
	})

	It("leaves pools of equal engines as they are", func() {
		property(func(t *rapid.T) {
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
			speeds := make([]float64, rapid.IntRange(1, 60).Draw(t, "engines"))
			for i := range speeds {
				speeds[i] = 1
			}
			endpoints, models := engines(speeds...), make([]Model, 4)
			streams := rapid.IntRange(1, 60).Draw(t, "streams")
			if p := estimate(pool, endpoints, observe(rng, models, endpoints, speeds, streams), false); p.Uneven {
				t.Fatalf("uneven: spread %v", p.Spread)
			}
		})
	})

	It("isn't moved beyond the bounds by an engine with arbitrary samples, and forgets it at its next birth", func() {
		property(func(t *rapid.T) {
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
			speeds := []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6}
			endpoints, models := engines(speeds...), make([]Model, 3)
			evidence := observe(rng, models, endpoints, speeds, 40)
			models[0].Update(pool, endpoints, evidence)
			before := models[0].Pool(pool)
			liar := endpoints[rapid.IntRange(0, 8).Draw(t, "liar")]
			for range rapid.IntRange(1, 200).Draw(t, "lies") {
				models[0].AddUnit(liar, time.Duration(rapid.Int64().Draw(t, "took")), clock.Instant(time.Hour))
			}
			evidence = models[0].Evidence(clock.Instant(time.Hour))
			evidence.Add(models[1].Evidence(clock.Instant(time.Hour)))
			evidence.Add(models[2].Evidence(clock.Instant(time.Hour)))
			models[0].Update(pool, endpoints, evidence)
			after := models[0].Pool(pool)
			for _, e := range endpoints {
				ratio := after.Speed(e) / before.Speed(e)
				if e.ID != liar.ID && (ratio < 0.8 || ratio > 1.25) {
					t.Fatalf("the speed of another engine changed by %v", ratio)
				}
			}
			if s := math.Log(after.Speed(liar)); math.Abs(s) > maxLogSpeed {
				t.Fatalf("log speed %v", s)
			}
			liar.Born++
			if after.Speed(liar) != 1 {
				t.Fatalf("the next incarnation has speed %v", after.Speed(liar))
			}
		})
	})

	It("keeps one stalled stream from deciding", func() {
		endpoints, models := engines(1, 1, 1, 1), make([]Model, 1)
		now := clock.Instant(time.Hour)
		for range 10 {
			for _, e := range endpoints {
				models[0].AddUnit(e, 20*time.Millisecond, now)
			}
			models[0].Update(pool, endpoints, models[0].Evidence(now))
		}
		models[0].AddUnit(endpoints[0], 10*time.Second, now)
		models[0].Update(pool, endpoints, models[0].Evidence(now))
		Expect(models[0].Pool(pool).Speed(endpoints[0])).To(BeNumerically(">", 0.85))
		Expect(models[0].Pool(pool).Uneven).To(BeFalse())
	})

	It("learns the first step and the prefill rate of the usual engine", func() {
		var m Model
		now := clock.Instant(time.Hour)
		rng := rand.New(rand.NewPCG(1, 4))
		for range 400 {
			tokens := []float64{540, 720, 1800, 2900, 9000}[rng.IntN(5)]
			took := (110 + tokens/70) * math.Exp(0.1*rng.NormFloat64())
			m.AddPrompt(serving.Endpoint{ID: "e", Pool: pool}, fleet.Tokens(tokens), time.Duration(took*float64(time.Millisecond)), now)
		}
		first, prefill := fitPrompts(pool, m.Evidence(now))
		Expect(first.Seconds()).To(BeNumerically("~", 0.11, 0.015))
		Expect(prefill).To(BeNumerically("~", 70, 10))
	})

	It("takes no rate from times that differ by less than chance", func() {
		property(func(t *rapid.T) {
			var m Model
			now := clock.Instant(time.Hour)
			for _, tokens := range []fleet.Tokens{200, 800, 3000} {
				for range rapid.IntRange(5, 30).Draw(t, "prompts") {
					took := 110 * time.Duration(rapid.IntRange(990_000, 1_010_000).Draw(t, "took"))
					m.AddPrompt(serving.Endpoint{ID: "e", Pool: pool}, tokens, took, now)
				}
			}
			if _, prefill := fitPrompts(pool, m.Evidence(now)); prefill != 0 {
				t.Fatalf("%v tokens a millisecond", prefill)
			}
		})
	})
})

var _ = Describe("A report", func() {
	report := rapid.Custom(func(t *rapid.T) Evidence {
		r := make(Evidence)
		for range rapid.IntRange(0, 50).Draw(t, "n") {
			w := rapid.Float64Range(0.1, 5000).Draw(t, "weight")
			r[Key(rapid.Uint32Range(0, 60).Draw(t, "key"))] = Sum{w, w * rapid.Float64Range(-4, 11).Draw(t, "mean")}
		}
		return r
	})

	It("adds up to the same in any order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b, c := report.Draw(t, "a"), report.Draw(t, "b"), report.Draw(t, "c")
			one, other := make(Evidence), make(Evidence)
			one.Add(a)
			one.Add(b)
			one.Add(c)
			b.Add(c)
			other.Add(b)
			other.Add(a)
			for k, s := range one {
				if math.Abs(s.Weight-other[k].Weight) > 1e-6 || math.Abs(s.Log-other[k].Log) > 1e-6 {
					t.Fatalf("%v and %v", s, other[k])
				}
			}
		})
	})

	It("is the same after another one was added and removed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b, sum := report.Draw(t, "a"), report.Draw(t, "b"), make(Evidence)
			sum.Add(b)
			sum.Add(a)
			sum.Remove(b)
			if len(sum) != len(a) {
				t.Fatalf("%d sums instead of %d", len(sum), len(a))
			}
			for k, s := range a {
				if math.Abs(s.Weight-sum[k].Weight) > 1e-6 || math.Abs(s.Log-sum[k].Log) > 1e-6 {
					t.Fatalf("%v became %v", s, sum[k])
				}
			}
		})
	})

	It("keeps the largest weights within its bound", func() {
		large := make(Evidence)
		for i := range 3 * maxEntries {
			large[Key(i)] = Sum{float64(1 + i%4), 1}
		}
		data, err := large.MarshalBinary()
		Expect(err).NotTo(HaveOccurred())
		var kept Evidence
		Expect(kept.UnmarshalBinary(data)).To(Succeed())
		Expect(kept).To(HaveLen(maxEntries))
		heaviest := 0
		for k := range kept {
			Expect(k % 4).To(BeNumerically(">=", 2))
			if k%4 == 3 {
				heaviest++
			}
		}
		Expect(heaviest).To(Equal(3 * maxEntries / 4))
	})

	It("keeps means and weights when it is encoded, within its bound", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := report.Draw(t, "report")
			data, err := r.MarshalBinary()
			var got Evidence
			if err != nil || got.UnmarshalBinary(data) != nil || len(got) != len(r) {
				t.Fatalf("%d of %d sums, %v", len(got), len(r), err)
			}
			for k, s := range r {
				if math.Abs(got[k].Mean()-s.Mean()) > 0.001 || math.Abs(math.Log(got[k].Weight/s.Weight)) > 0.1 {
					t.Fatalf("%v became %v", s, got[k])
				}
			}
		})
		large := make(Evidence)
		for i := range 2 * maxEntries {
			large[Key(i)] = Sum{float64(1 + i%7), 1}
		}
		data, err := large.MarshalBinary()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<=", 6<<10))
		Expect((&Evidence{}).UnmarshalBinary(data[1:])).NotTo(Succeed())
	})
})

var _ = Describe("Gaps", func() {
	It("leave out stalls and streams that were read late", func() {
		usual := func(milliseconds ...int) int64 {
			var g Gaps
			now := clock.Instant(time.Hour)
			g.Add(now)
			for _, ms := range milliseconds {
				now = now.Add(time.Duration(ms) * time.Millisecond)
				g.Add(now)
			}
			return g.Usual().Milliseconds()
		}
		Expect(usual(22, 600, 23, 22)).To(BeEquivalentTo(22))
		Expect(usual(22, 22)).To(BeZero())
		Expect(usual(0, 0, 0, 90)).To(BeZero())
	})
})
