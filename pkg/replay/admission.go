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

// filled is the part of the slots that the nodes fill, as the router does.
const filled = 0.9

// pending is an accepted request that waits for room.
type pending struct {
	ticket *limit.Ticket
	job    *job
}

// admit accepts or refuses a request as a node of the daemon does.
func (w *player) admit(j *job) {
	n, r := j.node, j.request
	ticket, err := n.queue.Admit(limit.Request{
		Account:     fleet.AccountName(fmt.Sprint(r.Account)),
		Deadline:    epoch.Add(r.At + r.Deadline),
		ServiceTime: n.service(r),
		MaxRunning:  w.room(n),
	}, epoch.Add(w.now))
	if err != nil {
		w.result.Refused++
		return
	}
	n.pending = append(n.pending, pending{ticket, j})
	w.drain(n)
}

// service predicts the time of a request by the pace that the node has seen.
func (n *node) service(r *Request) time.Duration {
	v := n.view
	v.TokenTimes.Decode = max(v.TokenTimes.Decode, n.pace)
	return v.ServiceTime(r.Prompt, r.Output)
}

// learning is the share by which the pace moves to a new measurement.
const learning = 0.1

// room is how many requests a node may have, by its view.
func (w *player) room(n *node) int {
	mine := 0
	for _, c := range n.view.Candidates {
		mine += c.LocalWork
	}
	slots := filled * float64(w.trace.Model.Slots*len(n.hosts))
	free := max(0, slots-n.view.MeanPeerWork*float64(len(n.hosts))-float64(mine))
	nodes := float64(w.trace.Nodes)
	return max(1, mine+int(free/nodes), int(slots/nodes))
}

// drain sends the accepted requests for which there is room now.
func (w *player) drain(n *node) {
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
		w.send(j)
	}
}

// finished tells the queue of a node that one of its requests has ended.
func (w *player) finished(n *node) {
	if w.policy.Admit {
		n.queue.Release()
		w.drain(n)
	}
}

// Burst is the cooperative with no reclaim and one large account that sends
// many times its share for a while, more than the pool can run.
func Burst(seed uint64) Trace {
	t := Dawn(seed)
	t.Name = "one large account bursting"
	t.Reclaims = nil
	s := dawnShape()
	s.output = 120
	t.Requests = s.requests(seed, t.Length, constant(25), burst{from: t.Length / 3, to: t.Length / 2, factor: 6})
	return t
}

// MeasureBurst writes what admission does for the small accounts.
func MeasureBurst(w io.Writer, seeds, need int) {
	fmt.Fprintf(w, "\none large account bursting 6 times, %d instances, %d seeds\n", spread(offers(), need).Total(), seeds)
	fmt.Fprintf(w, "%-26s %8s %14s %14s %8s %8s\n", "", "on time", "small on time", "large on time", "refused", "late")
	for _, p := range []Policy{
		{Name: "without admission", Route: route.Predictor{}.Pick, Fleet: spread},
		{Name: "with admission", Route: route.Predictor{}.Pick, Fleet: spread, Admit: true},
	} {
		var sum Result
		for seed := range seeds {
			sum.add(Play(Burst(uint64(seed)), p, need, uint64(seed)))
		}
		large := float64(sum.OnTime-sum.SmallOnTime) / float64(sum.Requests-sum.Small)
		small := float64(sum.SmallOnTime) / float64(sum.Small)
		fmt.Fprintf(w, "%-26s %8.4f %14.4f %14.4f %8d %8d\n", p.Name, sum.Share(), small, large, sum.Refused, sum.Lost)
	}
}

// add sums the counts of requests.
func (r *Result) add(o Result) {
	r.Requests += o.Requests
	r.OnTime += o.OnTime
	r.Small += o.Small
	r.SmallOnTime += o.SmallOnTime
	r.Refused += o.Refused
	r.Lost += o.Lost
}
