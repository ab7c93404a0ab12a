package placement

import (
	"math"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// freshView is the age up to which the loads from other nodes count as exact.
	freshView = 200 * time.Millisecond
	// streamDelayWeight is the cost of delaying a running stream relative to that of
	// delaying the request itself.
	streamDelayWeight = 0.02
	// decodeWeight is the cost of a later last event relative to that of a later first one.
	decodeWeight = 0.02
	// spreadMargin is the difference in cost at which an engine is chosen e times less
	// often than the best one, spreadShare that difference relative to the least cost.
	spreadMargin, spreadShare = float64(8 * time.Millisecond), 0.06
	// maxSpreadMargins is the number of these differences from which an engine isn't chosen.
	maxSpreadMargins = 3
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

// candidate is an engine with the cost of a request there.
type candidate struct {
	cost   float64
	choice Choice
	cached fleet.Tokens
}

// spread collects the engines among which one is drawn. It answers many nodes that see
// the same late loads and would all choose the same engine.
type spread []candidate

func (s *spread) add(cost float64, c Choice, cached fleet.Tokens) {
	*s = append(*s, candidate{cost, c, cached})
}

// draw returns the engine at a random number in [0, 1). An engine is the less likely the
// more its cost exceeds the best one.
func (s spread) draw(best, random float64) (Choice, fleet.Tokens) {
	margin := spreadMargin + spreadShare*best
	weight := func(c candidate) float64 {
		if excess := (c.cost - best) / margin; excess <= maxSpreadMargins {
			return math.Exp(-excess)
		}
		return 0
	}
	i := drawIndex(len(s), func(i int) float64 { return weight(s[i]) }, random)
	return s[i].choice, s[i].cached
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
