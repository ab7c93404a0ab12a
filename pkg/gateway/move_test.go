package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// LOST: the attempt at an engine that preempted the stream was cancelled before it was known
// whether another endpoint takes it.
var _ = ginkgo.DescribeTable("A stream whose endpoint pauses",
	func(stopping bool, pause time.Duration, second func(w io.Writer, r *http.Request), wholeAtFirst bool) {
		var aborted, completed atomic.Bool
		e := &rawEndpoint{}
		e.respond = func(w io.Writer, r *http.Request, request, _ int64) bool {
			if request > 1 {
				second(w, r)
				return false
			}
			write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n"+chunk(events(1, 2)))
			time.Sleep(pause)
			_, err := io.WriteString(w, chunk(events(3, 3)))
			time.Sleep(50 * time.Millisecond)
			_, lastErr := io.WriteString(w, chunk(events(4, 4))+"0\r\n\r\n")
			aborted.Store(err != nil || lastErr != nil)
			completed.Store(err == nil && lastErr == nil)
			return false
		}
		address := e.start()
		h := newHandler(address, address)
		for i := range h.Config().Routes {
			h.Config().Routes[i].MaxEventGap, h.Config().Routes[i].MaxAttempts = 25*time.Millisecond, 2
			h.Config().Routes[i].Timeout = 10 * time.Second
		}
		if stopping {
			time.AfterFunc(50*time.Millisecond, func() { h.Shutdown.Begin(time.Now().Add(8 * time.Second)) })
		}
		Expect(call(startNode(h, nil), "/tale/1", "r1")).To(Equal(reply{status: http.StatusOK, body: events(1, 4)}))
		Eventually(func() bool { return aborted.Load() || completed.Load() }, "3s").Should(BeTrue())
		Expect(completed.Load()).To(Equal(wholeAtFirst))
		Expect(e.requests.Load()).To(BeEquivalentTo(2))
	},
	ginkgo.Entry("goes on there if the other endpoint is full", false, 600*time.Millisecond, refuseFull, true),
	ginkgo.Entry("goes on there if the other endpoint is full while the node stops", true, 600*time.Millisecond, refuseFull, true),
	ginkgo.Entry("goes on there if the other endpoint fails", false, 600*time.Millisecond, func(w io.Writer, r *http.Request) {
		write(w, sealedHead(r, "500 Internal Server Error")+"Content-Length: 0\r\n\r\n")
	}, true),
	ginkgo.Entry("goes on there if the other endpoint breaks off", false, 600*time.Millisecond, func(io.Writer, *http.Request) {}, true),
	ginkgo.Entry("goes on there if the other endpoint has not responded by then", false, 250*time.Millisecond, func(w io.Writer, r *http.Request) {
		time.Sleep(time.Second)
		write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n"+chunk(events(3, 4))+"0\r\n\r\n")
	}, true),
	ginkgo.Entry("moves to an endpoint that takes it", false, 600*time.Millisecond, func(w io.Writer, r *http.Request) {
		write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n"+chunk(events(3, 4))+"0\r\n\r\n")
	}, false),
	ginkgo.Entry("moves while the node stops", true, 600*time.Millisecond, func(w io.Writer, r *http.Request) {
		write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n"+chunk(events(3, 4))+"0\r\n\r\n")
	}, false),
)

func refuseFull(w io.Writer, r *http.Request) {
	write(w, sealedHead(r, "503 Service Unavailable")+"Skylarkloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

// LOST: the other endpoint had begun, and was given up because the one before broke off.
var _ = ginkgo.DescribeTable("A stream whose endpoint fails after it has paused",
	func(end func(w io.Writer, r *http.Request)) {
		e := &rawEndpoint{}
		e.respond = func(w io.Writer, r *http.Request, request, _ int64) bool {
			if request == 1 {
				end(w, r)
				return false
			}
			time.Sleep(300 * time.Millisecond)
			write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n"+chunk(events(1, 4))+"0\r\n\r\n")
			return false
		}
		address := e.start()
		h := newHandler(address, address)
		for i := range h.Config().Routes {
			h.Config().Routes[i].MaxEventGap, h.Config().Routes[i].MaxAttempts = 25*time.Millisecond, 2
			h.Config().Routes[i].Objective = 400 * time.Millisecond
		}
		Expect(call(startNode(h, nil), "/tale/1", "r1")).To(Equal(reply{status: http.StatusOK, body: events(1, 4)}))
		Expect(e.requests.Load()).To(BeEquivalentTo(2))
	},
	ginkgo.Entry("moves if it breaks off before its response", func(io.Writer, *http.Request) { time.Sleep(300 * time.Millisecond) }),
	ginkgo.Entry("moves if it breaks off between events", func(w io.Writer, r *http.Request) {
		write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n"+chunk(events(1, 2)))
		time.Sleep(200 * time.Millisecond)
	}),
	ginkgo.Entry("moves if it turns out to be full", func(w io.Writer, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		refuseFull(w, r)
	}),
	ginkgo.Entry("moves if the body of its failure stalls", func(w io.Writer, r *http.Request) {
		write(w, sealedHead(r, "500 Internal Server Error")+"Content-Length: 4\r\n\r\n")
		time.Sleep(2200 * time.Millisecond)
	}),
)

var _ = ginkgo.It("A stream that another endpoint may have run is not refused", func() {
	e := &rawEndpoint{}
	e.respond = func(w io.Writer, r *http.Request, request, _ int64) bool {
		if request == 1 {
			time.Sleep(600 * time.Millisecond)
			refuseFull(w, r)
		}
		return false
	}
	address := e.start()
	h := newHandler(address, address)
	for i := range h.Config().Routes {
		h.Config().Routes[i].MaxAttempts, h.Config().Routes[i].Objective = 2, 400*time.Millisecond
	}
	Expect(call(startNode(h, nil), "/tale/1", "r1").status).To(Equal(http.StatusBadGateway))
	Expect(e.requests.Load()).To(BeEquivalentTo(2))
})

// TWICE: what goes on at another endpoint must not be worked on at the one before 400 ms later.
var _ = ginkgo.It("A stream that another endpoint has had for some time ends at the one before", func() {
	var sentAt, closedAt atomic.Int64
	e := &rawEndpoint{}
	e.respond = func(w io.Writer, r *http.Request, request, _ int64) bool {
		if request == 1 {
			write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n"+chunk(events(1, 2)))
			_, _ = w.(io.Reader).Read(make([]byte, 1))
			closedAt.Store(time.Now().UnixMilli())
			return false
		}
		sentAt.Store(time.Now().UnixMilli())
		time.Sleep(800 * time.Millisecond)
		write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n"+chunk(events(3, 4))+"0\r\n\r\n")
		return false
	}
	address := e.start()
	h := newHandler(address, address)
	for i := range h.Config().Routes {
		h.Config().Routes[i].MaxEventGap, h.Config().Routes[i].MaxAttempts = 25*time.Millisecond, 2
	}
	Expect(call(startNode(h, nil), "/tale/1", "r1")).To(Equal(reply{status: http.StatusOK, body: events(1, 4)}))
	Eventually(closedAt.Load, "3s").ShouldNot(BeZero())
	Expect(closedAt.Load() - sentAt.Load()).To(BeNumerically("<", 400))
})
