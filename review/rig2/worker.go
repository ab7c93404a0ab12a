package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// workerCount is the number of workers of the service.
	workerCount = 6
	// crashDelay is how long a worker runs a request that crashes it.
	crashDelay = 20 * time.Millisecond
	// workTime is how long a worker works on a request.
	workTime = 30 * time.Millisecond
	// crashTime is how long after a crash a worker is back.
	crashTime = 2 * time.Second
	// entryTime is how long after its last renewal an entry is removed: three heartbeats.
	entryTime = 3 * heartbeat
	// deadlyPath is in the path of the request that crashes the workers that run it.
	deadlyPath = "/deadly"
)

// worker is a worker of a plain service, with a new ID at each start.
type worker struct {
	fleet         *fleet
	zone, address string

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	server   *http.Server
	runs     int
	crashes  []crash
	// running holds the requests of other callers that the worker works on.
	running map[string]bool
	// onArrival is called for each request, and reports whether the worker fails it.
	onArrival func(request string) (fails bool)
}

// setArrival sets what is called for each request.
func (w *worker) setArrival(onArrival func(request string) (fails bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onArrival = onArrival
}

// crash is a request that crashed a worker. ended is not set if another one did so while
// this one ran.
type crash struct {
	request string
	at      time.Time
	ended   bool
	// running are the requests of others that the worker was at work on.
	running []string
}

// addWorker starts a worker and registers it.
func (f *fleet) addWorker(zone string) error {
	w := &worker{fleet: f, zone: zone, address: "127.0.0.1:0"}
	if err := w.start(); err != nil {
		return err
	}
	f.workers = append(f.workers, w)
	return nil
}

// start begins an incarnation of the worker.
func (w *worker) start() error {
	var config net.ListenConfig
	l, err := config.Listen(w.fleet.ended, "tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.address, w.id, w.born, w.sequence = l.Addr().String(), fmt.Sprintf("i-%012x", now.UnixNano()&(1<<48-1)), now.UnixMilli(), 0
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute, ConnState: resetOnClose}
	w.server = server
	w.fleet.group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return w.register()
}

// resetOnClose makes the connections of a worker that crashes end with a reset.
func resetOnClose(c net.Conn, state http.ConnState) {
	if tcp, ok := c.(*net.TCPConn); ok && state == http.StateNew {
		// It fails only for a connection that is closed.
		_ = tcp.SetLinger(0)
	}
}

// register writes the entry of the worker. The caller holds the lock.
func (w *worker) register() error {
	w.sequence++
	return w.fleet.put("keyed.servers", w.id, map[string]any{
		"service": "desk", "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
		"seqNo": w.sequence, "born": w.born,
	})
}

// beat renews the entries of the workers.
func (f *fleet) beat() error {
	for {
		select {
		case <-f.ended.Done():
			return nil
		case <-time.After(heartbeat):
		}
		for _, w := range f.workers {
			w.mu.Lock()
			var err error
			if w.server != nil {
				err = w.register()
			}
			w.mu.Unlock()
			if err != nil {
				return err
			}
		}
	}
}

// stop ends the incarnation of the worker.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server != nil {
		// The connections are reset, so an error has no consequence.
		_ = w.server.Close()
		w.server = nil
	}
}

// crash ends the worker because of a request, and starts it again.
func (w *worker) crash(request string) {
	c := crash{request: request, at: time.Now()}
	w.mu.Lock()
	id := w.id
	if c.ended = w.server != nil; c.ended {
		c.running = slices.Sorted(maps.Keys(w.running))
	}
	w.crashes = append(w.crashes, c)
	w.mu.Unlock()
	if !c.ended {
		w.fleet.record.printf("worker %s had begun to run %s, too, when it crashed", id, request)
		return
	}
	w.stop()
	w.fleet.record.printf("worker %s began to run %s and crashed", id, request)
	w.fleet.group.Go(func() error {
		if !w.fleet.sleep(crashTime) {
			return nil
		}
		return w.start()
	})
	w.fleet.group.Go(func() error {
		if w.fleet.sleep(entryTime) {
			w.fleet.store.Put("keyed.servers", id, nil)
		}
		return nil
	})
}

// sleep waits, and reports false if the fleet ends meanwhile.
func (f *fleet) sleep(d time.Duration) bool {
	select {
	case <-f.ended.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// count returns how many requests the worker ran.
func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs
}

// identity returns the ID of the worker.
func (w *worker) identity() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := w.identity()
	out.Header().Set("Skylarkloom-Instance-Id", id)
	if r.URL.Path == "/healthz" {
		return
	}
	if expected := r.Header.Get("Skylarkloom-Expect-Instance"); expected != "" && expected != id {
		out.Header().Set("Skylarkloom-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	request := r.Header.Get("Skylarkloom-Attempt-Id")
	out.Header().Set("Skylarkloom-Attempt-Id", request)
	w.mu.Lock()
	w.runs++
	onArrival := w.onArrival
	w.mu.Unlock()
	if onArrival != nil && onArrival(request) {
		failResponse(out, "seal-"+id+"-"+request)
		return
	}
	if strings.Contains(r.URL.Path, deadlyPath) {
		time.Sleep(crashDelay)
		w.crash(request)
		panic(http.ErrAbortHandler)
	}
	duration := workTime
	if strings.Contains(r.URL.Path, othersPath) {
		duration = othersWork
		w.setRunning(request, true)
		defer w.setRunning(request, false)
	}
	if !work(r.Context(), duration) {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Skylarkloom-Response-Seal", "seal-"+id+"-"+request)
	_, _ = io.WriteString(out, "answer to "+request)
}

// setRunning records that the worker begins or ends to work on a request of another caller.
func (w *worker) setRunning(request string, running bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !running {
		delete(w.running, request)
		return
	}
	if w.running == nil {
		w.running = make(map[string]bool)
	}
	w.running[request] = true
}

// work works on a request. It reports false if its connection closed.
func work(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
