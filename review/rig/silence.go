package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// The case "silence": a stream that its engine preempts for a while must not be cut around
// a planned stop of its node.
const (
	// silenceTime is how long an engine preempts preemptedRuns of its runs. Callers bear a
	// gap of 6 s on this route, which is four times its objective.
	silenceTime   = 2200 * time.Millisecond
	preemptedRuns = 3
	// streamEvents at eventInterval end long before the last sixth of graceS.
	streamEvents  = 64
	eventInterval = 50 * time.Millisecond
	// engineSlots is how many requests an engine runs at once, and engineQueue how many more
	// it queues. waitingCalls are the requests that fill the queues.
	engineSlots, engineQueue, waitingCalls = 6, 3, 8
	// settleTime is how long after their start the nodes are left alone, more than contactMs.
	settleTime = 4 * time.Second
	// waitAfter is when after the streams have begun the waiting calls are sent, termAfter
	// when after these the node gets SIGTERM, and silentAfter when after that an engine
	// preempts runs.
	waitAfter, termAfter, silentAfter = 100 * time.Millisecond, 300 * time.Millisecond, 200 * time.Millisecond
	promptBytes                       = 1400
	// lastSixth is when the last sixth of graceS begins.
	lastSixth = 8 * time.Second * 5 / 6
	// chatTimeout and noteTimeout are the timeouts of the routes and the callers' deadlines.
	chatTimeout, noteTimeout = 15 * time.Second, 4 * time.Second
)

// chatRoute is the route of chat-reply on the site, noteRoute one that may not be resumed.
var (
	chatRoute = map[string]any{
		"name": "chat", "host": "h", "pathPrefix": "/chat/", "kind": "streaming", "resumable": true, "sticky": true, "service": "engines",
		"attempts": 2, "timeoutMs": chatTimeout.Milliseconds(), "targetLatencyMs": 1500, "gapAimMs": 400, "priority": 2,
	}
	noteRoute = map[string]any{
		"name": "note", "host": "h", "pathPrefix": "/note/", "kind": "streaming", "resumable": false, "sticky": true, "service": "engines",
		"attempts": 1, "timeoutMs": noteTimeout.Milliseconds(), "targetLatencyMs": 1500, "gapAimMs": 400, "priority": 2,
	}
)

// streamCall is a caller's request for a stream.
type streamCall struct {
	id, path string
	// text is the prompt, and block the ID of its last prefix block. Without them the prompt
	// has body bytes, and a block of its own.
	text, block string
	// body is the length of the prompt, want the number of events of the whole stream.
	body, want     int
	deadline       time.Duration
	sentAt, endsAt time.Time
	status, events int
	complete       bool
	err            error
}

// run sends the request on a new connection and reads the response. It calls begun, if
// set, at the first event or the end.
func (c *streamCall) run(ctx context.Context, r *rig, address string, begun func()) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	if begun == nil {
		begun = func() {}
	}
	noteBegun := sync.OnceFunc(begun)
	defer noteBegun()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.path, strings.NewReader(cmp.Or(c.text, strings.Repeat("p", c.body))))
	if err != nil {
		c.err = err
		return
	}
	req.Host = "h"
	req.Header.Set("Skylarkloom-Attempt-Id", c.id)
	req.Header.Set("Skylarkloom-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	req.Header.Set("Skylarkloom-Model", "m")
	req.Header.Set("Skylarkloom-Token-Counts", "640,234")
	req.Header.Set("Skylarkloom-Prompt-Prefix", "5c1e07a2:100,"+cmp.Or(c.block, c.id)+":540")
	req.Header.Set("Authorization", "Bearer key")
	c.sentAt = time.Now()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	defer func() { c.endsAt = time.Now() }()
	res, err := client.Do(req)
	if err != nil {
		c.err = err
		return
	}
	c.status = res.StatusCode
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			c.events++
			noteBegun()
		}
	}
	c.err = firstError(lines.Err(), res.Body.Close())
	c.complete = c.err == nil && c.status == http.StatusOK && c.events == c.want
	r.note("caller of %s: status %d, %d events, complete: %t, error: %v", c.id, c.status, c.events, c.complete, c.err)
}

// publishStreams writes a configuration with routes to a pool of engines.
func (r *rig) publishStreams(slots int, routes ...any) error {
	return r.put("keyed.op", "config", map[string]any{
		"version":  7,
		"routes":   routes,
		"services": []any{map[string]any{"name": "engines", "maxConns": 480, "engine": map[string]any{"slots": slots, "stride": 3}}},
		"tenants":  []any{map[string]any{"name": "t", "apiKeys": []string{"key"}, "unit": "tokens", "plainTokens": 200, "ratePerS": 500_000, "burst": 500_000}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// addEngine starts and registers an engine.
func (r *rig) addEngine(id, zone string) (e *engine, err error) {
	e = &engine{rig: r, id: id, slots: engineSlots, queue: engineQueue, events: streamEvents, interval: eventInterval}
	e.address = r.serve(e)
	return e, r.register(id, e.address, zone, engineSlots)
}

// register writes the entry of an engine.
func (r *rig) register(id, address, zone string, slots int) error {
	return r.put("keyed.servers", id, map[string]any{
		"service": "engines", "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seqNo": 1,
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "born": time.Now().UnixMilli(),
	})
}

func playSilence(r *rig, trouble bool) (broken []string, err error) {
	if err = firstError(r.addressesFree(), r.publishStreams(engineSlots, chatRoute, noteRoute)); err != nil {
		return nil, err
	}
	var engines []*engine
	for i, zone := range []string{"zone-a", "zone-b"} {
		e, err := r.addEngine(fmt.Sprint("i-engine-", i+1), zone)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	nodes, err := r.startFleet()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	front := nodes[0]
	var callers errgroup.Group
	var begun sync.WaitGroup
	send := func(c *streamCall, begun func()) *streamCall {
		callers.Go(func() error {
			c.run(context.Background(), r, front.callAddress(), begun)
			return nil
		})
		time.Sleep(eventInterval / 2)
		return c
	}
	var calls []*streamCall
	for i := range len(engines) * engineSlots {
		begun.Add(1)
		calls = append(calls, send(&streamCall{id: fmt.Sprintf("%016x", i+1), path: "/chat/x", body: promptBytes, want: streamEvents, deadline: chatTimeout}, begun.Done))
	}
	begun.Wait()
	time.Sleep(waitAfter)
	for i := range waitingCalls {
		send(&streamCall{id: fmt.Sprintf("note-%d", i+1), path: "/note/x", body: promptBytes, want: streamEvents, deadline: noteTimeout}, nil)
	}
	time.Sleep(termAfter)
	termAt := time.Now()
	if err = front.signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	time.Sleep(silentAfter)
	if trouble {
		engines[0].preempt(preemptedRuns)
		time.Sleep(silenceTime)
		engines[0].readInAgain()
	}
	if err = callers.Wait(); err != nil {
		return nil, err
	}
	return judgeSilence(r, engines, calls, termAt), nil
}

// judgeSilence applies LOST to the resumable streams, which were all sent before SIGTERM and
// passed on: they must not end without a complete answer, unless the worker broke off, the
// timeout was reached, or the worker was still at work in the last sixth of graceS.
func judgeSilence(r *rig, engines []*engine, calls []*streamCall, termAt time.Time) (broken []string) {
	cut := 0
	for _, c := range calls {
		if c.complete {
			continue
		}
		cut++
		for _, e := range engines {
			run, ran := e.endOf(c.id)
			if !ran || run.complete || !run.closedByNode || c.endsAt.Sub(c.sentAt) >= chatTimeout || c.endsAt.Sub(termAt) >= lastSixth {
				continue
			}
			broken = append(broken, fmt.Sprintf("LOST: %s was cut %.2f s after SIGTERM, after %d of %d events; %s had sent %d and was still at work when the node closed the connection",
				c.id, c.endsAt.Sub(termAt).Seconds(), c.events, streamEvents, e.id, run.last))
		}
	}
	r.note("%d of %d streams were cut", cut, len(calls))
	return broken
}
