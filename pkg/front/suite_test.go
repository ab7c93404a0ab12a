package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/front"
	"github.com/skylarkloom/skylarkloom/platform"
	"github.com/skylarkloom/skylarkloom/platform/standin"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "front")
}

// deployment is a deployment with stand-ins for the store and the cloud.
type deployment struct {
	store                      *standin.Store
	cloud                      *standin.Cloud
	storeAddress, cloudAddress string
	version                    int
	nodes                      int
	// extraBounds are further bounds in the settings of the nodes.
	extraBounds string
}

// startServer serves a handler until the end of the spec and returns its address.
func startServer(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func newDeployment() *deployment {
	d := &deployment{store: &standin.Store{}, cloud: &standin.Cloud{}}
	d.storeAddress, d.cloudAddress = startServer(d.store), startServer(d.cloud)
	return d
}

// startEndpoint starts an endpoint and registers it in the store.
func (d *deployment) startEndpoint(pool string, e *standin.Endpoint) *standin.Endpoint {
	d.register(pool, e.ID, startServer(e), "ready")
	return e
}

// register writes the directory entry of an endpoint.
func (d *deployment) register(pool, id, address, state string) {
	d.registerBorn(pool, id, address, state, time.UnixMilli(0))
}

// registerBorn writes the directory entry of an endpoint that started at a time.
func (d *deployment) registerBorn(pool, id, address, state string, born time.Time) {
	record := map[string]any{"service": pool, "address": address, "zone": "a", "slots": 4, "state": state, "version": "v1", "coldLeftMs": 0, "seqNo": 1, "born": born.UnixMilli()}
	data, err := json.Marshal(record)
	Expect(err).NotTo(HaveOccurred())
	d.store.Put("keyed.servers", id, data)
}

// publish writes a new configuration with the given keys for the account "shop".
func (d *deployment) publish(keys ...string) {
	d.version += 3
	route := func(name, kind, pool string, attempts int, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 2000,
			"targetLatencyMs": 400, "gapAimMs": 100, "priority": 1, "service": pool, "attempts": attempts,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	config := map[string]any{
		"version": d.version,
		"routes": []any{
			route("look", "safe", "desk", 2, nil),
			route("book", "unsafe", "desk", 2, nil),
			route("open", "safe", "desk", 2, map[string]any{"public": true}),
			route("tale", "streaming", "engine", 2, map[string]any{"resumable": true, "sticky": true}),
			route("note", "streaming", "engine", 2, map[string]any{"sticky": true}),
		},
		"services": []any{
			map[string]any{"name": "desk", "maxConns": 50},
			map[string]any{"name": "engine", "maxConns": 50, "engine": map[string]any{"slots": 8, "kvCapacity": 10000}},
		},
		"limits":  map[string]any{"maxBodyBytes": 10000},
		"tenants": []any{map[string]any{"name": "shop", "apiKeys": keys, "unit": "tokens", "plainTokens": 1, "ratePerS": 1000, "burst": 1000}},
	}
	data, err := json.Marshal(config)
	Expect(err).NotTo(HaveOccurred())
	d.store.Put("keyed.op", "config", data)
}

// silenceableStore returns a handler that forwards to the store. After silence is
// called, it forwards to a silent store instead.
func (d *deployment) silenceableStore() (h http.HandlerFunc, silence func()) {
	silent := &standin.Store{}
	silent.SetMode(standin.ModeSilent)
	var current atomic.Pointer[standin.Store]
	current.Store(d.store)
	return func(w http.ResponseWriter, r *http.Request) { current.Load().ServeHTTP(w, r) }, func() { current.Store(silent) }
}

// The ports of nodes lie below the system's ephemeral ports, so that no outgoing
// connection takes one between the check and its use.
const firstPort, portCount = 20000, 10000

// firstFreePort returns the first of count consecutive free ports.
func firstFreePort(count int) int {
	free := func(port int) bool {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		Expect(l.Close()).To(Succeed())
		return true
	}
	for {
		port := firstPort + rand.N(portCount)
		allFree := true
		for i := range count {
			allFree = allFree && free(port+i)
		}
		if allFree {
			return port
		}
	}
}

// node is a running node.
type node struct {
	front          *front.Front
	callerAddress  string
	probeAddress   string
	metricsAddress string
	// config is the settings file of the node, stop stops it, once.
	config string
	stop   func()
}

// metrics returns the node's metrics as text.
func (n *node) metrics() string {
	res, err := http.Get("http://" + n.metricsAddress + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// startNode starts a node in data centre "a".
func (d *deployment) startNode() *node { return d.startNodeAt(d.storeAddress, "a") }

// startNodeAt starts a node of a data centre that uses the given address of the
// store. Its bounds are short to keep the tests short.
func (d *deployment) startNodeAt(storeAddress, dataCentre string) *node {
	d.nodes++
	port := firstFreePort(4)
	address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	n := &node{metricsAddress: address(front.MetricsPortOffset), callerAddress: address(2), probeAddress: address(3)}
	config := fmt.Sprintf(`
nodeName: n%d
ip: 127.0.0.1
zone: %s
zones: {a: r, b: r}
listen: {front: "%s", ready: "%s"}
internalPorts: [%d, %d]
bootstrap: true
bounds: {graceS: 8, revokeMs: 3000, strictRevocation: true, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 50,
  quotaWindowS: 8, quotaSlack: 100, leaseMs: 1500, usageWindowS: 1, usageLateS: 10%s}
platform: {address: "%s"}
cloud: {address: "%s", duties: [usage]}
`, d.nodes, dataCentre, n.callerAddress, n.probeAddress, port, port+1, d.extraBounds, storeAddress, d.cloudAddress)
	n.start(config)
	return n
}

// start starts the node with the given settings.
func (n *node) start(config string) {
	settings, err := platform.ParseSettings([]byte(config))
	Expect(err).NotTo(HaveOccurred())
	n.config = config
	n.front = &front.Front{Settings: settings, ShutdownDelay: time.Millisecond}
	Expect(n.front.Start(context.Background())).To(Succeed())
	n.stop = sync.OnceFunc(func() { Expect(n.front.Stop(context.Background())).To(Succeed()) })
	DeferCleanup(n.stop)
}

// restart stops the node and starts it again at its addresses.
func (n *node) restart() {
	n.stop()
	n.start(strings.Replace(n.config, "bootstrap: true", "bootstrap: false", 1))
}

// ready reports whether the readiness probe succeeds.
func (n *node) ready() bool {
	res, err := http.Get("http://" + n.probeAddress + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

// response is the response that a caller received, or the error.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// request returns a request to a node: a GET for the routes "look" and "open", else a
// POST.
func (n *node) request(path, id, key string, header map[string]string) *http.Request {
	method := http.MethodGet
	var body io.Reader
	if !strings.HasPrefix(path, "/look") && !strings.HasPrefix(path, "/open") {
		method, body = http.MethodPost, strings.NewReader("body of "+id)
	}
	r, err := http.NewRequest(method, "http://"+n.callerAddress+path, body)
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h.example"
	r.Header.Set("Skylarkloom-Attempt-Id", id)
	r.Header.Set("Skylarkloom-Deadline-Ms", "1900")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return r
}

// call sends a request on a new connection.
func (n *node) call(path, id, key string, header map[string]string) response {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(n.request(path, id, key, header))
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, header: res.Header, body: string(body), err: err}
}

// concurrently runs functions concurrently and waits for them.
func concurrently(calls ...func()) {
	var group errgroup.Group
	for _, call := range calls {
		group.Go(func() error {
			defer GinkgoRecover()
			call()
			return nil
		})
	}
	Expect(group.Wait()).To(Succeed())
}

const eventuallyTimeout = 8 * time.Second

// A handler that leaves the body unread is not notified when the caller disconnects,
// so the server of a silent store could not be closed and the suite timed out.
var _ = Describe("A silent store", func() {
	It("returns when the caller of a write has disconnected", func(ctx context.Context) {
		h, silence := (&deployment{}).silenceableStore()
		silence()
		returned := make(chan struct{})
		address := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h(w, r)
			close(returned)
		}))
		writeCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(writeCtx, http.MethodPost, "http://"+address, strings.NewReader("a record"))
		Expect(err).NotTo(HaveOccurred())
		_, err = http.DefaultClient.Do(req)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(returned, eventuallyTimeout).Should(BeClosed())
	})
})
