// Package load is an open-loop load generator. The start times of requests are
// drawn in advance and do not depend on earlier responses. Latencies are measured
// from the intended start, so a stall counts in every request that it delays and
// coordinated omission is avoided.
package load

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Kind is the kind of a request.
type Kind string

// The kinds of request.
const (
	KindChat  Kind = "chat"
	KindOrder Kind = "order"
)

// Limits of a load.
const (
	// MaxRequests is the maximum number of requests of one load.
	MaxRequests = 1_000_000
	// InFlightLimit is the highest value that Plan.MaxInFlight may have.
	InFlightLimit = 10_000
)

// Plan describes a load.
type Plan struct {
	Seed uint64
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// OrderShare is the fraction of the requests that are orders.
	OrderShare float64
	// MaxInFlight is the maximum number of requests in flight. The latency of a
	// request that this limit delays is still measured from the intended start.
	MaxInFlight int
}

// Arrival is one request of a load.
type Arrival struct {
	// At is the intended start, relative to the start of the load.
	At   time.Duration
	Kind Kind
	// Key is the idempotency key of an order.
	Key  fleet.Key
	Text string
}

// Check returns an error if a value of the plan is out of range.
func (p Plan) Check() error {
	switch {
	case p.Rate <= 0:
		return errors.New("rate must be above 0 requests per second")
	case p.Duration <= 0:
		return errors.New("duration must be above 0")
	case p.OrderShare < 0 || p.OrderShare > 1:
		return errors.New("fraction of orders must be between 0 and 1")
	case p.MaxInFlight < 1 || p.MaxInFlight > InFlightLimit:
		return errors.Newf("number of requests in flight must be between 1 and %d", InFlightLimit)
	case p.Rate*p.Duration.Seconds() > MaxRequests:
		return errors.Newf("rate and duration result in more than %d requests", MaxRequests)
	default:
		return nil
	}
}

var prompts = []string{
	"Which trolley suits tulips?",
	"What are the stall rules on a market day?",
	"Draft a season plan for a seller of carnations, week by week.",
	"Write a letter from the tooth fairy to a child who lost a front tooth.",
}

// Arrivals draws the requests of the plan from a Poisson process. The result
// depends only on the plan, except that loadID is part of the idempotency keys,
// so that those of two loads differ.
func (p Plan) Arrivals(loadID string) (arrivals []Arrival) {
	random := rand.New(rand.NewPCG(p.Seed, 0))
	at := time.Duration(0)
	for len(arrivals) < MaxRequests {
		at += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return arrivals
		}
		a := Arrival{At: at, Kind: KindChat, Text: prompts[random.IntN(len(prompts))]}
		if random.Float64() < p.OrderShare {
			a.Kind = KindOrder
			a.Key = fleet.Key(fmt.Sprintf("load-%s-%d", loadID, len(arrivals)))
		}
		arrivals = append(arrivals, a)
	}
	return arrivals
}

// IsLoopback reports whether the host of a URL is a loopback IP address.
func IsLoopback(address string) bool {
	u, err := url.Parse(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(u.Hostname())
	return ip != nil && ip.IsLoopback()
}
