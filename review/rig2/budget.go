package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// budgetRate is how many safe requests a second the clients send.
	budgetRate = 100
	// failShare is the part of their requests that the workers fail, for failTime from each of
	// failStarts on.
	failShare = 0.45
	failTime  = 4 * time.Second
	// budgetKill is when all processes are killed, between the two, and budgetTime when the
	// case ends.
	budgetKill, budgetTime = 16 * time.Second, 25 * time.Second
	// budgetWindow, budgetRatio and budgetSlack are those of the settings.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 54
	// variantFailures leaves out the kill.
	variantFailures = "failures"
)

// failStarts are when the workers begin to fail requests.
var failStarts = []time.Duration{12 * time.Second, 17 * time.Second}

// failsAt reports whether the workers fail requests at a time.
func failsAt(since time.Duration) bool {
	return slices.ContainsFunc(failStarts, func(start time.Duration) bool { return since >= start && since < start+failTime })
}

// budgetLog holds when requests were sent by clients, and when they arrived at workers again.
type budgetLog struct {
	mu       sync.Mutex
	sent     []time.Time
	arrived  map[string]bool
	repeated []time.Time
}

// runBudget sends safe requests while the workers fail a part of them. The disruption is
// that, and that the processes of all nodes are killed at the same moment meanwhile.
func runBudget(f *fleet, trouble bool) (broken bool, err error) {
	l := &budgetLog{arrived: make(map[string]bool)}
	begun := time.Now()
	for _, w := range f.workers {
		w.setArrival(func(request string) (fails bool) {
			return l.arrive(request) && trouble && failsAt(time.Since(begun))
		})
	}
	var group errgroup.Group
	group.Go(func() error {
		if !trouble || f.variant == variantFailures {
			return nil
		}
		time.Sleep(time.Until(begun.Add(budgetKill)))
		return f.killAll()
	})
	tick := time.NewTicker(time.Second / budgetRate)
	defer tick.Stop()
	statuses := make(map[int]int)
	for i := 0; time.Since(begun) < budgetTime; i++ {
		<-tick.C
		n := f.nodes[i%len(f.nodes)]
		group.Go(func() error {
			l.send()
			a := exchange(n.address, lookup(fmt.Sprintf("%016x", i+1)), 1200*time.Millisecond)
			l.mu.Lock()
			defer l.mu.Unlock()
			statuses[a.status]++
			return nil
		})
	}
	if err = group.Wait(); err != nil {
		return false, err
	}
	f.record.printf("the clients sent %d requests and got these statuses (0 for no answer): %v", len(l.sent), statuses)
	repeats, allowed, from := l.worst(begun)
	f.record.printf("in the %v from second %.1f the service got %d arrivals beyond the first of their request; allowed are %.1f", budgetWindow, from.Seconds(), repeats, allowed)
	for second := 0; second < int(budgetTime.Seconds()); second++ {
		at := begun.Add(time.Duration(second) * time.Second)
		f.record.printf("second %d: %d requests sent, %d repeats arrived", second, countIn(l.sent, at, time.Second), countIn(l.repeated, at, time.Second))
	}
	return float64(repeats) > allowed, nil
}

func (l *budgetLog) send() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, time.Now())
}

// arrive records an arrival at a worker. It reports whether the worker would fail the
// request: failShare of the arrivals, by their number.
func (l *budgetLog) arrive(request string) (fails bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrived[request] {
		l.repeated = append(l.repeated, time.Now())
	}
	l.arrived[request] = true
	const denominator = 100
	n := len(l.arrived) + len(l.repeated)
	// Multiples of a number without common factors spread the failures evenly.
	return n*37%denominator < int(failShare*denominator)
}

// countIn returns how many of the times lie in a span.
func countIn(times []time.Time, from time.Time, span time.Duration) (n int) {
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// worst returns the window whose repeats exceed what is allowed by most. The requests are
// counted in the window, the one before it or the one half a window before it.
func (l *budgetLog) worst(begun time.Time) (repeats int, allowed float64, from time.Duration) {
	slices.SortFunc(l.repeated, time.Time.Compare)
	worst := 0.0
	for _, at := range l.repeated {
		requests := max(countIn(l.sent, at, budgetWindow), countIn(l.sent, at.Add(-budgetWindow), budgetWindow), countIn(l.sent, at.Add(-budgetWindow/2), budgetWindow))
		n, limit := countIn(l.repeated, at, budgetWindow), budgetRatio*float64(requests)+budgetSlack
		if part := float64(n) / limit; part > worst {
			worst, repeats, allowed, from = part, n, limit, at.Sub(begun)
		}
	}
	return repeats, allowed, from
}

// failResponse answers a request that the worker ran with a failure.
func failResponse(out http.ResponseWriter, seal string) {
	out.Header().Set("Skylarkloom-Response-Seal", seal)
	out.WriteHeader(http.StatusInternalServerError)
}
