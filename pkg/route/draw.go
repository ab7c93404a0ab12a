package route

// maxDraw bounds how many candidates one decision considers by their rank.
const maxDraw = 8

// drawn are the candidates that rank highest for a seed, best first.
type drawn struct {
	indices [maxDraw]int
	ranks   [maxDraw]uint64
	count   int
}

// draw ranks the candidates for the query's seed by rendezvous hashing and
// returns those that are allowed of the first eight, or else any that is. The
// rank depends on the instance and the seed alone, so nodes with almost the
// same candidates draw almost always the same ones.
func draw(q *Query, v *View) (d drawn) {
	for i := range v.Candidates {
		d.add(i, mix(q.Seed^v.Candidates[i].hash))
	}
	kept := 0
	for _, i := range d.indices[:d.count] {
		if q.allows(&v.Candidates[i]) {
			d.indices[kept] = i
			kept++
		}
	}
	if kept == 0 && d.count == maxDraw {
		kept = d.any(q, v)
	}
	d.count = kept
	return d
}

// any takes the first allowed candidate from the best ranked one on.
func (d *drawn) any(q *Query, v *View) (count int) {
	n := len(v.Candidates)
	for k := range n {
		if i := (d.indices[0] + k) % n; q.allows(&v.Candidates[i]) {
			d.indices[0] = i
			return 1
		}
	}
	return 0
}

// add keeps a candidate if its rank is among the highest.
func (d *drawn) add(index int, rank uint64) {
	if d.count == maxDraw && rank <= d.ranks[maxDraw-1] {
		return
	}
	at := d.count
	if d.count < maxDraw {
		d.count++
	} else {
		at--
	}
	for at > 0 && d.ranks[at-1] < rank {
		d.indices[at], d.ranks[at] = d.indices[at-1], d.ranks[at-1]
		at--
	}
	d.indices[at], d.ranks[at] = index, rank
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
