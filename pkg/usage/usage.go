// Package usage counts the requests of client accounts that started to run, by
// window of wall-clock time. Each node counts its own requests. Reports of a node are
// merged by the maximum, since counts only grow.
package usage

import (
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Window is the number of a time window, counted from the Unix epoch.
type Window int64

// maxWindows is the number of windows kept per node. It exceeds by far the time
// within which a window is reported.
const maxWindows = 8

// Counts holds the number of requests by window and account.
type Counts map[Window]map[fleet.AccountName]int64

// Counter counts the requests of all nodes, this one included. The zero value is
// ready to use.
type Counter struct {
	mu    sync.Mutex
	nodes map[fleet.NodeRef]Counts
}

// WindowAt returns the window of the given length that contains t.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / max(1, int64(length)))
}

// Count counts a request that started on a node in a window.
func (uc *Counter) Count(node fleet.NodeRef, w Window, account fleet.AccountName) {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	uc.windowCounts(node, w)[account]++
}

// windowCounts returns a node's counts of a window. It adds a missing window and
// then removes the outdated ones. The caller holds the lock.
func (uc *Counter) windowCounts(node fleet.NodeRef, w Window) map[fleet.AccountName]int64 {
	if uc.nodes == nil {
		uc.nodes = make(map[fleet.NodeRef]Counts)
	}
	counts := uc.nodes[node]
	if counts == nil {
		counts = make(Counts)
		uc.nodes[node] = counts
	}
	if counts[w] == nil {
		counts[w] = make(map[fleet.AccountName]int64)
		for old := range counts {
			if old <= w-maxWindows {
				delete(counts, old)
			}
		}
	}
	return counts[w]
}

// Merge merges the counts that another node reported.
func (uc *Counter) Merge(node fleet.NodeRef, c Counts) {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	for w, accounts := range c {
		merged := uc.windowCounts(node, w)
		for account, n := range accounts {
			merged[account] = max(merged[account], n)
		}
	}
}

// NodeCounts returns a copy of a node's counts, starting with the window from.
func (uc *Counter) NodeCounts(node fleet.NodeRef, from Window) Counts {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	c := make(Counts)
	for w, accounts := range uc.nodes[node] {
		if w < from {
			continue
		}
		c[w] = make(map[fleet.AccountName]int64, len(accounts))
		for account, n := range accounts {
			c[w][account] = n
		}
	}
	return c
}

// Sum returns the counts of a window, summed over all nodes.
func (uc *Counter) Sum(w Window) map[fleet.AccountName]int64 {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	sum := make(map[fleet.AccountName]int64)
	for _, c := range uc.nodes {
		for account, n := range c[w] {
			sum[account] += n
		}
	}
	return sum
}

// Expire removes the nodes without counts in the window from or later.
func (uc *Counter) Expire(from Window) {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	for node, c := range uc.nodes {
		recent := false
		for w := range c {
			recent = recent || w >= from
		}
		if !recent {
			delete(uc.nodes, node)
		}
	}
}
