// Package replay is a discrete-event simulation of a serving pool. It replays
// seeded traces of requests and reclaims in virtual time on simulated engines and
// uses the decision functions of the daemon, so that policies can be compared on
// the same trace.
package replay

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// Request is a request of a trace.
type Request struct {
	// At is the arrival time, relative to the start of the trace.
	At time.Duration
	// Account is the index of the account. The largest account is 0.
	Account int
	// BlockHashes are the hashes of the prompt's blocks.
	BlockHashes  []uint64
	PromptTokens fleet.Tokens
	OutputTokens fleet.Tokens
	// FirstTokenTarget and Deadline are the maximum times from the arrival to the
	// first and to the last token.
	FirstTokenTarget time.Duration
	Deadline         time.Duration
}

// Reclaim terminates all reclaimable instances of a zone.
type Reclaim struct {
	At     time.Duration
	Notice time.Duration
	Zone   fleet.ZoneName
}

// Trace describes the load, the reclaims and the engines of one pool. Terminated
// instances are not replaced, as if the cloud refused new ones.
type Trace struct {
	Name     string
	Requests []Request
	Reclaims []Reclaim
	Offers   []fleet.Offer
	Weights  route.Weights
	// Duration is how long requests arrive and instances are paid for.
	Duration time.Duration
	// Nodes is the number of entry nodes, which have separate views.
	Nodes int
	Model EngineModel
}

// EngineModel holds the parameters of a simulated engine.
type EngineModel struct {
	TokenTimes route.TokenTimes
	Slots      int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// ExportTokensPerSecond is the rate at which an instance exports KV cache.
	ExportTokensPerSecond float64
}

// workload describes the requests of a trace.
type workload struct {
	// accountShares are the accounts' fractions of the requests, largest first.
	accountShares []float64
	// sharedBlocks is the length of the common prompt of an account's sessions,
	// meanTurnBlocks the approximate mean length that one turn adds.
	sharedBlocks   int
	meanTurnBlocks int
	// continueProbability is the probability that a request continues a session.
	continueProbability float64
	// meanOutput is the mean length of a response in tokens before it is limited by
	// maxOutputFactor.
	meanOutput       float64
	firstTokenTarget time.Duration
	deadline         time.Duration
}

// threeZoneOffers returns a reclaimable and an on-demand offer of the same class
// in each of three zones.
func threeZoneOffers() []fleet.Offer {
	hourlyPrices := []fleet.MicroCents{90, 100, 110}
	zones := []fleet.ZoneName{"a", "b", "c"}
	var offers []fleet.Offer
	for i, z := range zones {
		offers = append(offers,
			fleet.Offer{Zone: z, DataCentre: fleet.DataCentreName(z), Class: "small", Market: fleet.MarketReclaimable, HourlyPrice: hourlyPrices[i]},
			fleet.Offer{Zone: z, DataCentre: fleet.DataCentreName(z), Class: "small", Market: fleet.MarketOnDemand, HourlyPrice: 3 * hourlyPrices[i]},
		)
	}
	return offers
}

// Dawn returns a trace with many short responses in sessions that share a long
// prompt. A zone is reclaimed at peak load, and the largest account has a burst
// later.
func Dawn(seed uint64) Trace {
	t := Trace{
		Name:     "cooperative at dawn",
		Reclaims: []Reclaim{{At: 40 * time.Second, Notice: 10 * time.Second, Zone: "a"}},
		Offers:   threeZoneOffers(),
		Weights:  route.Weights{Latency: 3, Recompute: 1},
		Duration: 2 * time.Minute,
		Nodes:    7,
		Model: EngineModel{
			TokenTimes:            route.TokenTimes{Prefill: 250 * time.Microsecond, Decode: 20 * time.Millisecond},
			Slots:                 16,
			CacheBlocks:           2048,
			ExportTokensPerSecond: 20000,
		},
	}
	w := dawnWorkload()
	t.Requests = w.drawRequests(seed, t.Duration, func(at time.Duration) float64 {
		if at > 15*time.Second && at < 75*time.Second {
			return 45
		}
		return 25
	}, burst{from: 85 * time.Second, to: 95 * time.Second, factor: 2.5})
	return t
}

// constantRate returns a constant rate of requests per second.
func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// dawnWorkload returns the workload of Dawn.
func dawnWorkload() workload {
	return workload{
		accountShares:       []float64{0.5, 0.25, 0.15, 0.07, 0.03},
		sharedBlocks:        30,
		meanTurnBlocks:      12,
		continueProbability: 0.65,
		meanOutput:          60,
		firstTokenTarget:    460 * time.Millisecond,
		deadline:            30 * time.Second,
	}
}

// Night returns a trace with few requests and long responses. A zone is reclaimed
// during the period of higher load.
func Night(seed uint64) Trace {
	t := Dawn(seed)
	t.Name = "tales at night"
	t.Reclaims = []Reclaim{{At: 60 * time.Second, Notice: 10 * time.Second, Zone: "a"}}
	t.Weights = route.Weights{Latency: 1, Recompute: 3}
	t.Duration = 4 * time.Minute
	w := workload{
		accountShares:       []float64{0.6, 0.2, 0.1, 0.05, 0.05},
		sharedBlocks:        20,
		meanTurnBlocks:      10,
		continueProbability: 0.2,
		meanOutput:          700,
		firstTokenTarget:    2 * time.Second,
		deadline:            90 * time.Second,
	}
	t.Requests = w.drawRequests(seed, t.Duration, func(at time.Duration) float64 {
		if at > 30*time.Second && at < 150*time.Second {
			return 5
		}
		return 3
	}, burst{from: 180 * time.Second, to: 190 * time.Second, factor: 2.5})
	return t
}

// burst multiplies the rate of the largest account during a period.
type burst struct {
	from   time.Duration
	to     time.Duration
	factor float64
}

// maxOutputFactor is the maximum length of a response as a multiple of the mean.
// With this limit every request can finish by its deadline.
const maxOutputFactor = 3

// session is a conversation, represented by the block hashes of its turns so far.
type session struct{ blockHashes []uint64 }

// drawRequests draws the requests of a trace from a Poisson process with a rate
// that depends on the time.
func (w workload) drawRequests(seed uint64, duration time.Duration, rate func(time.Duration) float64, b burst) (requests []Request) {
	r := rand.New(rand.NewPCG(seed, 1))
	sessions := make([][]session, len(w.accountShares))
	shared := make([][]uint64, len(w.accountShares))
	for a := range shared {
		shared[a] = appendBlocks(r, nil, w.sharedBlocks)
	}
	for at := time.Duration(0); ; {
		currentRate := rate(at)
		bursting := at > b.from && at < b.to
		if bursting {
			currentRate *= 1 + w.accountShares[0]*(b.factor-1)
		}
		at += time.Duration(r.ExpFloat64() / currentRate * float64(time.Second))
		if at >= duration {
			return requests
		}
		a := w.drawAccount(r, bursting, b.factor)
		requests = append(requests, w.drawRequest(r, at, a, &sessions[a], shared[a]))
	}
}

// drawAccount draws the account of a request.
func (w workload) drawAccount(r *rand.Rand, bursting bool, factor float64) int {
	weight := func(a int) float64 {
		if bursting && a == 0 {
			return w.accountShares[a] * factor
		}
		return w.accountShares[a]
	}
	total := 0.0
	for a := range w.accountShares {
		total += weight(a)
	}
	draw := r.Float64() * total
	for a := range w.accountShares {
		if draw -= weight(a); draw < 0 {
			return a
		}
	}
	return 0
}

// drawRequest draws a request that starts a session or continues one. A continued
// session's earlier turns are the prefix of the prompt.
func (w workload) drawRequest(r *rand.Rand, at time.Duration, account int, sessions *[]session, shared []uint64) Request {
	hashes := shared
	continued := -1
	if len(*sessions) > 0 && r.Float64() < w.continueProbability {
		continued = r.IntN(len(*sessions))
		hashes = (*sessions)[continued].blockHashes
	}
	hashes = appendBlocks(r, hashes, 1+r.IntN(2*w.meanTurnBlocks))
	const maxSessionBlocks = 160
	switch {
	case continued >= 0 && len(hashes) < maxSessionBlocks:
		(*sessions)[continued].blockHashes = hashes
	case continued >= 0:
		*sessions = append((*sessions)[:continued], (*sessions)[continued+1:]...)
	default:
		*sessions = append(*sessions, session{hashes})
	}
	return Request{
		At:               at,
		Account:          account,
		BlockHashes:      hashes,
		PromptTokens:     fleet.Tokens(len(hashes)) * 16,
		OutputTokens:     1 + fleet.Tokens(w.meanOutput*min(maxOutputFactor, 0.3+0.7*r.ExpFloat64())),
		FirstTokenTarget: w.firstTokenTarget,
		Deadline:         w.deadline,
	}
}

// appendBlocks returns a copy of the hashes with random hashes appended.
func appendBlocks(r *rand.Rand, hashes []uint64, count int) []uint64 {
	extended := make([]uint64, len(hashes), len(hashes)+count)
	copy(extended, hashes)
	for range count {
		extended = append(extended, r.Uint64())
	}
	return extended
}
