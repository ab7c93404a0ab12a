package waiting_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
)

const (
	seeds          = 3
	replayStep     = 5 * time.Millisecond
	replayTime     = 8 * time.Second
	exchangeRound  = 300 * time.Millisecond
	firstEventTime = 60 * time.Millisecond
	// The shortage lasts from shortFrom to shortUntil. What was sent before the nodes knew
	// of it fills the engines' queues for up to settleTime.
	shortFrom, shortUntil, settleTime = 2 * time.Second, 6 * time.Second, time.Second
)

// class is a kind of request of the replayed load.
type class struct {
	rank      waiting.Rank
	objective time.Duration
	work      time.Duration
	// perSecond is the rate in calm, burst the factor during the shortage.
	perSecond, burst float64
}

var classes = []class{
	{rank: 0, objective: 500 * time.Millisecond, work: 20 * time.Millisecond, perSecond: 40, burst: 1},
	{rank: 1, objective: 600 * time.Millisecond, work: 50 * time.Millisecond, perSecond: 60, burst: 1},
	{rank: 2, objective: 1500 * time.Millisecond, work: 110 * time.Millisecond, perSecond: 40, burst: 2.6},
}

// load is a load of 20 accounts with equal weights on a pool that loses engines.
type load struct {
	nodes, engines, left int
	// scale multiplies the rates of the classes.
	scale float64
	// hot is the factor of the load of the first account during the shortage.
	hot float64
}

// arrival is a replayed request.
type arrival struct {
	class
	account int
	at      clock.Instant
	ticket  *waiting.Ticket
}

// counts are the results of requests during the shortage.
type counts struct{ asked, inTime, late, refused int }

func (c counts) share() float64 { return float64(c.inTime) / float64(max(1, c.asked)) }

// result holds the counts by rank for the hot account and for the others.
type result struct{ hot, others [3]counts }

// String lists the counts.
func (r result) String() string {
	var b strings.Builder
	for rank := range r.others {
		for _, c := range []struct {
			name string
			counts
		}{{"hot", r.hot[rank]}, {"others", r.others[rank]}} {
			fmt.Fprintf(&b, "rank %d %-6s asked %4d in time %4d late %4d refused %4d\n", rank, c.name, c.asked, c.inTime, c.late, c.refused)
		}
	}
	return b.String()
}

// node is a node with its view of the engines.
type node struct {
	queue   waiting.Queue
	waiting []*arrival
	// peers is the backlog at each engine from other nodes as of the last exchange, own
	// that from this node.
	peers, own []time.Duration
}

// replay runs a load in virtual time. With waits, the nodes decide by their queues;
// without, by the prediction for each request alone.
type replay struct {
	load
	waits   bool
	nodes   []*node
	idleAt  []clock.Instant
	result  *result
	present int
	random  *rand.Rand
	seed    uint64
}

func (r *replay) run() {
	r.random = rand.New(rand.NewPCG(r.seed, 2))
	random := rand.New(rand.NewPCG(r.seed, 4))
	r.present = r.engines
	r.idleAt = make([]clock.Instant, r.engines)
	for range r.load.nodes {
		r.nodes = append(r.nodes, &node{queue: waiting.Queue{Random: r.random.Float64}, peers: make([]time.Duration, r.engines), own: make([]time.Duration, r.engines)})
	}
	start := clock.Instant(time.Hour)
	for elapsed := time.Duration(0); elapsed < replayTime; elapsed += replayStep {
		now := start.Add(elapsed)
		short := elapsed >= shortFrom && elapsed < shortUntil
		r.present = r.engines
		if short {
			r.present = r.left
		}
		for _, c := range classes {
			for account := range 20 {
				rate := r.scale * c.perSecond / 20
				if short {
					rate *= c.burst
					if account == 0 {
						rate *= r.hot
					}
				}
				if random.Float64() < rate*replayStep.Seconds() {
					r.arrive(r.nodes[random.IntN(len(r.nodes))], &arrival{class: c, account: account, at: now}, now, short)
				}
			}
		}
		for i, n := range r.nodes {
			// The nodes exchange at different times.
			if (elapsed+time.Duration(i)*replayStep)%exchangeRound == 0 {
				r.exchange(n, now)
			}
			r.look(n, now)
			for e := range n.own {
				done := min(n.peers[e], replayStep)
				n.peers[e] -= done
				n.own[e] = max(0, n.own[e]-(replayStep-done))
			}
		}
	}
}

// exchange gives a node the state of the others.
func (r *replay) exchange(n *node, now clock.Instant) {
	for e := range r.idleAt {
		n.peers[e] = max(0, r.idleAt[e].Sub(now)-n.own[e])
	}
	var sum waiting.Report
	for _, other := range r.nodes {
		if p, ok := other.queue.Report(now); ok && other != n {
			sum = sum.Add(waiting.Report{"pool": p})
		}
	}
	n.queue.SetPeers(sum["pool"], now)
}

// choose returns the engine with the shortest queue in a node's view, of three.
func (r *replay) choose(n *node) (engine int, queue time.Duration) {
	queue = time.Hour
	for range 3 {
		e := r.random.IntN(r.present)
		if q := n.peers[e] + n.own[e]; q < queue {
			engine, queue = e, q
		}
	}
	return engine, queue
}

func (r *replay) conditions(n *node, a *arrival, queue time.Duration, now clock.Instant) waiting.Conditions {
	return waiting.Conditions{
		Queue: queue, Prediction: queue + firstEventTime + a.work, Objective: a.objective, Tightest: classes[0].objective,
		Spent: now.Sub(a.at), Remaining: 4 * time.Second, Short: n.queue.Short(r.present, now), Outranked: n.queue.Outranked(a.rank, false),
	}
}

func (r *replay) capacity(n *node, c waiting.Conditions) waiting.Capacity {
	capacity := waiting.Capacity{Limit: c.Limit(), Outranked: c.Outranked, Nodes: waiting.Nodes{Total: len(r.nodes)}}
	for e := range r.present {
		capacity.Queues = append(capacity.Queues, n.peers[e]+n.own[e])
	}
	return capacity
}

// arrive decides about a new request.
func (r *replay) arrive(n *node, a *arrival, now clock.Instant, short bool) {
	if elapsed := now.Sub(clock.Instant(time.Hour)); !short || elapsed < shortFrom+settleTime {
		a.account = -1
	}
	r.count(a).asked++
	_, queue := r.choose(n)
	c := r.conditions(n, a, queue, now)
	if !r.waits {
		if c.MayStart() {
			r.send(n, a, now)
		} else {
			r.count(a).refused++
		}
		return
	}
	request := waiting.Request{
		Account: fleet.AccountName(fmt.Sprint(a.account)), Weight: 1, Rank: a.rank,
		Work: a.work.Seconds() * 1000, LatestStart: now.Add(a.objective - c.Prediction),
	}
	if n.queue.Empty() && !c.Short && c.Room() && c.MayStart() {
		n.queue.RecordSent(request, now)
		r.send(n, a, now)
		return
	}
	if wait := n.queue.Wait(&request, r.capacity(n, c), now); !c.MayWait(wait) {
		n.queue.RecordRefusal(request, now)
		r.count(a).refused++
		return
	}
	a.ticket = n.queue.Add(request, now)
	n.waiting = append(n.waiting, a)
}

// look lets the waiting requests of a node look for room.
func (r *replay) look(n *node, now clock.Instant) {
	for again := true; again; {
		again = false
		kept := n.waiting[:0]
		for _, a := range n.waiting {
			_, queue := r.choose(n)
			c := r.conditions(n, a, queue, now)
			first := n.queue.IsFirst(a.ticket, now)
			switch {
			case !c.MayWait(0):
				n.queue.Remove(a.ticket, now)
				r.count(a).refused++
			case first && c.Room() && n.queue.Take(a.ticket, r.capacity(n, c), now):
				r.send(n, a, now)
				again = true
			default:
				kept = append(kept, a)
			}
		}
		n.waiting = kept
	}
}

// send sends a request to the engine with the shortest queue in the node's view.
func (r *replay) send(n *node, a *arrival, now clock.Instant) {
	e, _ := r.choose(n)
	r.idleAt[e] = max(r.idleAt[e], now).Add(a.work)
	n.own[e] += a.work
	if r.idleAt[e].Add(firstEventTime).Sub(a.at) <= a.objective {
		r.count(a).inTime++
	} else {
		r.count(a).late++
	}
}

// count returns the counts of a request; requests outside the shortage do not count.
func (r *replay) count(a *arrival) *counts {
	switch a.account {
	case -1:
		return &counts{}
	case 0:
		return &r.result.hot[a.rank]
	default:
		return &r.result.others[a.rank]
	}
}

// Engines were reclaimed while the lowest rank and one account sent many times their usual
// load. Each request was sent or refused by its own prediction: the engines' queues grew
// up to the longest objective, and the high ranks were late or refused.
var _ = DescribeTable("A shortage",
	func(l load) {
		var before, after result
		for seed := range uint64(seeds) {
			(&replay{load: l, seed: seed, result: &before}).run()
			(&replay{load: l, seed: seed, result: &after, waits: true}).run()
		}
		GinkgoWriter.Printf("without waits:\n%vwith waits:\n%v", before, after)
		Expect(before.others[0].share()).To(BeNumerically("<", 0.8), "the load is no shortage")
		Expect(after.others[0].share()).To(BeNumerically(">=", 0.95), "rank 0 of accounts within their share\n%v", after)
		Expect(after.others[1].share()).To(BeNumerically(">=", 0.9), "rank 1 of accounts within their share\n%v", after)
		fair := float64(after.others[2].inTime) / 19
		Expect(float64(after.hot[2].inTime)).To(BeNumerically("~", fair, fair/2), "the hot account has a share like the others\n%v", after)
		inTime, answered := 0, 0
		for rank := range after.others {
			for _, c := range []counts{after.hot[rank], after.others[rank]} {
				inTime += c.inTime
				answered += c.inTime + c.late
			}
		}
		Expect(float64(inTime)).To(BeNumerically(">=", 0.9*float64(answered)), "who is answered is answered in time\n%v", after)
	},
	Entry("with few nodes", load{nodes: 4, engines: 16, left: 8, scale: 1, hot: 6}),
	Entry("with twice as many nodes as engines", load{nodes: 16, engines: 16, left: 8, scale: 1, hot: 6}),
	Entry("with many nodes and engines", load{nodes: 64, engines: 64, left: 32, scale: 4, hot: 6}),
)
