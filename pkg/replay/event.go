package replay

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at     time.Duration
	serial int
	run    func()
}

// events is a heap in order of time, and of scheduling for the same time.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(a, b int) bool {
	if e[a].at != e[b].at {
		return e[a].at < e[b].at
	}
	return e[a].serial < e[b].serial
}

func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push is for package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is for package heap.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// at schedules what happens at a time.
func (w *player) at(at time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{at: max(at, w.now), serial: w.serial, run: run})
}
