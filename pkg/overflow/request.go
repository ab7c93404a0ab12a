package overflow

import (
	"math"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// defaultRoundTrip is the assumed time of a round trip between data centres.
	defaultRoundTrip = 3 * time.Millisecond
	// bytesPerMillisecond is the price of traffic between data centres: the number of bytes
	// whose transfer counts like a delay of a millisecond.
	bytesPerMillisecond = 16 << 10
	// tokenBytes is the usual size of an output token in the events of a stream.
	tokenBytes = 32
	// minDistance and maxDistance bound how a request's cost of distance compares with the
	// usual one.
	minDistance, maxDistance = 0.25, 4
)

// Transfer returns the cost of serving a request in another data centre: a round trip, and
// the price of the bytes of its body and events.
func Transfer(body int, output fleet.Tokens) time.Duration {
	bytes := float64(body) + tokenBytes*float64(output)
	return defaultRoundTrip + time.Duration(bytes/bytesPerMillisecond*float64(time.Millisecond))
}

// Distance returns the cost of a request's transfer for its work, relative to the usual
// costs; 1 if these aren't known.
func Distance(transfer, work time.Duration, usual Costs) float64 {
	if usual.Work <= 0 || usual.Transfer <= 0 || work <= 0 {
		return 1
	}
	ratio := float64(transfer) / float64(usual.Transfer) * float64(usual.Work) / float64(work)
	return min(max(ratio, minDistance), maxDistance)
}

// Draw returns the data centre that a request is sent to, or an empty name if it stays.
// random is a number in [0, 1). Requests of a lower distance leave more often than the
// planned share and those of a higher one less often, so that the work whose transfer
// costs least leaves first.
func (p Plan) Draw(from fleet.DataCentreName, distance, random float64) fleet.DataCentreName {
	leaving := p.Leaving(from)
	if leaving <= 0 {
		return ""
	}
	chance := math.Pow(min(1, leaving), distance)
	if random >= chance {
		return ""
	}
	rest := random / chance * leaving
	names := p.Names(from)
	for _, to := range names {
		if rest -= p.Share(from, to); rest < 0 {
			return to
		}
	}
	return names[len(names)-1]
}
