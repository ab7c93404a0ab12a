package main

import (
	"bufio"
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
	engineSlots   = 6
	// termAfter is when after the streams have begun the node gets SIGTERM, and silentAfter
	// when after that an engine preempts runs.
	promptBytes            = 1400
	termAfter, silentAfter = 300 * time.Millisecond, 200 * time.Millisecond
	// lastSixth is when the last sixth of graceS begins.
	lastSixth = 8 * time.Second * 5 / 6
	deadline  = 15 * time.Second
)

// streamCall is a caller's request for a stream.
type streamCall struct {
	id string
	// body is the length of the prompt, want the number of events of the whole stream.
	body, want     int
	sentAt, endsAt time.Time
	status, events int
	complete       bool
	err            error
}

// run sends the request on a new connection and reads the response. It calls begun, if
// set, at the first event or the end.
func (c *streamCall) run(ctx context.Context, r *rig, address string, begun func()) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	if begun == nil {
		begun = func() {}
	}
	noteBegun := sync.OnceFunc(begun)
	defer noteBegun()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/chat/x", strings.NewReader(strings.Repeat("p", c.body)))
	if err != nil {
		c.err = err
		return
	}
	req.Host = "h"
	req.Header.Set("Skylarkloom-Attempt-Id", c.id)
	req.Header.Set("Skylarkloom-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Skylarkloom-Model", "m")
	req.Header.Set("Skylarkloom-Token-Counts", "640,234")
	req.Header.Set("Skylarkloom-Prompt-Prefix", "5c1e07a2:100,"+c.id+":540")
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

// publishChat writes a configuration with one resumable streaming route.
func (r *rig) publishChat() error {
	return r.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "chat", "host": "h", "pathPrefix": "/chat/", "kind": "streaming", "resumable": true, "sticky": true, "service": "engines",
			"attempts": 2, "timeoutMs": deadline.Milliseconds(), "targetLatencyMs": 1500, "gapAimMs": 400, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "engines", "maxConns": 480, "engine": map[string]any{"slots": engineSlots, "stride": 3}}},
		"tenants":  []any{map[string]any{"name": "t", "apiKeys": []string{"key"}, "unit": "tokens", "plainTokens": 200, "ratePerS": 500_000, "burst": 500_000}},
		"limits":   map[string]any{"maxBodyBytes": 4 << 20},
	})
}

// addEngine starts and registers an engine.
func (r *rig) addEngine(id, zone string) (e *engine, err error) {
	e = &engine{rig: r, id: id, slots: engineSlots, events: streamEvents, interval: eventInterval}
	e.address = r.serve(e)
	return e, r.register(id, e.address, zone)
}

// register writes the entry of an engine.
func (r *rig) register(id, address, zone string) error {
	return r.put("keyed.servers", id, map[string]any{
		"service": "engines", "address": address, "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready", "coldLeftMs": 0, "seqNo": 1,
		"born": time.Now().UnixMilli(),
	})
}

func playSilence(r *rig, trouble bool) (broken []string, err error) {
	if err = r.addressesFree(); err != nil {
		return nil, err
	}
	if err = r.publishChat(); err != nil {
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
	nodes, err := r.startFleet(true)
	if err != nil {
		return nil, err
	}
	// The nodes learn of each other.
	time.Sleep(2 * time.Second)
	front := nodes[0]
	calls := make([]*streamCall, len(engines)*engineSlots)
	var callers errgroup.Group
	var begun sync.WaitGroup
	for i := range calls {
		calls[i] = &streamCall{id: fmt.Sprintf("%016x", i+1), body: promptBytes, want: streamEvents}
		begun.Add(1)
		callers.Go(func() error {
			calls[i].run(context.Background(), r, front.callAddress(), begun.Done)
			return nil
		})
		time.Sleep(eventInterval / 2)
	}
	begun.Wait()
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

// judgeSilence applies LOST: around a planned stop, a request that was passed on must not
// end without a complete answer, unless its worker broke off or was at work in the last
// sixth of graceS, or the time of its route was over.
func judgeSilence(r *rig, engines []*engine, calls []*streamCall, termAt time.Time) (broken []string) {
	cut, unfinished := 0, 0
	for _, c := range calls {
		switch {
		case c.complete:
		case c.status == 0 && c.err == nil:
			unfinished++
		case c.status == http.StatusOK:
			cut++
			run, ran := engines[0].endOf(c.id)
			if !ran || c.endsAt.Sub(c.sentAt) >= deadline || c.endsAt.Sub(termAt) >= lastSixth {
				continue
			}
			broken = append(broken, fmt.Sprintf("LOST: %s was cut %.2f s after SIGTERM, after %d of %d events; its engine had sent %d and was still at work (run complete: %t)",
				c.id, c.endsAt.Sub(termAt).Seconds(), c.events, streamEvents, run.last, run.complete))
		}
	}
	r.note("%d of %d streams were cut, %d did not begin", cut, len(calls), unfinished)
	return broken
}
