package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// workTime is how long a plain worker works on a request: work ms of the sheet.
const workTime = 30 * time.Millisecond

// worker is a plain worker of a service. It may crash, and is back later as a new incarnation
// with a new id at the same address.
type worker struct {
	fleet   *fleet
	service string
	zone    string
	address string
	// onRun is called for each request that the worker begins to run.
	onRun func(w *worker, r *http.Request, body string) (crash bool)
	// goesOn reports whether the worker goes on with a request whose connection closes. Most
	// workers drop it.
	goesOn bool

	mu          sync.Mutex
	id          string
	incarnation int
	server      *http.Server
	listener    *silencer
	up          bool
	lastBeat    time.Time
	// running holds the requests that the worker works on.
	running map[string]bool
}

// start starts an incarnation of the worker and writes its entry.
func (w *worker) start() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listenConfig net.ListenConfig
	l, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	listener := &silencer{Listener: l}
	server := &http.Server{Handler: w}
	w.mu.Lock()
	w.address = l.Addr().String()
	w.incarnation++
	w.id = fmt.Sprintf("i-%s-%d", w.address[strings.LastIndex(w.address, ":")+1:], w.incarnation)
	w.server, w.listener, w.up, w.running = server, listener, true, make(map[string]bool)
	w.mu.Unlock()
	w.fleet.group.Go(func() error { return server.Serve(listener) })
	w.beat()
	return nil
}

// beat writes the entry, or removes it if the worker has been silent for long.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		if !w.lastBeat.IsZero() && time.Since(w.lastBeat) >= missedBeats*heartbeatInterval {
			w.lastBeat = time.Time{}
			w.fleet.store.Put("keyed.servers", w.id, nil)
		}
		return
	}
	w.lastBeat = time.Now()
	entry, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seqNo": w.incarnation,
	})
	if err != nil {
		w.fleet.record.add("entry: %v", err)
		return
	}
	w.fleet.store.Put("keyed.servers", w.id, entry)
}

// crash ends the worker, which is back after a time. As a process that crashes, it resets its
// connections and its address refuses new ones. As a machine that goes dark, it sends nothing
// any more, and new connections to it hang. It returns the other requests that it ran.
func (w *worker) crash(dark bool, backAfter time.Duration) (lost []string) {
	w.mu.Lock()
	w.up = false
	old, server, listener := w.id, w.server, w.listener
	for id := range w.running {
		lost = append(lost, id)
	}
	w.mu.Unlock()
	if dark {
		listener.silence()
	} else {
		w.end(server, old)
	}
	time.AfterFunc(backAfter, func() {
		if dark {
			listener.reset()
			w.end(server, old)
		}
		// The entry of the former incarnation ends with the new one.
		w.fleet.store.Put("keyed.servers", old, nil)
		if err := w.start(); err != nil {
			w.fleet.record.add("worker at %s did not start again: %v", w.address, err)
			return
		}
		w.fleet.record.add("worker %s is back as %s", old, w.id)
	})
	return lost
}

// end closes a server with all its connections.
func (w *worker) end(server *http.Server, id string) {
	if err := server.Close(); err != nil {
		w.fleet.record.add("worker %s: %v", id, err)
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id, running := w.id, w.running
	w.mu.Unlock()
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Skylarkloom-Instance-Id", id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("Skylarkloom-Attempt-Id")
	if expected := r.Header.Get("Skylarkloom-Expect-Instance"); expected != id {
		rw.Header().Set("Skylarkloom-Instance-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.onRun(w, r, string(body)) {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	running[request] = true
	w.mu.Unlock()
	dropped := w.workOn(r, workTime)
	w.mu.Lock()
	delete(running, request)
	w.mu.Unlock()
	if dropped {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Skylarkloom-Attempt-Id", request)
	rw.Header().Set("Skylarkloom-Response-Seal", "seal."+id+"."+request)
	// A node that has closed the connection reads no answer.
	_, _ = rw.Write([]byte("ran " + request))
}

// workOn works on a request for a time. It reports whether the worker dropped the request
// because its connection closed.
func (w *worker) workOn(r *http.Request, took time.Duration) (dropped bool) {
	if w.goesOn {
		time.Sleep(took)
		return false
	}
	select {
	case <-time.After(took):
		return false
	case <-r.Context().Done():
		return true
	}
}

// isUp reports whether the worker runs, beatDue whether its next heartbeat is due.
func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

func (w *worker) beatDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastBeat) >= heartbeatInterval
}

// beatAll writes the entries of workers when they are due, until the context ends.
func beatAll(ctx context.Context, workers []*worker) {
	for ctx.Err() == nil {
		time.Sleep(heartbeatInterval / 4)
		for _, w := range workers {
			if !w.isUp() || w.beatDue() {
				w.beat()
			}
		}
	}
}
