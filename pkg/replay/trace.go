// Package replay plays seeded traces of requests and reclaims in virtual time
// over small models of engines, with the same decisions that the daemon makes,
// so that policies can be compared on the same trace.
package replay

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// Request is one request of a trace. Times count from its start.
type Request struct {
	At      time.Duration
	Account int
	Chain   []uint64
	Prompt  fleet.Tokens
	Output  fleet.Tokens
	// Target is the latest time to the first token, Deadline to the last.
	Target   time.Duration
	Deadline time.Duration
}

// Reclaim takes every reclaimable instance of a zone.
type Reclaim struct {
	At     time.Duration
	Notice time.Duration
	Zone   fleet.ZoneName
}

// Trace is what happens to one pool. Instances that are lost are not replaced:
// the cloud refuses.
type Trace struct {
	Name     string
	Requests []Request
	Reclaims []Reclaim
	Offers   []fleet.Offer
	Weights  route.Weights
	// Length is how long instances are paid for.
	Length time.Duration
	// Nodes is how many entry nodes decide, each by its own view.
	Nodes int
	Model Model
}

// Model is what an engine is like.
type Model struct {
	Speed route.TokenTimes
	Slots int
	// Blocks bounds the prefix cache.
	Blocks int
	// Transfer is how many tokens of KV cache an instance exports a second.
	Transfer float64
}

// shape is what the requests of a trace are like.
type shape struct {
	accounts []float64
	// shared and turn are blocks of the account's common prompt and of one turn.
	shared   int
	turn     int
	session  float64
	output   float64
	target   time.Duration
	deadline time.Duration
}

// offers are three zones with one class each, and on-demand beside them.
func offers() []fleet.Offer {
	hourly := []fleet.MicroCents{90, 100, 110}
	zones := []fleet.ZoneName{"a", "b", "c"}
	var list []fleet.Offer
	for i, z := range zones {
		list = append(list,
			fleet.Offer{Zone: z, DataCentre: fleet.DataCentreName(z), Class: "small", Market: fleet.MarketReclaimable, Hourly: hourly[i]},
			fleet.Offer{Zone: z, DataCentre: fleet.DataCentreName(z), Class: "small", Market: fleet.MarketOnDemand, Hourly: 3 * hourly[i]},
		)
	}
	return list
}

// Dawn is the cooperative at dawn: short answers to sellers at the gate, in
// sessions over a long common prompt. A zone goes at the height of it, and one
// large account bursts later.
func Dawn(seed uint64) Trace {
	t := Trace{
		Name:     "cooperative at dawn",
		Reclaims: []Reclaim{{At: 40 * time.Second, Notice: 10 * time.Second, Zone: "a"}},
		Offers:   offers(),
		Weights:  route.Weights{Latency: 3, Recompute: 1},
		Length:   2 * time.Minute,
		Nodes:    7,
		Model: Model{
			Speed:    route.TokenTimes{Prefill: 250 * time.Microsecond, Decode: 20 * time.Millisecond},
			Slots:    16,
			Blocks:   2048,
			Transfer: 20000,
		},
	}
	s := dawnShape()
	t.Requests = s.requests(seed, t.Length, func(at time.Duration) float64 {
		if at > 15*time.Second && at < 75*time.Second {
			return 45
		}
		return 25
	}, burst{from: 85 * time.Second, to: 95 * time.Second, factor: 2.5})
	return t
}

// constant is a steady rate of requests a second.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func dawnShape() shape {
	return shape{
		accounts: []float64{0.5, 0.25, 0.15, 0.07, 0.03},
		shared:   30,
		turn:     12,
		session:  0.65,
		output:   60,
		target:   460 * time.Millisecond,
		deadline: 30 * time.Second,
	}
}

// Night is the tale load at night: few requests with long answers. A zone goes
// in the midst of it.
func Night(seed uint64) Trace {
	t := Dawn(seed)
	t.Name = "tales at night"
	t.Reclaims = []Reclaim{{At: 60 * time.Second, Notice: 10 * time.Second, Zone: "a"}}
	t.Weights = route.Weights{Latency: 1, Recompute: 3}
	t.Length = 4 * time.Minute
	s := shape{
		accounts: []float64{0.6, 0.2, 0.1, 0.05, 0.05},
		shared:   20,
		turn:     10,
		session:  0.2,
		output:   700,
		target:   2 * time.Second,
		deadline: 90 * time.Second,
	}
	t.Requests = s.requests(seed, t.Length, func(at time.Duration) float64 {
		if at > 30*time.Second && at < 150*time.Second {
			return 5
		}
		return 3
	}, burst{from: 180 * time.Second, to: 190 * time.Second, factor: 2.5})
	return t
}

// burst multiplies the rate of the largest account for a while.
type burst struct {
	from   time.Duration
	to     time.Duration
	factor float64
}

// longestOutput bounds the length of an answer, in mean lengths, so that every
// request can be finished by its deadline.
const longestOutput = 3

// session is a conversation: its chain so far.
type session struct{ chain []uint64 }

func (s shape) requests(seed uint64, length time.Duration, rate func(time.Duration) float64, b burst) (list []Request) {
	r := rand.New(rand.NewPCG(seed, 1))
	open := make([][]session, len(s.accounts))
	shared := make([][]uint64, len(s.accounts))
	for a := range shared {
		shared[a] = blocks(r, nil, s.shared)
	}
	for at := time.Duration(0); ; {
		now := rate(at)
		bursting := at > b.from && at < b.to
		if bursting {
			now *= 1 + s.accounts[0]*(b.factor-1)
		}
		at += time.Duration(r.ExpFloat64() / now * float64(time.Second))
		if at >= length {
			return list
		}
		a := s.account(r, bursting, b.factor)
		list = append(list, s.request(r, at, a, &open[a], shared[a]))
	}
}

// account draws who asks.
func (s shape) account(r *rand.Rand, bursting bool, factor float64) int {
	weight := func(a int) float64 {
		if bursting && a == 0 {
			return s.accounts[a] * factor
		}
		return s.accounts[a]
	}
	total := 0.0
	for a := range s.accounts {
		total += weight(a)
	}
	x := r.Float64() * total
	for a := range s.accounts {
		if x -= weight(a); x < 0 {
			return a
		}
	}
	return 0
}

// request starts a session or goes on with one, whose earlier turns it repeats.
func (s shape) request(r *rand.Rand, at time.Duration, account int, open *[]session, shared []uint64) Request {
	chain := shared
	k := -1
	if len(*open) > 0 && r.Float64() < s.session {
		k = r.IntN(len(*open))
		chain = (*open)[k].chain
	}
	chain = blocks(r, chain, 1+r.IntN(2*s.turn))
	const longest = 160
	switch {
	case k >= 0 && len(chain) < longest:
		(*open)[k].chain = chain
	case k >= 0:
		*open = append((*open)[:k], (*open)[k+1:]...)
	default:
		*open = append(*open, session{chain})
	}
	return Request{
		At:       at,
		Account:  account,
		Chain:    chain,
		Prompt:   fleet.Tokens(len(chain)) * 16,
		Output:   1 + fleet.Tokens(s.output*min(longestOutput, 0.3+0.7*r.ExpFloat64())),
		Target:   s.target,
		Deadline: s.deadline,
	}
}

// blocks returns a chain with so many random blocks after it.
func blocks(r *rand.Rand, chain []uint64, count int) []uint64 {
	longer := make([]uint64, len(chain), len(chain)+count)
	copy(longer, chain)
	for range count {
		longer = append(longer, r.Uint64())
	}
	return longer
}
