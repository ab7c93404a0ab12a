package placement

import (
	"math"
	"slices"
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
	// sampledEngines is the number of engines that are drawn by a late view.
	sampledEngines = 2
	// drawnBits is the number of bits of a random number that draw one engine.
	drawnBits = 17
)

// View is how well a node knows the load that the other nodes put on endpoints.
type View struct {
	// Lag is the age of what they report and Nodes their number, this one included.
	Lag   time.Duration
	Nodes int
	// Draw is a random number in [0, 1).
	Draw float64
}

// late reports whether other nodes may have sent requests that the view misses.
func (v View) late() bool { return v.Lag > freshView }

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

// sampled returns the engines that a node with a late view considers: the preferred ones
// of the prompt, and some that are drawn in proportion to their speed. It answers many
// nodes that see the same late loads and would all choose the same engine: whatever they
// see, an engine gets at most sampledEngines times its share.
func sampled(v View, loads []Load) func(i int) bool {
	weight := func(i int) float64 {
		if l := loads[i]; !l.Draining && !l.Avoid && !l.DataCentreUnreachable {
			return l.relativeSpeed()
		}
		return 0
	}
	var drawn [sampledEngines]int
	random := v.Draw
	for k := range drawn {
		drawn[k] = drawIndex(len(loads), weight, random)
		_, random = math.Modf(random * (1 << drawnBits))
	}
	return func(i int) bool { return loads[i].PreferenceRank == 1 || slices.Contains(drawn[:], i) }
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
