package route

// maxRanked is the maximum number of candidates that a decision considers by rank.
const maxRanked = 8

// topRanked holds the candidates ranked highest for a seed, best first.
type topRanked struct {
	indices [maxRanked]int
	ranks   [maxRanked]uint64
	count   int
}

// rankCandidates ranks the candidates for the query's seed by rendezvous hashing.
// It returns those of the first maxRanked that are allowed or, if none is, any
// allowed candidate. The rank depends only on the instance and the seed, so nodes
// with almost the same candidates get almost always the same result.
func rankCandidates(q *Query, v *View) (top topRanked) {
	for i := range v.Candidates {
		top.add(i, mix64(q.Seed^v.Candidates[i].hash))
	}
	kept := 0
	for _, i := range top.indices[:top.count] {
		if q.allows(&v.Candidates[i]) {
			top.indices[kept] = i
			kept++
		}
	}
	if kept == 0 && top.count == maxRanked {
		kept = top.firstAllowed(q, v)
	}
	top.count = kept
	return top
}

// firstAllowed replaces the best ranked candidate by the first allowed one from
// there on, in order of index. It returns the number found, 0 or 1.
func (t *topRanked) firstAllowed(q *Query, v *View) (count int) {
	n := len(v.Candidates)
	for k := range n {
		if i := (t.indices[0] + k) % n; q.allows(&v.Candidates[i]) {
			t.indices[0] = i
			return 1
		}
	}
	return 0
}

// add inserts a candidate if its rank is among the highest.
func (t *topRanked) add(index int, rank uint64) {
	if t.count == maxRanked && rank <= t.ranks[maxRanked-1] {
		return
	}
	pos := t.count
	if t.count < maxRanked {
		t.count++
	} else {
		pos--
	}
	for pos > 0 && t.ranks[pos-1] < rank {
		t.indices[pos], t.ranks[pos] = t.indices[pos-1], t.ranks[pos-1]
		pos--
	}
	t.indices[pos], t.ranks[pos] = index, rank
}

// mix64 is the finaliser of SplitMix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
