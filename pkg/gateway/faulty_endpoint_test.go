package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
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

// events returns the encoded events from first to last.
func events(first, last int) (text string) {
	for n := first; n <= last; n++ {
		text += fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n)
	}
	return text
}

const (
	eventStream = "Content-Type: text/event-stream\r\n"
	chunked     = "Transfer-Encoding: chunked\r\n"
)

// chunk returns a chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// brokenStream writes the first two of four events and a part of the third one.
func brokenStream(w io.Writer, r *http.Request) {
	write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n"+chunk(events(1, 2))+chunk("id: 3\nda"))
}

// The next worker's error, at times with its head, stood in the middle of a stream that
// had begun and broke off, or the stream ended as if it were complete.
var _ = ginkgo.DescribeTable("A stream that broke off, when the next endpoint",
	func(second func(*http.Request) string) {
		e := &rawEndpoint{}
		e.respond = func(w io.Writer, r *http.Request, request, _ int64) bool {
			switch request {
			case 1:
				brokenStream(w, r)
			case 2:
				write(w, second(r))
			default:
				write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n"+chunk(events(3, 4))+"0\r\n\r\n")
			}
			return false
		}
		address := e.start()
		Expect(call(startNode(newHandler(address, address, address), nil), "/tale/1", "r1")).To(Equal(reply{status: http.StatusOK, body: events(1, 4)}),
			"the third endpoint has the rest")
		e.requests.Store(0)
		got := call(startNode(newHandler(address, address), nil), "/tale/1", "r2")
		Expect(got.err).To(HaveOccurred(), "there is no third endpoint, so the stream must not look complete")
		Expect(events(1, 2)).To(HavePrefix(got.body))
	},
	ginkgo.Entry("fails with a text", func(r *http.Request) string {
		return sealedHead(r, "500 Internal Server Error") + "Content-Length: 6\r\n\r\noops\n\n"
	}),
	ginkgo.Entry("fails with events", func(r *http.Request) string {
		return sealedHead(r, "500 Internal Server Error") + eventStream + "\r\n" + events(3, 4)
	}),
	ginkgo.Entry("refuses without a mark", func(r *http.Request) string {
		return sealedHead(r, "503 Service Unavailable") + "Content-Length: 6\r\n\r\nbusy\n\n"
	}),
	ginkgo.Entry("responds with a text instead of events", func(r *http.Request) string {
		return sealedHead(r, "200 OK") + "Content-Type: text/plain\r\nContent-Length: 7\r\n\r\nerror\n\n"
	}),
	ginkgo.Entry("responds with JSON instead of events", func(r *http.Request) string {
		return sealedHead(r, "200 OK") + "Content-Type: application/json\r\nContent-Length: 14\r\n\r\n{\"error\":1}\n\n\n"
	}),
	ginkgo.Entry("sends an error with its head as the body of a stream", func(r *http.Request) string {
		text := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops\n\n"
		return sealedHead(r, "200 OK") + eventStream + chunked + "\r\n" + chunk(text) + "0\r\n\r\n"
	}),
	ginkgo.Entry("ends its connection before the first event", func(r *http.Request) string {
		return sealedHead(r, "200 OK") + eventStream + "\r\n"
	}),
	ginkgo.Entry("breaks off inside an event", func(r *http.Request) string {
		return sealedHead(r, "200 OK") + eventStream + "\r\nid: 3\nda"
	}),
)

var _ = ginkgo.Describe("A response that ends with its connection", func() {
	ginkgo.DescribeTable("is complete",
		func(path, head, body string) {
			e := &rawEndpoint{}
			e.respond = func(w io.Writer, r *http.Request, _, _ int64) bool {
				write(w, sealedHead(r, "200 OK")+head+"\r\n"+body)
				return false
			}
			node := startNode(newHandler(e.start()), nil)
			Expect(call(node, path, "r1")).To(Equal(reply{status: http.StatusOK, body: body}))
		},
		ginkgo.Entry("of a plain service", "/look/1", "", "done"),
		ginkgo.Entry("a stream", "/tale/1", eventStream, events(1, 4)),
	)

	ginkgo.It("is resumed when it ends inside an event", func() {
		e := &rawEndpoint{}
		e.respond = func(w io.Writer, r *http.Request, request, _ int64) bool {
			if request == 1 {
				write(w, sealedHead(r, "200 OK")+eventStream+"\r\n"+events(1, 2)+"id: 3\nda")
				return false
			}
			write(w, sealedHead(r, "200 OK")+eventStream+"\r\n"+events(3, 4))
			return false
		}
		address := e.start()
		node := startNode(newHandler(address, address), nil)
		Expect(call(node, "/tale/1", "r1")).To(Equal(reply{status: http.StatusOK, body: events(1, 4)}))
	})
})

// A faulty endpoint sends without end until the node closes the connection.
var _ = ginkgo.DescribeTable("An endpoint whose body never ends is cut off",
	func(path, head, repeated string) {
		// The kernel's buffers of both connections hold some megabytes.
		const maxAccepted = 24 << 20
		e := &rawEndpoint{}
		var accepted atomic.Int64
		e.respond = func(w io.Writer, r *http.Request, _, _ int64) bool {
			write(w, sealedHead(r, "200 OK")+head+"\r\n")
			block := strings.Repeat(repeated, 1+(16<<10)/len(repeated))
			for accepted.Load() < 2*maxAccepted {
				n, err := io.WriteString(w, block)
				accepted.Add(int64(n))
				if err != nil {
					break
				}
			}
			return false
		}
		h := newHandler(e.start())
		started := time.Now()
		got := call(startNode(h, nil), path, "r1")
		Expect(got.err != nil || got.status >= http.StatusInternalServerError).To(BeTrue(), "the response must not look complete")
		Expect(accepted.Load()).To(BeNumerically("<", maxAccepted), "bytes that the node and the kernel accepted")
		Expect(time.Since(started)).To(BeNumerically("<", 1900*time.Millisecond), "the route's timeout must not be what ends it")
	},
	ginkgo.Entry("of a plain service", "/look/1", "", "x"),
	ginkgo.Entry("of a stream, without a line break", "/tale/1", eventStream, "x"),
	ginkgo.Entry("of a stream, in one event", "/tale/1", eventStream, "data: x\n"),
	ginkgo.Entry("of a stream, as blank lines", "/tale/1", eventStream, "\n"),
	ginkgo.Entry("of a stream, as events without IDs", "/tale/1", eventStream, "data: x\n\n"),
	ginkgo.Entry("of a stream, as the same event again", "/tale/1", eventStream, "id: 1\ndata: x\n\n"),
)

// A worker stopped in the middle of its answer's head and closed, and clients got a 200
// with an empty or short body, framed as whole.
var _ = ginkgo.DescribeTable("A response that breaks off in its head, or before the end that its head announces",
	func(path, head, body string, want reply) {
		cut := 0
		e := &rawEndpoint{}
		e.respond = func(w io.Writer, r *http.Request, request, _ int64) bool {
			text := sealedHead(r, "200 OK") + head + "\r\n" + body
			if request == 1 {
				text = text[:min(cut, len(text)-1)]
			}
			write(w, text)
			return false
		}
		address := e.start()
		complete := len(sealedHead(&http.Request{Header: http.Header{"Skylarkloom-Attempt-Id": {"r1"}}}, "200 OK")+head+"\r\n") + len(body)
		if head == "" || head == eventStream {
			// The end of the connection ends the body, so any body is whole.
			complete -= len(body)
		}
		for cut = range complete {
			e.requests.Store(0)
			got := call(startNode(newHandler(address, address), nil), path, "r1")
			Expect(got).To(Equal(want), "the first response broke off after %d bytes", cut)
		}
	},
	ginkgo.Entry("with a length, of a request that may be repeated", "/look/1", "Content-Length: 14\r\n", "answer of 14 b", reply{status: http.StatusOK, body: "answer of 14 b"}),
	ginkgo.Entry("in chunks", "/look/1", chunked, chunk("answer")+"0\r\n\r\n", reply{status: http.StatusOK, body: "answer"}),
	ginkgo.Entry("that ends with its connection", "/look/1", "", "answer", reply{status: http.StatusOK, body: "answer"}),
	ginkgo.Entry("with a length, of a request that runs at most once", "/book/1", "Content-Length: 14\r\n", "answer of 14 b", reply{status: http.StatusBadGateway}),
	ginkgo.Entry("in chunks, of a request that runs at most once", "/book/1", chunked, chunk("answer")+"0\r\n\r\n", reply{status: http.StatusBadGateway}),
	ginkgo.Entry("that ends with its connection, of a request that runs at most once", "/book/1", "", "answer", reply{status: http.StatusBadGateway}),
	ginkgo.Entry("of a stream that ends with its connection", "/tale/1", eventStream, events(1, 2), reply{status: http.StatusOK, body: events(1, 2)}),
)
