package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Ticket is an accepted request in a queue.
type Ticket struct {
	request Request
	// virtualStart and virtualFinish are the tags of start-time fair queueing.
	virtualStart  float64
	virtualFinish float64
	ready         chan struct{}
}

// Ready is closed when the request may be dispatched.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Queue holds the accepted requests of one pool that wait for capacity. They are
// ordered by priority and, within a priority, by start-time fair queueing over
// accounts. A request does not overtake another that would miss its deadline as a
// result. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	running         int
	maxRunning      int
	virtualTime     float64
	virtualFinishes map[fleet.AccountName]float64
	waiting         []*Ticket
	// meanServiceSeconds is the moving average of the predicted service times of
	// accepted requests.
	meanServiceSeconds float64
}

// meanWeight is the weight of a new request in the moving average of service times.
const meanWeight = 0.05

// maxWaitShare is the maximum predicted wait of an accepted request, as a fraction of
// the time until its latest dispatch. The rest allows for wrong predictions and for
// requests of other accounts that are dispatched first.
const maxWaitShare = 0.5

// Admit accepts a request or returns a *RefusedError. It does not block. An idle queue
// accepts a request even if it is predicted to miss its deadline: the prediction is
// learned from accepted requests and could otherwise never be corrected.
func (q *Queue) Admit(r Request, now time.Time) (*Ticket, error) {
	idle := q.running == 0 && len(q.waiting) == 0
	if r.ServiceTime > r.Deadline.Sub(now) && !idle {
		return nil, &RefusedError{Reason: ReasonDeadline}
	}
	q.maxRunning = r.MaxRunning
	t := q.newTicket(r)
	index := q.position(t, now)
	maxWait := time.Duration(maxWaitShare * float64(r.latestDispatch().Sub(now)))
	if excess := q.predictedWait(index) - maxWait; excess > 0 && !idle {
		return nil, &RefusedError{Reason: ReasonCapacity, RetryAfter: excess}
	}
	if q.virtualFinishes == nil {
		q.virtualFinishes = make(map[fleet.AccountName]float64)
	}
	q.virtualFinishes[r.Account] = t.virtualFinish
	q.observeServiceTime(r.ServiceTime)
	q.waiting = slices.Insert(q.waiting, index, t)
	q.dispatch()
	return t, nil
}

// Withdraw removes a request that waits, or releases it if it was dispatched.
func (q *Queue) Withdraw(t *Ticket) {
	index := slices.Index(q.waiting, t)
	if index < 0 {
		q.Release()
		return
	}
	q.waiting = slices.Delete(q.waiting, index, index+1)
}

// Release records the end of a dispatched request.
func (q *Queue) Release() {
	q.running--
	q.dispatch()
	if q.running == 0 && len(q.waiting) == 0 {
		q.virtualTime = 0
		clear(q.virtualFinishes)
	}
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of requests that were dispatched and not released.
func (q *Queue) Running() int { return q.running }

// Resize sets the maximum number of dispatched requests; 0 means no limit.
func (q *Queue) Resize(maxRunning int) {
	q.maxRunning = maxRunning
	q.dispatch()
}

func (q *Queue) newTicket(r Request) *Ticket {
	start := max(q.virtualTime, q.virtualFinishes[r.Account])
	return &Ticket{
		request:       r,
		virtualStart:  start,
		virtualFinish: start + max(r.ServiceTime, time.Millisecond).Seconds(),
		ready:         make(chan struct{}),
	}
}

// position returns the index at which a ticket is inserted into the queue.
func (q *Queue) position(t *Ticket, now time.Time) int {
	index, _ := slices.BinarySearchFunc(q.waiting, t, func(w, t *Ticket) int {
		return cmp.Or(-cmp.Compare(w.request.Priority, t.request.Priority), cmp.Compare(w.virtualStart, t.virtualStart), -1)
	})
	for k := len(q.waiting) - 1; k >= index; k-- {
		if now.Add(q.predictedWait(k + 1)).After(q.waiting[k].request.latestDispatch()) {
			return k + 1
		}
	}
	return index
}

// predictedWait returns the predicted wait of the request at an index of the queue.
func (q *Queue) predictedWait(index int) time.Duration {
	ahead := q.running + index + 1 - q.maxRunning
	if q.maxRunning <= 0 || ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * q.meanServiceSeconds / float64(q.maxRunning) * float64(time.Second))
}

// observeServiceTime adds a predicted service time to the moving average.
func (q *Queue) observeServiceTime(serviceTime time.Duration) {
	if q.meanServiceSeconds == 0 {
		q.meanServiceSeconds = serviceTime.Seconds()
		return
	}
	q.meanServiceSeconds += meanWeight * (serviceTime.Seconds() - q.meanServiceSeconds)
}

// dispatch dispatches waiting requests while there is capacity.
func (q *Queue) dispatch() {
	for len(q.waiting) > 0 && (q.maxRunning <= 0 || q.running < q.maxRunning) {
		t := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.virtualTime = max(q.virtualTime, t.virtualStart)
		q.running++
		close(t.ready)
	}
}
