package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

// background holds the goroutines of all runs.
var background errgroup.Group

// cluster is the system under test in one run: stand-ins for the platform, and
// nodes as processes.
type cluster struct {
	seed        uint64
	dir         string
	program     string
	store       *standin.Store
	nodes       []*process
	calls       callLog
	httpServers []*httptest.Server
	startedAt   time.Time
	// storeFaults are the times in which the store had a fault, endpointFaults those
	// in which an endpoint had one or was replaced.
	storeFaults, endpointFaults timeSpans

	// routeTimeout is the timeout of the routes; 0 stands for defaultRouteTimeout.
	routeTimeout time.Duration

	mu        sync.Mutex
	endpoints []*endpoint
	removed   []*endpoint
	version   int
	// revokedAt is when the store received the configuration without the revoked key.
	revokedAt time.Time
	dutyCalls []dutyCall
	// tainting counts the steps that let callers send prompts with deadlyBlock.
	tainting int
	// announcing counts the steps in which endpoints announce something.
	announcing int
	arrivals   []arrival
	// announcements are the responses in which endpoints announced something.
	announcements []announcement
}

// arrival is a request that reached an endpoint.
type arrival struct {
	endpoint *endpoint
	id       string
	at       time.Time
	// sentAt is when the latest bytes of the request arrived from the node.
	sentAt time.Time
	// crashed reports whether the endpoint crashed because of the request.
	crashed bool
}

// dutyCall is a call that the platform's API received.
type dutyCall struct {
	at     time.Time
	holder string
	fence  int64
	window int64
	counts string
}

// endpoint is a stand-in for an endpoint, behind a link.
type endpoint struct {
	standin.Endpoint
	pool  string
	link  *link
	fault standin.Fault
	mu    sync.Mutex
	// leaving and pause are what the endpoint announces in its responses.
	leaving      bool
	pause, delay time.Duration
	// shownBorn is the birth that its entry shows, in Unix milliseconds.
	shownBorn int64
	// linkFaults are the times in which its link was disturbed.
	linkFaults timeSpans
	// drainingSince is when the store received the entry with state draining.
	drainingSince time.Time
}

func newCluster(seed uint64, program, dir string) (cl *cluster, err error) {
	cl = &cluster{seed: seed, dir: dir, program: program, store: &standin.Store{}}
	store, cloud := cl.serve(cl.store), cl.serve(http.HandlerFunc(cl.handleDutyCall))
	for i := range endpointCount {
		if err := cl.addEndpoint(i); err != nil {
			return nil, err
		}
	}
	cl.publish()
	for i := range nodeCount {
		// The loopback address depends on the seed and the node, so that runs in
		// parallel do not share addresses.
		ip := fmt.Sprintf("127.%d.%d.%d", 1+seed>>8%100, seed%256, 1+i)
		p, err := newProcess(dir, fmt.Sprint("n", i), string('a'+rune(i%2)), ip, store, cloud)
		if err != nil {
			return nil, err
		}
		cl.nodes = append(cl.nodes, p)
		if err := p.start(program); err != nil {
			return nil, err
		}
	}
	return cl, nil
}

func (cl *cluster) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	cl.httpServers = append(cl.httpServers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

func (cl *cluster) close() {
	for _, p := range cl.nodes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait(time.Minute)
		p.store.close()
		p.cloud.close()
		_ = p.log.Close()
	}
	for _, e := range append(cl.endpoints, cl.removed...) {
		e.link.close()
	}
	for _, s := range cl.httpServers {
		s.CloseClientConnections()
		s.Close()
	}
}

// addEndpoint starts and registers an endpoint, in place of the one that has the
// index if there is one.
func (cl *cluster) addEndpoint(index int) error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	e := &endpoint{pool: "desk", shownBorn: time.Now().UnixMilli()}
	e.ID = fmt.Sprintf("e%d-%d", index, len(cl.removed))
	if index >= endpointCount/2 {
		e.pool, e.Events, e.EventInterval = "engine", 8, 25*time.Millisecond
	}
	e.Fault = func(r *http.Request) standin.Fault {
		if cl.recordArrival(e, r) {
			return standin.FaultCrash
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.fault
	}
	k, err := newLink(cl.serve(cl.serveAnnouncing(e)))
	if err != nil {
		return err
	}
	e.link = k
	if index < len(cl.endpoints) {
		cl.endpoints[index] = e
	} else {
		cl.endpoints = append(cl.endpoints, e)
	}
	cl.register(e, "ready")
	return nil
}

// recordArrival records a request at an endpoint. It crashes the endpoint and returns
// true if the prompt has the deadly block.
func (cl *cluster) recordArrival(e *endpoint, r *http.Request) (crash bool) {
	a := arrival{endpoint: e, id: r.Header.Get("Skylarkloom-Attempt-Id"), at: time.Now(), sentAt: e.link.receivedAt(r.RemoteAddr)}
	a.crashed = strings.Contains(r.Header.Get("Skylarkloom-Prompt-Prefix"), deadlyBlock+":")
	cl.mu.Lock()
	cl.arrivals = append(cl.arrivals, a)
	cl.mu.Unlock()
	if a.crashed {
		e.link.crash()
	}
	return a.crashed
}

func (cl *cluster) register(e *endpoint, state string) {
	cl.storeRecord("keyed.servers", e.ID, map[string]any{
		"service": e.pool, "address": e.link.address(), "zone": "a", "slots": 8, "state": state, "version": "v1", "coldLeftMs": 0, "seqNo": 1, "born": e.shownBorn,
	})
}

func (cl *cluster) storeRecord(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	cl.store.Put(topic, key, data)
}

const defaultRouteTimeout = 1500 * time.Millisecond

// publish writes the next version of the configuration, which adds a route named
// after the version.
func (cl *cluster) publish() {
	cl.version++
	var routes []any
	route := func(name, kind, pool string, options ...string) {
		r := map[string]any{
			"name": name, "host": "h", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": cmp.Or(cl.routeTimeout, defaultRouteTimeout).Milliseconds(), "targetLatencyMs": 300,
			"gapAimMs": 150, "service": pool, "attempts": 2,
		}
		for _, key := range options {
			r[key] = true
		}
		routes = append(routes, r)
	}
	route("safe", "safe", "desk")
	route("unsafe", "unsafe", "desk")
	route("open", "safe", "desk", "public")
	route("tale", "streaming", "engine", "resumable", "sticky")
	route("note", "streaming", "engine", "sticky")
	for v := 1; v <= cl.version; v++ {
		route(versionRoute(v), "safe", "desk", "public")
	}
	keys := []string{"kept"}
	if cl.revokedAt.IsZero() {
		keys = append(keys, "taken")
	}
	cl.storeRecord("keyed.op", "config", map[string]any{
		"version": 10 * cl.version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "maxConns": 400}, map[string]any{"name": "engine", "maxConns": 400, "engine": map[string]any{"slots": 8}}},
		"tenants":  []any{map[string]any{"name": "shop", "apiKeys": keys, "unit": "tokens", "plainTokens": 1, "ratePerS": 100000, "burst": 100000}},
	})
}

func versionRoute(version int) string { return fmt.Sprint("v", version) }

// handleDutyCall stands in for the platform's API and records each call.
func (cl *cluster) handleDutyCall(_ http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := dutyCall{at: time.Now(), holder: r.Header.Get("Skylarkloom-Duty-Holder")}
	// A call without a fencing number counts as number 0, which checkDuties reports.
	c.fence, _ = strconv.ParseInt(r.Header.Get("Skylarkloom-Fencing-Token"), 10, 64)
	var body struct {
		Window int64           `json:"windowNo"`
		Counts json.RawMessage `json:"counts"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return
	}
	c.window, c.counts = body.Window, string(body.Counts)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.dutyCalls = append(cl.dutyCalls, c)
}

// runStep carries out a step.
func (cl *cluster) runStep(s step) error {
	switch s.action {
	case actPause, actKill, actStop, actReload, actStore, actCloud:
		return cl.disturbNode(s, cl.nodes[s.target])
	case actMode:
		defer cl.storeFaults.begin()()
		cl.store.SetMode(s.mode)
		time.Sleep(s.duration)
		cl.store.SetMode(standin.ModeNormal)
	case actCompact:
		for _, topic := range []string{"keyed.op", "keyed.servers", "keyed.nodes"} {
			cl.store.Compact(topic)
		}
	case actTaint:
		defer cl.endpointFaults.begin()()
		cl.setTainting(1)
		time.Sleep(s.duration)
		cl.setTainting(-1)
		time.Sleep(crashTime)
	case actEndpoint, actFail, actReplace, actLeave, actAsk:
		cl.mu.Lock()
		e := cl.endpoints[s.target]
		cl.mu.Unlock()
		return cl.disturbEndpoint(s, e)
	case actPublish, actRevoke:
		cl.mu.Lock()
		defer cl.mu.Unlock()
		if s.action == actRevoke && cl.revokedAt.IsZero() {
			cl.revokedAt = time.Now()
		}
		cl.publish()
	}
	return nil
}

func (cl *cluster) setTainting(change int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.tainting += change
}

// disturbNode carries out a step on a node.
func (cl *cluster) disturbNode(s step, p *process) error {
	if s.action == actStop {
		defer p.shutdowns.begin()()
	} else {
		defer p.faults.begin()()
	}
	if s.action == actPause || s.action == actKill {
		defer p.halts.begin()()
	}
	switch s.action {
	case actPause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(s.duration)
		p.signal(syscall.SIGCONT)
	case actKill:
		p.signal(syscall.SIGKILL)
		p.wait(time.Minute)
		time.Sleep(s.duration / 4)
		return p.start(cl.program)
	case actStop:
		p.signal(syscall.SIGTERM)
		if !p.wait(gracePeriod) {
			p.signal(syscall.SIGKILL)
			p.wait(time.Minute)
		}
		return p.start(cl.program)
	case actReload:
		p.signal(syscall.SIGHUP)
	case actStore:
		p.store.setCondition(s.condition)
		time.Sleep(s.duration)
		p.store.setCondition(linkHealthy)
	case actCloud:
		p.cloud.setCondition(s.condition)
		time.Sleep(s.duration)
		p.cloud.setCondition(linkHealthy)
	default:
	}
	return nil
}

// gracePeriod is the time from SIGTERM to SIGKILL, equal to graceS in the settings.
const gracePeriod = 6 * time.Second

// disturbEndpoint carries out a step on an endpoint.
func (cl *cluster) disturbEndpoint(s step, e *endpoint) error {
	defer cl.endpointFaults.begin()()
	switch s.action {
	case actAsk:
		cl.announce(e, s)
	case actEndpoint:
		defer e.linkFaults.begin()()
		e.link.setCondition(s.condition)
		time.Sleep(s.duration)
		e.link.setCondition(linkHealthy)
	case actFail:
		e.setFault(s.fault)
		time.Sleep(s.duration)
		e.setFault(standin.FaultNone)
	case actLeave, actReplace:
		if s.action == actLeave {
			cl.announce(e, s)
		}
		cl.mu.Lock()
		if cl.endpoints[s.target] != e || !e.drainingSince.IsZero() {
			cl.mu.Unlock()
			return nil
		}
		cl.register(e, "draining")
		e.drainingSince = time.Now()
		cl.mu.Unlock()
		time.Sleep(min(s.duration, 2*time.Second))
		cl.store.Put("keyed.servers", e.ID, nil)
		cl.mu.Lock()
		cl.removed = append(cl.removed, e)
		cl.mu.Unlock()
		return cl.addEndpoint(s.target)
	default:
	}
	return nil
}

func (e *endpoint) setFault(f standin.Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// saveLogs copies the logs of a failed run, with its report, to a directory that
// outlives the test, and returns that directory.
func (cl *cluster) saveLogs(report string) (string, error) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("skylarkloom-soak-%d", cl.seed))
	if err := os.RemoveAll(dir); err != nil {
		return "", err
	}
	if err := os.CopyFS(dir, os.DirFS(cl.dir)); err != nil {
		return "", err
	}
	return dir, os.WriteFile(filepath.Join(dir, "report.txt"), []byte(report), 0o600)
}
