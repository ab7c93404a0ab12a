package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// deadlyBody is the body that crashes each worker that runs it.
	deadlyBody = `{"order":"deadly"}`
	// usualBody is that of the other requests.
	usualBody = `{"order":"usual"}`
	// backAfter is how long a worker that crashed is down.
	backAfter = 2 * time.Second
	// contactTime is the bound contactMs.
	contactTime = 3 * time.Second
	// maxRetries is how many retries of a request that crashes its workers may reach workers
	// after contactTime.
	maxRetries = 3
	// comesAgain is the time after which the client sends the request again.
	comesAgain = 1500 * time.Millisecond
	// sendsPerKey is how often the client sends the request with one key.
	sendsPerKey = 7
	// usualInterval is the time between two of the other requests.
	usualInterval = 40 * time.Millisecond
	deadlyWorkers = 9
	deadlyNodes   = 3
)

// deadly is the state of the case.
type deadly struct {
	fleet *fleet
	mu    sync.Mutex
	// crashes are the times of the crashes that the request caused, reached those at which it
	// reached a worker.
	crashes, reached []time.Time
	sent             int
}

// config returns a configuration in which the tenant holds some keys.
func (d *deadly) config(keys ...string) map[string]any {
	return map[string]any{
		"routes": []map[string]any{{
			"name": "r-1", "host": "shop.example", "pathPrefix": "/orders/", "kind": "unsafe", "timeoutMs": 1200, "targetLatencyMs": 150,
			"priority": 2, "service": "desk", "attempts": 1, "public": false,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "shop", "apiKeys": keys, "unit": "tokens", "plainTokens": 200, "ratePerS": 100000, "burst": 100000},
			{"name": "other", "apiKeys": []string{"key-of-other"}, "unit": "tokens", "plainTokens": 200, "ratePerS": 100000, "burst": 100000},
		},
	}
}

// onRun is called when a worker begins to run a request.
func (d *deadly) onRun(w *worker, r *http.Request, body string) (crash bool) {
	if body != deadlyBody {
		return false
	}
	now := time.Now()
	d.mu.Lock()
	d.reached = append(d.reached, now)
	d.crashes = append(d.crashes, now)
	n := len(d.crashes)
	d.mu.Unlock()
	d.fleet.record.add("worker %s runs request %s of tenant %s and crashes: crash %d", w.id, r.Header.Get("Skylarkloom-Attempt-Id"), r.Header.Get("Skylarkloom-Tenant"), n)
	w.crash(backAfter)
	return true
}

// send sends a request to a node and returns its status, 0 if there is no answer.
func (d *deadly) send(n *node, key, body string) (id string, status int) {
	d.mu.Lock()
	d.sent++
	id = fmt.Sprintf("%016x", d.sent)
	d.mu.Unlock()
	const deadline = 2500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/orders/2f", bytes.NewBufferString(body))
	if err != nil {
		return id, 0
	}
	req.Host, req.Close = "shop.example", true
	req.Header.Set("Skylarkloom-Attempt-Id", id)
	req.Header.Set("Skylarkloom-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return id, 0
	}
	defer func() { _ = res.Body.Close() }()
	return id, res.StatusCode
}

// sendUsual sends requests of the other tenant until the context ends.
func (d *deadly) sendUsual(ctx context.Context) {
	counts := make(map[int]int)
	for i := 0; ctx.Err() == nil; i++ {
		_, status := d.send(d.fleet.nodes[i%deadlyNodes], "key-of-other", usualBody)
		counts[status]++
		time.Sleep(usualInterval)
	}
	d.fleet.record.add("the other tenant's requests by status: %v", counts)
}

// sendDeadly sends the request that crashes workers some times, each time to another node.
func (d *deadly) sendDeadly(key string) {
	for i := range sendsPerKey {
		n := d.fleet.nodes[i%deadlyNodes]
		id, status := d.send(n, key, deadlyBody)
		d.fleet.record.add("client sends the same request again as %s to %s with key %s: status %d", id, n.name, key, status)
		time.Sleep(comesAgain)
	}
}

// retriesAfter returns how many retries reached workers later than contactTime after the
// third crash.
func (d *deadly) retriesAfter() (retries int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	const explained = 3
	if len(d.crashes) < explained {
		return 0
	}
	for _, at := range d.reached {
		if at.Sub(d.crashes[explained-1]) > contactTime {
			retries++
		}
	}
	return retries
}

// runDeadly lets a request come again that crashes each worker that runs it. The disruption
// takes the key of its client away twice; the client goes on with the next key of its tenant.
func runDeadly(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.stop()
	d := &deadly{fleet: f}
	if err = f.publish("keys key-1 and key-2", d.config("key-1", "key-2")); err != nil {
		return false, err
	}
	workers := make([]*worker, deadlyWorkers)
	for i := range workers {
		workers[i] = &worker{fleet: f, service: "desk", zone: []string{"za", "zb", "zc"}[i%3], onRun: d.onRun}
		if err = workers[i].start(); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.group.Go(func() error {
		beatAll(ctx, workers)
		return nil
	})
	if err = f.startNodes(deadlyNodes); err != nil {
		return false, err
	}
	done := make(chan struct{})
	f.group.Go(func() error {
		defer close(done)
		d.sendUsual(ctx)
		return nil
	})
	// The nodes see that the workers serve.
	time.Sleep(4 * time.Second)
	keys := [][]string{{"key-1", "key-2"}, {"key-2", "key-3"}, {"key-3", "key-4"}}
	for i, held := range keys {
		if trouble && i > 0 {
			if err = f.publish(fmt.Sprintf("%s is taken away, %s is added", keys[i-1][0], held[1]), d.config(held...)); err != nil {
				return false, err
			}
			// The bound configMs, and some more.
			time.Sleep(3 * time.Second)
		}
		key := "key-1"
		if trouble {
			key = held[0]
		}
		d.sendDeadly(key)
	}
	cancel()
	<-done
	retries := d.retriesAfter()
	r.add("retries that reached workers later than %s after the third crash: %d, allowed: %d", contactTime, retries, maxRetries)
	return retries > maxRetries, nil
}
