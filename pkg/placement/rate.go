package placement

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
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

// usualRate returns the usual prefill rate of the endpoint's pool.
func (s *endpointState) usualRate() float64 {
	if s.poolRate <= 0 {
		return provision.DefaultSpeeds.Prefill
	}
	return s.poolRate
}

// observedRate returns the prefill rate that follows from a first event at now. It
// reports false if too few tokens were queued or too little time has passed.
func (s *endpointState) observedRate(p *Prefill, now clock.Instant) (rate float64, ok bool) {
	took := now.Sub(p.startedAt) - idleFirstEventTime
	if p.queued < minRateTokens || took <= 0 {
		return 0, false
	}
	rate = float64(p.queued) / (float64(took) / float64(time.Millisecond))
	return min(max(rate, minPrefillFactor*s.usualRate()), maxPrefillFactor*s.usualRate()), true
}

// prefillRate returns the lower of the average rate and the rate that the longest
// waiting request implies so far. The latter shows that an engine has become slow
// before its first event arrives.
func (s *endpointState) prefillRate(now clock.Instant) float64 {
	rate := s.measuredRate
	if rate == 0 {
		rate = s.usualRate()
	}
	if len(s.prefills) > 0 {
		if bound, ok := s.observedRate(s.prefills[0], now); ok {
			rate = min(rate, bound)
		}
	}
	return rate
}
