package pace

import (
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
)

const (
	// maxGaps bounds the gaps that are kept of a stream.
	maxGaps = 24
	// minGaps is the number of gaps from which a stream is timed.
	minGaps = 3
	// bunchedBelow is the gap between two events that the node read at once, and
	// maxBunched the share of such gaps from which a stream isn't timed.
	bunchedBelow = 500 * time.Microsecond
	maxBunched   = 0.2
)

// Gaps collects the times between the events of a stream. The zero value is ready to use.
type Gaps struct {
	last        clock.Instant
	count, next int
	gaps        [maxGaps]time.Duration
}

// Add records an event.
func (g *Gaps) Add(now clock.Instant) {
	if g.last == 0 {
		g.last = now
		return
	}
	g.gaps[g.next] = now.Sub(g.last)
	g.next = (g.next + 1) % maxGaps
	g.count++
	g.last = now
}

// Usual returns the usual time between two events, or 0 if there were too few or
// the node read them late. A long prompt beside the stream, or a stall, lengthens some
// gaps; the median leaves them out.
func (g *Gaps) Usual() time.Duration {
	if g.count < minGaps {
		return 0
	}
	sorted := slices.Sorted(slices.Values(g.gaps[:min(g.count, maxGaps)]))
	bunched, _ := slices.BinarySearch(sorted, bunchedBelow)
	if float64(bunched) > maxBunched*float64(len(sorted)) {
		return 0
	}
	return sorted[(len(sorted)-1)/2]
}
