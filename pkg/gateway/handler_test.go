package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/returning"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
)

// newHandler returns the handler of a node with endpoints at the given addresses. The
// routes are "look" (safe), "book" (unsafe) and "tale" (a resumable stream).
func newHandler(addresses ...string) *Handler {
	route := func(name string, kind serving.RouteKind) serving.Route {
		return serving.Route{
			Name: serving.RouteName(name), Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Resumable: kind == serving.KindStream,
			Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 3, Targets: []serving.Target{{Pool: "desk", Weight: 1}},
		}
	}
	config := &serving.Config{
		Version: 1,
		Routes:  []serving.Route{route("look", serving.KindSafe), route("book", serving.KindUnsafe), route("tale", serving.KindStream)},
		Pools:   map[fleet.PoolName]serving.Pool{"desk": {Name: "desk"}},
	}
	config.BuildIndex()
	endpoints := make([]serving.Endpoint, len(addresses))
	for i, address := range addresses {
		endpoints[i] = serving.Endpoint{ID: fleet.InstanceID(fmt.Sprint("e", i+1)), Address: address, State: serving.StateReady, Slots: 4}
	}
	return &Handler{
		Config:        func() Config { return Config{Config: config, Confirmed: clock.Now()} },
		Endpoints:     func(fleet.PoolName) []serving.Endpoint { return endpoints },
		Accepts:       func(serving.Endpoint) bool { return true },
		MarkLeaving:   func(fleet.InstanceID, int64) bool { return false },
		UnixTime:      func(at clock.Instant) int64 { return time.Now().Add(at.Sub(clock.Now())).UnixMilli() },
		Nodes:         func() allotment.Nodes { return allotment.Nodes{Total: 1} },
		IsQuarantined: func([]quarantine.Subject) bool { return false },
		RecordBroken:  func(serving.Endpoint, quarantine.Run) {},
		RecordServed:  func([]quarantine.Subject, clock.Instant) {},
		RecordStarted: func([]quarantine.Subject, clock.Instant) {},
		RecordStart:   func(fleet.AccountName) {},
		RecordDemand:  func(fleet.PoolName, float64) {},
		Tracker:       &placement.Tracker{},
		Waiting:       &waiting.Queues{},
		Returns:       &returning.Schedule{Random: func() float64 { return 0 }},
		Visitors:      &returning.Visitors{},
		Engines:       &provision.EngineModel{},
		Quotas:        &allotment.QuotaLimiter{},
		Retries:       &allotment.RetryBudget{Ratio: 1, Slack: 50, Window: 10 * time.Second},
		Pool:          &forward.Pool{},
		Logs:          &event.Logs{},
		MaxKeyAge:     time.Minute,
		Random:        func() float64 { return 0 },
		Shutdown:      &Shutdown{},
	}
}

// startNode serves a handler until the end of the spec and returns the address. wrap
// may replace the listener.
func startNode(h *Handler, wrap func(net.Listener) net.Listener) string {
	node := httptest.NewUnstartedServer(h)
	if wrap != nil {
		node.Listener = wrap(node.Listener)
	}
	node.Config.ConnContext = connection.NewContext
	node.Start()
	ginkgo.DeferCleanup(func() {
		node.CloseClientConnections()
		node.Close()
	})
	return node.Listener.Addr().String()
}

// reply is the response that a caller received, or the error.
type reply struct {
	status int
	body   string
	err    error
	// retryAfter is the Retry-After header, in seconds.
	retryAfter string
}

// call sends a request on a new connection.
func call(node, path, id string) reply {
	r, err := http.NewRequest(http.MethodGet, "http://"+node+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Skylarkloom-Attempt-Id", id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, body: string(body), err: err, retryAfter: res.Header.Get("Retry-After")}
}

// rawEndpoint is an endpoint that writes whatever a spec wants.
type rawEndpoint struct {
	// respond writes the response to a request and reports whether to keep the
	// connection. request counts the requests from 1, use those on this connection.
	respond func(w io.Writer, r *http.Request, request, use int64) (keep bool)

	requests atomic.Int64
	mu       sync.Mutex
	conns    []net.Conn
	closed   bool
}

// start serves until the end of the spec and returns the address.
func (e *rawEndpoint) start() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener is closed at the end of the spec.
			}
			e.mu.Lock()
			e.conns = append(e.conns, c)
			if e.closed {
				_ = c.Close()
			}
			e.mu.Unlock()
			group.Go(func() error {
				defer func() { _ = c.Close() }()
				e.serve(c)
				return nil
			})
		}
	})
	ginkgo.DeferCleanup(func() {
		Expect(l.Close()).To(Succeed())
		e.mu.Lock()
		e.closed = true
		for _, c := range e.conns {
			_ = c.Close()
		}
		e.mu.Unlock()
		Expect(group.Wait()).To(Succeed())
	})
	return l.Addr().String()
}

func (e *rawEndpoint) serve(c net.Conn) {
	requests := bufio.NewReader(c)
	for use := int64(1); ; use++ {
		r, err := http.ReadRequest(requests)
		if err != nil || !e.respond(c, r, e.requests.Add(1), use) {
			return
		}
	}
}

// write writes a text of a raw endpoint. The node may have closed the connection.
func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// sealedHead returns the head of a response that belongs to a request.
func sealedHead(r *http.Request, status string) string {
	return "HTTP/1.1 " + status + "\r\nSkylarkloom-Attempt-Id: " + r.Header.Get("Skylarkloom-Attempt-Id") + "\r\nSkylarkloom-Response-Seal: s\r\nKeep-Alive: timeout=10\r\n"
}

// answer returns a complete response to a request.
func answer(r *http.Request, body string) string {
	return sealedHead(r, "200 OK") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}
