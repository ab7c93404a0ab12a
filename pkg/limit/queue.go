package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Ticket is the place of an accepted request in a queue.
type Ticket struct {
	request Request
	// start and finish are virtual times of start-time fair queueing.
	start  float64
	finish float64
	ready  chan struct{}
}

// Ready is closed when the request may be dispatched.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Queue holds the accepted requests of one pool that wait for room, in order
// of priority and, within one, by start-time fair queueing over accounts. A
// request does not overtake one that would become late by it. The zero value
// is empty. It is not safe for concurrent use.
type Queue struct {
	running  int
	room     int
	virtual  float64
	finished map[fleet.AccountName]float64
	waiting  []*Ticket
	// mean is the mean service time of what was admitted, in seconds.
	mean float64
}

// meanShare is the share by which the mean moves to a new request.
const meanShare = 0.05

// waitShare is the part of its slack that a request may be predicted to wait
// when it is accepted. The rest is left for wrong predictions, and for requests
// of other accounts that go first.
const waitShare = 0.5

// Admit accepts a request or returns a *RefusedError. It performs no waiting.
// An idle queue accepts what is predicted to be late, because the prediction is
// learned from what is accepted and could never mend otherwise.
func (q *Queue) Admit(r Request, now time.Time) (*Ticket, error) {
	idle := q.running == 0 && len(q.waiting) == 0
	if r.ServiceTime > r.Deadline.Sub(now) && !idle {
		return nil, &RefusedError{Reason: ReasonDeadline}
	}
	q.room = r.MaxRunning
	t := q.ticket(r)
	at := q.place(t, now)
	spare := time.Duration(waitShare * float64(r.latest().Sub(now)))
	if late := q.wait(at) - spare; late > 0 && !idle {
		return nil, &RefusedError{Reason: ReasonCapacity, RetryAfter: late}
	}
	if q.finished == nil {
		q.finished = make(map[fleet.AccountName]float64)
	}
	q.finished[r.Account] = t.finish
	q.learn(r.ServiceTime)
	q.waiting = slices.Insert(q.waiting, at, t)
	q.dispatch()
	return t, nil
}

// Withdraw gives up the place of a request, whether it waits or was dispatched.
func (q *Queue) Withdraw(t *Ticket) {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		q.Release()
		return
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
}

// Release ends a dispatched request.
func (q *Queue) Release() {
	q.running--
	q.dispatch()
	if q.running == 0 && len(q.waiting) == 0 {
		q.virtual = 0
		clear(q.finished)
	}
}

// Waiting returns how many requests wait and Running how many were dispatched.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns how many requests were dispatched and not released.
func (q *Queue) Running() int { return q.running }

// Resize sets how many requests may be dispatched at a time; 0 is no bound.
func (q *Queue) Resize(room int) {
	q.room = room
	q.dispatch()
}

func (q *Queue) ticket(r Request) *Ticket {
	start := max(q.virtual, q.finished[r.Account])
	return &Ticket{
		request: r,
		start:   start,
		finish:  start + max(r.ServiceTime, time.Millisecond).Seconds(),
		ready:   make(chan struct{}),
	}
}

// place returns where a ticket goes in the queue.
func (q *Queue) place(t *Ticket, now time.Time) int {
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(w, t *Ticket) int {
		return cmp.Or(-cmp.Compare(w.request.Priority, t.request.Priority), cmp.Compare(w.start, t.start), -1)
	})
	for k := len(q.waiting) - 1; k >= at; k-- {
		if now.Add(q.wait(k + 1)).After(q.waiting[k].request.latest()) {
			return k + 1
		}
	}
	return at
}

// wait predicts how long the request at a place waits for room.
func (q *Queue) wait(at int) time.Duration {
	ahead := q.running + at + 1 - q.room
	if q.room <= 0 || ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * q.mean / float64(q.room) * float64(time.Second))
}

func (q *Queue) learn(service time.Duration) {
	if q.mean == 0 {
		q.mean = service.Seconds()
		return
	}
	q.mean += meanShare * (service.Seconds() - q.mean)
}

// dispatch lets requests go while there is room.
func (q *Queue) dispatch() {
	for len(q.waiting) > 0 && (q.room <= 0 || q.running < q.room) {
		t := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.virtual = max(q.virtual, t.start)
		q.running++
		close(t.ready)
	}
}
