package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A worker wrote an earlier refusal once more on a kept connection, and the next request
// on it was taken for refused while it ran.
var _ = ginkgo.Describe("An endpoint that repeats an earlier refusal on a kept connection", func() {
	const (
		refusal = "HTTP/1.1 503 Service Unavailable\r\nSkylarkloom-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
		moved   = "HTTP/1.1 421 Misdirected Request\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
		invalid = "HTTP/1.1 400 Bad Request\r\nSkylarkloom-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
		named   = "HTTP/1.1 503 Service Unavailable\r\nSkylarkloom-Attempt-Id: r1\r\nSkylarkloom-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
	)
	ginkgo.DescribeTable("does not make a request look refused that runs",
		func(first string) {
			var ran atomic.Int64
			e := &rawEndpoint{}
			e.respond = func(w io.Writer, r *http.Request, request, use int64) bool {
				if request == 1 {
					write(w, first)
					return true
				}
				ran.Add(1)
				if use > 1 {
					write(w, first)
					time.Sleep(20 * time.Millisecond)
				}
				write(w, answer(r, "done"))
				return true
			}
			node := startNode(newHandler(e.start()), nil)
			Expect(call(node, "/book/1", "r1").status).To(Equal(http.StatusServiceUnavailable))
			Expect(call(node, "/book/2", "r2")).To(Equal(reply{status: http.StatusOK, body: "done"}))
			Expect(ran.Load()).To(BeEquivalentTo(1))
		},
		ginkgo.Entry("a refusal without a request ID", refusal),
		ginkgo.Entry("a refusal because of another instance", moved),
		ginkgo.Entry("a refusal of an invalid request", invalid),
		ginkgo.Entry("a refusal that names its request", named),
	)

	ginkgo.It("does not make an attempt look refused that runs at another instance behind the address", func() {
		var ran atomic.Int64
		e := &rawEndpoint{}
		named := func(r *http.Request) string {
			return "HTTP/1.1 421 Misdirected Request\r\nSkylarkloom-Attempt-Id: " + r.Header.Get("Skylarkloom-Attempt-Id") + "\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
		}
		e.respond = func(w io.Writer, r *http.Request, request, use int64) bool {
			if request == 1 {
				write(w, named(r))
				return true
			}
			ran.Add(1)
			if use > 1 {
				write(w, named(r))
				time.Sleep(20 * time.Millisecond)
			}
			write(w, answer(r, "done"))
			return true
		}
		address := e.start()
		node := startNode(newHandler(address, address, address), nil)
		Expect(call(node, "/book/1", "r1")).To(Equal(reply{status: http.StatusOK, body: "done"}))
		Expect(ran.Load()).To(BeEquivalentTo(1))
	})
})
