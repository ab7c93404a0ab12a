package placement_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/pace"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// timer is a callback in virtual time.
type timer struct {
	at  clock.Instant
	seq int
	do  func(clock.Instant)
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// unevenEngine is an engine with a speed that stalls from time to time.
type unevenEngine struct {
	speed   float64
	stalled bool
	idleAt  clock.Instant
	cached  map[serving.PrefixBlockID]bool
}

// present returns the engine's speed now.
func (e *unevenEngine) present() float64 {
	if e.stalled {
		return e.speed / 2.5
	}
	return e.speed
}

// unevenFleet is a fleet of nodes that share engines and see each other's load late.
type unevenFleet struct {
	now      clock.Instant
	timers   timers
	rng      *rand.Rand
	engines  []*unevenEngine
	pool     []serving.Endpoint
	trackers []*placement.Tracker
	models   []*pace.Model
	lag      time.Duration
	// learns reports whether the nodes use the model of each engine.
	learns bool
	served [2]map[float64]int
}

const (
	unevenFirstStep = 110 * time.Millisecond
	unevenRate      = 70.0
	unevenGap       = 22 * time.Millisecond
	digestInterval  = 300 * time.Millisecond
)

func newUnevenFleet(nodes int, lag time.Duration, learns bool, speeds ...float64) *unevenFleet {
	f := &unevenFleet{now: clock.Instant(time.Hour), rng: rand.New(rand.NewPCG(3, 4)), lag: lag, learns: learns}
	f.served = [2]map[float64]int{{}, {}}
	for i, speed := range speeds {
		f.engines = append(f.engines, &unevenEngine{speed: speed, cached: make(map[serving.PrefixBlockID]bool)})
		f.pool = append(f.pool, serving.Endpoint{ID: fleet.InstanceID(fmt.Sprint("e", i)), Pool: "p", Slots: 24, DataCentre: "a", State: serving.StateReady})
		f.scheduleStall(f.engines[i])
	}
	for range nodes {
		t, m, usual := &placement.Tracker{}, &pace.Model{}, &provision.EngineModel{}
		t.OnPrefill = usual.AddPrefill
		t.PoolPrefillRate = func(p fleet.PoolName) float64 { return usual.Speeds(p).Prefill }
		if learns {
			t.Pace = m
		}
		f.trackers, f.models = append(f.trackers, t), append(f.models, m)
	}
	f.after(digestInterval, f.exchange)
	return f
}

func (f *unevenFleet) after(d time.Duration, do func(clock.Instant)) {
	heap.Push(&f.timers, timer{f.now.Add(d), len(f.timers) + int(f.rng.Int32()), do})
}

// scheduleStall lets an engine stall for 600 ms, in a seventh of the time.
func (f *unevenFleet) scheduleStall(e *unevenEngine) {
	f.after(time.Duration(f.rng.ExpFloat64()*float64(3600*time.Millisecond)), func(clock.Instant) {
		e.stalled = true
		f.after(600*time.Millisecond, func(clock.Instant) {
			e.stalled = false
			f.scheduleStall(e)
		})
	})
}

// exchange passes the load and the evidence of all nodes to each other.
func (f *unevenFleet) exchange(now clock.Instant) {
	total, evidence := make(map[fleet.InstanceID]placement.Work), make(pace.Evidence)
	works := make([]map[fleet.InstanceID]placement.Work, len(f.trackers))
	for i, t := range f.trackers {
		works[i] = t.LocalWork()
		for id, w := range works[i] {
			sum := total[id]
			total[id] = placement.Work{Running: sum.Running + w.Running, Backlog: sum.Backlog + w.Backlog}
		}
		evidence.Add(f.models[i].Evidence(now))
	}
	f.after(f.lag, func(clock.Instant) {
		for i, t := range f.trackers {
			others := maps.Clone(total)
			for id, w := range works[i] {
				sum := others[id]
				others[id] = placement.Work{Running: sum.Running - w.Running, Backlog: sum.Backlog - w.Backlog}
			}
			t.SetPeerWork(others)
			f.models[i].Update("p", f.pool, evidence)
		}
	})
	f.after(digestInterval, f.exchange)
}

// send sends a request through a random node.
func (f *unevenFleet) send(r request, output fleet.Tokens, measured bool) {
	n := f.rng.IntN(len(f.trackers))
	t, m := f.trackers[n], f.models[n]
	q := queryFor(r)
	if f.learns {
		q.OutputTokens, q.View = output, placement.View{Lag: f.lag, Nodes: len(f.trackers), Draw: f.rng.Float64()}
	}
	c, ok := placement.ChooseEngine(q, t.Loads(f.pool, r.blocks, "a", f.now))
	Expect(ok).To(BeTrue())
	var e *unevenEngine
	for i := range f.pool {
		if f.pool[i].ID == c.Endpoint.ID {
			e = f.engines[i]
		}
	}
	prefilled, cached := fleet.Tokens(0), true
	for _, b := range r.blocks {
		if cached = cached && e.cached[b.ID]; !cached {
			prefilled += b.Tokens
			e.cached[b.ID] = true
		}
	}
	speed, started := e.present(), f.now
	e.idleAt = max(e.idleAt, f.now).Add(time.Duration(float64(prefilled) / unevenRate / speed * float64(time.Millisecond)))
	first := e.idleAt.Add(unevenFirstStep).Sub(f.now)
	p := t.Begin(c.Endpoint.ID, c.UncachedTokens, f.now)
	f.after(first, func(now clock.Instant) {
		t.RecordFirstEvent(p, r.blocks, now)
		if measured {
			f.served[1][e.speed]++
			if now.Sub(started) > r.objective {
				f.served[0][e.speed]++
			}
		}
		gap := time.Duration(float64(unevenGap) / e.present())
		m.AddUnit(c.Endpoint, gap/5, now)
		f.after(gap*time.Duration(output/5), func(clock.Instant) { t.End(p) })
	})
}

// run serves a load of three kinds of requests for a time, after a time in which nothing
// is measured, and returns the share of the requests that were late.
func (f *unevenFleet) run(perSecond float64, warm, measured time.Duration) float64 {
	begin := f.now
	kinds := []struct {
		shared, own, output fleet.Tokens
		objective           time.Duration
	}{{6300, 2890, 50, 800 * time.Millisecond}, {568, 1800, 25, 600 * time.Millisecond}, {172, 543, 280, 500 * time.Millisecond}}
	n := 0
	var arrive func(clock.Instant)
	arrive = func(now clock.Instant) {
		k, shared := f.rng.IntN(len(kinds)), f.rng.IntN(40)
		n++
		f.send(request{objective: kinds[k].objective, blocks: []serving.PrefixBlock{
			{ID: serving.PrefixBlockID(fmt.Sprint(k, "-", shared)), Tokens: kinds[k].shared},
			{ID: serving.PrefixBlockID(fmt.Sprint("own", n)), Tokens: kinds[k].own},
		}}, kinds[k].output, now.Sub(begin) > warm)
		f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	f.after(0, arrive)
	for f.now.Sub(begin) < warm+measured {
		next := heap.Pop(&f.timers).(timer)
		f.now = next.at
		next.do(f.now)
	}
	late, total := 0, 0
	for speed, count := range f.served[1] {
		total, late = total+count, late+f.served[0][speed]
	}
	return float64(late) / float64(total)
}

// mixedSpeeds returns the speeds of n engines in equal parts.
func mixedSpeeds(n int, speeds ...float64) (mixed []float64) {
	for i := range n {
		mixed = append(mixed, speeds[i%len(speeds)])
	}
	return mixed
}

var _ = DescribeTable("Many nodes with late views serve uneven, stalling engines on time",
	func(perSecond, mostLate float64) {
		const nodes, engines, lag = 40, 36, 450 * time.Millisecond
		before := newUnevenFleet(nodes, lag, false, mixedSpeeds(engines, 0.6, 1, 1.6)...)
		lateBefore := before.run(perSecond, 10*time.Second, 20*time.Second)
		after := newUnevenFleet(nodes, lag, true, mixedSpeeds(engines, 0.6, 1, 1.6)...)
		lateAfter := after.run(perSecond, 10*time.Second, 20*time.Second)
		AddReportEntry("late", fmt.Sprintf("before %.4f %v, after %.4f %v", lateBefore, before.served, lateAfter, after.served))
		Expect(lateAfter).To(BeNumerically("<", mostLate))
		Expect(lateAfter).To(BeNumerically("<", lateBefore/2))
	},
	Entry("in the calm", 150.0, 0.02),
	Entry("at a busy time", 350.0, 0.05),
)

var _ = It("chooses among equal engines as before, whatever the views and draws", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		var with, without placement.Tracker
		with.Pace = &pace.Model{}
		endpoints := make([]serving.Endpoint, rapid.IntRange(1, 20).Draw(t, "engines"))
		now := clock.Instant(time.Hour)
		for i := range endpoints {
			endpoints[i] = serving.Endpoint{ID: fleet.InstanceID(fmt.Sprint("e", i)), Pool: "p", Slots: 24}
			for range 20 {
				with.Pace.AddUnit(endpoints[i], time.Duration(rapid.IntRange(15, 19).Draw(t, "unit"))*time.Millisecond, now)
			}
		}
		with.Pace.Update("p", endpoints, with.Pace.Evidence(now))
		blocks := []serving.PrefixBlock{{ID: "s", Tokens: 3000}, {ID: "o", Tokens: 500}}
		for range rapid.IntRange(0, 60).Draw(t, "requests") {
			q := placement.Query{PromptTokens: 3500, SharedTokens: 3000}
			expected, _ := placement.ChooseEngine(q, without.Loads(endpoints, blocks, "a", now))
			q.View = placement.View{Lag: time.Second, Nodes: 100, Draw: rapid.Float64Range(0, 0.99).Draw(t, "draw")}
			q.OutputTokens = 300
			got, _ := placement.ChooseEngine(q, with.Loads(endpoints, blocks, "a", now))
			if got != expected {
				t.Fatalf("%+v instead of %+v", got, expected)
			}
			a, b := with.Begin(got.Endpoint.ID, got.UncachedTokens, now), without.Begin(got.Endpoint.ID, got.UncachedTokens, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first event") {
				with.RecordFirstEvent(a, blocks, now)
				without.RecordFirstEvent(b, blocks, now)
			}
		}
	})
})

var _ = It("considers the next preferred engine by a late view while the first one drains", func() {
	loads := []placement.Load{
		{Endpoint: serving.Endpoint{ID: "draining", Slots: 16}, Speed: 1, PreferenceRank: 1, Draining: true},
		{Endpoint: serving.Endpoint{ID: "next", Slots: 16}, Speed: 1, PreferenceRank: 2},
	}
	for i := range 20 {
		loads = append(loads, placement.Load{Endpoint: serving.Endpoint{ID: fleet.InstanceID(fmt.Sprint("e", i)), Slots: 16}, Speed: 1})
	}
	for i := range 100 {
		q := placement.Query{PromptTokens: 3000, SharedTokens: 2800, View: placement.View{Lag: 450 * time.Millisecond, Nodes: 76, Draw: float64(i) / 100}}
		c, ok := placement.ChooseEngine(q, loads)
		Expect(ok).To(BeTrue())
		Expect(c.Endpoint.ID).To(Equal(fleet.InstanceID("next")))
	}
})
