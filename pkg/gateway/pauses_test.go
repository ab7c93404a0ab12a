package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// attemptID returns the ID that a request bears at an endpoint.
func attemptID(r *http.Request) string { return r.Header.Get("Skylarkloom-Attempt-Id") }

// pausedAfter reports whether an endpoint of newHandler wants no requests some time from now.
func pausedAfter(h *Handler, n int, d time.Duration) bool {
	e := serving.Endpoint{ID: fleet.InstanceID(fmt.Sprint("e", n))}
	return h.Tracker.Paused(e, clock.Now().Add(d))
}

var _ = ginkgo.DescribeTable("Endpoints that ask for pauses receive none meanwhile",
	// Each endpoint refuses its first request; 0 means none.
	func(pauses ...float64) {
		var arrivedInPause atomic.Int64
		var addresses []string
		ends := make([]atomic.Pointer[time.Time], len(pauses))
		earliest, allPaused := 0.0, true
		for n, pause := range pauses {
			e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, request, _ int64) bool {
				if end := ends[n].Load(); end != nil && time.Now().Before(*end) {
					arrivedInPause.Add(1)
				}
				if pause == 0 || request > 1 {
					write(w, answer(r, "done"))
					return true
				}
				end := time.Now().Add(time.Duration(pause * float64(time.Second)))
				ends[n].Store(&end)
				write(w, refusal(attemptID(r), fmt.Sprint(pause)))
				return true
			}}
			addresses = append(addresses, e.start())
			allPaused = allPaused && pause > 0
			if pause > 0 && (earliest == 0 || pause < earliest) {
				earliest = pause
			}
		}
		h := newHandler(addresses...)
		node, began := startNode(h, nil), time.Now()
		for n := range pauses {
			call(node, "/look/1", fmt.Sprint("first", n))
		}
		for n := range 5 {
			sent := time.Now()
			r := call(node, "/look/2", fmt.Sprint("r", n))
			if !allPaused || sent.Sub(began).Seconds() > earliest/2 {
				continue
			}
			Expect(r.status).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(r.retryAfter, 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(seconds).To(BeNumerically("<=", earliest))
		}
		for n, pause := range pauses {
			if end := ends[n].Load(); end != nil {
				Expect(pausedAfter(h, n+1, time.Until(*end)-10*time.Millisecond)).To(BeTrue())
			}
			Expect(pausedAfter(h, n+1, time.Duration(pause*float64(time.Second)))).To(BeFalse())
		}
		if earliest < 1 || !allPaused {
			Eventually(func() int { return call(node, "/look/3", "last").status }).Should(Equal(http.StatusOK))
		}
		Expect(arrivedInPause.Load()).To(BeZero())
	},
	ginkgo.Entry("one, for 0.2 s", 0.2),
	ginkgo.Entry("one, for 30 s", 30.0),
	ginkgo.Entry("some, for 0.2 to 30 s", 0.2, 0.0, 30.0, 0.0),
	ginkgo.Entry("all, for 0.2 to 30 s", 0.2, 2.0, 30.0),
	ginkgo.Entry("all, for 30 s", 30.0, 30.0, 30.0),
)

var _ = ginkgo.DescribeTable("The later end of two pauses of an endpoint counts", func(first, second string) {
	arrived, bothArrived, firstAnswered := make(chan struct{}, 2), make(chan struct{}), make(chan struct{})
	releaseFirst, releaseSecond := sync.OnceFunc(func() { close(bothArrived) }), sync.OnceFunc(func() { close(firstAnswered) })
	defer releaseSecond()
	defer releaseFirst()
	e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, request, _ int64) bool {
		arrived <- struct{}{}
		<-bothArrived
		pause := first
		if request == 2 {
			<-firstAnswered
			pause = second
		}
		write(w, refusal(attemptID(r), pause))
		return true
	}}
	h := newHandler(e.start())
	node := startNode(h, nil)
	var group errgroup.Group
	for n := range 2 {
		group.Go(func() error {
			defer ginkgo.GinkgoRecover()
			Expect(call(node, "/book/1", fmt.Sprint("r", n)).status).To(Equal(http.StatusServiceUnavailable))
			return nil
		})
	}
	Eventually(arrived).Should(HaveLen(2))
	releaseFirst()
	Eventually(func() bool { return pausedAfter(h, 1, 0) }).Should(BeTrue())
	releaseSecond()
	Expect(group.Wait()).To(Succeed())
	Expect(pausedAfter(h, 1, 5*time.Second)).To(BeTrue())
	Expect(pausedAfter(h, 1, 10*time.Second)).To(BeFalse())
},
	ginkgo.Entry("a short one inside a long one", "10", "5"),
	ginkgo.Entry("a long one inside a short one", "5", "10"),
)

var _ = ginkgo.DescribeTable("A connection on which an endpoint asked for a pause is not mixed up afterwards", func(repeats int) {
	var pausedUntil atomic.Pointer[time.Time]
	// inPause holds the requests that arrived in the pause, as 'number: attempt ID, head'.
	var inPause []string
	var mu sync.Mutex
	e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, request, _ int64) bool {
		if until := pausedUntil.Load(); until != nil && time.Now().Before(*until) {
			mu.Lock()
			inPause = append(inPause, fmt.Sprintf("%d: %s, %s %s %v", request, attemptID(r), r.Method, r.URL, r.Header))
			mu.Unlock()
		}
		if request != 2 {
			write(w, answer(r, "done "+attemptID(r)))
			return true
		}
		until := time.Now().Add(300 * time.Millisecond)
		pausedUntil.Store(&until)
		for range 1 + repeats {
			write(w, refusal(attemptID(r), "0.3"))
		}
		return true
	}}
	node := startNode(newHandler(e.start()), nil)
	Expect(call(node, "/book/1", "r1").body).To(Equal("done r1"))
	Expect(call(node, "/book/1", "r2").status).To(Equal(http.StatusServiceUnavailable))
	for n := range 3 {
		Expect(call(node, "/book/1", fmt.Sprint("paused", n)).status).To(Equal(http.StatusServiceUnavailable))
	}
	time.Sleep(time.Until(*pausedUntil.Load()) + 50*time.Millisecond)
	Expect(call(node, "/book/1", "r3").body).To(Equal("done r3"))
	mu.Lock()
	defer mu.Unlock()
	Expect(inPause).To(BeEmpty())
},
	ginkgo.Entry("when it is reused", 0),
	ginkgo.Entry("when it is reused and the endpoint repeats its refusal", 1),
)

var _ = ginkgo.It("A stream is sent to the endpoint with which it was admitted", func() {
	var draws, drawsAtEndpoint atomic.Int64
	e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
		drawsAtEndpoint.Store(draws.Load())
		write(w, refusal(attemptID(r), ""))
		return true
	}}
	h := newHandler(e.start())
	h.Random = func() float64 {
		draws.Add(1)
		return 0
	}
	call(startNode(h, nil), "/tale/1", "drawn-once")
	Expect(drawsAtEndpoint.Load()).To(BeEquivalentTo(2), "one for the pool and one for the endpoint")
})
