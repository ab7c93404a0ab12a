package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

// streamTo sends a request for a stream in an old version of HTTP and returns what arrived and
// how the connection ended.
func streamTo(node, version string) (text string, err error) {
	c, err := net.Dial("tcp", node)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = fmt.Fprintf(c, "POST /tale/1 %s\r\nHost: h\r\nConnection: close\r\nSkylarkloom-Attempt-Id: r1\r\nContent-Length: 4\r\n\r\nbody", version)
	Expect(err).NotTo(HaveOccurred())
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// MIXED: a caller of HTTP/1.0 takes whatever came before an orderly end of the connection for
// the whole response.
var _ = ginkgo.Describe("A stream to a caller of HTTP/1.0", func() {
	const head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	// start starts a node whose only endpoint sends two events and then what end sends, behind
	// the same guard as in production or not.
	start := func(guarded bool, end func(w io.Writer)) *httptest.Server {
		e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
			write(w, sealedHead(r, "200 OK")+head+chunk(events(1, 2)))
			end(w)
			return false
		}}
		server := httptest.NewUnstartedServer(newHandler(e.start()))
		server.Config.ConnContext = connection.NewContext
		if guarded {
			guard := &connection.Guard{Listener: server.Listener, Budget: &intake.Budget{}}
			server.Listener, server.Config.ConnState = guard, guard.SetState
		}
		server.Start()
		ginkgo.DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return server
	}
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	whole := func(w io.Writer) { write(w, "0\r\n\r\n") }
	cut := func(io.Writer) {}

	ginkgo.DescribeTable("ends with a reset if it is broken off, and orderly if it is complete",
		func(guarded bool) {
			text, err := streamTo(address(start(guarded, whole)), "HTTP/1.0")
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(Equal(events(1, 2)))

			_, err = streamTo(address(start(guarded, cut)), "HTTP/1.0")
			Expect(err).To(MatchError(syscall.ECONNRESET), "the endpoint broke off")
			_, err = streamTo(address(start(guarded, func(w io.Writer) { write(w, chunk("id: 3\nda")) })), "HTTP/1.0")
			Expect(err).To(MatchError(syscall.ECONNRESET), "the endpoint broke off within an event")
			_, err = streamTo(address(start(guarded, cut)), "HTTP/1.1")
			Expect(err).To(MatchError(io.ErrUnexpectedEOF), "no last chunk")
		},
		ginkgo.Entry("on any listener", false),
		ginkgo.Entry("behind a guard", true),
	)

	ginkgo.It("ends with a reset if the node closes it, as it does at the end of a stop", func() {
		pausing, release := context.WithCancel(context.Background())
		defer release()
		server := start(true, func(io.Writer) { <-pausing.Done() })
		time.AfterFunc(500*time.Millisecond, func() { _ = server.Config.Close() })
		_, err := streamTo(address(server), "HTTP/1.0")
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})
})
