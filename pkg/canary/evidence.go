package canary

import (
	"cmp"
	"math"
	"slices"

	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Counts are the answers of one version.
type Counts struct {
	// Total and Bad count since the order.
	Total float64 `cbor:"1,keyasint,omitempty" json:"total"`
	Bad   float64 `cbor:"2,keyasint,omitempty" json:"bad"`
	// RecentTotal and RecentBad decay.
	RecentTotal float64 `cbor:"3,keyasint,omitempty" json:"recentTotal"`
	RecentBad   float64 `cbor:"4,keyasint,omitempty" json:"recentBad"`
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Total + o.Total, c.Bad + o.Bad, c.RecentTotal + o.RecentTotal, c.RecentBad + o.RecentBad}
}

// Tally holds the answers on one route by version.
type Tally struct {
	Route serving.RouteName `cbor:"1,keyasint,omitempty" json:"route"`
	Old   Counts            `cbor:"2,keyasint" json:"old"`
	New   Counts            `cbor:"3,keyasint" json:"new"`
	// First and Gap are the usual time to the first event, by its expected time, and the usual time
	// between events, of the old version; 0 if they are not known.
	First float64 `cbor:"4,keyasint,omitempty" json:"first,omitempty"`
	Gap   float64 `cbor:"5,keyasint,omitempty" json:"gap,omitempty"`
}

// maxTallies bounds the routes that are counted by themselves; digests carry them.
const maxTallies = 12

// addTallies returns the sums by route. It changes neither argument.
func addTallies(a, b []Tally) []Tally {
	sum := slices.Clone(a)
	for _, t := range b {
		i := slices.IndexFunc(sum, func(s Tally) bool { return s.Route == t.Route })
		if i < 0 && len(sum) >= maxTallies {
			t.Route = ""
			i = slices.IndexFunc(sum, func(s Tally) bool { return s.Route == "" })
		}
		if i < 0 {
			sum = append(sum, t)
			continue
		}
		s := &sum[i]
		s.First = weighted(s.First, s.Old.Total, t.First, t.Old.Total)
		s.Gap = weighted(s.Gap, s.Old.Total, t.Gap, t.Old.Total)
		s.Old, s.New = s.Old.plus(t.Old), s.New.plus(t.New)
	}
	slices.SortFunc(sum, func(a, b Tally) int { return cmp.Compare(a.Route, b.Route) })
	return sum
}

// weighted returns the mean of two values with weights; 0 stands for an unknown value.
func weighted(a, weightA, b, weightB float64) float64 {
	switch {
	case a == 0 || weightA+weightB == 0:
		return b
	case b == 0:
		return a
	default:
		return (a*weightA + b*weightB) / (weightA + weightB)
	}
}

// Sampled returns the number of answers of the new version.
func Sampled(tallies []Tally) (sampled float64) {
	for _, t := range tallies {
		sampled += t.New.Total
	}
	return sampled
}

// Judgement is the result of Judge.
type Judgement struct {
	Bad bool
	// Route is the route that shows it; empty for all together.
	Route serving.RouteName
	// Recent reports whether only the recent answers show it.
	Recent bool
}

// test is how sure a judgement is: a version is bad if it has minBad bad answers or more that are less
// probable than tail at a rate of factor times the old version's plus excess. partTail applies to a part of the
// answers: there are many parts, each of which may look bad by chance.
type test struct{ minBad, tail, partTail, factor, excess float64 }

var (
	// runningTest is applied several times a second.
	runningTest = test{minBad: 4, tail: 2e-4, partTail: 1e-5, factor: 1.5, excess: 0.02}
	// verdictTest is applied at the verdict and before done.
	verdictTest = test{minBad: 2, tail: 0.005, partTail: 3e-4, factor: 1.2, excess: 0.01}
)

// Judge says whether the new version is worse than the old one. It looks at all routes together, for versions
// of which a small part of the answers is bad, at each by itself, for those that are bad on one route, and
// at recent answers, for those that turn bad later.
func Judge(tallies []Tally, verdict bool) Judgement {
	t := runningTest
	if verdict {
		t = verdictTest
	}
	var all Tally
	for _, r := range tallies {
		all.Old, all.New = all.Old.plus(r.Old), all.New.plus(r.New)
	}
	const priorBad, priorTotal = 0.5, 10
	usual := (all.Old.Bad + priorBad) / (all.Old.Total + priorTotal)
	for i, r := range append([]Tally{all}, tallies...) {
		old, tail := r.Old, t.partTail
		if i == 0 {
			tail = t.tail
		}
		// Where the old version has few answers, its usual rate on all routes counts.
		old.Total, old.Bad = old.Total+priorTotal, old.Bad+usual*priorTotal
		if t.bad(r.New.Total, r.New.Bad, old.Total, old.Bad, tail) {
			return Judgement{Bad: true, Route: r.Route}
		}
		// The old version gets nothing during the switch, and its recent answers may be few.
		if old.RecentTotal < 1 || old.RecentBad/old.RecentTotal < old.Bad/old.Total {
			old.RecentTotal, old.RecentBad = old.Total, old.Bad
		}
		if t.bad(r.New.RecentTotal, r.New.RecentBad, old.RecentTotal, old.RecentBad, t.partTail) {
			return Judgement{Bad: true, Route: r.Route, Recent: true}
		}
	}
	return Judgement{}
}

func (t test) bad(newTotal, newBad, oldTotal, oldBad, tail float64) bool {
	newTotal, newBad = math.Round(newTotal), math.Round(newBad)
	if newBad < t.minBad {
		return false
	}
	return upperTail(newTotal, newBad, min(0.9, t.factor*oldBad/oldTotal+t.excess)) < tail
}

// upperTail returns the probability of k or more of n events of the given probability.
func upperTail(n, k, probability float64) float64 {
	if k <= n*probability {
		return 1
	}
	gamma := func(x float64) float64 {
		g, _ := math.Lgamma(x)
		return g
	}
	term := math.Exp(gamma(n+1) - gamma(k+1) - gamma(n-k+1) + k*math.Log(probability) + (n-k)*math.Log1p(-probability))
	sum := 0.0
	odds := probability / (1 - probability)
	for ; k <= n && term > sum*1e-9; k++ {
		sum += term
		term *= (n - k) / (k + 1) * odds
	}
	return sum
}
