// Package usage counts the requests of client accounts that began to run, by
// windows of the time of day. Each node counts its own; the counts of all nodes
// are merged by their maximum, since counts only grow.
package usage

import (
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Window numbers the windows since the start of 1970.
type Window int64

// kept is how many windows are kept, well beyond the time in which one is reported.
const kept = 8

// Counts are the requests of accounts by window.
type Counts map[Window]map[fleet.AccountName]int64

// Ledger holds the counts of this node and of all others. The zero value is
// ready to use.
type Ledger struct {
	mu    sync.Mutex
	nodes map[fleet.NodeRef]Counts
}

// At returns the window of a time.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / max(1, int64(length)))
}

// Count counts a request that began at a node in a window.
func (l *Ledger) Count(node fleet.NodeRef, w Window, account fleet.AccountName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.window(node, w)[account]++
}

func (l *Ledger) window(node fleet.NodeRef, w Window) map[fleet.AccountName]int64 {
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
			if old <= w-kept {
				delete(counts, old)
			}
		}
	}
	return counts[w]
}

// Merge folds what another node says that it counted.
func (l *Ledger) Merge(node fleet.NodeRef, c Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w, accounts := range c {
		own := l.window(node, w)
		for account, n := range accounts {
			own[account] = max(own[account], n)
		}
	}
}

// Own returns a copy of a node's counts from a window on.
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

// Sum returns the counts of a window over all nodes.
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

// Expire forgets the nodes that counted nothing from a window on.
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
