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

// worker is a plain worker of a service. It may crash, and is back later as a new incarnation
// with a new id at the same address.
type worker struct {
	fleet   *fleet
	service string
	zone    string
	address string
	// onRun is called for each request that the worker begins to run.
	onRun func(w *worker, r *http.Request, body string) (crash bool)

	mu          sync.Mutex
	id          string
	incarnation int
	server      *http.Server
	up          bool
	lastBeat    time.Time
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
	server := &http.Server{Handler: w}
	w.mu.Lock()
	w.address = l.Addr().String()
	w.incarnation++
	w.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(w.address[strings.LastIndex(w.address, ":")+1:], ":", ""), w.incarnation)
	w.server, w.up = server, true
	w.mu.Unlock()
	w.fleet.group.Go(func() error { return server.Serve(l) })
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

// crash ends the worker as a crash of its process does: its connections are reset and its
// address refuses new ones. It is back after a time.
func (w *worker) crash(backAfter time.Duration) {
	w.mu.Lock()
	w.up = false
	old, id, server := w.id, w.id, w.server
	w.mu.Unlock()
	if err := server.Close(); err != nil {
		w.fleet.record.add("worker %s: %v", id, err)
	}
	time.AfterFunc(backAfter, func() {
		// The entry of the former incarnation ends with the new one.
		w.fleet.store.Put("keyed.servers", old, nil)
		if err := w.start(); err != nil {
			w.fleet.record.add("worker at %s did not start again: %v", w.address, err)
			return
		}
		w.fleet.record.add("worker %s is back as %s", old, w.id)
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id := w.id
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
	rw.Header().Set("Skylarkloom-Attempt-Id", request)
	rw.Header().Set("Skylarkloom-Response-Seal", "seal."+id+"."+request)
	if _, err := rw.Write([]byte("ran " + request)); err != nil {
		w.fleet.record.add("worker %s could not answer: %v", id, err)
	}
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
