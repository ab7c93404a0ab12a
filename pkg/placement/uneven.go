package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// freshView is the age up to which the loads from other nodes count as exact.
	freshView = 200 * time.Millisecond
	// streamDelayWeight is the cost of delaying a running stream relative to that of
	// delaying the request itself.
	streamDelayWeight = 0.02
	// decodeWeight is the cost of a later last event relative to that of a later first one.
	decodeWeight = 0.02
	// maxDrawn is the number of engines that are drawn at most by a late view.
	maxDrawn = 12
	// acceptFactor times the least cost of all engines is the cost up to which an engine is
	// accepted.
	acceptFactor = 4
)

// View is how well a node knows the load that the other nodes put on endpoints.
type View struct {
	// Lag is the age of what they report and Nodes their number, this one included.
	Lag   time.Duration
	Nodes int
	// Draw is a random number in [0, 1).
	Draw float64
}

// LateView reports whether other nodes may have sent requests that a view of this age misses.
func LateView(lag time.Duration) bool { return lag > freshView }

func (v View) late() bool { return LateView(v.Lag) }

// besideCost returns the cost of a request to the streams that run at the engine, and
// of the streams and prompts there to its own. own is the time of its prefill in
// nanoseconds. It answers long prompts between running streams on slow engines: they
// gather on fast and little occupied ones, and long streams avoid large backlogs.
func besideCost(q Query, l Load, own float64) float64 {
	delayed := streamDelayWeight * own * float64(l.Running)
	slower := float64(q.OutputTokens) * float64(l.UnitTime) * (1/l.Speed - 1/maxRelativeSpeed)
	return delayed + decodeWeight*max(0, slower)
}

// maxRelativeSpeed is the speed from which a stream counts as not slowed down.
const maxRelativeSpeed = 2.0

// sample returns the index of the engine that a node with a late view chooses: the
// cheaper of the preferred one and one that is drawn in proportion to its speed. It
// answers many nodes that see the same late loads and would all choose the same engine.
// Others are drawn while these cost far more than the best of all, which has the given
// index.
func sample(v View, loads []Load, isPreferred func(Load) bool, costs []float64, best int) int {
	weight := func(i int) float64 {
		if l := loads[i]; !l.Avoid && !l.DataCentreUnreachable && !math.IsInf(costs[i], 1) {
			return l.relativeSpeed()
		}
		return 0
	}
	chosen := -1
	consider := func(i int) {
		if chosen < 0 || costs[i] < costs[chosen] {
			chosen = i
		}
	}
	for i, l := range loads {
		if isPreferred(l) {
			consider(i)
		}
	}
	random := rand.NewPCG(math.Float64bits(v.Draw), 0)
	for range maxDrawn {
		consider(drawIndex(len(loads), weight, float64(random.Uint64()>>11)/(1<<53)))
		if costs[chosen] <= acceptFactor*costs[best] {
			return chosen
		}
	}
	return best
}

// drawIndex returns an index below n at a random number in [0, 1), in proportion to its
// weight.
func drawIndex(n int, weight func(int) float64, random float64) (last int) {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	rest := random * total
	for i := range n {
		w := weight(i)
		if w <= 0 {
			continue
		}
		last = i
		if rest -= w; rest < 0 {
			break
		}
	}
	return last
}
