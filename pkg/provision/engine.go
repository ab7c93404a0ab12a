package provision

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Speeds are the speeds of the engines of a pool while they serve their usual load.
type Speeds struct {
	// Prefill is the number of prompt tokens that an engine processes in a millisecond.
	Prefill float64 `cbor:"1,keyasint"`
	// Decode is the time between two output tokens of a stream, in milliseconds.
	Decode float64 `cbor:"2,keyasint"`
}

// DefaultSpeeds apply until the speeds of a pool were measured.
var DefaultSpeeds = Speeds{Prefill: 28, Decode: 12.5}

const (
	// prefillShare is the engine time of a prompt relative to the time that its prefill
	// takes. The engine serves other streams in the same time.
	prefillShare = 0.8
	// decodeShare is the engine time of an output token relative to the time between two
	// tokens, as one step of the engine serves all streams of its batch.
	decodeShare = 0.0032
	// maxSamples is the number of latest samples from which a speed is estimated, and
	// minSamples the number from which there is an estimate.
	maxSamples, minSamples = 64, 16
	// updateEvery is the number of samples between two estimates.
	updateEvery = 8
	// minTokenDifference is the minimum difference between two prompts whose times are
	// compared.
	minTokenDifference = 500
	// maxStep bounds the factor by which one estimate may change a speed.
	maxStep = 1.25
	// minStreamEvents is the minimum number of events of a stream that is timed.
	minStreamEvents = 4
)

// EngineTime returns the engine time that a request takes, in milliseconds.
func (s Speeds) EngineTime(uncached, output fleet.Tokens) float64 {
	return prefillShare*float64(uncached)/s.Prefill + decodeShare*s.Decode*float64(output)
}

// EngineModel estimates the speeds of the engines of each pool from the streams of a
// node. Medians keep single slow, cold or faulty engines from deciding. The zero value
// is ready to use.
type EngineModel struct {
	// Usual, if set, returns the mean speeds of a pool's engines as measured by all nodes,
	// or false if the engines don't differ clearly. They replace the estimate of this node.
	Usual func(fleet.PoolName) (Speeds, bool)

	mu    sync.Mutex
	pools map[fleet.PoolName]*poolModel
}

// poolModel holds the latest samples of a pool and the speeds that follow from them.
type poolModel struct {
	speeds   Speeds
	prefills ring[prefillSample]
	decodes  ring[float64]
	// measured reports whether the speeds were measured by this node.
	measured bool
}

// prefillSample is the time to the first event of a prompt that had the engine's prefill
// to itself.
type prefillSample struct{ tokens, milliseconds float64 }

// ring holds the latest samples.
type ring[T any] struct {
	samples []T
	count   int
}

// add adds a sample. It reports whether an estimate is due.
func (r *ring[T]) add(sample T) bool {
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, sample)
	} else {
		r.samples[r.count%maxSamples] = sample
	}
	r.count++
	return len(r.samples) >= minSamples && r.count%updateEvery == 0
}

// pool returns the model of a pool. The caller holds the lock.
func (m *EngineModel) pool(name fleet.PoolName) *poolModel {
	if m.pools == nil {
		m.pools = make(map[fleet.PoolName]*poolModel)
	}
	p := m.pools[name]
	if p == nil {
		p = &poolModel{speeds: DefaultSpeeds}
		m.pools[name] = p
	}
	return p
}

// AddPrefill records the time to the first event of a prompt before which no other one
// waited at the engine.
func (m *EngineModel) AddPrefill(pool fleet.PoolName, uncached fleet.Tokens, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pool(pool)
	if !p.prefills.add(prefillSample{float64(uncached), took.Seconds() * 1000}) {
		return
	}
	if perToken := medianSlope(p.prefills.samples); perToken > 0 {
		p.speeds.Prefill = approach(p.speeds.Prefill, 1/perToken)
		p.measured = true
	}
}

// AddStream records the time between the first and the last event of a stream.
func (m *EngineModel) AddStream(pool fleet.PoolName, events, tokensPerEvent int, took time.Duration) {
	if events < minStreamEvents || took <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pool(pool)
	if p.decodes.add(took.Seconds() * 1000 / float64((events-1)*max(1, tokensPerEvent))) {
		p.speeds.Decode = approach(p.speeds.Decode, median(p.decodes.samples))
	}
}

// approach returns the measured speed, but at most maxStep times or 1/maxStep of the
// present one.
func approach(present, measured float64) float64 {
	return min(max(measured, present/maxStep), present*maxStep)
}

// medianSlope returns the median of the slopes between all pairs of samples (Theil-Sen),
// or 0 if there are too few pairs that differ. The constant part of the time, which the
// network and the engine's first step take, cancels out.
func medianSlope(samples []prefillSample) float64 {
	var slopes []float64
	for i, a := range samples {
		for _, b := range samples[:i] {
			if d := a.tokens - b.tokens; d > minTokenDifference || d < -minTokenDifference {
				slopes = append(slopes, (a.milliseconds-b.milliseconds)/d)
			}
		}
	}
	if len(slopes) < maxSamples {
		return 0
	}
	return median(slopes)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Speeds returns the speeds of the engines of a pool.
func (m *EngineModel) Speeds(pool fleet.PoolName) Speeds {
	if m.Usual != nil {
		if s, ok := m.Usual(pool); ok {
			return s
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pool(pool).speeds
}

// Known returns the speeds that were measured by this node or adopted, by pool.
func (m *EngineModel) Known() map[fleet.PoolName]Speeds {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[fleet.PoolName]Speeds)
	for name, p := range m.pools {
		if p.speeds != DefaultSpeeds {
			known[name] = p.speeds
		}
	}
	return known
}

// Adopt takes over the speeds that another node knows, unless this node has measured
// them itself.
func (m *EngineModel) Adopt(pool fleet.PoolName, s Speeds) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.pool(pool); !p.measured && s.Prefill > 0 && s.Decode > 0 {
		p.speeds = s
	}
}
