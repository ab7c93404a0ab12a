package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
)

// MIXED: status 000 ended the response to the caller in a panic, and the endpoint counted as
// having served the request.
var _ = ginkgo.Describe("A response that is none in HTTP", func() {
	var runs, served atomic.Int64
	start := func(head string) string {
		runs.Store(0)
		served.Store(0)
		faulty := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
			runs.Add(1)
			write(w, strings.Replace(sealedHead(r, "200 OK"), "HTTP/1.1 200 OK", head, 1)+"Content-Length: 4\r\n\r\nbody")
			return true
		}}
		sound := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
			if strings.HasPrefix(r.URL.Path, "/tale") {
				write(w, sealedHead(r, "200 OK")+"Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n")
			} else {
				write(w, answer(r, "done"))
			}
			return true
		}}
		h := newHandler(faulty.start(), sound.start())
		h.RecordServed = func([]quarantine.Subject, clock.Instant) { served.Add(1) }
		return startNode(h, nil)
	}
	ginkgo.DescribeTable("is the endpoint's failure: the request is retried if its route allows it",
		func(head string) {
			node := start(head)
			got := call(node, "/book/1", "r1")
			Expect(got).To(Equal(reply{status: http.StatusBadGateway}))
			Expect(runs.Load()).To(BeEquivalentTo(1))
			Expect(served.Load()).To(BeZero())

			for path, body := range map[string]string{"/look/1": "done", "/tale/1": "id: 1\ndata: x\n\n"} {
				node = start(head)
				Expect(call(node, path, "r2")).To(Equal(reply{status: http.StatusOK, body: body}))
				Expect(runs.Load()).To(BeEquivalentTo(1))
				Expect(served.Load()).To(BeEquivalentTo(1))
			}
		},
		ginkgo.Entry("status 000", "HTTP/1.1 000 None"),
		ginkgo.Entry("status 000 without a reason", "HTTP/1.1 000"),
		ginkgo.Entry("status 007", "HTTP/1.1 007 None"),
		ginkgo.Entry("status 099", "HTTP/1.1 099 None"),
		ginkgo.Entry("status +20", "HTTP/1.1 +20 OK"),
		ginkgo.Entry("status -20", "HTTP/1.1 -20 OK"),
		ginkgo.Entry("a status above those of HTTP", "HTTP/1.1 600 Odd"),
		ginkgo.Entry("a status far above those of HTTP", "HTTP/1.1 999 Odd"),
		ginkgo.Entry("a status of two digits", "HTTP/1.1 20 OK"),
		ginkgo.Entry("a status of four digits", "HTTP/1.1 2000 OK"),
		ginkgo.Entry("a switch to another protocol", "HTTP/1.1 101 Switching Protocols"),
		ginkgo.Entry("another protocol", "ICY 200 OK"),
		ginkgo.Entry("another version of HTTP", "HTTP/2.0 200 OK"),
		ginkgo.Entry("a version that is none", "HTTP/0.0 200 OK"),
	)
})
