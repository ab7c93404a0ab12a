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

// deployment is a small deployment on stand-ins.
type deployment struct {
	store *standin.Store
	cloud *standin.Cloud
	// storeAt and cloudAt are their addresses.
	storeAt, cloudAt string
	version          int
	nodes            int
}

func listen(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func deploy() *deployment {
	d := &deployment{store: &standin.Store{}, cloud: &standin.Cloud{}}
	d.storeAt, d.cloudAt = listen(d.store), listen(d.cloud)
	return d
}

// endpoint starts an endpoint and registers it.
func (d *deployment) endpoint(pool string, e *standin.Endpoint) *standin.Endpoint {
	d.register(pool, e.ID, listen(e), "ready")
	return e
}

func (d *deployment) register(pool, id, address, state string) {
	entry := map[string]any{"service": pool, "address": address, "zone": "a", "slots": 4, "state": state, "version": "v1", "coldLeftMs": 0, "seqNo": 1}
	data, err := json.Marshal(entry)
	Expect(err).NotTo(HaveOccurred())
	d.store.Put("keyed.servers", id, data)
}

// publish writes a configuration with keys for the account "shop".
func (d *deployment) publish(keys ...string) {
	d.version += 3
	route := func(name, kind, pool string, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 2000,
			"targetLatencyMs": 400, "gapAimMs": 100, "priority": 1, "service": pool, "attempts": attempts,
		}
		for k, v := range more {
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

// gate returns an address of the store that can be silenced for those who use it.
func (d *deployment) gate() (address string, silence func()) {
	var silent atomic.Bool
	return listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		d.store.ServeHTTP(w, r)
	})), func() { silent.Store(true) }
}

// The ports of nodes lie below those that the system gives to connections, so
// that none is taken between the check and its use.
const firstPort, ports = 20000, 10000

// freePort returns the first of some free ports in a row.
func freePort(row int) int {
	free := func(port int) bool {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		Expect(l.Close()).To(Succeed())
		return true
	}
	for {
		port := firstPort + rand.N(ports)
		all := true
		for i := range row {
			all = all && free(port+i)
		}
		if all {
			return port
		}
	}
}

// node is a running node.
type node struct {
	front   *front.Front
	callers string
	probe   string
	metrics string
}

// start starts a node. Bounds are short so that tests are.
func (d *deployment) start() *node { return d.startAt(d.storeAt, "a") }

// startAt starts a node of a data centre that reaches the store at an address of
// its own.
func (d *deployment) startAt(store, dataCentre string) *node {
	d.nodes++
	port := freePort(4)
	at := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	n := &node{metrics: at(front.MetricsPortOffset), callers: at(2), probe: at(3)}
	text := fmt.Sprintf(`
nodeName: n%d
ip: 127.0.0.1
zone: %s
zones: {a: r, b: r}
listen: {front: "%s", ready: "%s"}
internalPorts: [%d, %d]
bootstrap: true
bounds: {graceS: 8, revokeMs: 3000, strictRevocation: true, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 50,
  quotaWindowS: 8, quotaSlack: 100, leaseMs: 1500, usageWindowS: 1, usageLateS: 10}
platform: {address: "%s"}
cloud: {address: "%s", duties: [usage]}
`, d.nodes, dataCentre, n.callers, n.probe, port, port+1, store, d.cloudAt)
	settings, err := platform.ParseSettings([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	n.front = &front.Front{Settings: settings, ShutdownDelay: time.Millisecond}
	Expect(n.front.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { Expect(n.front.Stop(context.Background())).To(Succeed()) })
	return n
}

func (n *node) ready() bool {
	res, err := http.Get("http://" + n.probe + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (n *node) request(path, id, key string, header map[string]string) *http.Request {
	method := http.MethodGet
	var body io.Reader
	if !strings.HasPrefix(path, "/look") && !strings.HasPrefix(path, "/open") {
		method, body = http.MethodPost, strings.NewReader("body of "+id)
	}
	r, err := http.NewRequest(method, "http://"+n.callers+path, body)
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

// call makes a call on a connection of its own.
func (n *node) call(path, id, key string, header map[string]string) answer {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(n.request(path, id, key, header))
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(body), err: err}
}

// together runs calls at the same time.
func together(calls ...func()) {
	var group errgroup.Group
	for _, c := range calls {
		group.Go(func() error {
			defer GinkgoRecover()
			c()
			return nil
		})
	}
	Expect(group.Wait()).To(Succeed())
}

const soon = 8 * time.Second
