package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/forward"
)

func TestForward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

// scriptedEndpoint starts an endpoint that runs script on each connection and
// returns its address.
func scriptedEndpoint(script func(conn net.Conn, requests *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var group errgroup.Group
	var mu sync.Mutex
	var open []net.Conn
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener is closed at the end of the test.
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn))
				return nil
			})
		}
	})
	DeferCleanup(func() {
		Expect(l.Close()).To(Succeed())
		mu.Lock()
		for _, conn := range open {
			_ = conn.Close()
		}
		mu.Unlock()
		Expect(group.Wait()).To(Succeed())
	})
	return l.Addr().String()
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

// response returns a complete HTTP response with the given request ID.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(address, id, body string) forward.Request {
	return forward.Request{
		Address: address, Method: http.MethodPost, Target: "/p?q=%2F", Host: "h", Body: []byte(body),
		Header:  http.Header{"X-Id": {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func do(p *forward.Pool, req forward.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res, err := p.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer res.Close()
	body, err := io.ReadAll(res)
	return string(body), err
}

// mayHaveBeenReceived reports whether err means that the endpoint may have received
// the request.
func mayHaveBeenReceived(err error) bool {
	var unsent *forward.UnsentError
	return err != nil && !errors.As(err, &unsent)
}

var _ = Describe("Forwarding", func() {
	It("sends target, host, header and body unchanged and reuses the connection", func() {
		opened := 0
		p := &forward.Pool{OnOpen: func() { opened++ }}
		address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
			for {
				req, body, err := readRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, response(req.Header.Get("X-Id"), req.Method+" "+req.RequestURI+" "+req.Host+" "+body))
			}
		})
		for _, id := range []string{"a", "b", "c"} {
			Expect(do(p, newRequest(address, id, "body of "+id))).To(Equal("POST /p?q=%2F h body of " + id))
		}
		Expect(opened).To(Equal(1))
	})

	It("skips a late response to an earlier request", func() {
		p := &forward.Pool{}
		address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(conn, response("old", "of another")+response("a", "own"))
		})
		Expect(do(p, newRequest(address, "a", "x"))).To(Equal("own"))
	})

	It("does not reuse a connection that received unexpected bytes", func() {
		opened := 0
		p := &forward.Pool{OnOpen: func() { opened++ }}
		extra := make(chan struct{}, 1)
		address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
			for {
				req, _, err := readRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, response(req.Header.Get("X-Id"), "own"))
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(conn, response(req.Header.Get("X-Id"), "twice"))
				extra <- struct{}{}
			}
		})
		Expect(do(p, newRequest(address, "a", "x"))).To(Equal("own"))
		<-extra
		Expect(do(p, newRequest(address, "b", "x"))).To(Equal("own"))
		Expect(opened).To(Equal(2))
	})

	It("reports that nothing was sent when the connection is refused", func() {
		_, err := do(&forward.Pool{}, newRequest("127.0.0.1:1", "a", "x"))
		Expect(err).To(HaveOccurred())
		Expect(mayHaveBeenReceived(err)).To(BeFalse())
	})

	It("reports that a request may have run when the connection closes without a response", func() {
		address := scriptedEndpoint(func(_ net.Conn, r *bufio.Reader) { _, _, _ = readRequest(r) })
		_, err := do(&forward.Pool{}, newRequest(address, "a", "x"))
		Expect(mayHaveBeenReceived(err)).To(BeTrue())
	})

	It("does not resend a request when the reused connection is closed", func() {
		var requests atomic.Int64
		p := &forward.Pool{}
		address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
			req, _, err := readRequest(r)
			if err != nil {
				return
			}
			requests.Add(1)
			_, _ = io.WriteString(conn, response(req.Header.Get("X-Id"), "own"))
			if _, _, err = readRequest(r); err == nil {
				requests.Add(1)
			}
		})
		Expect(do(p, newRequest(address, "a", "x"))).To(Equal("own"))
		_, err := do(p, newRequest(address, "b", "x"))
		Expect(mayHaveBeenReceived(err)).To(BeTrue())
		Expect(requests.Load()).To(BeEquivalentTo(2))
	})

	It("reads a response that precedes the end of a long request body and does not reuse the connection", func() {
		opened := 0
		p := &forward.Pool{OnOpen: func() { opened++ }}
		address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, response(req.Header.Get("X-Id"), "early"))
			_, _ = io.Copy(io.Discard, r)
		})
		long := strings.Repeat("x", 8<<20)
		Expect(do(p, newRequest(address, "a", long))).To(Equal("early"))
		Expect(do(p, newRequest(address, "b", long))).To(Equal("early"))
		Expect(opened).To(Equal(2))
	})

	It("resets the connection when the context ends, so that the endpoint notices", func() {
		noticed := make(chan error, 1)
		address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, err := conn.Read(make([]byte, 1))
			noticed <- err
		})
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		_, err := (&forward.Pool{}).Do(ctx, newRequest(address, "a", "x"))
		Expect(mayHaveBeenReceived(err)).To(BeTrue())
		Eventually(noticed).Should(Receive(HaveOccurred()))
	})

	It("fails on a truncated response", func() {
		address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nhalf")
		})
		_, err := do(&forward.Pool{}, newRequest(address, "a", "x"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	// A faulty endpoint sends without end; a node that reads on runs out of memory.
	DescribeTable("stops reading bytes without end that are no response",
		func(start, repeated string) {
			// The kernel's buffers of both ends hold some megabytes.
			const maxAccepted = 16 << 20
			var accepted atomic.Int64
			closed := make(chan struct{})
			address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(conn, start)
				block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
				for accepted.Load() < 4*maxAccepted {
					n, err := conn.Write(block)
					accepted.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			_, err := do(&forward.Pool{}, newRequest(address, "a", "x"))
			Expect(mayHaveBeenReceived(err)).To(BeTrue())
			Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse())
			Eventually(closed).Should(BeClosed())
			Expect(accepted.Load()).To(BeNumerically("<", maxAccepted), "bytes that the node and the kernel accepted")
		},
		Entry("in a status line", "HTTP/1.1 200 ", "x"),
		Entry("in a header line", "HTTP/1.1 200 OK\r\nX-A: ", "x"),
		Entry("as header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"),
		Entry("as different header lines", "HTTP/1.1 200 OK\r\nX-Id: a\r\n", "X-A: b\r\nX-B: c\r\nX-C: "+strings.Repeat("d", 300)+"\r\n"),
		Entry("as interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("as responses to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 2\r\n\r\nok"),
		Entry("in the body of a response to another request", "HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\n", "x"),
		Entry("in the chunked body of a response to another request", "HTTP/1.1 200 OK\r\nX-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		Entry("as bytes that are no response", "", "\x00garbage"),
	)

	// The body of a response that is skipped in part was read as the next response.
	It("does not take bytes of a skipped body for a response", func() {
		forged := response("a", "forged")
		address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			padding := strings.Repeat("x", 1<<20)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: %d\r\n\r\n%s%s", len(padding)+len(forged), padding, forged)
		})
		body, err := do(&forward.Pool{}, newRequest(address, "a", "x"))
		Expect(err).To(HaveOccurred(), "got %q", body)
	})

	It("does not exceed the connection limit", func() {
		p := &forward.Pool{}
		received, release := make(chan struct{}), make(chan struct{})
		address := scriptedEndpoint(func(_ net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			close(received)
			<-release
		})
		DeferCleanup(func() { close(release) })
		limited := newRequest(address, "a", "x")
		limited.MaxConnections = 1
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error {
			_, err := p.Do(ctx, limited)
			return err
		})
		<-received
		_, err := do(p, limited)
		Expect(err).To(MatchError(ContainSubstring("connections are in use")))
		Expect(mayHaveBeenReceived(err)).To(BeFalse())
		cancel()
		Expect(group.Wait()).To(HaveOccurred())
	})
})
