package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// AccountPool identifies an account on a pool, which has one objective.
type AccountPool struct {
	Account fleet.AccountName `json:"account"`
	Pool    fleet.PoolName    `json:"pool"`
}

func (a AccountPool) compare(o AccountPool) int {
	return cmp.Or(cmp.Compare(a.Account, o.Account), cmp.Compare(a.Pool, o.Pool))
}

// Point holds the counts of one bucket.
type Point struct {
	Time   time.Time `json:"time"`
	Counts Counts    `json:"counts"`
}

// Series holds the counts of one account on one pool, with the points of each
// window in the order of Windows.
type Series struct {
	AccountPool
	Objective      float64   `json:"objective"`
	PointsByWindow [][]Point `json:"windows"`
}

// NodeReport holds the counts of one node since its start.
type NodeReport struct {
	Node   fleet.NodeName `json:"node"`
	Since  time.Time      `json:"since"`
	Series []Series       `json:"series"`
}

// Recorder counts the requests of one node. The zero value is ready to use.
type Recorder struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu     sync.Mutex
	counts map[AccountPool]*objectiveCounts
}

// objectiveCounts holds the counts of one account on one pool: a ring for each of
// Windows.
type objectiveCounts struct {
	objective float64
	rings     []ring
}

func (r *Recorder) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

// Add counts a request and sets the objective of its account and pool.
func (r *Recorder) Add(key AccountPool, objective float64, v Verdict) {
	if v == VerdictNone {
		return
	}
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[AccountPool]*objectiveCounts)
	}
	counts := r.counts[key]
	if counts == nil {
		counts = &objectiveCounts{rings: make([]ring, len(Windows))}
		r.counts[key] = counts
	}
	counts.objective = objective
	for i, w := range Windows {
		counts.rings[i].add(w, now, v)
	}
}

// Series returns the counts, sorted by account and pool.
func (r *Recorder) Series() []Series {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Series, 0, len(r.counts))
	for key, counts := range r.counts {
		s := Series{AccountPool: key, Objective: counts.objective}
		for i, w := range Windows {
			s.PointsByWindow = append(s.PointsByWindow, counts.rings[i].points(w, now))
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Series) int { return a.compare(b.AccountPool) })
	return list
}
