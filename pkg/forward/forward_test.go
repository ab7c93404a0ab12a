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

// peer is an endpoint whose connections are scripted byte by byte.
func peer(script func(conn net.Conn, requests *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var group errgroup.Group
	var mu sync.Mutex
	var open []net.Conn
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener was closed; the test is over.
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

// next reads one request and returns its body.
func next(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func call(address, id, body string) forward.Request {
	return forward.Request{
		Address: address, Method: http.MethodPost, Target: "/p?q=%2F", Host: "h", Body: []byte(body),
		Header:  http.Header{"X-Id": {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func do(p *forward.Pool, c forward.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, c)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func sent(err error) bool {
	var unsent *forward.UnsentError
	return err != nil && !errors.As(err, &unsent)
}

var _ = Describe("Forwarding", func() {
	It("sends target, host, header and body as they are, on a kept connection", func() {
		opened := 0
		p := &forward.Pool{OnOpen: func() { opened++ }}
		at := peer(func(conn net.Conn, r *bufio.Reader) {
			for {
				req, body, err := next(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer(req.Header.Get("X-Id"), req.Method+" "+req.RequestURI+" "+req.Host+" "+body))
			}
		})
		for _, id := range []string{"a", "b", "c"} {
			Expect(do(p, call(at, id, "body of "+id))).To(Equal("POST /p?q=%2F h body of " + id))
		}
		Expect(opened).To(Equal(1))
	})

	It("skips a late answer to an earlier request", func() {
		p := &forward.Pool{}
		at := peer(func(conn net.Conn, r *bufio.Reader) {
			_, _, _ = next(r)
			_, _ = io.WriteString(conn, answer("old", "of another")+answer("a", "own"))
		})
		Expect(do(p, call(at, "a", "x"))).To(Equal("own"))
	})

	It("uses no connection on which something came unasked", func() {
		opened := 0
		p := &forward.Pool{OnOpen: func() { opened++ }}
		extra := make(chan struct{}, 1)
		at := peer(func(conn net.Conn, r *bufio.Reader) {
			for {
				req, _, err := next(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer(req.Header.Get("X-Id"), "own"))
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(conn, answer(req.Header.Get("X-Id"), "twice"))
				extra <- struct{}{}
			}
		})
		Expect(do(p, call(at, "a", "x"))).To(Equal("own"))
		<-extra
		Expect(do(p, call(at, "b", "x"))).To(Equal("own"))
		Expect(opened).To(Equal(2))
	})

	It("tells that nothing was sent when the connection is refused", func() {
		_, err := do(&forward.Pool{}, call("127.0.0.1:1", "a", "x"))
		Expect(err).To(HaveOccurred())
		Expect(sent(err)).To(BeFalse())
	})

	It("tells that a request may have run when the connection ends without an answer", func() {
		at := peer(func(_ net.Conn, r *bufio.Reader) { _, _, _ = next(r) })
		_, err := do(&forward.Pool{}, call(at, "a", "x"))
		Expect(sent(err)).To(BeTrue())
	})

	It("never sends a request again by itself, though its kept connection was closed", func() {
		var requests atomic.Int64
		p := &forward.Pool{}
		at := peer(func(conn net.Conn, r *bufio.Reader) {
			req, _, err := next(r)
			if err != nil {
				return
			}
			requests.Add(1)
			_, _ = io.WriteString(conn, answer(req.Header.Get("X-Id"), "own"))
			if _, _, err = next(r); err == nil {
				requests.Add(1)
			}
		})
		Expect(do(p, call(at, "a", "x"))).To(Equal("own"))
		_, err := do(p, call(at, "b", "x"))
		Expect(sent(err)).To(BeTrue())
		Expect(requests.Load()).To(BeEquivalentTo(2))
	})

	It("reads an answer that comes before a long body was read, and gives that connection up", func() {
		opened := 0
		p := &forward.Pool{OnOpen: func() { opened++ }}
		at := peer(func(conn net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer(req.Header.Get("X-Id"), "early"))
			_, _ = io.Copy(io.Discard, r)
		})
		long := strings.Repeat("x", 8<<20)
		Expect(do(p, call(at, "a", long))).To(Equal("early"))
		Expect(do(p, call(at, "b", long))).To(Equal("early"))
		Expect(opened).To(Equal(2))
	})

	It("cuts the connection when the caller gives up, so that the endpoint notices", func() {
		noticed := make(chan error, 1)
		at := peer(func(conn net.Conn, r *bufio.Reader) {
			_, _, _ = next(r)
			_, err := conn.Read(make([]byte, 1))
			noticed <- err
		})
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		_, err := (&forward.Pool{}).Do(ctx, call(at, "a", "x"))
		Expect(sent(err)).To(BeTrue())
		Eventually(noticed).Should(Receive(HaveOccurred()))
	})

	It("does not take a cut answer for a whole one", func() {
		at := peer(func(conn net.Conn, r *bufio.Reader) {
			_, _, _ = next(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nhalf")
		})
		_, err := do(&forward.Pool{}, call(at, "a", "x"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("keeps to the connections that it may open", func() {
		p := &forward.Pool{}
		came, hold := make(chan struct{}), make(chan struct{})
		at := peer(func(_ net.Conn, r *bufio.Reader) {
			_, _, _ = next(r)
			close(came)
			<-hold
		})
		DeferCleanup(func() { close(hold) })
		c := call(at, "a", "x")
		c.MaxConnections = 1
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error {
			_, err := p.Do(ctx, c)
			return err
		})
		<-came
		_, err := do(p, c)
		Expect(err).To(MatchError(ContainSubstring("connections are in use")))
		Expect(sent(err)).To(BeFalse())
		cancel()
		Expect(group.Wait()).To(HaveOccurred())
	})
})
