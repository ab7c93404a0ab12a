package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for a sound model worker: it runs as many requests as it has slots,
// refuses further ones as full, and stops work when the connection closes. A run that is
// preempted makes no events until it is read in again.
type engine struct {
	rig           *rig
	id            string
	slots, events int
	interval      time.Duration
	address       string

	mu sync.Mutex
	// running are the requests of the runs that have not ended, oldest first.
	running []string
	// preempted are the requests that are preempted, until readIn is closed.
	preempted map[string]bool
	readIn    chan struct{}
	ended     []runEnd
}

// runEnd tells how a run ended.
type runEnd struct {
	request  string
	at       time.Time
	complete bool
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

// begin takes a slot for a request.
func (e *engine) begin(request string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= e.slots {
		return false
	}
	e.running = append(e.running, request)
	return true
}

func (e *engine) end(run runEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(request string) bool { return request == run.request })
	e.ended = append(e.ended, run)
	e.rig.note("%s: run of %s ended, complete: %t, last event %d", e.id, run.request, run.complete, run.last)
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
	if !e.begin(request) {
		e.rig.note("%s is full and refuses %s", e.id, request)
		w.Header().Set("Skylarkloom-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := runEnd{request: request}
	// A missing header means that the stream begins with the first event.
	run.last, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.rig.note("%s runs %s after event %d", e.id, request, run.last)
	w.Header().Set("Skylarkloom-Attempt-Id", request)
	w.Header().Set("Skylarkloom-Response-Seal", "seal-"+e.id+"-"+request)
	w.Header().Set("Content-Type", "text/event-stream")
	run.complete = e.stream(w, r, &run.last)
	run.at = time.Now()
	e.end(run)
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
