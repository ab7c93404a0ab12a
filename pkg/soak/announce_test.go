package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxLeavingDelay is how long after a node has passed on that an endpoint leaves the
	// node may still send to it, equal to drainMs on the users' platform.
	maxLeavingDelay = 2 * time.Second
	// pauseDelay is how long after a refusal with a pause requests may still reach the
	// endpoint, and maxInPause how many may later.
	pauseDelay, maxInPause = 500 * time.Millisecond, 2
)

// announcement is a response in which an endpoint announced something of itself.
type announcement struct {
	endpoint *endpoint
	id       string
	at       time.Time
	// pause is how long the endpoint wants no requests; 0 if it announced that it leaves.
	pause time.Duration
}

// maxRefusalDelay is the longest time that an endpoint takes to refuse a request.
const maxRefusalDelay = 800 * time.Millisecond

// crashed reports whether a request crashed an endpoint, which resets its connections,
// between two times.
func (cl *cluster) crashed(e *endpoint, from, to time.Time) bool {
	for _, a := range cl.arrivals {
		if a.endpoint == e && a.crashed && a.at.After(from) && a.at.Before(to) {
			return true
		}
	}
	return false
}

// planAnnouncements returns steps in which endpoints announce something. They are drawn
// apart from the others, so that these stay the same for a seed.
func planAnnouncements(seed uint64) (steps []step) {
	random := rand.New(rand.NewPCG(seed, 2))
	for range random.IntN(3) {
		s := step{
			start:    time.Duration(random.Int64N(int64(faultTime - 4*time.Second))),
			duration: time.Second + time.Duration(random.Int64N(int64(3*time.Second))),
			action:   pick(random, actLeave, actAsk),
			target:   random.IntN(endpointCount),
			pause:    time.Duration(200+random.IntN(2800)) * time.Millisecond,
			delay:    pick(random, 0, time.Duration(random.IntN(int(maxRefusalDelay.Milliseconds())))*time.Millisecond),
		}
		steps = append(steps, s)
	}
	return steps
}

// serveAnnouncing serves an endpoint, which announces what the current step wants.
func (cl *cluster) serveAnnouncing(e *endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		leaving, pause, delay := e.leaving, e.pause, e.delay
		e.mu.Unlock()
		if pause > 0 {
			// Callers may leave before the endpoint refuses the request.
			cl.recordArrival(e, r)
			time.Sleep(delay)
		}
		a := announcement{endpoint: e, id: r.Header.Get("Skylarkloom-Attempt-Id"), at: time.Now(), pause: pause}
		if leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		if leaving || pause > 0 {
			cl.mu.Lock()
			cl.announcements = append(cl.announcements, a)
			cl.mu.Unlock()
		}
		if pause == 0 {
			e.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
		w.Header().Set("Skylarkloom-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// announce lets an endpoint announce something for the duration of a step. Meanwhile
// callers leave more often and send long bodies, and entries show older births.
func (cl *cluster) announce(e *endpoint, s step) {
	set := func(leaving bool, pause time.Duration) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.leaving, e.pause, e.delay = leaving, pause, s.delay
	}
	cl.setAnnouncing(1)
	defer cl.setAnnouncing(-1)
	if s.action == actLeave {
		// It goes on to say so until it is replaced.
		set(true, 0)
	} else {
		set(false, s.pause)
	}
	time.Sleep(s.duration / 2)
	cl.mu.Lock()
	if e.drainingSince.IsZero() {
		e.shownBorn -= time.Minute.Milliseconds()
		cl.register(e, "ready")
	}
	cl.mu.Unlock()
	time.Sleep(s.duration / 2)
	if s.action == actAsk {
		set(false, 0)
		time.Sleep(s.pause)
	}
}

func (cl *cluster) setAnnouncing(change int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.announcing += change
}

// checkAnnouncements checks that endpoints receive no further requests of a node after the
// node has passed on that they leave, in a complete response or not, and hardly any during
// a pause, whether the request that was refused was still wanted or not.
func (cl *cluster) checkAnnouncements(report func(string, ...any)) {
	byID := make(map[string]*call)
	for _, c := range cl.calls.entries {
		byID[c.id] = c
	}
	sameSender := func(a, b *call) bool {
		return a != nil && b != nil && a.node == b.node && a.incarnation == b.incarnation
	}
	for _, n := range cl.announcements {
		told := byID[n.id]
		if told == nil {
			continue
		}
		node, late := cl.nodes[told.node], 0
		passedOn := told.seal != "" && told.servedBy == n.endpoint.ID
		for _, a := range cl.arrivals {
			c := byID[a.id]
			if a.endpoint != n.endpoint || !sameSender(told, c) || node.halts.overlaps(n.at, a.at) {
				continue
			}
			if n.pause == 0 && passedOn && c.sentAt.After(told.headAt.Add(maxLeavingDelay)) {
				report("%.2fs %s reached %s, which had announced that it leaves %.2fs before", a.at.Sub(cl.startedAt).Seconds(), a.id, n.endpoint.ID, a.at.Sub(n.at).Seconds())
			}
			if a.at.After(n.at.Add(pauseDelay)) && a.at.Before(n.at.Add(n.pause)) {
				late++
			}
		}
		if late > maxInPause && !cl.crashed(n.endpoint, n.at.Add(-maxRefusalDelay), n.at.Add(pauseDelay)) && !n.endpoint.linkFaults.overlaps(n.at.Add(-callDeadline), n.at.Add(pauseDelay)) {
			report("%.2fs %d requests of %s reached %s in its pause of %s", n.at.Sub(cl.startedAt).Seconds(), late, node.name, n.endpoint.ID, n.pause)
		}
	}
}
