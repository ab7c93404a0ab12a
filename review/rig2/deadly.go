package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// deadlyPause is the time between two requests that crash workers.
	deadlyPause = 3600 * time.Millisecond
	// deadlyCount is how often the request comes at most.
	deadlyCount = 9
	// perLife is how many of them come between two starts of all nodes, endCount how often
	// these end.
	perLife, endCount = 2, 2
	// maxRetries is how many retries may reach workers later than contactMs after the third
	// crash.
	maxRetries = 3
	// rollDelay is the time between a request and the stop of the nodes.
	rollDelay = 11 * time.Second
	// variantKill kills the processes of all nodes at the same moment instead of stopping
	// them in turn.
	variantKill = "kill"
	// lookupPause is the pause between two ordinary requests to a node.
	lookupPause = 100 * time.Millisecond
)

// order returns the request that crashes workers. Only its ID changes.
func order(id string) string {
	return fmt.Sprintf("POST /lohu930%s HTTP/1.1\r\nHost: %s\r\nSkylarkloom-Attempt-Id: %s\r\nSkylarkloom-Deadline-Ms: 2500\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\npoem", deadlyPath, host, id, key)
}

// runDeadly sends a request that crashes the workers that run it again and again, at all
// nodes in turn, beside ordinary ones. The disruption is that the nodes are stopped and started
// in turn, twice; or that the processes of all nodes are killed at the same moment, twice.
func runDeadly(f *fleet, trouble bool) (broken bool, err error) {
	done := make(chan struct{})
	var group errgroup.Group
	for i, n := range f.nodes {
		group.Go(func() error {
			for j := 0; ; j++ {
				select {
				case <-done:
					return nil
				case <-time.After(lookupPause):
				}
				exchange(n.address, lookup(fmt.Sprintf("%08x%08x", i+1, j+1)), 1200*time.Millisecond)
			}
		})
	}
	err = f.sendDeadly(trouble)
	close(done)
	if err = errors.Join(err, group.Wait()); err != nil {
		return false, err
	}
	var crashes []crash
	for _, w := range f.workers {
		w.mu.Lock()
		crashes = append(crashes, w.crashes...)
		w.mu.Unlock()
	}
	slices.SortFunc(crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	retries := 0
	for _, c := range crashes {
		if len(crashes) >= 3 && c.at.Sub(crashes[2].at) > contact {
			retries++
		}
	}
	f.record.printf("the request crashed %d workers, %d of them later than %v after the third crash; allowed are %d", len(crashes), retries, contact, maxRetries)
	return retries > maxRetries, nil
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
