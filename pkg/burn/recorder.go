package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Name names what has an objective.
type AccountPool struct {
	Account fleet.AccountName `json:"account"`
	Pool    fleet.PoolName    `json:"pool"`
}

func (n AccountPool) compare(o AccountPool) int {
	return cmp.Or(cmp.Compare(n.Account, o.Account), cmp.Compare(n.Pool, o.Pool))
}

// Point is the counts of one bucket.
type Point struct {
	Time   time.Time `json:"time"`
	Counts Counts    `json:"counts"`
}

// Series is the counts of one account on one pool: for each of Windows its
// points.
type Series struct {
	AccountPool
	Objective float64   `json:"objective"`
	Windows   [][]Point `json:"windows"`
}

// Answer is what one node has counted since it started.
type NodeReport struct {
	Node   fleet.NodeName `json:"node"`
	Since  time.Time      `json:"since"`
	Series []Series       `json:"series"`
}

// Recorder counts the requests of one node. The zero value is ready to use.
type Recorder struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	records map[AccountPool]*record
}

type record struct {
	objective float64
	rings     []ring
}

func (r *Recorder) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

// Add counts a request under an objective.
func (r *Recorder) Add(n AccountPool, objective float64, v Verdict) {
	if v == VerdictNone {
		return
	}
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records == nil {
		r.records = make(map[AccountPool]*record)
	}
	rec := r.records[n]
	if rec == nil {
		rec = &record{rings: make([]ring, len(Windows))}
		r.records[n] = rec
	}
	rec.objective = objective
	for i, w := range Windows {
		rec.rings[i].add(w, now, v)
	}
}

// Series returns what was counted, in order of name.
func (r *Recorder) Series() []Series {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Series, 0, len(r.records))
	for n, rec := range r.records {
		s := Series{AccountPool: n, Objective: rec.objective}
		for i, w := range Windows {
			s.Windows = append(s.Windows, rec.rings[i].read(w, now))
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Series) int { return a.compare(b.AccountPool) })
	return list
}
