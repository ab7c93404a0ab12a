package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// deadlyPause is the time between two requests that crash workers.
	deadlyPause = 3600 * time.Millisecond
	// deadlyCount is how often the request comes at most.
	deadlyCount = 10
	// perLife is how many of them come between two starts of all nodes, endCount how often
	// these end.
	perLife, endCount = 2, 3
	// crashesToLearn is the crash by which the nodes have to know the request.
	crashesToLearn = 3
	// maxRetries is how many retries may reach workers later than contactMs after the third
	// crash.
	maxRetries = 3
	// rollDelay is the time between a request and the stop of the nodes.
	rollDelay = 11 * time.Second
	// variantKill kills the processes of all nodes at the same moment instead of stopping
	// them in turn.
	variantKill = "kill"
	// othersPause is the pause between two requests of other callers to a node, othersWork how
	// long a worker works on one.
	othersPause = 50 * time.Millisecond
	othersWork  = 200 * time.Millisecond
	// othersPath is in the path of their requests.
	othersPath = "/other"
)

// order returns the request that crashes workers. Only its ID changes.
func order(id string) string {
	return fmt.Sprintf("POST /lohu930%s HTTP/1.1\r\nHost: %s\r\nSkylarkloom-Attempt-Id: %s\r\nSkylarkloom-Deadline-Ms: 2500\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\npoem", deadlyPath, host, id, key)
}

// other returns a request of another caller, which may run at most once.
func other(id string) string {
	return fmt.Sprintf("POST /lohu930%s HTTP/1.1\r\nHost: %s\r\nSkylarkloom-Attempt-Id: %s\r\nSkylarkloom-Deadline-Ms: 2500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", othersPath, host, id, key, len(id), id)
}

// callers are the other callers, with the requests of theirs that were not answered with success.
type callers struct {
	mu       sync.Mutex
	sent     int
	unserved map[string]answer
}

// run sends requests to a node until done is closed.
func (c *callers) run(f *fleet, n *node, done <-chan struct{}) error {
	var group errgroup.Group
	for i := 0; ; i++ {
		select {
		case <-done:
			return group.Wait()
		case <-time.After(othersPause):
		}
		id := fmt.Sprintf("%08x%08x", 1+slices.Index(f.nodes, n), i+1)
		group.Go(func() error {
			c.send(n, id)
			return nil
		})
	}
}

// send sends a request to a node.
func (c *callers) send(n *node, id string) {
	a := exchange(n.address, other(id), 2500*time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent++; a.err != nil || a.status != http.StatusOK {
		c.unserved[id] = a
	}
}

// runDeadly sends a request that crashes the workers that run it again and again, at all
// nodes in turn, beside those of other callers. The disruption is that the nodes are stopped
// and started in turn, three times; or that the processes of all nodes are killed at the same
// moment, three times.
func runDeadly(f *fleet, trouble bool) (broken bool, err error) {
	done := make(chan struct{})
	others := &callers{unserved: make(map[string]answer)}
	var group errgroup.Group
	for _, n := range f.nodes {
		group.Go(func() error { return others.run(f, n, done) })
	}
	err = f.sendDeadly(trouble)
	close(done)
	if err = errors.Join(err, group.Wait()); err != nil {
		return false, err
	}
	return f.judgeCrashes(others), nil
}

// judgeCrashes records the crashes of the workers, and reports whether the request reached
// them in more retries than are allowed.
func (f *fleet) judgeCrashes(others *callers) (broken bool) {
	var crashes []crash
	for _, w := range f.workers {
		w.mu.Lock()
		crashes = append(crashes, w.crashes...)
		w.mu.Unlock()
	}
	slices.SortFunc(crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	ended, retries, lostBeyond := 0, 0, 0
	var third time.Time
	for _, c := range crashes {
		late := !third.IsZero() && c.at.Sub(third) > contact
		if late {
			retries++
		}
		if c.ended {
			if ended++; ended == crashesToLearn {
				third = c.at
			}
		}
		lost := 0
		for _, id := range c.running {
			if _, ok := others.unserved[id]; ok {
				lost++
			}
		}
		if retries > maxRetries {
			lostBeyond += lost
		}
		f.record.printf("%s reached a worker, later than %v after the third crash: %t; it ended the worker: %t, and with it %d requests of other callers, who got no success for %d", c.request, contact, late, c.ended, len(c.running), lost)
	}
	f.record.printf("the other callers sent %d requests; the retries beyond those that are allowed lost %d of them", others.sent, lostBeyond)
	f.record.printf("the request reached workers %d times and crashed %d, in %d retries later than %v after the third crash; allowed are %d", len(crashes), ended, retries, contact, maxRetries)
	return retries > maxRetries
}

// sendDeadly sends the request that crashes workers. Before each of them all nodes have been
// in touch for contactMs.
func (f *fleet) sendDeadly(trouble bool) error {
	time.Sleep(contact)
	ends := 0
	for i := range deadlyCount {
		n := f.nodes[i%len(f.nodes)]
		id := fmt.Sprintf("dead%012x", i+1)
		a := exchange(n.address, order(id), 2500*time.Millisecond)
		f.record.printf("%s answered %s with status %d, error %v", n.name, id, a.status, a.err)
		if i+1 == deadlyCount {
			break
		}
		time.Sleep(deadlyPause)
		if trouble && (i+1)%perLife == 0 && ends < endCount {
			ends++
			if err := f.endAll(); err != nil {
				return err
			}
			time.Sleep(contact + 500*time.Millisecond)
		}
	}
	return nil
}

// endAll ends and starts all nodes, by the variant of the case.
func (f *fleet) endAll() error {
	if f.variant == variantKill {
		return f.killAll()
	}
	time.Sleep(rollDelay - deadlyPause)
	return f.rollAll()
}
