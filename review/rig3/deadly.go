package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
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
	sendsPerKey = 6
	// darkTime is how long a machine is dark, darkSends how often the request comes in that
	// case, and darkAgain the time between: with the node's 504 after timeoutMs, the machine
	// before is back then.
	darkTime  = 4500 * time.Millisecond
	darkSends = 10
	darkAgain = 3500 * time.Millisecond
	// leaveSends is how often the request comes from a client that leaves, and leaveAgain the
	// time between.
	leaveSends = 32
	leaveAgain = 2 * time.Second
	// usualInterval is the time between two of the other requests.
	usualInterval = 12 * time.Millisecond
	deadlyWorkers = 3
	deadlyNodes   = 3
)

// deadly is the state of the case.
type deadly struct {
	fleet *fleet
	mu    sync.Mutex
	// crashes are the times of the crashes that the request caused, reached those at which it
	// reached a worker.
	crashes, reached []time.Time
	// lost are the requests of others that each crash broke off.
	lost [][]string
	sent int
	// dark reports whether workers go dark when they crash.
	dark bool
	// crashAfter is how long a worker runs the request before it crashes, and leaveAfter how
	// long its client waits for the answer, 0 for its whole deadline.
	crashAfter, leaveAfter time.Duration
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
	d.mu.Lock()
	d.reached = append(d.reached, time.Now())
	id := w.id
	d.mu.Unlock()
	if w.workOn(r, d.crashAfter) {
		d.mu.Lock()
		d.lost = append(d.lost, nil)
		d.mu.Unlock()
		d.fleet.record.add("worker %s drops request %s, whose connection closed", id, r.Header.Get("Skylarkloom-Attempt-Id"))
		// The connection is closed without an answer.
		panic(http.ErrAbortHandler)
	}
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	n := len(d.crashes)
	d.mu.Unlock()
	downTime := backAfter
	if d.dark {
		downTime = darkTime
	}
	lost := w.crash(d.dark, downTime)
	d.mu.Lock()
	d.lost = append(d.lost, lost)
	d.mu.Unlock()
	d.fleet.record.add("worker %s runs request %s of tenant %s and crashes (dark: %t): crash %d, with the requests %v of others", id, r.Header.Get("Skylarkloom-Attempt-Id"), r.Header.Get("Skylarkloom-Tenant"), d.dark, n, lost)
	return true
}

// send sends a request to a node and returns its status, 0 if there is no answer.
func (d *deadly) send(n *node, key, body string, patience time.Duration) (id string, status int) {
	d.mu.Lock()
	d.sent++
	id = fmt.Sprintf("%016x", d.sent)
	d.mu.Unlock()
	const deadline = 2500 * time.Millisecond
	if patience == 0 {
		patience = deadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// sendUsual sends requests of the other tenant, which may run at most once, until the context
// ends.
func (d *deadly) sendUsual(ctx context.Context) error {
	var mu sync.Mutex
	counts := make(map[int]int)
	var group errgroup.Group
	for i := 0; ctx.Err() == nil; i++ {
		group.Go(func() error {
			id, status := d.send(d.fleet.nodes[i%deadlyNodes], "key-of-other", usualBody, 0)
			mu.Lock()
			counts[status]++
			mu.Unlock()
			if status != http.StatusOK {
				d.fleet.record.add("the other tenant's request %s is answered %d", id, status)
			}
			return nil
		})
		time.Sleep(usualInterval)
	}
	err := group.Wait()
	d.fleet.record.add("the other tenant's requests by status (0: no answer): %v", counts)
	return err
}

// sendDeadly sends the request that crashes workers some times, each time to another node.
func (d *deadly) sendDeadly(key string, times int, pause time.Duration) {
	for i := range times {
		n := d.fleet.nodes[i%deadlyNodes]
		id, status := d.send(n, key, deadlyBody, d.leaveAfter)
		d.fleet.record.add("client sends the request as %s to %s with key %s: status %d (0: no answer, the client has left)", id, n.name, key, status)
		time.Sleep(pause)
	}
}

// judge counts the retries that reached workers later than contactTime after the third crash,
// and the requests of others that those beyond maxRetries broke off.
func (d *deadly) judge() (broken bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	const explained = 3
	retries, lost := 0, 0
	for i, at := range d.reached {
		if len(d.crashes) < explained || at.Sub(d.crashes[explained-1]) <= contactTime {
			continue
		}
		if retries++; retries > maxRetries {
			lost += len(d.lost[i])
		}
	}
	d.fleet.record.add("retries that reached workers later than %s after the third crash: %d, allowed: %d; requests of others that those beyond broke off: %d", contactTime, retries, maxRetries, lost)
	return retries > maxRetries
}

// run starts the fleet with its workers and the traffic of the other tenant, lets the client
// send, and judges.
func (d *deadly) run(r *record, client func() error) (broken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.stop()
	d.fleet = f
	if err = f.publish("keys key-1 and key-2", d.config("key-1", "key-2")); err != nil {
		return false, err
	}
	workers := make([]*worker, deadlyWorkers)
	for i := range workers {
		workers[i] = &worker{fleet: f, service: "desk", zone: zoneName(i), onRun: d.onRun, goesOn: i == 0}
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
		return d.sendUsual(ctx)
	})
	// All machines are in touch then, and have seen that the workers serve.
	time.Sleep(contactTime + time.Second)
	if err = client(); err != nil {
		return false, err
	}
	cancel()
	<-done
	return d.judge(), nil
}

// runDeadly lets a request come again that crashes each worker that runs it. The disruption
// takes the key of its client away three times; the client goes on with the next key of its
// tenant.
func runDeadly(r *record, trouble bool) (broken bool, err error) {
	d := &deadly{}
	return d.run(r, func() error {
		keys := [][]string{{"key-1", "key-2"}, {"key-2", "key-3"}, {"key-3", "key-4"}, {"key-4", "key-5"}}
		for i, held := range keys {
			key := "key-1"
			if trouble {
				key = held[0]
			}
			if trouble && i > 0 {
				if err := d.fleet.publish(fmt.Sprintf("%s is taken away, %s is added", keys[i-1][0], held[1]), d.config(held...)); err != nil {
					return err
				}
				// The bound configMs, and some more.
				time.Sleep(contactTime)
			}
			d.sendDeadly(key, sendsPerKey, comesAgain)
		}
		return nil
	})
}

// runDark lets such a request come again too. With the disruption the workers go dark, without
// it their processes crash.
func runDark(r *record, trouble bool) (broken bool, err error) {
	d := &deadly{dark: trouble}
	return d.run(r, func() error {
		d.sendDeadly("key-1", darkSends, darkAgain)
		return nil
	})
}

// runLeaves lets such a request come again too: it crashes its worker some time after it has
// begun to run. With the disruption its client leaves before that.
func runLeaves(r *record, trouble bool) (broken bool, err error) {
	d := &deadly{crashAfter: 700 * time.Millisecond}
	if trouble {
		d.leaveAfter = 500 * time.Millisecond
	}
	return d.run(r, func() error {
		d.sendDeadly("key-1", leaveSends, leaveAgain)
		return nil
	})
}
