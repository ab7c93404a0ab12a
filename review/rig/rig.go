package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

const (
	// readyWait is how long a node may take to become ready.
	readyWait = 15 * time.Second
	// exitWait is how long a killed process may take to exit.
	exitWait = 10 * time.Second
	// pollPause is the pause between two looks at a condition that is awaited.
	pollPause = 50 * time.Millisecond
	// ownerOnly is the mode of the files that a run writes.
	ownerOnly = 0o600
	callPort  = 8180
	readyPort = 8181
)

// settingsTemplate has the fields of DEPLOY.md with the bounds of the small sites.
const settingsTemplate = `nodeName: "%[1]s"
role: "front"
machineClass: "front"
serves: ["front"]
ip: "%[2]s"
zone: "%[3]s"
region: "r"
zones: {zone-a: "r", zone-b: "r", zone-c: "r"}
listen: {front: "%[2]s:%[4]d", ready: "%[2]s:%[5]d"}
internalPorts: [7600, 7615]
bootstrap: %[6]t
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4200, linkMbps: 1000.0, diskMb: 0}
heartbeatMs: 1200
bounds: {contactMs: 3000, drainMs: 2000, graceS: 8, lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250, outerMs: 5000,
  strictRevocation: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 52, quotaWindowS: 8,
  quotaOver: 0.1, quotaSlack: 72000, requireFencing: false, leaseMs: 3000, thawSlackMs: 300, usageWindowS: 5,
  usageOff: 0.05, usageLateS: 10, recoverS: 12}
platform: {address: "%[7]s", form: "log"}
cloud: {address: "%[8]s", ratePerS: 50.0, duties: ["usage"], dutyPerS: 50.0}
`

// rig is the system under test in one run: nodes as processes, and stand-ins.
type rig struct {
	program, dir string
	record       *record
	startedAt    time.Time
	store        *standin.Store
	storeAddress string
	cloudAddress string
	servers      []*httptest.Server
	group        errgroup.Group
	// addressBase is the part of the loopback addresses that the nodes share.
	addressBase string

	gaveUp atomic.Bool

	mu    sync.Mutex
	nodes []*node
}

var errGaveUp = errors.New("the run was interrupted or took too long")

// record is the file that tells what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	file *os.File
	err  error
}

func (c *record) line(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := fmt.Fprintln(c.file, text); err != nil && c.err == nil {
		c.err = err
	}
}

func (c *record) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return firstError(c.err, c.file.Close())
}

func newRig(program, recordPath string) (r *rig, err error) {
	r = &rig{program: program, startedAt: time.Now(), store: &standin.Store{}}
	if r.dir, err = os.MkdirTemp("", "skylarkloom-review-"); err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r.record = &record{file: file}
	const blocks = 250
	r.addressBase = fmt.Sprintf("127.%d.%d.", 2+rand.IntN(blocks), 1+rand.IntN(blocks))
	r.storeAddress = r.serve(r.store)
	r.cloudAddress = r.serve(http.HandlerFunc(r.handleDutyCall))
	return r, nil
}

// handleDutyCall stands in for the platform's API for duties.
func (r *rig) handleDutyCall(_ http.ResponseWriter, call *http.Request) {
	body, err := io.ReadAll(call.Body)
	r.note("%s of %s with fence %s: %s, error: %v", call.URL.Path, call.Header.Get("Skylarkloom-Duty-Holder"), call.Header.Get("Skylarkloom-Fencing-Token"), body, err)
}

// note writes a line with the time since the start of the run.
func (r *rig) note(format string, values ...any) {
	r.record.line(fmt.Sprintf("%8.3f  ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, values...))
}

// serve serves a stand-in on a free port of 127.0.0.1.
func (r *rig) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	r.servers = append(r.servers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

// put writes a record as the operator or an endpoint does.
func (r *rig) put(topic, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	r.store.Put(topic, key, data)
	return nil
}

// killNodes ends all nodes.
func (r *rig) killNodes() (err error) {
	r.mu.Lock()
	nodes := r.nodes
	r.mu.Unlock()
	for _, n := range nodes {
		err = firstError(err, n.kill())
	}
	return err
}

// close ends all processes and stand-ins.
func (r *rig) close() (err error) {
	err = r.killNodes()
	for _, s := range r.servers {
		s.CloseClientConnections()
		s.Close()
	}
	return firstError(err, r.group.Wait(), os.RemoveAll(r.dir))
}

// node is a node of the system with its process.
type node struct {
	rig            *rig
	name, zone, ip string
	settings       string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// addNode writes the settings of a node. number distinguishes its loopback address.
func (r *rig) addNode(name, zone string, number int, bootstrap bool) (n *node, err error) {
	n = &node{rig: r, name: name, zone: zone, ip: fmt.Sprint(r.addressBase, number), settings: filepath.Join(r.dir, name+".yaml")}
	text := fmt.Sprintf(settingsTemplate, name, n.ip, zone, callPort, readyPort, bootstrap, r.storeAddress, r.cloudAddress)
	if err = os.WriteFile(n.settings, []byte(text), ownerOnly); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = append(r.nodes, n)
	return n, nil
}

// rewriteSettings changes the settings file.
func (n *node) rewriteSettings(change func(string) string) error {
	text, err := os.ReadFile(n.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, []byte(change(string(text))), ownerOnly)
}

func (n *node) callAddress() string { return fmt.Sprintf("%s:%d", n.ip, callPort) }

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.rig.program, "front") //nolint:noctx // The process is ended by kill.
	// If this process is killed, the node ends with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "SKYLARKLOOM_SETTINGS="+n.settings)
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, ownerOnly)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return firstError(err, log.Close())
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	n.rig.group.Go(func() error {
		defer close(done)
		err := cmd.Wait()
		n.rig.note("%s ended: %v", n.name, err)
		return log.Close()
	})
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rig.note("%s gets %s", n.name, s)
	return n.cmd.Process.Signal(s)
}

// kill ends the process if it runs.
func (n *node) kill() error {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return nil
	}
	select {
	case <-done:
		return nil
	default:
	}
	// An error means that the process has exited meanwhile.
	_ = cmd.Process.Kill()
	select {
	case <-done:
		return nil
	case <-time.After(exitWait):
		return fmt.Errorf("%s did not end", n.name)
	}
}

// awaitReady waits until the node's readiness check succeeds.
func (n *node) awaitReady() error {
	url := fmt.Sprintf("http://%s:%d/readyz", n.ip, readyPort)
	client := &http.Client{Timeout: time.Second}
	return await(readyWait, n.name+" to be ready", func() bool {
		res, err := client.Get(url) //nolint:noctx // The client has a timeout.
		if err != nil {
			return false
		}
		return res.Body.Close() == nil && res.StatusCode == http.StatusOK
	})
}

// await waits until a condition holds.
func await(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollPause) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("waited for %s in vain", what)
}

// addressesFree reports whether the addresses of the nodes can be used.
func (r *rig) addressesFree() error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", r.addressBase, callPort)) //nolint:noctx // Listen does not wait.
	if err != nil {
		return err
	}
	return l.Close()
}
