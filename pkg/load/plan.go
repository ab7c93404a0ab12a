// Package load puts an open-loop load on a fleet and measures it. Requests
// start at times that are drawn beforehand, whether or not earlier ones were
// answered, and each latency counts from the intended start, so that a stall
// shows in every request that it held up (no coordinated omission).
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

// Kind tells what a request of the load is.
type Kind string

// The kinds of request.
const (
	KindChat  Kind = "chat"
	KindOrder Kind = "order"
)

// Bounds of a load.
const (
	// MaxRequests bounds the requests of one load.
	MaxRequests = 1_000_000
	// MaxInFlight bounds the requests that wait for their answers.
	MaxInFlight = 10_000
)

// Plan says what load is put on.
type Plan struct {
	Seed uint64
	// Rate is the mean number of requests a second.
	Rate     float64
	Duration time.Duration
	// Orders is the share of orders among the requests.
	Orders float64
	// InFlight bounds the requests that wait for their answers; those held back
	// by it count from their intended start.
	InFlight int
}

// Arrival is one request of a load.
type Arrival struct {
	// At is the intended start, from the start of the load.
	At   time.Duration
	Kind Kind
	// Key is the idempotency key of an order.
	Key  fleet.Key
	Text string
}

// Check returns what is wrong with the plan.
func (p Plan) Check() error {
	switch {
	case p.Rate <= 0:
		return errors.New("expected a rate above 0 requests a second")
	case p.Duration <= 0:
		return errors.New("expected a duration above 0")
	case p.Orders < 0 || p.Orders > 1:
		return errors.New("expected a share of orders from 0 to 1")
	case p.InFlight < 1 || p.InFlight > MaxInFlight:
		return errors.Newf("expected 1 to %d requests in flight", MaxInFlight)
	case p.Rate*p.Duration.Seconds() > MaxRequests:
		return errors.Newf("the load has more than %d requests", MaxRequests)
	default:
		return nil
	}
}

var questions = []string{
	"Which trolley suits tulips?",
	"What are the stall rules on a market day?",
	"Draft a season plan for a seller of carnations, week by week.",
	"Write a letter from the tooth fairy to a child who lost a front tooth.",
}

// Arrivals draws the requests of the plan: a Poisson process. The same plan
// gives the same requests. Run tells the keys of two loads apart.
func (p Plan) Arrivals(run string) (list []Arrival) {
	r := rand.New(rand.NewPCG(p.Seed, 0))
	at := time.Duration(0)
	for len(list) < MaxRequests {
		at += time.Duration(r.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return list
		}
		a := Arrival{At: at, Kind: KindChat, Text: questions[r.IntN(len(questions))]}
		if r.Float64() < p.Orders {
			a.Kind = KindOrder
			a.Key = fleet.Key(fmt.Sprintf("load-%s-%d", run, len(list)))
		}
		list = append(list, a)
	}
	return list
}

// Loopback reports whether a URL names an address of this machine's loopback.
func Loopback(address string) bool {
	u, err := url.Parse(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(u.Hostname())
	return ip != nil && ip.IsLoopback()
}
