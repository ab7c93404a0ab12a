package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

const (
	// heartbeatInterval is the time between two entries of a worker. An entry is removed after
	// missedBeats of them.
	heartbeatInterval = 1200 * time.Millisecond
	missedBeats       = 3
	// shutdownGrace is the time from SIGTERM to SIGKILL.
	shutdownGrace = 8 * time.Second
	// readyTimeout is how long the nodes may take to become ready.
	readyTimeout = 20 * time.Second
	// dirMode and fileMode are the modes of what a run writes.
	dirMode, fileMode = 0o755, 0o644
)

// settingsFormat has the settings of a small deployment: those of the smaller site file.
const settingsFormat = `nodeName: %q
role: "front"
machineClass: "front"
serves: ["front"]
ip: %q
zone: %q
region: "r"
zones: {za: "r", zb: "r", zc: "r"}
listen: {front: %q, ready: %q}
internalPorts: [%d, %d]
seeds: []
bootstrap: %t
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8,
  lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250, outerMs: 5000, strictRevocation: true, revokeMs: 5000,
  retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 54, quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 72000,
  requireFencing: false, leaseMs: 3000, thawSlackMs: 300, usageWindowS: 5, usageOff: 0.05, usageLateS: 10,
  recoverS: 12, passMs: 120, retryAfterS: 9}
platform: {address: %q, form: "log", writesPerS: 400, readsPerS: 2000}
cloud: {address: %q, duties: ["usage"], dutyPerS: 50.0}
`

// internalPorts is how many ports a node has for connections to other nodes.
const internalPorts = 16

// node is a process of the system.
type node struct {
	name, ip, callers, ready string
	zone, firstPort          int
	cmd                      *exec.Cmd
	log                      *os.File
}

// fleet is the platform's stand-ins with the nodes.
type fleet struct {
	record *record
	store  *standin.Store
	cloud  *standin.Cloud
	dir    string
	nodes  []*node
	group  errgroup.Group
	// storeAddress and cloudAddress are where the stand-ins listen.
	storeAddress, cloudAddress string
	version                    int
	// machines counts the machines that there were.
	machines int
	mu       sync.Mutex
}

// serve serves a handler on a free port of a loopback address.
func (f *fleet) serve(h http.Handler) (address string, err error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.group.Go(func() error { return http.Serve(listener, h) })
	return listener.Addr().String(), nil
}

// newFleet starts the stand-ins of the platform.
func newFleet(r *record) (f *fleet, err error) {
	f = &fleet{record: r, store: &standin.Store{}, cloud: &standin.Cloud{}}
	if f.dir, err = os.MkdirTemp("", "rig3-"); err != nil {
		return nil, err
	}
	if f.storeAddress, err = f.serve(f.store); err != nil {
		return nil, err
	}
	f.cloudAddress, err = f.serve(f.cloud)
	return f, err
}

// freePorts returns the first of n free ports in a row on an address.
func freePorts(ip string, n int) (int, error) {
	for first := 20000; first < 60000; first += 101 {
		free := true
		for i := 0; i < n && free; i++ {
			var listenConfig net.ListenConfig
			l, err := listenConfig.Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", ip, first+i))
			free = err == nil
			if err == nil {
				free = l.Close() == nil
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports on %s", ip)
}

// startNodes starts n nodes with the command of the deploy file, and waits until they are
// ready.
func (f *fleet) startNodes(n int) error {
	for range n {
		nd, err := f.addNode(len(f.nodes) % zones)
		if err != nil {
			return err
		}
		if err = f.start(nd, true); err != nil {
			return err
		}
		f.nodes = append(f.nodes, nd)
	}
	return f.awaitReady()
}

// zones is the number of zones.
const zones = 3

// zoneName returns the name of a zone.
func zoneName(n int) string { return []string{"za", "zb", "zc"}[n%zones] }

// addNode prepares a machine with an address of its own.
func (f *fleet) addNode(zone int) (*node, error) {
	f.machines++
	ip := fmt.Sprintf("127.0.0.%d", firstMachine+f.machines)
	first, err := freePorts(ip, internalPorts+2)
	if err != nil {
		return nil, err
	}
	nd := &node{
		name: fmt.Sprintf("front-%s-%d", zoneName(zone), f.machines), ip: ip, zone: zone, firstPort: first,
		callers: fmt.Sprintf("%s:%d", ip, first), ready: fmt.Sprintf("%s:%d", ip, first+1),
	}
	nd.log, err = os.Create(filepath.Join(f.dir, nd.name+".log"))
	return nd, err
}

// firstMachine is before the last part of the address of the first machine.
const firstMachine = 10

// start starts the process of a machine with the command of the deploy file. first is set
// when the whole system starts for the first time.
func (f *fleet) start(n *node, first bool) error {
	settings := filepath.Join(f.dir, n.name+".yaml")
	text := fmt.Sprintf(settingsFormat, n.name, n.ip, zoneName(n.zone), n.callers, n.ready, n.firstPort+2, n.firstPort+1+internalPorts, first, f.storeAddress, f.cloudAddress)
	if err := os.WriteFile(settings, []byte(text), fileMode); err != nil {
		return err
	}
	n.cmd = exec.CommandContext(context.Background(), "target/skylarkloomd", "front")
	n.cmd.Env = append(os.Environ(), "SKYLARKLOOM_SETTINGS="+settings)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	// A node ends with this program, also if that is killed.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

func (f *fleet) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, nd := range f.nodes {
			if nd.isReady() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
	}
	return fmt.Errorf("the nodes did not become ready in %s", readyTimeout)
}

// isReady asks a node as the platform does.
func (n *node) isReady() bool {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+n.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

// publish writes a configuration as the operator does. The return is its acknowledgement.
func (f *fleet) publish(what string, c map[string]any) error {
	f.mu.Lock()
	f.version += 3
	c["version"] = f.version
	f.mu.Unlock()
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f.store.Put("keyed.op", "config", data)
	f.record.add("operator: configuration %d acknowledged (%s)", c["version"], what)
	return nil
}

// stop ends all processes that this run started, and removes their files.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			f.record.add("%s had ended: %v", n.name, err)
		}
	}
	for _, n := range f.nodes {
		timer := time.AfterFunc(shutdownGrace, func() {
			if err := n.cmd.Process.Kill(); err != nil {
				f.record.add("%s: %v", n.name, err)
			}
		})
		if err := n.cmd.Wait(); err != nil {
			f.record.add("%s: %v", n.name, err)
		}
		timer.Stop()
		if err := n.log.Close(); err != nil {
			f.record.add("%s: %v", n.name, err)
		}
	}
	if os.Getenv("KEEP") != "" {
		f.record.add("logs are in %s", f.dir)
		return
	}
	if err := os.RemoveAll(f.dir); err != nil {
		f.record.add("temporary folder: %v", err)
	}
}
