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

// Ledger holds the counts of all nodes, this one included. The zero value is ready
// to use.
type Ledger struct {
	mu    sync.Mutex
	nodes map[fleet.NodeRef]Counts
}

// WindowAt returns the window of the given length that contains t.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / max(1, int64(length)))
}

// Count counts a request that started on a node in a window.
func (l *Ledger) Count(node fleet.NodeRef, w Window, account fleet.AccountName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.windowCounts(node, w)[account]++
}

// windowCounts returns a node's counts of a window. It adds a missing window and
// then removes the outdated ones. The caller holds the lock.
func (l *Ledger) windowCounts(node fleet.NodeRef, w Window) map[fleet.AccountName]int64 {
	if l.nodes == nil {
		l.nodes = make(map[fleet.NodeRef]Counts)
	}
	counts := l.nodes[node]
	if counts == nil {
		counts = make(Counts)
		l.nodes[node] = counts
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
func (l *Ledger) Merge(node fleet.NodeRef, c Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w, accounts := range c {
		merged := l.windowCounts(node, w)
		for account, n := range accounts {
			merged[account] = max(merged[account], n)
		}
	}
}

// NodeCounts returns a copy of a node's counts, starting with the window from.
func (l *Ledger) NodeCounts(node fleet.NodeRef, from Window) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := make(Counts)
	for w, accounts := range l.nodes[node] {
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
func (l *Ledger) Sum(w Window) map[fleet.AccountName]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := make(map[fleet.AccountName]int64)
	for _, c := range l.nodes {
		for account, n := range c[w] {
			sum[account] += n
		}
	}
	return sum
}

// Expire removes the nodes without counts in the window from or later.
func (l *Ledger) Expire(from Window) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for node, c := range l.nodes {
		recent := false
		for w := range c {
			recent = recent || w >= from
		}
		if !recent {
			delete(l.nodes, node)
		}
	}
}
