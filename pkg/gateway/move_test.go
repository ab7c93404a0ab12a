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
	ginkgo.Entry("goes on there if the other endpoint has not responded by then", false, 600*time.Millisecond, func(w io.Writer, r *http.Request) {
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
