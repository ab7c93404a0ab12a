package pace

import (
	"math"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// maxLogSpeed bounds the logarithm of a relative speed.
	maxLogSpeed = 1.1
	// maxLogSample bounds how far a sample may lie from the usual one of its pool.
	maxLogSample = 1.4
	// maxLogPrompt bounds how far the time to a first event may lie from the predicted one.
	// It is small, as prompts of other nodes that wait at the engine go unnoticed.
	maxLogPrompt = 0.6
	// priorWeight is the weight of the assumption that an endpoint has the usual speed.
	priorWeight = 3.0
	// minWeight is the evidence from which an endpoint counts for its pool's spread.
	minWeight = 6.0
	// minEndpoints is the number of such endpoints from which a pool has a spread.
	minEndpoints = 3
	// lowQuantile and highQuantile are the endpoints whose speeds are compared.
	lowQuantile, highQuantile = 0.15, 0.85
	// unevenFrom and unevenUntil are the ratios of these speeds from which a pool counts
	// as uneven and below which it no longer does. Load makes equal engines differ less.
	unevenFrom, unevenUntil = 1.7, 1.35
	// spreadNoise over the square root of a pool's evidence is how far the logarithm of the
	// spread of equal endpoints may lie from 0 by chance.
	spreadNoise = 3.0
)

// Pool is the estimate of a pool at one time. It is immutable. The zero value stands for
// a pool of endpoints whose speeds don't differ clearly.
type Pool struct {
	// Uneven reports whether the speeds of the endpoints differ clearly.
	Uneven bool
	// Spread is the ratio of the speeds of fast and slow endpoints, 0 if unknown.
	Spread float64
	// Evidence is the number of recent samples about endpoints.
	Evidence float64
	// PerUnit is the usual time for an output token of an engine or a request to a plain
	// service, 0 if unknown.
	PerUnit time.Duration
	// FirstStep is the time to the first event of an empty prompt at an idle engine, and
	// Prefill the number of prompt tokens that one of usual speed reads in a millisecond;
	// 0 if unknown.
	FirstStep time.Duration
	Prefill   float64

	// MeanSpeed is the mean of the relative speeds, 0 if unknown. The usual speed is their
	// geometric mean, so that an engine serves MeanSpeed times what a usual one does.
	MeanSpeed float64

	usualLog float64
	speeds   map[fleet.InstanceID]bornSpeed
}

// bornSpeed is the speed of the incarnation born at a time.
type bornSpeed struct {
	born  int64
	speed float64
}

// Speed returns the speed of an endpoint relative to the usual one of its pool.
func (p *Pool) Speed(e serving.Endpoint) float64 {
	if s, ok := p.speeds[e.ID]; ok && s.born == e.Born {
		return s.speed
	}
	return 1
}

// estimate returns the estimate of a pool that follows from the evidence of all nodes.
// The pool was uneven before or not. It answers engines of different speeds that stall
// from time to time: stalls hit all alike and cancel out against the usual speed.
func estimate(pool fleet.PoolName, endpoints []serving.Endpoint, evidence Evidence, wasUneven bool) *Pool {
	p := &Pool{speeds: make(map[fleet.InstanceID]bornSpeed, len(endpoints))}
	var means, all []float64
	for _, e := range endpoints {
		if s := evidence[EndpointKey(e.ID, e.Born)]; s.Weight > 0 {
			p.Evidence += s.Weight
			all = append(all, s.Mean())
			if s.Weight >= minWeight {
				means = append(means, s.Mean())
			}
		}
	}
	if len(all) == 0 {
		return p
	}
	if len(means) < minEndpoints {
		means, p.Uneven = all, wasUneven
	} else {
		slices.Sort(means)
		low, high := means[quantileIndex(len(means), lowQuantile)], means[quantileIndex(len(means), highQuantile)]
		p.Spread = math.Exp(high - low)
		clearly := unevenFrom * math.Exp(spreadNoise/math.Sqrt(p.Evidence))
		p.Uneven = 2*len(means) >= len(all) && p.Spread >= clearly || wasUneven && p.Spread >= unevenUntil
	}
	p.usualLog = clippedMean(means)
	p.PerUnit = time.Duration(math.Exp(p.usualLog) * float64(time.Millisecond))
	for _, e := range endpoints {
		p.MeanSpeed += 1 / float64(len(endpoints))
		if s := evidence[EndpointKey(e.ID, e.Born)]; s.Weight > 0 {
			log := min(max(p.usualLog-s.Mean(), -maxLogSpeed), maxLogSpeed)
			speed := math.Exp(log * s.Weight / (s.Weight + priorWeight))
			p.speeds[e.ID] = bornSpeed{e.Born, speed}
			p.MeanSpeed += (speed - 1) / float64(len(endpoints))
		}
	}
	p.FirstStep, p.Prefill = fitPrompts(pool, evidence)
	return p
}

func quantileIndex(n int, q float64) int { return int(math.Round(q * float64(n-1))) }

// clippedMean returns the mean of values, each at most maxLogSpeed from their median.
func clippedMean(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	median, sum := sorted[len(sorted)/2], 0.0
	for _, v := range values {
		sum += min(max(v, median-maxLogSpeed), median+maxLogSpeed)
	}
	return sum / float64(len(values))
}

const (
	// promptBins is the number of size classes of prompts, each promptBinRatio times as
	// large as the one before; the first ends at minPromptTokens.
	promptBins      = 8
	promptBinRatio  = 2.0
	minPromptTokens = 128.0
	// minBinWeight is the evidence from which a class counts.
	minBinWeight = 4.0
	// minFitRatio is the smallest ratio of two prompts from which a rate follows.
	minFitRatio = 2.0
	// promptNoise is the standard deviation of the logarithm of a time to the first event, and
	// minRiseErrors the number of standard errors by which the times have to rise with the size.
	promptNoise, minRiseErrors = 0.5, 2.0
	// minFirstStep and maxFirstStep bound the constant part of the time to the first event.
	minFirstStep, maxFirstStep = 2.0, 500.0
)

// promptBin returns the size class of a prompt.
func promptBin(tokens float64) int {
	return int(min(max(0, math.Ceil(math.Log(tokens/minPromptTokens)/math.Log(promptBinRatio))), promptBins-1))
}

// promptKeys returns the keys of the sizes and of the times of a class of prompts.
func promptKeys(pool fleet.PoolName, bin int) (size, took Key) {
	return hashKey(string(pool), "prompt size", uint64(bin)), hashKey(string(pool), "prompt time", uint64(bin))
}

// fitPrompts fits a line through the times to the first event by prompt size, weighted
// by evidence and relative to the times. It returns 0 if the sizes differ too little, or the
// times so little that the rate could be any.
func fitPrompts(pool fleet.PoolName, evidence Evidence) (firstStep time.Duration, prefill float64) {
	var w, wx, wy, wxx, wxy float64
	smallest, largest := math.Inf(1), 0.0
	for bin := range promptBins {
		sizeKey, timeKey := promptKeys(pool, bin)
		sizes, times := evidence[sizeKey], evidence[timeKey]
		if min(sizes.Weight, times.Weight) < minBinWeight {
			continue
		}
		x, y := math.Exp(sizes.Mean()), math.Exp(times.Mean())
		smallest, largest = min(smallest, x), max(largest, x)
		weight := times.Weight / (y * y)
		w, wx, wy, wxx, wxy = w+weight, wx+weight*x, wy+weight*y, wxx+weight*x*x, wxy+weight*x*y
	}
	if largest < minFitRatio*smallest {
		return 0, 0
	}
	slope := (w*wxy - wx*wy) / (w*wxx - wx*wx)
	if standardError := promptNoise * math.Sqrt(w/(w*wxx-wx*wx)); !(slope >= minRiseErrors*standardError) {
		return 0, 0
	}
	intercept := min(max((wy-slope*wx)/w, minFirstStep), maxFirstStep)
	return time.Duration(intercept * float64(time.Millisecond)), 1 / slope
}
