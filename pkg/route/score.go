package route

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Term names a term of the score.
type Term string

// The terms of the score.
const (
	// TermQueue is the wait for the work already at the endpoint.
	TermQueue Term = "queue"
	// TermPrefill is the prefill time of the prompt tokens that are not cached.
	TermPrefill Term = "prefix"
	// TermRecompute is the engine time of the same tokens, weighted by
	// Weights.Recompute.
	TermRecompute Term = "recompute"
)

// Defaults that apply until a node has measured or received a value.
const (
	// DefaultPrefillTime is the prefill time of an uncached prompt token.
	DefaultPrefillTime = 400 * time.Microsecond
	// DefaultDecodeTime is the time between two generated tokens.
	DefaultDecodeTime = 20 * time.Millisecond
	// DefaultSlots is the number of slots of an endpoint that has not reported it.
	DefaultSlots = 16
)

// unconfirmedShare is the share of unconfirmed tokens that counts as cached.
const unconfirmedShare = 0.5

// Score is the cost of a choice, in seconds by term. Lower is better.
type Score struct {
	Queue     float64
	Prefill   float64
	Recompute float64
}

// Sum returns the total cost.
func (s Score) Sum() float64 { return s.Queue + s.Prefill + s.Recompute }

// TimeToFirstToken predicts the time to the first token at a candidate.
func (v *View) TimeToFirstToken(q *Query, c *Candidate, cached float64) time.Duration {
	uncached := max(0, float64(q.PromptTokens)-cached)
	seconds := v.queueWait(q, c) + uncached*v.prefillSeconds()
	return time.Duration(seconds * float64(time.Second))
}

// prefillSeconds returns the prefill time of an uncached prompt token.
func (v *View) prefillSeconds() float64 {
	return orDefault(v.TokenTimes.Prefill, DefaultPrefillTime).Seconds()
}

// decodeSeconds returns the time between two generated tokens.
func (v *View) decodeSeconds() float64 {
	return orDefault(v.TokenTimes.Decode, DefaultDecodeTime).Seconds()
}

// ServiceTime predicts the duration of a request that has nothing cached.
func (v *View) ServiceTime(prompt, output fleet.Tokens) time.Duration {
	q := Query{PromptTokens: prompt, OutputTokens: output}
	return time.Duration(v.serviceSeconds(&q) * float64(time.Second))
}

// serviceSeconds returns the engine time of a request that has nothing cached.
func (v *View) serviceSeconds(q *Query) float64 {
	return float64(q.PromptTokens)*v.prefillSeconds() + float64(q.OutputTokens)*v.decodeSeconds()
}

// queueWait returns the wait at a candidate, in seconds. Prompts ahead are
// prefilled one after the other, and a request beyond the slots waits for another
// to end.
func (v *View) queueWait(q *Query, c *Candidate) float64 {
	slots := float64(orDefault(c.Slots, DefaultSlots))
	work := v.Work(c, q.Now)
	wait := work / slots * float64(q.PromptTokens) * v.prefillSeconds()
	if excess := work + 1 - slots; excess > 0 {
		wait += excess / slots * v.serviceSeconds(q)
	}
	return wait
}

// Score returns the cost of choosing a candidate.
func (v *View) Score(q *Query, c *Candidate, cached float64) Score {
	uncached := max(0, float64(q.PromptTokens)-cached) * v.prefillSeconds()
	return Score{
		Queue:     q.Weights.Latency * v.queueWait(q, c),
		Prefill:   q.Weights.Latency * uncached,
		Recompute: q.Weights.Recompute * uncached,
	}
}

// without returns the score with one term set to 0.
func (s Score) without(t Term) Score {
	switch t {
	case TermQueue:
		s.Queue = 0
	case TermPrefill:
		s.Prefill = 0
	case TermRecompute:
		s.Recompute = 0
	}
	return s
}

// cached returns the number of prompt tokens that count as cached at a candidate.
func (q *Query) cached(index int) float64 {
	for _, h := range q.Hits {
		if h.Index == index {
			return h.cached()
		}
	}
	return 0
}

// Cached returns the number of prompt tokens expected to be cached at a candidate.
func (q *Query) Cached(index int) fleet.Tokens { return fleet.Tokens(q.cached(index)) }

// cached returns the number of tokens of the hit that count as cached.
func (h Hit) cached() float64 {
	return float64(h.Tokens) + unconfirmedShare*float64(h.UnconfirmedTokens)
}

// orDefault returns the value, or the fallback if it is 0.
func orDefault[T int | time.Duration | fleet.Tokens](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
