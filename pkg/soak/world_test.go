package soak

import (
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

// group holds the goroutines of all runs.
var group errgroup.Group

// world is one run: stand-ins of the platform, and nodes as processes.
type world struct {
	seed    uint64
	dir     string
	program string
	store   *standin.Store
	nodes   []*process
	calls   ledger
	servers []*httptest.Server
	began   time.Time
	// unstable are the spans in which the store was disturbed, spoiled those in
	// which an endpoint was.
	unstable, spoiled spans

	mu        sync.Mutex
	endpoints []*endpoint
	gone      []*endpoint
	version   int
	// revoked is when the store took the configuration without the key.
	revoked time.Time
	duties  []dutyCall
}

// dutyCall is a call that reached the platform's API.
type dutyCall struct {
	at     time.Time
	holder string
	fence  int64
	window int64
	counts string
}

// endpoint is a stand-in behind a link.
type endpoint struct {
	standin.Endpoint
	pool  string
	link  *link
	fault standin.Fault
	mu    sync.Mutex
	// left is when the store took the entry that says it leaves.
	left time.Time
}

func newWorld(seed uint64, program, dir string) (w *world, err error) {
	w = &world{seed: seed, dir: dir, program: program, store: &standin.Store{}}
	store, cloud := w.serve(w.store), w.serve(http.HandlerFunc(w.duty))
	for i := range endpoints {
		if err := w.addEndpoint(i); err != nil {
			return nil, err
		}
	}
	w.publish()
	for i := range nodes {
		// Each node of each run has a loopback address of its own.
		ip := fmt.Sprintf("127.%d.%d.%d", 1+seed>>8%100, seed%256, 1+i)
		p, err := newProcess(dir, fmt.Sprint("n", i), string('a'+rune(i%2)), ip, store, cloud)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, p)
		if err := p.start(program); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	w.servers = append(w.servers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

func (w *world) close() {
	for _, p := range w.nodes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait(time.Minute)
		p.store.close()
		p.cloud.close()
		_ = p.log.Close()
	}
	for _, e := range append(w.endpoints, w.gone...) {
		e.link.close()
	}
	for _, s := range w.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// addEndpoint starts and registers an endpoint in the place of another.
func (w *world) addEndpoint(place int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &endpoint{pool: "desk"}
	e.ID = fmt.Sprintf("e%d-%d", place, len(w.gone))
	if place >= endpoints/2 {
		e.pool, e.Events, e.EventInterval = "engine", 8, 25*time.Millisecond
	}
	e.Fault = func(*http.Request) standin.Fault {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.fault
	}
	k, err := newLink(w.serve(&e.Endpoint))
	if err != nil {
		return err
	}
	e.link = k
	if place < len(w.endpoints) {
		w.endpoints[place] = e
	} else {
		w.endpoints = append(w.endpoints, e)
	}
	w.register(e, "ready")
	return nil
}

func (w *world) register(e *endpoint, state string) {
	w.put("keyed.servers", e.ID, map[string]any{
		"service": e.pool, "address": e.link.address(), "zone": "a", "slots": 8, "state": state, "version": "v1", "coldLeftMs": 0, "seqNo": 1,
	})
}

func (w *world) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.store.Put(topic, key, data)
}

// publish writes the next version: it adds a route of its number.
func (w *world) publish() {
	w.version++
	var routes []any
	route := func(name, kind, pool string, more ...string) {
		r := map[string]any{
			"name": name, "host": "h", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 300,
			"gapAimMs": 150, "service": pool, "attempts": 2,
		}
		for _, key := range more {
			r[key] = true
		}
		routes = append(routes, r)
	}
	route("safe", "safe", "desk")
	route("unsafe", "unsafe", "desk")
	route("open", "safe", "desk", "public")
	route("tale", "streaming", "engine", "resumable", "sticky")
	route("note", "streaming", "engine", "sticky")
	for v := 1; v <= w.version; v++ {
		route(versionRoute(v), "safe", "desk", "public")
	}
	keys := []string{"kept"}
	if w.revoked.IsZero() {
		keys = append(keys, "taken")
	}
	w.put("keyed.op", "config", map[string]any{
		"version": 10 * w.version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "maxConns": 400}, map[string]any{"name": "engine", "maxConns": 400, "engine": map[string]any{"slots": 8}}},
		"tenants":  []any{map[string]any{"name": "shop", "apiKeys": keys, "unit": "tokens", "plainTokens": 1, "ratePerS": 100000, "burst": 100000}},
	})
}

func versionRoute(version int) string { return fmt.Sprint("v", version) }

// duty stands in for the platform's API and notes each call.
func (w *world) duty(_ http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := dutyCall{at: time.Now(), holder: r.Header.Get("Skylarkloom-Duty-Holder")}
	// A call without a number counts as the lowest fence, which is noticed.
	c.fence, _ = strconv.ParseInt(r.Header.Get("Skylarkloom-Fencing-Token"), 10, 64)
	var body struct {
		Window int64           `json:"windowNo"`
		Counts json.RawMessage `json:"counts"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return
	}
	c.window, c.counts = body.Window, string(body.Counts)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.duties = append(w.duties, c)
}

// run carries one step out.
func (w *world) run(s step) error {
	switch s.action {
	case actPause, actKill, actStop, actReload, actStore, actCloud:
		return w.trouble(s, w.nodes[s.target])
	case actMode:
		defer w.unstable.open()()
		w.store.SetMode(s.mode)
		time.Sleep(s.lasts)
		w.store.SetMode(standin.ModeNormal)
	case actCompact:
		for _, topic := range []string{"keyed.op", "keyed.servers", "keyed.nodes"} {
			w.store.Compact(topic)
		}
	case actEndpoint, actFail, actReplace:
		w.mu.Lock()
		e := w.endpoints[s.target]
		w.mu.Unlock()
		return w.spoil(s, e)
	case actPublish, actRevoke:
		w.mu.Lock()
		defer w.mu.Unlock()
		if s.action == actRevoke && w.revoked.IsZero() {
			w.revoked = time.Now()
		}
		w.publish()
	}
	return nil
}

// trouble does something to a node.
func (w *world) trouble(s step, p *process) error {
	if s.action == actStop {
		defer p.stopping.open()()
	} else {
		defer p.troubled.open()()
	}
	switch s.action {
	case actPause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(s.lasts)
		p.signal(syscall.SIGCONT)
	case actKill:
		p.signal(syscall.SIGKILL)
		p.wait(time.Minute)
		time.Sleep(s.lasts / 4)
		return p.start(w.program)
	case actStop:
		p.signal(syscall.SIGTERM)
		if !p.wait(graceTime) {
			p.signal(syscall.SIGKILL)
			p.wait(time.Minute)
		}
		return p.start(w.program)
	case actReload:
		p.signal(syscall.SIGHUP)
	case actStore:
		p.store.set(s.condition)
		time.Sleep(s.lasts)
		p.store.set(linkSound)
	case actCloud:
		p.cloud.set(s.condition)
		time.Sleep(s.lasts)
		p.cloud.set(linkSound)
	default:
	}
	return nil
}

// graceTime is from SIGTERM to SIGKILL, as the settings say.
const graceTime = 6 * time.Second

// spoil does something to an endpoint.
func (w *world) spoil(s step, e *endpoint) error {
	defer w.spoiled.open()()
	switch s.action {
	case actEndpoint:
		e.link.set(s.condition)
		time.Sleep(s.lasts)
		e.link.set(linkSound)
	case actFail:
		e.setFault(s.fault)
		time.Sleep(s.lasts)
		e.setFault(standin.FaultNone)
	case actReplace:
		w.mu.Lock()
		if w.endpoints[s.target] != e || !e.left.IsZero() {
			w.mu.Unlock()
			return nil
		}
		w.register(e, "draining")
		e.left = time.Now()
		w.mu.Unlock()
		time.Sleep(min(s.lasts, 2*time.Second))
		w.store.Put("keyed.servers", e.ID, nil)
		w.mu.Lock()
		w.gone = append(w.gone, e)
		w.mu.Unlock()
		return w.addEndpoint(s.target)
	default:
	}
	return nil
}

func (e *endpoint) setFault(f standin.Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// keep moves the logs of a failed run to where they stay.
func (w *world) keep(report string) (string, error) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("skylarkloom-soak-%d", w.seed))
	if err := os.RemoveAll(dir); err != nil {
		return "", err
	}
	if err := os.CopyFS(dir, os.DirFS(w.dir)); err != nil {
		return "", err
	}
	return dir, os.WriteFile(filepath.Join(dir, "report.txt"), []byte(report), 0o600)
}
