package waiting

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
)

// addTo adds the values of added to sum, which it makes if it is nil.
func addTo[K comparable](sum, added map[K]float64) map[K]float64 {
	if sum == nil && len(added) > 0 {
		sum = make(map[K]float64, len(added))
	}
	for key, value := range added {
		sum[key] += value
	}
	return sum
}

// largest removes all but the count largest values.
func largest[K cmp.Ordered](values map[K]float64, count int) map[K]float64 {
	if len(values) <= count {
		return values
	}
	keys := slices.SortedFunc(maps.Keys(values), func(a, b K) int {
		return cmp.Or(cmp.Compare(values[b], values[a]), cmp.Compare(a, b))
	})
	for _, key := range keys[count:] {
		delete(values, key)
	}
	return values
}

// recent is a sum in which older amounts count less.
type recent struct {
	amount    float64
	updatedAt clock.Instant
}

// recentTime is the time constant of the decay. It spans several exchanges, so that what
// an account receives on all nodes is seen, and is short against a burst.
const recentTime = 2 * time.Second

func (r recent) at(now clock.Instant) float64 {
	return r.amount * math.Exp(-now.Sub(r.updatedAt).Seconds()/recentTime.Seconds())
}

func (r *recent) add(amount float64, now clock.Instant) {
	r.amount, r.updatedAt = r.at(now)+amount, now
}
