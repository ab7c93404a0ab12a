package route

// The baselines that the predictor is compared with.

// RoundRobin takes the candidates in turn.
func RoundRobin(q *Query, v *View) int {
	n := len(v.Candidates)
	for k := range n {
		if i := int((q.Sequence + uint64(k)) % uint64(n)); q.allows(&v.Candidates[i]) {
			return i
		}
	}
	return None
}

// LeastReported takes the candidate with the least work in its last report.
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

// TwoReported takes the one with less work in its last report of the two that
// rank highest for the seed.
func TwoReported(q *Query, v *View) int {
	return better(q, v, func(c *Candidate) int { return c.Report.Work })
}

// TwoChoices takes the one with less of this node's own work of the two that
// rank highest for the seed.
func TwoChoices(q *Query, v *View) int {
	return better(q, v, func(c *Candidate) int { return c.LocalWork })
}

func better(q *Query, v *View, work func(*Candidate) int) int {
	d := draw(q, v)
	if d.count == 0 {
		return None
	}
	a := d.indices[0]
	if d.count > 1 && work(&v.Candidates[d.indices[1]]) < work(&v.Candidates[a]) {
		return d.indices[1]
	}
	return a
}
