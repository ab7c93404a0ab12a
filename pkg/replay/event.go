package replay

import (
	"container/heap"
	"time"
)

// event is an action at a virtual time.
type event struct {
	at time.Duration
	// serial orders events of the same time.
	serial int
	run    func()
}

// eventQueue is a heap of events, ordered by time and then by serial.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(a, b int) bool {
	if e[a].at != e[b].at {
		return e[a].at < e[b].at
	}
	return e[a].serial < e[b].serial
}

func (e eventQueue) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// schedule adds an event. Times in the past are replaced by the current time.
func (s *simulation) schedule(at time.Duration, run func()) {
	s.serial++
	heap.Push(&s.events, event{at: max(at, s.now), serial: s.serial, run: run})
}
