package route

// DefaultChoices is the default of Predictor.Choices.
const DefaultChoices = 2

// Predictor compares two candidates and chooses the one with the lower predicted
// cost. The first is the candidate with the longest cached prefix of the prompt or, of
// several, the one ranked highest for the seed; the second is the candidate ranked
// highest of all. If no candidate has a prefix cached, it compares the two ranked
// highest. It considers further candidates, by rank, only while the chosen one is
// full. It never compares all candidates, so nodes with the same stale reports do not
// all choose the same endpoint. If the seed is derived from the content, copies of it
// go to the same two endpoints from every node. The zero value is ready to use.
type Predictor struct {
	// Choices is the number of candidates compared; 0 means DefaultChoices.
	Choices int
	// Omit is a term to leave out of the score, or empty.
	Omit Term
}

// Pick is a Policy.
func (p Predictor) Pick(q *Query, v *View) int {
	top := rankCandidates(q, v)
	best, minCost := None, 0.0
	consider := func(index int) {
		cost := v.Score(q, &v.Candidates[index], q.cached(index)).without(p.Omit).Sum()
		if best == None || cost < minCost {
			best, minCost = index, cost
		}
	}
	choices := orDefault(p.Choices, DefaultChoices)
	if p.Omit != TermPrefill {
		if h := longestCached(q, v); h != None {
			consider(h)
			choices--
		}
	}
	for n, i := range top.indices[:top.count] {
		if n >= choices && !v.full(q, best) {
			break
		}
		consider(i)
	}
	return best
}

// full reports whether a candidate is estimated to have no free slot.
func (v *View) full(q *Query, index int) bool {
	c := &v.Candidates[index]
	return v.Work(c, q.Now)+1 > float64(orDefault(c.Slots, DefaultSlots))
}

// longestCached returns the allowed candidate with the longest cached prefix. Of
// several, it returns the one ranked highest for the seed.
func longestCached(q *Query, v *View) int {
	best, maxCached, maxRank := None, 0.0, uint64(0)
	for _, h := range q.Hits {
		c := &v.Candidates[h.Index]
		cached, rank := h.cached(), mix64(q.Seed^c.hash)
		if cached < maxCached || cached == 0 || (cached == maxCached && rank <= maxRank) || !q.allows(c) {
			continue
		}
		best, maxCached, maxRank = h.Index, cached, rank
	}
	return best
}
