package pace

import (
	"math"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// memory is the time constant with which evidence decays. It bridges stalls of a
	// second and follows lasting changes.
	memory = 20 * time.Second
	// forgetBelow is the weight below which evidence is dropped.
	forgetBelow = 0.02
	// minSample and maxSample bound the milliseconds of a sample.
	minSample, maxSample = 0.01, 60000.0
)

// Model collects this node's evidence, adds that of the other nodes and holds the
// estimates that follow. The zero value is ready to use.
type Model struct {
	mu    sync.Mutex
	local map[Key]*decayingSum
	pools map[fleet.PoolName]*Pool
}

// decayingSum is a sum as of a time.
type decayingSum struct {
	Sum
	at clock.Instant
}

// decay ages the sum.
func (s *decayingSum) decay(now clock.Instant) {
	if passed := now.Sub(s.at); passed > 0 {
		f := math.Exp(-float64(passed) / float64(memory))
		s.Weight, s.Log, s.at = s.Weight*f, s.Log*f, now
	}
}

// add adds a sample. The caller holds the lock.
func (m *Model) add(k Key, log float64, now clock.Instant) {
	if m.local == nil {
		m.local = make(map[Key]*decayingSum)
	}
	s := m.local[k]
	if s == nil {
		s = &decayingSum{at: now}
		m.local[k] = s
	}
	s.decay(now)
	s.Weight, s.Log = s.Weight+1, s.Log+log
}

// Pool returns the present estimate of a pool.
func (m *Model) Pool(name fleet.PoolName) *Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pool(name)
}

// pool implements Pool. The caller holds the lock.
func (m *Model) pool(name fleet.PoolName) *Pool {
	if p := m.pools[name]; p != nil {
		return p
	}
	return &Pool{}
}

// AddUnit records the time that an endpoint took for an output token of a stream or for
// a request to a plain service. A sample that lies far from the usual one counts as if
// it lay at a bound, and one of a cold endpoint not at all.
func (m *Model) AddUnit(e serving.Endpoint, took time.Duration, now clock.Instant) {
	if took <= 0 || e.Cold > 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	log := logMilliseconds(took)
	if p := m.pool(e.Pool); p.PerUnit > 0 {
		log = min(max(log, p.usualLog-maxLogSample), p.usualLog+maxLogSample)
	}
	m.add(EndpointKey(e.ID, e.Born), log, now)
}

// AddPrompt records the time to the first event of a prompt before which no other one
// waited at the engine. Its tokens count as those that an engine of usual speed reads in
// the same time; the constant part of the time doesn't depend on the speed.
func (m *Model) AddPrompt(e serving.Endpoint, uncached fleet.Tokens, took time.Duration, now clock.Instant) {
	if took <= 0 || uncached <= 0 || e.Cold > 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	log, tokens := logMilliseconds(took), float64(uncached)
	if p := m.pool(e.Pool); p.Uneven {
		tokens /= p.Speed(e)
		if p.Prefill > 0 {
			usual := math.Log(p.FirstStep.Seconds()*1000 + tokens/p.Prefill)
			log = min(max(log, usual-maxLogPrompt), usual+maxLogPrompt)
		}
	}
	size, t := promptKeys(e.Pool, promptBin(tokens))
	m.add(size, math.Log(tokens), now)
	m.add(t, log, now)
}

func logMilliseconds(d time.Duration) float64 {
	return math.Log(min(max(d.Seconds()*1000, minSample), maxSample))
}

// Evidence returns this node's own evidence.
func (m *Model) Evidence(now clock.Instant) Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := make(Evidence, len(m.local))
	for k, s := range m.local {
		s.decay(now)
		if s.Weight < forgetBelow {
			delete(m.local, k)
			continue
		}
		r[k] = s.Sum
	}
	return r
}

// Update estimates the speeds of a pool's endpoints anew. evidence is that of all nodes,
// this one included.
func (m *Model) Update(pool fleet.PoolName, endpoints []serving.Endpoint, evidence Evidence) {
	// Requests wait for the lock, and the estimate of a large pool takes milliseconds.
	p := estimate(pool, endpoints, evidence, m.Pool(pool).Uneven)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pools == nil {
		m.pools = make(map[fleet.PoolName]*Pool)
	}
	m.pools[pool] = p
}
