package load

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Range and precision of the latency histograms.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Targets are the maximum latencies of a request that is on time, measured from
// its intended start.
type Targets struct {
	// FirstToken applies to chat requests: the time until the first token.
	FirstToken time.Duration `json:"first_token"`
	// Total applies to orders: the time until the response is complete.
	Total time.Duration `json:"total"`
}

// Result holds the measurements of a load.
type Result struct {
	Plan    Plan
	Targets Targets
	Took    time.Duration

	mu sync.Mutex
	// Outcomes counts the requests by kind and outcome.
	Outcomes map[Kind]map[fleet.Outcome]int
	// OnTimeCount is the number of requests that succeeded within the targets.
	OnTimeCount int
	Tokens      fleet.Tokens
	firstToken  *hdrhistogram.Histogram
	chat        *hdrhistogram.Histogram
	order       *hdrhistogram.Histogram
}

func newResult(p Plan, t Targets) *Result {
	return &Result{
		Plan:       p,
		Targets:    t,
		Outcomes:   map[Kind]map[fleet.Outcome]int{KindChat: {}, KindOrder: {}},
		firstToken: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		chat:       hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		order:      hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
	}
}

// outcome returns the outcome of a request. It is unknown without a complete
// response.
func (r Response) outcome() fleet.Outcome {
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

// add adds a request that has ended. Only the latencies of a request that succeeded
// are recorded, measured from its intended start.
func (r *Result) add(intended time.Time, k Kind, response Response) {
	o := response.outcome()
	total := response.End.Sub(intended)
	first := response.FirstToken.Sub(intended)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[k][o]++
	if o != fleet.OutcomeDone {
		return
	}
	r.Tokens += response.Tokens
	if k == KindOrder {
		recordLatency(r.order, total)
		if total <= r.Targets.Total {
			r.OnTimeCount++
		}
		return
	}
	recordLatency(r.firstToken, first)
	recordLatency(r.chat, total)
	if first <= r.Targets.FirstToken {
		r.OnTimeCount++
	}
}

// recordLatency adds a latency to a histogram. Values out of range count as the
// nearest limit.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), minMicroseconds), maxMicroseconds))
}

// requests returns the number of requests that have ended.
func (r *Result) requests() int {
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

// Latency summarises a latency distribution.
type Latency struct {
	Name  string        `json:"name"`
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
}

// Summary is the report of a load.
type Summary struct {
	Seed     uint64                         `json:"seed"`
	Rate     float64                        `json:"rate"`
	Took     time.Duration                  `json:"took"`
	Requests int                            `json:"requests"`
	Outcomes map[Kind]map[fleet.Outcome]int `json:"outcomes"`
	// OnTimeFraction is the fraction of all requests that succeeded within the
	// targets.
	OnTimeFraction float64      `json:"ontime"`
	Targets        Targets      `json:"targets"`
	Generated      fleet.Tokens `json:"generated"`
	Latencies      []Latency    `json:"latencies"`
	// Recomputed, Charged and Cost are nil if the bill could not be read. Recomputed
	// and Charged include other traffic during the load.
	Recomputed *fleet.Tokens     `json:"recomputed,omitempty"`
	Charged    *fleet.MicroCents `json:"charged,omitempty"`
	// Cost is the price of the instances for the duration of the load.
	Cost *fleet.MicroCents `json:"cost,omitempty"`
}

// Summary returns the report. The load must have ended.
func (r *Result) Summary() Summary {
	s := Summary{
		Seed:      r.Plan.Seed,
		Rate:      r.Plan.Rate,
		Took:      r.Took,
		Requests:  r.requests(),
		Outcomes:  r.Outcomes,
		Targets:   r.Targets,
		Generated: r.Tokens,
		Latencies: []Latency{newLatency("first token", r.firstToken), newLatency("chat", r.chat), newLatency("order", r.order)},
	}
	if s.Requests > 0 {
		s.OnTimeFraction = float64(r.OnTimeCount) / float64(s.Requests)
	}
	return s
}

func newLatency(name string, h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{Name: name, Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond}
}
