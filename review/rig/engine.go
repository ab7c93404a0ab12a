package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in for a sound model worker: it runs as many requests as it has slots,
// queues some more, refuses further ones as full, and stops work when the connection closes.
// A run that is preempted makes no events until it is read in again.
type engine struct {
	rig          *rig
	id           string
	slots, queue int
	events       int
	interval     time.Duration
	address      string
	// gone reports whether the engine has crashed.
	gone atomic.Bool

	mu sync.Mutex
	// running are the requests of the runs that have not ended, oldest first, and waiting
	// those in the queue, each with a channel that is closed when it gets a slot.
	running []string
	waiting []*waiter
	// preempted are the requests that are preempted, until readIn is closed.
	preempted map[string]bool
	readIn    chan struct{}
	ended     []runEnd
}

// waiter is a request in the queue of an engine.
type waiter struct {
	request string
	begins  chan struct{}
}

// runEnd tells how a run ended.
type runEnd struct {
	request  string
	at       time.Time
	complete bool
	// closedByNode reports whether the node closed the connection before the end.
	closedByNode bool
	// last is the last event that was sent.
	last int
}

// preempt preempts the newest runs.
func (e *engine) preempt(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	newest := e.running[max(0, len(e.running)-count):]
	e.preempted, e.readIn = make(map[string]bool), make(chan struct{})
	for _, request := range newest {
		e.preempted[request] = true
	}
	e.rig.note("%s preempts %v", e.id, newest)
}

// readInAgain ends the preemption.
func (e *engine) readInAgain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rig.note("%s has read in what it preempted", e.id)
	close(e.readIn)
	e.preempted = nil
}

// wasPreempted returns a channel that is closed when a preempted run goes on, or nil.
func (e *engine) wasPreempted(request string) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.preempted[request] {
		return nil
	}
	return e.readIn
}

// begin takes a slot for a request, or a place in the queue. It reports false if both are
// taken.
func (e *engine) begin(request string) (begins <-chan struct{}, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &waiter{request: request, begins: make(chan struct{})}
	switch {
	case len(e.running) < e.slots:
		e.running = append(e.running, request)
		close(w.begins)
	case len(e.waiting) < e.queue:
		e.rig.note("%s queues %s", e.id, request)
		e.waiting = append(e.waiting, w)
	default:
		return nil, false
	}
	return w.begins, true
}

// leave removes a request from the queue. It reports false if the request has a slot.
func (e *engine) leave(request string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := len(e.waiting)
	e.waiting = slices.DeleteFunc(e.waiting, func(w *waiter) bool { return w.request == request })
	return len(e.waiting) < before
}

// end frees the slot of a run for the first request in the queue.
func (e *engine) end(run runEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(request string) bool { return request == run.request })
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next.request)
		close(next.begins)
	}
	e.ended = append(e.ended, run)
	e.rig.note("%s: run of %s ended, complete: %t, closed by the node: %t, last event %d", e.id, run.request, run.complete, run.closedByNode, run.last)
}

// endOf returns how the run of a request ended here.
func (e *engine) endOf(request string) (run runEnd, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, run := range e.ended {
		if run.request == request {
			return run, true
		}
	}
	return runEnd{}, false
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	request := r.Header.Get("Skylarkloom-Attempt-Id")
	if r.Header.Get("Skylarkloom-Expect-Instance") != e.id {
		w.Header().Set("Skylarkloom-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	begins, ok := e.begin(request)
	if !ok {
		e.rig.note("%s is full and refuses %s", e.id, request)
		refuse(w)
		return
	}
	// A missing deadline counts as passed.
	deadline, _ := strconv.Atoi(r.Header.Get("Skylarkloom-Deadline-Ms"))
	select {
	case <-begins:
	case <-r.Context().Done():
		if e.leave(request) {
			return
		}
	case <-time.After(time.Duration(deadline) * time.Millisecond):
		if e.leave(request) {
			e.rig.note("%s refuses %s, whose deadline passed in the queue", e.id, request)
			refuse(w)
			return
		}
	}
	run := runEnd{request: request}
	// A missing header means that the stream begins with the first event.
	run.last, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.rig.note("%s runs %s after event %d", e.id, request, run.last)
	w.Header().Set("Skylarkloom-Attempt-Id", request)
	w.Header().Set("Skylarkloom-Response-Seal", "seal-"+e.id+"-"+request)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Skylarkloom-Weight-Versions", "1")
	run.complete = e.stream(w, r, &run.last)
	// Unless it crashes, the engine itself never breaks off.
	run.at, run.closedByNode = time.Now(), !run.complete && !e.gone.Load()
	e.end(run)
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Skylarkloom-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// stream sends the events. It reports whether it sent the last one.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, last *int) bool {
	controller := http.NewResponseController(w)
	for *last < e.events {
		if readIn := e.wasPreempted(r.Header.Get("Skylarkloom-Attempt-Id")); readIn != nil {
			select {
			case <-readIn:
			case <-r.Context().Done():
				return false
			}
		}
		n := *last + 1
		if _, err := fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", n, n); err != nil {
			return false
		}
		if err := controller.Flush(); err != nil {
			return false
		}
		*last = n
		select {
		case <-time.After(e.interval):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}
