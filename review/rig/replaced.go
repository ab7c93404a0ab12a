package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

// The case "replaced": after machines have been replaced one after the other, a restart of
// all nodes must not leave callers refused.
const (
	// replacements is how many machines are replaced, one at a time.
	replacements = 60
	// forgetTime is longer than the time after which running nodes forget a lost one.
	forgetTime = 62 * time.Second
	// replacePause is the pause between two replacements.
	replacePause = 100 * time.Millisecond
	// downTime is how long all processes are down in the final fault.
	downTime = time.Second
	// baselineTime is how long the share of served requests is measured before the final
	// fault, and recoveredTime how long after recoverTime past the return of the nodes.
	baselineTime  = 4 * time.Second
	recoverTime   = 12 * time.Second
	recoveredTime = 8 * time.Second
	// The quota is 1.8 times what the tenant asks for, as on the site.
	quotaRate     = 255_161
	requestTokens = 6000
	callPause     = time.Second * requestTokens * 18 / 10 / quotaRate
	// minServed is the share below which the rule is broken.
	minServed = 0.25
)

// servedShare sends requests to the nodes in turn and returns the share that was served.
func (r *rig) servedShare(name string, nodes []*node, length time.Duration) (share float64, err error) {
	var mu sync.Mutex
	statuses := make(map[int]int)
	sent := 0
	var callers errgroup.Group
	for end := time.Now().Add(length); time.Now().Before(end); {
		target := nodes[sent%len(nodes)].callAddress()
		id := fmt.Sprintf("%s-%06d", name, sent)
		sent++
		callers.Go(func() error {
			status, err := lookUp(target, id)
			if err != nil {
				r.note("%s: %v", id, err)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			return nil
		})
		time.Sleep(callPause)
	}
	if err = callers.Wait(); err != nil {
		return 0, err
	}
	share = float64(statuses[http.StatusOK]) / float64(sent)
	r.note("%s: %d requests, by status %v (0: no answer), share served %.2f", name, sent, statuses, share)
	return share, nil
}

// lookUp sends one request to the plain service.
func lookUp(address, id string) (status int, err error) {
	const wait = 1500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/look/x", nil)
	if err != nil {
		return 0, err
	}
	req.Host = "h"
	req.Header.Set("Skylarkloom-Attempt-Id", id)
	req.Header.Set("Skylarkloom-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	req.Header.Set("Skylarkloom-Token-Counts", fmt.Sprintf("%d,0", requestTokens))
	req.Header.Set("Authorization", "Bearer key")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}

// publishLook writes a configuration with one safe route, and registers its worker.
func (r *rig) publishLook() error {
	err := r.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "look", "host": "h", "pathPrefix": "/look/", "kind": "safe", "service": "desk", "attempts": 2, "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "desk", "maxConns": 96}},
		"tenants":  []any{map[string]any{"name": "t", "apiKeys": []string{"key"}, "unit": "tokens", "plainTokens": 200, "ratePerS": quotaRate, "burst": quotaRate}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	desk := &standin.Endpoint{ID: "i-desk-1"}
	return r.put("keyed.servers", desk.ID, map[string]any{
		"service": "desk", "address": r.serve(desk), "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seqNo": 1, "born": time.Now().UnixMilli(),
	})
}

// replaceMachines removes machines for good, the oldest first, and starts an empty one at
// another address for each. It returns the nodes that run afterwards.
func (r *rig) replaceMachines(nodes []*node) ([]*node, error) {
	for i := range replacements {
		oldest := nodes[0]
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
		nodes = append(nodes[1:], n)
		time.Sleep(replacePause)
	}
	return nodes, nil
}

func playReplaced(r *rig, trouble bool) (broken []string, err error) {
	if err = firstError(r.addressesFree(), r.publishLook()); err != nil {
		return nil, err
	}
	nodes, err := r.startFleet(true)
	if err != nil {
		return nil, err
	}
	if trouble {
		if nodes, err = r.replaceMachines(nodes); err != nil {
			return nil, err
		}
		r.note("%d machines were replaced", replacements)
	}
	time.Sleep(forgetTime)
	before, err := r.servedShare("before", nodes, baselineTime)
	if err != nil {
		return nil, err
	}
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
	if _, err = r.servedShare("recovering", nodes, recoverTime); err != nil {
		return nil, err
	}
	after, err := r.servedShare("after", nodes, recoveredTime)
	if err != nil {
		return nil, err
	}
	if before >= minServed && after < minServed {
		broken = append(broken, fmt.Sprintf("RECOVER: of the requests sent later than %s after the nodes were back, %.2f were served, %.2f before the final fault", recoverTime, after, before))
	}
	return broken, nil
}

// bootstrapped rewrites the settings as they are when the system does not start for the
// first time.
func (n *node) bootstrapped() error {
	return n.rewriteSettings(func(text string) string { return strings.Replace(text, "bootstrap: true", "bootstrap: false", 1) })
}
