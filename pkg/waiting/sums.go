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

// amounts returns the values that are positive and finite.
func amounts[K comparable](values map[K]float64) map[K]float64 {
	if len(values) == 0 {
		return nil
	}
	valid := make(map[K]float64, len(values))
	for key, value := range values {
		if value > 0 && !math.IsInf(value, 1) {
			valid[key] = value
		}
	}
	return valid
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

// recent is a sum in which older amounts count less, by a time constant.
type recent struct {
	amount    float64
	updatedAt clock.Instant
}

func (r recent) at(now clock.Instant, constant time.Duration) float64 {
	return r.amount * math.Exp(-now.Sub(r.updatedAt).Seconds()/constant.Seconds())
}

func (r *recent) add(amount float64, now clock.Instant, constant time.Duration) {
	r.amount, r.updatedAt = r.at(now, constant)+amount, now
}

// recents holds recent sums by key.
type recents[K comparable] map[K]*recent

// add adds an amount to the sum of a key.
func (rs *recents[K]) add(key K, amount float64, now clock.Instant, constant time.Duration) {
	if *rs == nil {
		*rs = make(recents[K])
	}
	if (*rs)[key] == nil {
		(*rs)[key] = &recent{}
	}
	(*rs)[key].add(amount, now, constant)
}

// report returns the sums that are worth a report and removes the others.
func (rs recents[K]) report(now clock.Instant, constant time.Duration) map[K]float64 {
	sums := make(map[K]float64, len(rs))
	for key, r := range rs {
		if amount := r.at(now, constant); amount >= minReported {
			sums[key] = amount
		} else {
			delete(rs, key)
		}
	}
	return sums
}
