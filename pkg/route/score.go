package route

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Term names a term of the score.
type Term string

// The terms of the score.
const (
	// TermQueue is the wait for work that is at the endpoint already.
	TermQueue Term = "queue"
	// TermPrefix is the time for the part of the prompt that is not cached.
	TermPrefix Term = "prefix"
	// TermRecompute is the machine time of that part, for those who mind it.
	TermRecompute Term = "recompute"
)

// Values that apply until a node has measured its own.
const (
	DefaultPrefillTime = 400 * time.Microsecond
	DefaultDecodeTime  = 20 * time.Millisecond
	// DefaultSlots is taken for an endpoint that has not reported its own.
	DefaultSlots = 16
)

// doubt is the share of a doubtful prefix that is counted as cached.
const doubt = 0.5

// Score is the cost of a choice, in seconds by term. Lower is better.
type Score struct {
	Queue     float64
	Prefix    float64
	Recompute float64
}

// Sum returns the whole cost.
func (s Score) Sum() float64 { return s.Queue + s.Prefix + s.Recompute }

// FirstToken predicts the time to the first token at a candidate.
func (v *View) TimeToFirstToken(q *Query, c *Candidate, cached float64) time.Duration {
	uncached := max(0, float64(q.PromptTokens)-cached)
	seconds := v.queue(q, c) + uncached*v.prompt()
	return time.Duration(seconds * float64(time.Second))
}

func (v *View) prompt() float64 { return or(v.TokenTimes.Prefill, DefaultPrefillTime).Seconds() }

func (v *View) token() float64 { return or(v.TokenTimes.Decode, DefaultDecodeTime).Seconds() }

// Service predicts the time of a request of which nothing is cached.
func (v *View) ServiceTime(prompt, output fleet.Tokens) time.Duration {
	q := Query{PromptTokens: prompt, OutputTokens: output}
	return time.Duration(v.service(&q) * float64(time.Second))
}

// service is the machine time of a request, in seconds.
func (v *View) service(q *Query) float64 {
	return float64(q.PromptTokens)*v.prompt() + float64(q.OutputTokens)*v.token()
}

// queue is the wait at a candidate, in seconds: prompts ahead are computed one
// after the other, and past the slots a request waits for another to end.
func (v *View) queue(q *Query, c *Candidate) float64 {
	slots := float64(or(c.Slots, DefaultSlots))
	work := v.Work(c, q.Now)
	ahead := work / slots * float64(q.PromptTokens) * v.prompt()
	if over := work + 1 - slots; over > 0 {
		ahead += over / slots * v.service(q)
	}
	return ahead
}

// Score returns the cost of a choice.
func (v *View) Score(q *Query, c *Candidate, cached float64) Score {
	uncached := max(0, float64(q.PromptTokens)-cached) * v.prompt()
	return Score{
		Queue:     q.Weights.Latency * v.queue(q, c),
		Prefix:    q.Weights.Latency * uncached,
		Recompute: q.Weights.Recompute * uncached,
	}
}

// without returns the score with one term left out.
func (s Score) without(t Term) Score {
	switch t {
	case TermQueue:
		s.Queue = 0
	case TermPrefix:
		s.Prefix = 0
	case TermRecompute:
		s.Recompute = 0
	}
	return s
}

// cached returns the tokens of the prompt that count as cached at a candidate.
func (q *Query) cached(index int) float64 {
	for _, h := range q.Hits {
		if h.Index == index {
			return h.cached()
		}
	}
	return 0
}

// Cached returns how many tokens of the prompt are expected to be cached at a
// candidate.
func (q *Query) Cached(index int) fleet.Tokens { return fleet.Tokens(q.cached(index)) }

func (h Hit) cached() float64 { return float64(h.Tokens) + doubt*float64(h.UnconfirmedTokens) }

func or[T int | time.Duration | fleet.Tokens](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
