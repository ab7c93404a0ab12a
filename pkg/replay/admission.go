package replay

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/limit"
	"github.com/skylarkloom/skylarkloom/pkg/route"
)

// maxSlotShare is the share of the slots that the nodes fill. It equals maxSlotShare
// of pkg/router.
const maxSlotShare = 0.9

// pending is an accepted request that waits to be dispatched.
type pending struct {
	ticket *limit.Ticket
	job    *job
}

// admit accepts or refuses a request in the same way as an entry node.
func (s *simulation) admit(j *job) {
	n, r := j.node, j.request
	ticket, err := n.queue.Admit(limit.Request{
		Account:     fleet.AccountName(fmt.Sprint(r.Account)),
		Deadline:    epoch.Add(r.At + r.Deadline),
		ServiceTime: n.predictServiceTime(r),
		MaxRunning:  s.concurrencyLimit(n),
	}, epoch.Add(s.now))
	if err != nil {
		s.result.Refused++
		return
	}
	n.pending = append(n.pending, pending{ticket, j})
	s.dispatchReady(n)
}

// predictServiceTime predicts the duration of a request from the node's mean time
// between tokens.
func (n *node) predictServiceTime(r *Request) time.Duration {
	v := n.view
	v.TokenTimes.Decode = max(v.TokenTimes.Decode, n.meanTokenTime)
	return v.ServiceTime(r.PromptTokens, r.OutputTokens)
}

// tokenTimeSmoothing is the weight of a new measurement in the moving average of
// the time between tokens.
const tokenTimeSmoothing = 0.1

// concurrencyLimit returns the maximum number of dispatched requests of a node,
// computed from its view.
func (s *simulation) concurrencyLimit(n *node) int {
	localWork := 0
	for _, c := range n.view.Candidates {
		localWork += c.LocalWork
	}
	slots := maxSlotShare * float64(s.trace.Model.Slots*len(n.hosts))
	free := max(0, slots-n.view.MeanPeerWork*float64(len(n.hosts))-float64(localWork))
	nodes := float64(s.trace.Nodes)
	return max(1, localWork+int(free/nodes), int(slots/nodes))
}

// dispatchReady dispatches the accepted requests whose tickets are ready.
func (s *simulation) dispatchReady(n *node) {
	var ready []*job
	n.pending = slices.DeleteFunc(n.pending, func(p pending) bool {
		select {
		case <-p.ticket.Ready():
			ready = append(ready, p.job)
			return true
		default:
			return false
		}
	})
	for _, j := range ready {
		s.dispatch(j)
	}
}

// releaseRequest informs a node's queue that a dispatched request has ended.
func (s *simulation) releaseRequest(n *node) {
	if s.policy.Admission {
		n.queue.Release()
		s.dispatchReady(n)
	}
}

// Burst returns a trace like Dawn with a constant rate, longer responses, no
// reclaim, and a burst of the largest account that exceeds the capacity of the
// pool.
func Burst(seed uint64) Trace {
	t := Dawn(seed)
	t.Name = "one large account bursting"
	t.Reclaims = nil
	w := dawnWorkload()
	w.meanOutput = 120
	t.Requests = w.drawRequests(seed, t.Duration, constantRate(25), burst{from: t.Duration / 3, to: t.Duration / 2, factor: 6})
	return t
}

// MeasureBurst writes a comparison of the Burst trace with and without admission,
// which shows the effect of admission on the small accounts.
func MeasureBurst(w io.Writer, seeds, required int) {
	fmt.Fprintf(w, "\none large account bursting 6 times, %d instances, %d seeds\n", zoneLossTolerant(threeZoneOffers(), required).Total(), seeds)
	fmt.Fprintf(w, "%-26s %8s %14s %14s %8s %8s\n", "", "on time", "small on time", "large on time", "refused", "late")
	for _, p := range []Policy{
		{Name: "without admission", Route: route.Predictor{}.Pick, ChooseInstances: zoneLossTolerant},
		{Name: "with admission", Route: route.Predictor{}.Pick, ChooseInstances: zoneLossTolerant, Admission: true},
	} {
		var sum Result
		for seed := range seeds {
			sum.addCounts(Simulate(Burst(uint64(seed)), p, required, uint64(seed)))
		}
		large := float64(sum.OnTime-sum.SmallAccountOnTime) / float64(sum.Requests-sum.SmallAccountRequests)
		small := float64(sum.SmallAccountOnTime) / float64(sum.SmallAccountRequests)
		fmt.Fprintf(w, "%-26s %8.4f %14.4f %14.4f %8d %8d\n", p.Name, sum.OnTimeShare(), small, large, sum.Refused, sum.Lost)
	}
}

// addCounts adds the request counts of another result.
func (r *Result) addCounts(other Result) {
	r.Requests += other.Requests
	r.OnTime += other.OnTime
	r.SmallAccountRequests += other.SmallAccountRequests
	r.SmallAccountOnTime += other.SmallAccountOnTime
	r.Refused += other.Refused
	r.Lost += other.Lost
}
