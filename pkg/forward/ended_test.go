package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
)

// orderedConn is a connection that reports that a write failed.
type orderedConn struct {
	*net.TCPConn
	failed  chan struct{}
	onError func()
}

func (c *orderedConn) Write(p []byte) (n int, err error) {
	n, err = c.TCPConn.Write(p)
	if err != nil {
		c.onError()
	}
	return n, err
}

// ORDER, MIXED: the kernel reports the error of a connection once. If something else than
// the read got it, an answer without framing that broke off looked complete.
var _ = Describe("A response that ends with its connection", func() {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	get := func(body string, beforeEnd func(c *orderedConn), end func(c *net.TCPConn), length string) (string, error) {
		ended := make(chan struct{})
		address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, head+length+"\r\nhalf")
			<-ended
			end(conn.(*net.TCPConn))
		})
		var opened *orderedConn
		p := &forward.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			opened = &orderedConn{TCPConn: c.(*net.TCPConn), failed: make(chan struct{})}
			opened.onError = sync.OnceFunc(func() { close(opened.failed) })
			return opened, nil
		}}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		res, err := p.Do(ctx, newRequest(address, "a", body))
		Expect(err).NotTo(HaveOccurred())
		defer res.Close()
		half := make([]byte, len("half"))
		_, err = io.ReadFull(res, half)
		Expect(err).NotTo(HaveOccurred())
		close(ended)
		beforeEnd(opened)
		rest, err := io.ReadAll(res)
		return string(half) + string(rest), err
	}
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	closes := func(c *net.TCPConn) { _ = c.Close() }
	writeFails := func(c *orderedConn) { Eventually(c.failed, "2s").Should(BeClosed()) }
	peeked := func(c *orderedConn) {
		Eventually(func() connection.State { return connection.StateOf(c.TCPConn) }, "2s").Should(Equal(connection.StateClosed))
	}
	long := strings.Repeat("x", 16<<20)

	It("is not complete if the write of the request got the error", func() {
		_, err := get(long, writeFails, reset, "")
		Expect(err).To(HaveOccurred())
		Expect(forward.BrokeOff(err)).To(BeTrue())
	})

	It("is not complete if the endpoint ends it before it has received the request", func() {
		_, err := get(long, func(*orderedConn) {}, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		}, "")
		Expect(err).To(HaveOccurred())
	})

	It("is not complete if a look at the connection got the error", func() {
		_, err := get("", peeked, reset, "")
		Expect(err).To(HaveOccurred())
		Expect(forward.BrokeOff(err)).To(BeTrue())
	})

	It("is complete if the endpoint closes the connection", func() {
		body, err := get("", peeked, closes, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("half"))
	})

	It("may break off in the request if it has a length", func() {
		body, err := get(long, writeFails, reset, "Content-Length: 4\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("half"))
	})

	It("is complete at once if it has no body", func() {
		address := scriptedEndpoint(func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, head+"\r\n")
			_, _ = r.ReadByte()
		})
		req := newRequest(address, "a", "")
		req.Method = http.MethodHead
		Expect(do(&forward.Pool{}, req)).To(BeEmpty())
	})
})
