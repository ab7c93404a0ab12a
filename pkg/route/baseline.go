package route

// Baseline policies to compare Predictor with.

// RoundRobin chooses the candidates in turn.
func RoundRobin(q *Query, v *View) int {
	n := len(v.Candidates)
	for k := range n {
		if i := int((q.Sequence + uint64(k)) % uint64(n)); q.allows(&v.Candidates[i]) {
			return i
		}
	}
	return None
}

// LeastReported chooses the candidate with the least work in its last report.
func LeastReported(q *Query, v *View) int {
	best := None
	for i := range v.Candidates {
		c := &v.Candidates[i]
		if q.allows(c) && (best == None || c.Report.Work < v.Candidates[best].Report.Work) {
			best = i
		}
	}
	return best
}

// TwoReported chooses, of the two candidates ranked highest for the seed, the one
// with less work in its last report.
func TwoReported(q *Query, v *View) int {
	return lessLoaded(q, v, func(c *Candidate) int { return c.Report.Work })
}

// TwoChoices chooses, of the two candidates ranked highest for the seed, the one
// with less work of this node in flight.
func TwoChoices(q *Query, v *View) int {
	return lessLoaded(q, v, func(c *Candidate) int { return c.LocalWork })
}

// lessLoaded returns the one with less work of the two allowed candidates
// ranked highest for the seed.
func lessLoaded(q *Query, v *View, work func(*Candidate) int) int {
	top := rankCandidates(q, v)
	if top.count == 0 {
		return None
	}
	a := top.indices[0]
	if top.count > 1 && work(&v.Candidates[top.indices[1]]) < work(&v.Candidates[a]) {
		return top.indices[1]
	}
	return a
}
