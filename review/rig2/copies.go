package main

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// copyCount is how many copies of the request come at the same time: the request and
	// the three repeats of a client that repeats at once.
	copyCount = 4
	// copyRounds is how often they come, every copyPause.
	copyRounds = 6
	copyPause  = 3700 * time.Millisecond
)

// runCopies sends a request that crashes the workers that run it a few times, while nobody
// else calls. The disruption is that its client repeats it at once.
func runCopies(f *fleet, trouble bool) (broken bool, err error) {
	copies := 1
	if trouble {
		copies = copyCount
	}
	for round := range copyRounds {
		time.Sleep(copyPause)
		var group errgroup.Group
		var mu sync.Mutex
		statuses := make(map[int]int)
		for i := range copies {
			group.Go(func() error {
				a := exchange(f.nodes[(round+i)%len(f.nodes)].address, order(fmt.Sprintf("dead%06x%06x", round+1, i+1)), 2500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
				return nil
			})
		}
		if err = group.Wait(); err != nil {
			return false, err
		}
		f.record.printf("round %d: the copies got these statuses: %v", round+1, statuses)
	}
	return f.judgeCrashes(&callers{}), nil
}
