//go:build crowds

// Package crowd_test sends what callers outside the limits send to a node in a process of
// its own, and checks that the node lives within the memory and the descriptors of its
// settings and still serves an ordinary request. Run it with 'make crowds', apart from
// other load.
package crowd_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/platform"
	"github.com/skylarkloom/skylarkloom/platform/standin"
)

// The settings of the node. The memory is that of the smallest machine; the descriptors are
// fewer, so that a small crowd exceeds them.
const (
	memoryMiB      = 144
	maxDescriptors = 500
	// fileDescriptors are the descriptors that are reserved for files. Sockets and pipes
	// share the others.
	fileDescriptors = 200
)

// The limits of the configuration.
const (
	maxHeadBytes = 16 << 10
	maxBodyBytes = 4 << 20
)

func TestCrowd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crowd")
}

const settingsTemplate = `
nodeName: n1
ip: %[1]s
zone: a
zones: {a: r}
listen: {front: "%[1]s:8080", ready: "%[1]s:8081"}
internalPorts: [7600, 7615]
bootstrap: true
limits: {cpuShare: 1, cores: 1, memoryMb: %[2]d, maxFds: %[3]d}
bounds: {graceS: 6, revokeMs: 3000, strictRevocation: true, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 50,
  quotaWindowS: 8, quotaSlack: 1000, leaseMs: 3000, usageWindowS: 1, usageLateS: 10}
platform: {address: "%[4]s"}
cloud: {address: "%[4]s", duties: []}
`

const configTemplate = `{
"version": 3,
"routes": [{"name": "desk", "host": "h.example", "pathPrefix": "/desk/", "kind": "safe", "timeoutMs": 20000,
  "targetLatencyMs": 400, "priority": 1, "service": "desk", "attempts": 2},
  {"name": "bulk", "host": "h.example", "pathPrefix": "/bulk/", "kind": "safe", "timeoutMs": 6000,
  "targetLatencyMs": 400, "priority": 1, "service": "bulk", "attempts": 2},
  {"name": "talk", "host": "h.example", "pathPrefix": "/talk/", "kind": "streaming", "resumable": true, "timeoutMs": 6000,
  "targetLatencyMs": 400, "gapAimMs": 400, "priority": 1, "service": "talk", "attempts": 2}],
"services": [{"name": "desk", "maxConns": 50}, {"name": "bulk", "maxConns": 100},
  {"name": "talk", "maxConns": 100, "engine": {"slots": 64, "stride": 3}}],
"limits": {"maxHeaderBytes": %d, "maxBodyBytes": %d, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}
}`

// workerTemplate is the entry of an endpoint.
const workerTemplate = `{"service": %q, "address": %q, "zone": "a", "slots": 64, "state": "ready", "version": "v1", "seqNo": 1, "born": 0,
  "stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}]}`

// worker is an endpoint of a service beside the ordinary one.
type worker struct {
	service string
	handler http.Handler
}

// node is a node in a process of its own, with a stand-in for the store and one endpoint.
type node struct {
	ip  string
	cmd *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	group  errgroup.Group
	// mu guards maxDescriptors, the largest number of descriptors seen.
	mu             sync.Mutex
	maxDescriptors int
}

// nodes counts the nodes; each has a loopback address of its own.
var nodes int

// startNode starts a node beside workers and waits until it is ready. The process is killed
// at the end of the spec.
func startNode(workers ...worker) *node {
	var store standin.Store
	return startNodeWith(&store, serve(&store), workers)
}

// startNodeWith starts a node that reaches its store at an address.
func startNodeWith(store *standin.Store, storeAddress string, workers []worker) *node {
	nodes++
	n := &node{ip: fmt.Sprintf("127.103.38.%d", nodes), exited: make(chan struct{})}
	endpoint := &standin.Endpoint{ID: "e1"}
	store.Put("keyed.op", "config", fmt.Appendf(nil, configTemplate, maxHeadBytes, maxBodyBytes))
	store.Put("keyed.servers", endpoint.ID, fmt.Appendf(nil,
		`{"service": "desk", "address": %q, "zone": "a", "slots": 64, "state": "ready", "version": "v1", "seqNo": 1, "born": 0}`, serve(endpoint)))
	for i, w := range workers {
		store.Put("keyed.servers", fmt.Sprint("w", i+1), fmt.Appendf(nil, workerTemplate, w.service, serve(w.handler)))
	}
	dir := GinkgoT().TempDir()
	settings := filepath.Join(dir, "n1.yaml")
	text := fmt.Sprintf(settingsTemplate, n.ip, memoryMiB, maxDescriptors, storeAddress)
	Expect(os.WriteFile(settings, []byte(text), 0o600)).To(Succeed())
	log, err := os.Create(filepath.Join(dir, "n1.log"))
	Expect(err).NotTo(HaveOccurred())
	n.cmd = exec.Command(os.Getenv("SKYLARKLOOMD"), "front")
	n.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	Expect(n.cmd.Start()).To(Succeed())
	n.group.Go(func() error {
		defer close(n.exited)
		return n.cmd.Wait()
	})
	n.group.Go(func() error {
		n.watchDescriptors()
		return nil
	})
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			text, _ := os.ReadFile(log.Name())
			GinkgoWriter.Println(string(text[max(0, len(text)-4000):]))
		}
		// The process may have exited.
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.group.Wait()
		_ = log.Close()
	})
	Eventually(func() int { return statusOf(http.Get("http://" + n.ip + ":8081/readyz")) }).
		WithTimeout(30 * time.Second).WithPolling(50 * time.Millisecond).Should(Equal(http.StatusOK))
	return n
}

// serve serves a handler until the end of the spec and returns its address.
func serve(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// statusOf returns the status of a response, or 0 if there is none.
func statusOf(res *http.Response, err error) int {
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// watchDescriptors records the largest number of descriptors until the process exits.
func (n *node) watchDescriptors() {
	for {
		n.countDescriptors()
		select {
		case <-n.exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// countDescriptors counts the descriptors that are open and returns the largest number seen.
func (n *node) countDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	n.mu.Lock()
	defer n.mu.Unlock()
	// The process may have exited.
	if err == nil {
		n.maxDescriptors = max(n.maxDescriptors, len(entries))
	}
	return n.maxDescriptors
}

// peakMemory returns the largest resident memory of the process so far, in KiB.
func (n *node) peakMemory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred(), "the process must live")
	_, after, found := strings.Cut(string(text), "VmHWM:")
	Expect(found).To(BeTrue(), "the process must live")
	size, err := strconv.Atoi(strings.Fields(after)[0])
	Expect(err).NotTo(HaveOccurred())
	return size
}
