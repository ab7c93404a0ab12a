package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// busyConn is a caller's connection on a node without processor time: it delivers
// what was sent, but not that the caller closed it, until the server stops reading.
type busyConn struct {
	*net.TCPConn
	// readable is closed when the node starts to read.
	readable <-chan struct{}
	stopOnce *sync.Once
	stopped  chan struct{}
}

func (c busyConn) Read(p []byte) (n int, err error) {
	<-c.readable
	n, err = c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) {
		<-c.stopped
	}
	return n, err
}

// SetReadDeadline is how net/http ends its read at the end of a request.
func (c busyConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.stopOnce.Do(func() { close(c.stopped) })
	}
	return c.TCPConn.SetReadDeadline(t)
}

// busyListener accepts the caller's connection as a busyConn.
type busyListener struct {
	net.Listener
	readable <-chan struct{}
	accepted chan net.Conn
}

func (l busyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted <- c
	return busyConn{TCPConn: c.(*net.TCPConn), readable: l.readable, stopOnce: &sync.Once{}, stopped: make(chan struct{})}, nil
}

// departure is a node with one caller, which leaves at a moment that a spec chooses.
type departure struct {
	handler *Handler
	// respond is the behaviour of the endpoints; n counts the requests from 1.
	respond func(w http.ResponseWriter, n int64)
	// arrivals counts the requests that reached an endpoint.
	arrivals atomic.Int64
	stages   chan LeaveStage
	caller   net.Conn
	// accepted is the node's end of the caller's connection.
	accepted net.Conn
	readable chan struct{}
	finished chan struct{}
}

// newDeparture starts a node, which does not read its caller's connection before
// readable is closed, and connects a caller to it.
func newDeparture() *departure {
	d := &departure{stages: make(chan LeaveStage, 4), readable: make(chan struct{}), finished: make(chan struct{})}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Skylarkloom-Attempt-Id", r.Header.Get("Skylarkloom-Attempt-Id"))
		w.Header().Set("Skylarkloom-Response-Seal", "s")
		d.respond(w, d.arrivals.Add(1))
	}))
	ginkgo.DeferCleanup(endpoint.Close)
	address := strings.TrimPrefix(endpoint.URL, "http://")
	d.handler = newHandler(address, address, address)
	var finishOnce sync.Once
	d.handler.OnFinish = func(Result) { finishOnce.Do(func() { close(d.finished) }) }
	d.handler.OnCallerLeft = func(s LeaveStage) { d.stages <- s }
	accepted := make(chan net.Conn, 1)
	node := startNode(d.handler, func(l net.Listener) net.Listener {
		return busyListener{Listener: l, readable: d.readable, accepted: accepted}
	})
	var err error
	d.caller, err = net.Dial("tcp", node)
	Expect(err).NotTo(HaveOccurred())
	// Specs close it earlier.
	ginkgo.DeferCleanup(func() { _ = d.caller.Close() })
	d.accepted = <-accepted
	return d
}

// request sends a request of the caller.
func (d *departure) request(path string) {
	// A failed write shows as a request that does not arrive.
	_, _ = fmt.Fprintf(d.caller, "GET %s HTTP/1.1\r\nHost: h\r\nSkylarkloom-Attempt-Id: r1\r\n\r\n", path)
}

// leave closes the caller's connection and waits until the close has arrived.
func (d *departure) leave() {
	// It may be closed already.
	_ = d.caller.Close()
	d.await(connection.StateClosed)
}

// await waits until the node's end of the caller's connection has a state, at most
// for a second. It expects nothing, since endpoints call it outside of the spec.
func (d *departure) await(s connection.State) {
	for deadline := time.Now().Add(time.Second); connection.StateOf(d.accepted) != s && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// expectArrivals waits for the end of the first request and expects that so many
// requests reached an endpoint, then and shortly after.
func (d *departure) expectArrivals(count int) {
	Eventually(d.finished, "3s").Should(BeClosed())
	Consistently(d.arrivals.Load, "50ms").Should(BeEquivalentTo(count), "requests that reached an endpoint")
}

// leftAfterSent matches the stages of a request whose caller left during an attempt.
var leftAfterSent = Receive(Equal(LeaveSent))

func refuseUnrun(w http.ResponseWriter) {
	w.Header().Set("Skylarkloom-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A node without processor time sent requests on whose callers had closed their
// connections: net/http cancels a request only in a goroutine of its own.
var _ = ginkgo.Describe("A request whose caller left while the node was busy", func() {
	ginkgo.It("is not sent when the caller left before it was read", func() {
		d := newDeparture()
		d.respond = func(w http.ResponseWriter, _ int64) { w.WriteHeader(http.StatusOK) }
		d.request("/look/1")
		d.leave()
		close(d.readable)
		d.expectArrivals(0)
		Expect(d.stages).To(Receive(Equal(LeaveUnsent)))
	})

	ginkgo.DescribeTable("is not sent when the caller left while an endpoint was chosen",
		func(path string) {
			d := newDeparture()
			close(d.readable)
			d.respond = func(w http.ResponseWriter, _ int64) { w.WriteHeader(http.StatusOK) }
			endpoints := d.handler.Endpoints
			var once sync.Once
			d.handler.Endpoints = func(p fleet.PoolName) []serving.Endpoint {
				once.Do(d.leave)
				return endpoints(p)
			}
			d.request(path)
			d.expectArrivals(0)
			Expect(d.stages).To(Receive(Equal(LeaveUnsent)))
		},
		ginkgo.Entry("a request with a buffered response", "/look/1"),
		ginkgo.Entry("a stream", "/tale/1"),
	)

	ginkgo.DescribeTable("is not sent again when the caller left during an attempt",
		func(path string, fail func(http.ResponseWriter), stage types.GomegaMatcher) {
			d := newDeparture()
			close(d.readable)
			d.respond = func(w http.ResponseWriter, n int64) {
				if n == 1 {
					d.leave()
				}
				fail(w)
			}
			d.request(path)
			d.expectArrivals(1)
			Expect(d.stages).To(stage)
		},
		ginkgo.Entry("a request that the endpoint refused", "/look/1", refuseUnrun, leftAfterSent),
		ginkgo.Entry("a request whose response was lost", "/look/1", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, leftAfterSent),
		// The endpoint's error is the response, which is written before the close is noticed.
		ginkgo.Entry("a request that failed", "/look/1", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, Not(Receive())),
		ginkgo.Entry("a stream that was refused", "/tale/1", refuseUnrun, leftAfterSent),
		ginkgo.Entry("a stream that broke off before its first event", "/tale/1", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, leftAfterSent),
	)
})

// A caller that has sent more than its request ended net/http's watch for its close.
var _ = ginkgo.Describe("A request whose caller sent another one and left", func() {
	ginkgo.It("is not sent again", func() {
		d := newDeparture()
		close(d.readable)
		d.respond = func(w http.ResponseWriter, n int64) {
			if n == 1 {
				d.request("/look/2")
				d.await(connection.StateReadable)
				d.leave()
			}
			refuseUnrun(w)
		}
		d.request("/look/1")
		d.expectArrivals(1)
	})

	ginkgo.It("is aborted at its endpoint", func() {
		d := newDeparture()
		close(d.readable)
		aborted := make(chan struct{})
		d.respond = func(http.ResponseWriter, int64) {
			d.request("/look/2")
			d.await(connection.StateReadable)
			d.leave()
			select {
			case <-d.finished:
				close(aborted)
			case <-time.After(2 * time.Second):
			}
		}
		d.request("/look/1")
		Eventually(aborted, "500ms").Should(BeClosed())
		d.expectArrivals(1)
	})
})

// Nothing told requests that were given up before their response from others.
var _ = ginkgo.DescribeTable("A request that is given up before its response is counted by cause",
	func(path string, stay time.Duration, expected UnreadCause) {
		e := &rawEndpoint{respond: func(io.Writer, *http.Request, int64, int64) bool {
			time.Sleep(1500 * time.Millisecond)
			return false
		}}
		// A stalled stream is given up only for another endpoint.
		address := e.start()
		h := newHandler(address, address)
		for i := range h.Config().Routes {
			h.Config().Routes[i].Objective = 100 * time.Millisecond
		}
		unread := make(chan UnreadCause, 10)
		h.OnUnread = func(_ fleet.PoolName, cause UnreadCause) { unread <- cause }
		callFor(stay, startNode(h, nil), path, "r1", "")
		Eventually(unread, "2s").Should(Receive(Equal(expected)))
	},
	ginkgo.Entry("the caller left", "/book/1", 100*time.Millisecond, UnreadCallerLeft),
	ginkgo.Entry("the attempt timed out", "/look/1", 1400*time.Millisecond, UnreadTimeout),
	ginkgo.Entry("the stream stalled", "/tale/1", 1400*time.Millisecond, UnreadTimeout),
)

// callFor sends a request and leaves after some time.
func callFor(stay time.Duration, node, path, id, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Skylarkloom-Attempt-Id", id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if res, err := client.Do(r); err == nil {
		_ = res.Body.Close()
	}
}
