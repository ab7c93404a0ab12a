package load

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Range and precision of the histograms, in microseconds and digits.
const (
	lowest  = 1
	highest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

// Targets are what a request must keep to be on time, from its intended start.
type Targets struct {
	FirstToken time.Duration `json:"first_token"`
	// Total bounds an order.
	Total time.Duration `json:"total"`
}

// Result is what a load measured.
type Result struct {
	Plan    Plan
	Targets Targets
	Took    time.Duration

	mu sync.Mutex
	// Outcomes counts the requests by kind and outcome.
	Outcomes map[Kind]map[fleet.Outcome]int
	OnTime   int
	Tokens   fleet.Tokens
	first    *hdrhistogram.Histogram
	chat     *hdrhistogram.Histogram
	order    *hdrhistogram.Histogram
}

func newResult(p Plan, t Targets) *Result {
	return &Result{
		Plan:     p,
		Targets:  t,
		Outcomes: map[Kind]map[fleet.Outcome]int{KindChat: {}, KindOrder: {}},
		first:    hdrhistogram.New(lowest, highest, digits),
		chat:     hdrhistogram.New(lowest, highest, digits),
		order:    hdrhistogram.New(lowest, highest, digits),
	}
}

// outcome returns how a request ended; without a whole answer it is unknown.
func (r Reply) outcome() fleet.Outcome {
	switch {
	case r.Status == 0:
		return fleet.OutcomeUnknown
	case r.Status < http.StatusBadRequest:
		return fleet.OutcomeDone
	case r.Outcome != "":
		return r.Outcome
	default:
		return fleet.OutcomeFailed
	}
}

// add counts a request by its intended start.
func (r *Result) add(intended time.Time, k Kind, reply Reply) {
	o := reply.outcome()
	total := reply.End.Sub(intended)
	first := reply.First.Sub(intended)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[k][o]++
	if o != fleet.OutcomeDone {
		return
	}
	r.Tokens += reply.Tokens
	if k == KindOrder {
		record(r.order, total)
		if total <= r.Targets.Total {
			r.OnTime++
		}
		return
	}
	record(r.first, first)
	record(r.chat, total)
	if first <= r.Targets.FirstToken {
		r.OnTime++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), lowest), highest))
}

func (r *Result) ended() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, outcomes := range r.Outcomes {
		for _, c := range outcomes {
			n += c
		}
	}
	return n
}

// Latency is a distribution of latencies.
type Latency struct {
	Name  string        `json:"name"`
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
}

// Summary is a result as it is written.
type Summary struct {
	Seed      uint64                         `json:"seed"`
	Rate      float64                        `json:"rate"`
	Took      time.Duration                  `json:"took"`
	Requests  int                            `json:"requests"`
	Outcomes  map[Kind]map[fleet.Outcome]int `json:"outcomes"`
	OnTime    float64                        `json:"ontime"`
	Targets   Targets                        `json:"targets"`
	Generated fleet.Tokens                   `json:"generated"`
	Latencies []Latency                      `json:"latencies"`
	// Recomputed, Charged and Cost are absent if the bill could not be read.
	Recomputed *fleet.Tokens     `json:"recomputed,omitempty"`
	Charged    *fleet.MicroCents `json:"charged,omitempty"`
	// Cost is what the instances cost while the load ran.
	Cost *fleet.MicroCents `json:"cost,omitempty"`
}

// Summary returns the result as it is written. The load must have ended.
func (r *Result) Summary() Summary {
	s := Summary{
		Seed:      r.Plan.Seed,
		Rate:      r.Plan.Rate,
		Took:      r.Took,
		Requests:  r.ended(),
		Outcomes:  r.Outcomes,
		Targets:   r.Targets,
		Generated: r.Tokens,
		Latencies: []Latency{latency("first token", r.first), latency("chat", r.chat), latency("order", r.order)},
	}
	if s.Requests > 0 {
		s.OnTime = float64(r.OnTime) / float64(s.Requests)
	}
	return s
}

func latency(name string, h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{Name: name, Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond}
}
