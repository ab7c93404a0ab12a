package route

import (
	"math/bits"
	"math/rand/v2"
)

// Bounds of the choices that are compared.
const (
	// DefaultChoices is how many candidates are drawn at random.
	DefaultChoices = 3
	// holderChoices is how many are drawn from those that hold a prefix.
	holderChoices = 3
	// drawTries is how often a draw is repeated that met a barred candidate.
	drawTries = 4
)

// Predictor chooses by the predicted cost among a few candidates drawn at
// random and a few that hold a prefix of the prompt. It never compares all, so
// that nodes with the same stale reports do not all choose the same endpoint.
// The zero value is ready to use.
type Predictor struct {
	// Choices is how many candidates are drawn; 0 takes DefaultChoices.
	Choices int
	// Omit leaves a term out of the score.
	Omit Term
}

// Pick is the policy.
func (p Predictor) Pick(q *Query, v *View) int {
	d := newDraw(q.Seed)
	best, least := None, 0.0
	consider := func(index int, cached float64) {
		cost := v.Score(q, &v.Candidates[index], cached).without(p.Omit).Sum()
		if best == None || cost < least {
			best, least = index, cost
		}
	}
	for range or(p.Choices, DefaultChoices) {
		if i := d.candidate(q, v); i != None {
			consider(i, q.cached(i))
		}
	}
	for n := range min(holderChoices, len(q.Hits)) {
		h := q.Hits[n]
		if len(q.Hits) > holderChoices {
			h = q.Hits[d.below(len(q.Hits))]
		}
		if q.allows(&v.Candidates[h.Index]) {
			consider(h.Index, h.cached())
		}
	}
	return best
}

// draw is a source of random choices that allocates nothing.
type draw struct{ source rand.PCG }

func newDraw(seed uint64) (d draw) {
	d.source.Seed(seed, 0)
	return d
}

// below returns a number from 0 to below n.
func (d *draw) below(n int) int {
	high, _ := bits.Mul64(d.source.Uint64(), uint64(n))
	return int(high)
}

// candidate draws a candidate that is allowed. If a few draws meet none, it
// takes the next allowed one in order.
func (d *draw) candidate(q *Query, v *View) int {
	n := len(v.Candidates)
	if n == 0 {
		return None
	}
	at := 0
	for range drawTries {
		at = d.below(n)
		if q.allows(&v.Candidates[at]) {
			return at
		}
	}
	for k := range n {
		if i := (at + k) % n; q.allows(&v.Candidates[i]) {
			return i
		}
	}
	return None
}
