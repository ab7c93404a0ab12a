package route

// DefaultChoices is how many candidates a decision compares.
const DefaultChoices = 2

// Predictor chooses by the predicted cost between the candidate that ranks
// highest for the seed and, of those that hold the longest prefix of the
// prompt, the one that ranks highest; if none holds any, the candidate that
// ranks second. Only if those are full does it consider further ones by rank.
// It never compares all, so nodes with the same stale reports do not all choose
// the same endpoint; and if the seed is that of the content, copies of one
// content meet on two endpoints wherever they enter. The zero value is ready to
// use.
type Predictor struct {
	// Choices is how many candidates are compared; 0 takes DefaultChoices.
	Choices int
	// Omit leaves a term out of the score.
	Omit Term
}

// Pick is the policy.
func (p Predictor) Pick(q *Query, v *View) int {
	d := draw(q, v)
	best, least := None, 0.0
	consider := func(index int) {
		cost := v.Score(q, &v.Candidates[index], q.cached(index)).without(p.Omit).Sum()
		if best == None || cost < least {
			best, least = index, cost
		}
	}
	choices := or(p.Choices, DefaultChoices)
	if p.Omit != TermPrefix {
		if h := holder(q, v); h != None {
			consider(h)
			choices--
		}
	}
	for n, i := range d.indices[:d.count] {
		if n >= choices && !v.full(q, best) {
			break
		}
		consider(i)
	}
	return best
}

// full reports whether a candidate has no free slot by the estimate.
func (v *View) full(q *Query, index int) bool {
	c := &v.Candidates[index]
	return v.Work(c, q.Now)+1 > float64(or(c.Slots, DefaultSlots))
}

// holder returns the allowed candidate with the longest cached prefix, and of
// several the one that ranks highest.
func holder(q *Query, v *View) int {
	best, most, high := None, 0.0, uint64(0)
	for _, h := range q.Hits {
		c := &v.Candidates[h.Index]
		cached, rank := h.cached(), mix(q.Seed^c.hash)
		if cached < most || cached == 0 || (cached == most && rank <= high) || !q.allows(c) {
			continue
		}
		best, most, high = h.Index, cached, rank
	}
	return best
}
