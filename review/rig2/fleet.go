package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

const (
	// program and role are the command of the deploy file.
	program = "target/skylarkloomd"
	role    = "front"
	// key is an API key of the only tenant.
	key = "i9n73hh2b9wu3fexd9dn"
	// host is the host of all routes.
	host = "ficu95.example"
	// heartbeat is the pause between two writes of a worker's entry.
	heartbeat = 1200 * time.Millisecond
	// readyTimeout is how long the nodes may take to be ready.
	readyTimeout = 15 * time.Second
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	// portCount is the number of ports of a node: for callers, the balancer, and a range for the
	// other nodes and the collector of metrics.
	portCount = 18
)

// settings are those of a small deployment, as the pages show them.
const settings = `nodeName: %[1]s
role: front
machineClass: front
serves: [front]
ip: %[2]s
zone: %[3]s
region: tunis
zones: {tunis-a: tunis, tunis-b: tunis, tunis-c: tunis}
listen: {front: "%[4]s", ready: "%[5]s"}
internalPorts: [%[6]d, %[8]d]
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0}
heartbeatMs: 1200
bounds: {contactMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 8, lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250,
  outerMs: 5000, strictRevocation: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 54,
  quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 72000, requireFencing: false, leaseMs: 3000, thawSlackMs: 300,
  usageWindowS: 5, usageOff: 0.05, usageLateS: 10, recoverS: 12, passMs: 120, retryAfterS: 9}
platform: {address: "%[7]s", form: log, writesPerS: 400, readsPerS: 2000}
cloud: {address: "%[7]s", ratePerS: 50.0, duties: [usage], dutyPerS: 50.0}
`

// config is the operator's configuration: a safe route and an unsafe one.
var config = map[string]any{
	"version": 7,
	"routes": []any{
		map[string]any{
			"name": "lookup", "host": host, "pathPrefix": "/puxa403/", "kind": "safe", "timeoutMs": 1200, "targetLatencyMs": 150,
			"priority": 2, "service": "desk", "attempts": 2, "public": false,
		},
		map[string]any{
			"name": "order", "host": host, "pathPrefix": "/lohu930/", "kind": "unsafe", "timeoutMs": 15000, "targetLatencyMs": 2000,
			"priority": 2, "service": "desk", "attempts": 1, "public": false,
		},
	},
	"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 490, "protocol": "h1", "tls": false}},
	"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 1000000, "burst": 1000000}},
}

// zones are the zones of the nodes.
var zones = []string{"tunis-a", "tunis-b", "tunis-c"}

// fleet is a small deployment: nodes, workers and the platform.
type fleet struct {
	record  *record
	dir     string
	store   standin.Store
	workers []*worker
	nodes   []*node
	servers []*http.Server
	// variant is the value of TROUBLE, by which some cases choose between disruptions.
	variant string
	// firstPort is the first of the ports of each node, which have an address each.
	firstPort int
	ended     context.Context //nolint:containedctx // It ends with the fleet.
	end       context.CancelFunc
	// keepRunning keeps the program from ending with the fleet.
	keepRunning func() bool
	group       errgroup.Group
}

// node is a process of the system.
type node struct {
	name, address, ready string
	// settings is the path of its settings file, log that of its output.
	settings, log string
	cmd           *exec.Cmd
	exited        chan struct{}
}

// newFleet starts a deployment and waits until its nodes are ready.
func newFleet(r *record) (f *fleet, err error) {
	f = &fleet{record: r}
	f.ended, f.end = signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	f.keepRunning = context.AfterFunc(f.ended, f.exit)
	if f.dir, err = os.MkdirTemp("", "rig2-"); err != nil {
		return f, err
	}
	if f.firstPort, err = freePorts(f.nodeIP(0)); err != nil {
		return f, err
	}
	if err = f.put("keyed.op", "config", config); err != nil {
		return f, err
	}
	platform, err := f.serve("127.0.0.1:0", http.HandlerFunc(f.servePlatform))
	if err != nil {
		return f, err
	}
	for i := range workerCount {
		if err = f.addWorker(zones[i%len(zones)]); err != nil {
			return f, err
		}
	}
	f.group.Go(f.beat)
	for i, zone := range zones {
		if err = f.addNode(fmt.Sprintf("front-%s-1", zone), f.nodeIP(i), zone, platform); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// nodeIP returns the loopback address of a node, which no other rig uses.
func (f *fleet) nodeIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid>>8%100, pid%256, 1+i)
}

// freePorts returns the first of portCount ports that are free at an address.
func freePorts(ip string) (first int, err error) {
	const tries = 50
	for range tries {
		first = 20000 + rand.IntN(10000)
		free := true
		for port := first; port < first+portCount && free; port++ {
			var config net.ListenConfig
			l, listenErr := config.Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = listenErr == nil; free {
				err = errors.Join(err, l.Close())
			}
		}
		if free {
			return first, err
		}
	}
	return 0, errors.New("there are no free ports")
}

// put writes a record as the operator or a worker does.
func (f *fleet) put(topic, key string, value any) error {
	data, err := json.Marshal(value)
	if err == nil {
		f.store.Put(topic, key, data)
	}
	return err
}

// servePlatform stands in for the store and for the API for duties, which takes all calls.
func (f *fleet) servePlatform(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/usage" || r.URL.Path == "/scale" {
		_, _ = io.Copy(io.Discard, r.Body)
		return
	}
	f.store.ServeHTTP(w, r)
}

// serve serves a handler on a loopback address.
func (f *fleet) serve(address string, h http.Handler) (listening string, err error) {
	var config net.ListenConfig
	l, err := config.Listen(f.ended, "tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	f.group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return l.Addr().String(), nil
}

// addNode writes the settings of a node and starts it.
func (f *fleet) addNode(name, ip, zone, platform string) error {
	n := &node{
		name: name, address: fmt.Sprintf("%s:%d", ip, f.firstPort), ready: fmt.Sprintf("%s:%d", ip, f.firstPort+1),
		settings: filepath.Join(f.dir, name+".yaml"), log: filepath.Join(f.dir, name+".log"),
	}
	text := fmt.Appendf(nil, settings, name, ip, zone, n.address, n.ready, f.firstPort+2, platform, f.firstPort+17)
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return err
	}
	if err := f.start(n); err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	return nil
}

// start starts the process of a node.
func (f *fleet) start(n *node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd, exited := exec.CommandContext(f.ended, program, role), make(chan struct{})
	cmd.Env = append(os.Environ(), "SKYLARKLOOM_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// A node ends with this program, also if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	n.cmd, n.exited = cmd, exited
	f.group.Go(func() error {
		defer close(exited)
		// A node that is killed reports that as an error.
		_ = cmd.Wait()
		return log.Close()
	})
	return nil
}

// killAll kills the processes of all nodes at the same moment, and starts them again as the
// platform does. It returns once they are ready.
func (f *fleet) killAll() error {
	for _, n := range f.nodes {
		if err := n.cmd.Process.Kill(); err != nil {
			return err
		}
	}
	f.record.printf("the processes of all nodes were killed")
	for _, n := range f.nodes {
		<-n.exited
	}
	time.Sleep(restartDelay)
	for _, n := range f.nodes {
		if err := f.restart(n); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// rollAll stops and starts the nodes in turn, as planned work does. It returns once they are
// ready.
func (f *fleet) rollAll() error {
	for _, n := range f.nodes {
		if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		<-n.exited
		f.record.printf("%s was stopped", n.name)
		time.Sleep(restartDelay)
		if err := f.restart(n); err != nil {
			return err
		}
		if err := f.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// restart starts a node again. Its settings then say that the deployment does not start for
// the first time.
func (f *fleet) restart(n *node) error {
	text, err := os.ReadFile(n.settings)
	if err == nil {
		err = os.WriteFile(n.settings, bytes.Replace(text, []byte("bootstrap: true"), []byte("bootstrap: false"), 1), 0o600)
	}
	if err != nil {
		return err
	}
	return f.start(n)
}

// isRunning reports whether the process of a node has not ended.
func (n *node) isRunning() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// isReady asks a node as the load balancer does.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range f.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			f.record.printf("%d nodes are ready", ready)
			return nil
		}
	}
	return errors.New("the nodes are not ready")
}

// exit ends the program once a signal has ended the processes of the fleet.
func (f *fleet) exit() {
	for _, n := range f.nodes {
		<-n.exited
	}
	f.record.printf("the case was ended by a signal")
	if err := os.RemoveAll(f.dir); err != nil {
		f.record.printf("at the end: %v", err)
	}
	os.Exit(exitNotRun)
}

// close ends all processes and servers of the fleet.
func (f *fleet) close() {
	f.keepRunning()
	f.end()
	for _, n := range f.nodes {
		if n.isRunning() {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
		}
		<-n.exited
	}
	for _, w := range f.workers {
		w.stop()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	if err := f.group.Wait(); err != nil {
		f.record.printf("at the end: %v", err)
	}
	if f.dir != "" {
		if err := os.RemoveAll(f.dir); err != nil {
			f.record.printf("at the end: %v", err)
		}
	}
}
