// Package returning decides when refused callers are told to come back, and recognises
// those that do. All nodes share one schedule by adding up what each of them promised.
// The package performs no I/O.
package returning

import (
	"maps"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// BucketTime is the length of a bucket of the schedule.
	BucketTime = 250 * time.Millisecond
	// returnShare is the part of the engine time that is promised to returning callers. The
	// rest is for callers that come for the first time, who can still be answered in time.
	returnShare = 0.25
	// settleTime is the time after the start of a node in which it promises all times alike:
	// callers of all nodes may have been refused at once, and it does not yet know what the
	// others promise.
	settleTime = time.Second
	// maxBuckets is the maximum number of buckets ahead in a report.
	maxBuckets = 40
)

// Bucket is the number of a bucket since the Unix epoch.
type Bucket int64

// BucketAt returns the bucket of a time.
func BucketAt(t time.Time) Bucket { return Bucket(t.UnixMilli() / BucketTime.Milliseconds()) }

// start returns the begin of a bucket.
func (b Bucket) start() time.Time { return time.UnixMilli(int64(b) * BucketTime.Milliseconds()) }

// Promises are the engine milliseconds of the requests that were told to come back, by
// bucket.
type Promises map[Bucket]float64

// Query is a refused request that is to be told when to come back.
type Query struct {
	Pool fleet.PoolName
	// Work is the engine time that the request takes, in milliseconds.
	Work float64
	// Rate is the engine time that the pool has for all nodes, in milliseconds a second, and
	// Known the part of the nodes whose promises are known here.
	Rate, Known float64
	// Earliest and Latest bound the time until the return.
	Earliest, Latest time.Duration
}

// choose returns the first bucket from first to last in which the promises leave room for
// the work, or the one with the fewest promises, the last of several.
//
// It answers a shortage in which many callers are refused at once: they come back at the
// rate at which room frees up, not all together.
func choose(promised func(Bucket) float64, work, room float64, first, last Bucket) Bucket {
	best, least := first, promised(first)
	for b := first; b <= last; b++ {
		amount := promised(b)
		if amount == 0 || amount+work <= room {
			return b
		}
		if amount <= least {
			best, least = b, amount
		}
	}
	return best
}

// Schedule holds the returns that this node promised, and those that the others report.
// The zero value is ready to use.
type Schedule struct {
	// Random returns a number in [0, 1); nil stands for 0.
	Random func() float64
	// Started is when the node started.
	Started time.Time

	mu  sync.Mutex
	own map[fleet.PoolName]Promises
	// peers is what the other nodes report.
	peers map[fleet.PoolName]Promises
}

// random calls Random if it is set.
func (s *Schedule) random() float64 {
	if s.Random == nil {
		return 0
	}
	return s.Random()
}

// Promise returns the time after which a refused caller is told to come back.
func (s *Schedule) Promise(q Query, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	earliest := min(q.Earliest, q.Latest)
	first, last := BucketAt(now.Add(earliest)), BucketAt(now.Add(q.Latest))
	last = min(last, first+maxBuckets-1)
	bucket := first + Bucket(s.random()*float64(last-first+1))
	if now.Sub(s.Started) >= settleTime {
		own, peers := s.own[q.Pool], s.peers[q.Pool]
		room := returnShare * q.Rate * BucketTime.Seconds() * q.Known
		bucket = choose(func(b Bucket) float64 { return own[b] + peers[b] }, q.Work, room, first, last)
	}
	if s.own == nil {
		s.own = make(map[fleet.PoolName]Promises)
	}
	if s.own[q.Pool] == nil {
		s.own[q.Pool] = make(Promises)
	}
	s.own[q.Pool][bucket] += q.Work
	after := bucket.start().Sub(now) + time.Duration(s.random()*float64(BucketTime))
	return min(max(after, earliest), q.Latest).Truncate(time.Millisecond)
}

// SetPeers sets the promises of the other nodes.
func (s *Schedule) SetPeers(promises map[fleet.PoolName]Promises) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = promises
}

// Report returns the promises of this node that are still to be kept; nil if there are
// none.
func (s *Schedule) Report(now time.Time) map[fleet.PoolName]Promises {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := BucketAt(now)
	var report map[fleet.PoolName]Promises
	for pool, promises := range s.own {
		maps.DeleteFunc(promises, func(b Bucket, _ float64) bool { return b < present })
		if len(promises) == 0 {
			delete(s.own, pool)
			continue
		}
		if report == nil {
			report = make(map[fleet.PoolName]Promises)
		}
		report[pool] = maps.Clone(promises)
	}
	return report
}

// Add returns the sum of two reports, and leaves both as they are.
func Add(a, b map[fleet.PoolName]Promises) map[fleet.PoolName]Promises {
	if len(a) == 0 || len(b) == 0 {
		if len(a) == 0 {
			return b
		}
		return a
	}
	sum := make(map[fleet.PoolName]Promises, len(a))
	for _, report := range []map[fleet.PoolName]Promises{a, b} {
		for pool, promises := range report {
			if sum[pool] == nil {
				sum[pool] = make(Promises, len(promises))
			}
			for bucket, work := range promises {
				sum[pool][bucket] += work
			}
		}
	}
	for _, promises := range sum {
		trim(promises)
	}
	return sum
}

// trim removes the latest buckets of a report that has too many.
func trim(promises Promises) {
	for len(promises) > maxBuckets {
		latest := Bucket(0)
		for b := range promises {
			latest = max(latest, b)
		}
		delete(promises, latest)
	}
}

// Standing is how a request stands to the promises.
type Standing string

// The standings. Their values are labels of metrics.
const (
	// StandingNew means that no promise is known.
	StandingNew Standing = "new"
	// StandingKept means that the caller comes back at its time or after.
	StandingKept Standing = "kept"
	// StandingEarly means that the caller comes back before its time.
	StandingEarly Standing = "early"
)
