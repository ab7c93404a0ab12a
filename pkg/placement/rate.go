package placement

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/pace"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// prefillRateWeight is the weight of one observation in the moving average of
	// the prefill rate.
	prefillRateWeight = 0.15
	// minRateTokens is the minimum number of queued prompt tokens from which the
	// prefill rate is estimated.
	minRateTokens = 1000
	// minPrefillFactor and maxPrefillFactor bound the prefill rate of an engine relative
	// to the usual one of its pool.
	minPrefillFactor, maxPrefillFactor = 0.12, 2.4
)

// estimate returns the estimate of a pool, which is zero without a model.
func (t *Tracker) estimate(pool fleet.PoolName) *pace.Pool {
	if t.Pace == nil {
		return &pace.Pool{}
	}
	return t.Pace.Pool(pool)
}

// speedOf returns the function that gives the relative speeds of a pool's endpoints, or
// nil if they don't differ clearly.
func (t *Tracker) speedOf(pool fleet.PoolName) func(serving.Endpoint) float64 {
	if p := t.estimate(pool); p.Uneven {
		return p.Speed
	}
	return nil
}

// applyEstimate sets the speed of the endpoint and what follows from it.
func (s *endpointState) applyEstimate(p *pace.Pool) {
	if !p.Uneven {
		s.speed, s.firstStep = 0, 0
		return
	}
	s.speed = p.Speed(s.endpoint)
	s.poolRate *= s.speed
	s.firstStep = idleFirstEventTime
	if p.Prefill > 0 {
		s.poolRate = p.Prefill * s.speed
		s.firstStep = p.FirstStep
	}
}

// idleFirstEvent returns the time to the first event of an empty prompt.
func (s *endpointState) idleFirstEvent() time.Duration {
	if s.firstStep > 0 {
		return s.firstStep
	}
	return idleFirstEventTime
}

// usualRate returns the prefill rate that is expected of the endpoint.
func (s *endpointState) usualRate() float64 {
	if s.poolRate <= 0 {
		return provision.DefaultSpeeds.Prefill
	}
	return s.poolRate
}

// observedRate returns the prefill rate that follows from a first event at now. It
// reports false if too few tokens were queued or too little time has passed.
func (s *endpointState) observedRate(p *Prefill, now clock.Instant) (rate float64, ok bool) {
	took := now.Sub(p.startedAt) - s.idleFirstEvent()
	if p.queued < minRateTokens || took <= 0 {
		return 0, false
	}
	rate = float64(p.queued) / (float64(took) / float64(time.Millisecond))
	return min(max(rate, minPrefillFactor*s.usualRate()), maxPrefillFactor*s.usualRate()), true
}

// prefillRate returns the lower of the average or expected rate and the rate that the longest
// waiting request implies so far. The latter shows that an engine has become slow
// before its first event arrives.
func (s *endpointState) prefillRate(now clock.Instant) float64 {
	rate := s.measuredRate
	if rate == 0 || s.speed > 0 {
		rate = s.usualRate()
	}
	if len(s.prefills) > 0 {
		if bound, ok := s.observedRate(s.prefills[0], now); ok {
			rate = min(rate, bound)
		}
	}
	return rate
}
