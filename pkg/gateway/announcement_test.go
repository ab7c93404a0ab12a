package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

var _ = ginkgo.Describe("An endpoint that refuses requests with a Retry-After", func() {
	// start starts a node with endpoints of which each refuses its first request. It
	// returns the node, the handler and the number of requests that arrive.
	start := func(endpoints int, refusal string) (node string, h *Handler, arrived *atomic.Int64) {
		arrived = &atomic.Int64{}
		var addresses []string
		for range endpoints {
			e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, request, _ int64) bool {
				arrived.Add(1)
				if request == 1 {
					write(w, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"+refusal+"\r\n")
					return true
				}
				write(w, answer(r, "done"))
				return true
			}}
			addresses = append(addresses, e.start())
		}
		h = newHandler(addresses...)
		return startNode(h, nil), h, arrived
	}
	const notRun = "Skylarkloom-Not-Executed: 1\r\n"

	ginkgo.It("receives none of the node until its pause is over, while others serve", func() {
		node, _, arrived := start(2, notRun+"Retry-After: 0.7\r\n")
		began := time.Now()
		Expect(call(node, "/book/1", "r1").status).To(Equal(http.StatusServiceUnavailable), "both refuse their first request")
		for time.Since(began) < 600*time.Millisecond {
			refused := call(node, "/look/2", "r2")
			Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(refused.retryAfter, 64)
			Expect(err).NotTo(HaveOccurred())
			remaining := 0.7 - time.Since(began).Seconds()
			Expect(seconds).To(And(BeNumerically(">=", max(0.09, remaining-0.05)), BeNumerically("<=", 0.7*(1+retryJitter))))
		}
		Expect(arrived.Load()).To(BeEquivalentTo(2))
		Eventually(func() int { return call(node, "/look/3", "r3").status }).Should(Equal(http.StatusOK))
	})

	ginkgo.DescribeTable("is not avoided for a value that is no pause", func(value string) {
		node, h, _ := start(1, notRun+"Retry-After: "+value+"\r\n")
		Expect(call(node, "/book/1", "r1").status).To(Equal(http.StatusServiceUnavailable))
		Expect(h.Tracker.Paused(serving.Endpoint{ID: "e1"}, 0)).To(BeFalse())
		Expect(call(node, "/book/2", "r2").status).To(Equal(http.StatusOK))
	},
		ginkgo.Entry("a negative number", "-3"),
		ginkgo.Entry("no number", "NaN"),
		ginkgo.Entry("a date", "Sat, 05 Dec 2026 07:00:00 GMT"),
		ginkgo.Entry("a number beyond all bounds", "1e999"),
		ginkgo.Entry("zero", "0"),
	)

	// BUDGET: a pause over ten minutes was ignored.
	ginkgo.DescribeTable("receives none for a long pause either, up to a bound", func(value string, paused time.Duration) {
		node, h, arrived := start(1, notRun+"Retry-After: "+value+"\r\n")
		for range 3 {
			Expect(call(node, "/book/1", "r1").status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(arrived.Load()).To(BeEquivalentTo(1))
		e := serving.Endpoint{ID: "e1"}
		Expect(h.Tracker.Paused(e, clock.Now().Add(paused-time.Second))).To(BeTrue())
		Expect(h.Tracker.Paused(e, clock.Now().Add(paused))).To(BeFalse())
	},
		ginkgo.Entry("eleven minutes", "660", 11*time.Minute),
		ginkgo.Entry("a year", "31536000", time.Hour),
		ginkgo.Entry("a number beyond all times", "1e300", time.Hour),
	)

	ginkgo.It("may have run a request that it refuses without the mark of the pages", func() {
		node, _, _ := start(2, "Retry-After: 0.7\r\n")
		Expect(call(node, "/book/1", "r1").status).To(Equal(http.StatusBadGateway))
	})
})

var _ = ginkgo.It("A request is not sent to an endpoint that left or asked for a pause after it was chosen", func() {
	var arrived atomic.Int64
	e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
		arrived.Add(1)
		write(w, answer(r, "done"))
		return true
	}}
	h := newHandler(e.start())
	var asked atomic.Int64
	h.Accepts = func(serving.Endpoint) bool { asked.Add(1); return false }
	node := startNode(h, nil)
	Expect(call(node, "/book/1", "r1").status).To(Equal(http.StatusServiceUnavailable), "it has not run")
	Expect(asked.Load()).To(BeNumerically(">", 0))
	Expect(arrived.Load()).To(BeZero())
	h.Accepts = func(serving.Endpoint) bool { return true }
	Expect(call(node, "/book/2", "r2").status).To(Equal(http.StatusOK), "the endpoint does not count as unreachable")
})
