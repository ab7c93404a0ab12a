package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

// The case "replaced": after machines have been replaced one after the other, a restart of
// all nodes must not leave callers refused.
const (
	// replacements is how many machines are replaced, one at a time, each at once, with
	// replacementPause in between.
	replacements     = 60
	replacementPause = 100 * time.Millisecond
	// calmTime is how long requests are sent before the first disruption. After the
	// replacements, nothing happens for forgetTime and baselineTime, until the running nodes
	// have forgotten the lost ones and serve as before.
	calmTime     = 4 * time.Second
	forgetTime   = 60 * time.Second
	baselineTime = 6 * time.Second
	// downTime is how long all processes are down in the final fault.
	downTime = time.Second
	// recoverTime is recoverS. Requests are sent for recoveredTime after it.
	recoverTime   = 12 * time.Second
	recoveredTime = 8 * time.Second
	// The tenant has the smallest quota of the site, and asks for 1/1.8 of it in plain
	// requests, as on the site.
	quotaRate    = 18_000
	plainTokens  = 200
	callPause    = time.Second * plainTokens * 18 / 10 / quotaRate
	deskWorkers  = 3
	lookDeadline = 1500 * time.Millisecond
	// minServed is the share below which the rule is broken.
	minServed = 0.25
)

// traffic is what callers send to the nodes that run.
type traffic struct {
	rig   *rig
	mu    sync.Mutex
	nodes []*node
	sent  int
	// statuses counts the answers of the current phase by status; 0 is no answer.
	statuses map[int]int
	callers  errgroup.Group
	done     chan struct{}
}

func (t *traffic) setNodes(nodes []*node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = nodes
}

// next returns the target and the ID of the next request, with the counts of its phase.
func (t *traffic) next() (target, id string, statuses map[int]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	return t.nodes[t.sent%len(t.nodes)].callAddress(), fmt.Sprintf("%016x", t.sent), t.statuses
}

// run sends requests to the nodes in turn until done is closed.
func (t *traffic) run() error {
	for {
		select {
		case <-t.done:
			return t.callers.Wait()
		case <-time.After(callPause):
		}
		target, id, statuses := t.next()
		t.callers.Go(func() error {
			// Without an answer the status is 0.
			status, _ := lookUp(target, id)
			t.mu.Lock()
			defer t.mu.Unlock()
			statuses[status]++
			return nil
		})
	}
}

// begin begins a phase. A request belongs to the phase in which it was sent.
func (t *traffic) begin() (statuses map[int]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses = make(map[int]int)
	return t.statuses
}

// share returns the share of the requests of a phase that were served. It is called once
// they have all ended.
func (t *traffic) share(name string, statuses map[int]int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, n := range statuses {
		total += n
	}
	share := float64(statuses[http.StatusOK]) / float64(max(1, total))
	t.rig.note("%s: %d requests, by status %v (0: no answer), share served %.2f", name, total, statuses, share)
	return share
}

// lookUp sends one request to the plain service.
func lookUp(address, id string) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), lookDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/look/x", nil)
	if err != nil {
		return 0, err
	}
	req.Host = "h"
	req.Header.Set("Skylarkloom-Attempt-Id", id)
	req.Header.Set("Skylarkloom-Deadline-Ms", fmt.Sprint(lookDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer key")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}

// publishLook writes a configuration with one safe route, and registers its workers.
func (r *rig) publishLook() error {
	err := r.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "look", "host": "h", "pathPrefix": "/look/", "kind": "safe", "service": "desk", "attempts": 2, "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "desk", "maxConns": 96}},
		"tenants":  []any{map[string]any{"name": "t", "apiKeys": []string{"key"}, "unit": "tokens", "plainTokens": plainTokens, "ratePerS": quotaRate, "burst": quotaRate}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	for i := range deskWorkers {
		desk := &standin.Endpoint{ID: fmt.Sprint("i-desk-", i+1)}
		err = firstError(err, r.put("keyed.servers", desk.ID, map[string]any{
			"service": "desk", "address": r.serve(desk), "zone": fleetZones[2*i], "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seqNo": 1, "born": time.Now().UnixMilli(),
		}))
	}
	return err
}

// replaceMachines removes machines for good, the oldest first, and starts an empty one at
// another address for each. It returns the nodes that run afterwards.
func (r *rig) replaceMachines(t *traffic, nodes []*node) ([]*node, error) {
	for i := range replacements {
		oldest, others := nodes[0], nodes[1:]
		// The platform's balancer leaves out a machine that does not answer.
		t.setNodes(others)
		if err := oldest.kill(); err != nil {
			return nil, err
		}
		number := len(fleetZones) + i + 1
		n, err := r.addNode(fmt.Sprintf("front-%s-%d", oldest.zone, number), oldest.zone, number, false)
		if err != nil {
			return nil, err
		}
		if err = firstError(n.start(), n.awaitReady()); err != nil {
			return nil, err
		}
		nodes = append(slices.Clone(others), n)
		t.setNodes(nodes)
		time.Sleep(replacementPause)
	}
	return nodes, nil
}

func playReplaced(r *rig, trouble bool) (broken []string, err error) {
	if err = firstError(r.addressesFree(), r.publishLook()); err != nil {
		return nil, err
	}
	nodes, err := r.startFleet()
	if err != nil {
		return nil, err
	}
	t := &traffic{rig: r, nodes: nodes, done: make(chan struct{})}
	calm := t.begin()
	var running errgroup.Group
	running.Go(t.run)
	stop := sync.OnceValue(func() error {
		close(t.done)
		return running.Wait()
	})
	defer func() { err = firstError(err, stop()) }()
	time.Sleep(calmTime)
	replacing := t.begin()
	if trouble {
		if nodes, err = r.replaceMachines(t, nodes); err != nil {
			return nil, err
		}
		r.note("%d machines were replaced", replacements)
		time.Sleep(forgetTime)
	}
	baseline := t.begin()
	time.Sleep(baselineTime)
	recovering := t.begin()
	r.note("all processes are killed")
	for _, n := range nodes {
		if err = n.kill(); err != nil {
			return nil, err
		}
	}
	time.Sleep(downTime)
	for _, n := range nodes {
		if err = firstError(n.bootstrapped(), n.start()); err != nil {
			return nil, err
		}
	}
	for _, n := range nodes {
		if err = n.awaitReady(); err != nil {
			return nil, err
		}
	}
	r.note("all nodes are back")
	time.Sleep(recoverTime)
	after := t.begin()
	time.Sleep(recoveredTime)
	if err = stop(); err != nil {
		return nil, err
	}
	t.share("before the replacements", calm)
	t.share("during the replacements and the time after them", replacing)
	shareBefore := t.share("before the final fault", baseline)
	t.share("recovering", recovering)
	shareAfter := t.share("after recoverS", after)
	if shareBefore >= minServed && shareAfter < minServed {
		broken = append(broken, fmt.Sprintf("RECOVER: of the requests sent later than %s after the nodes were back, %.2f were served, %.2f before the final fault", recoverTime, shareAfter, shareBefore))
	}
	return broken, nil
}

// bootstrapped rewrites the settings as they are when the system does not start for the
// first time.
func (n *node) bootstrapped() error {
	return n.rewriteSettings(func(text string) string { return strings.Replace(text, "bootstrap: true", "bootstrap: false", 1) })
}
