//go:build processes

package processes_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/standin"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

// daemonPath is the path of the daemon's binary, set by the make target.
var daemonPath = os.Getenv("SKYLARKLOOMD")

// daemonProcess is a daemon that runs as a process, with the addresses of its
// listeners and the path of its settings file.
type daemonProcess struct {
	name, callers, operators, peers string
	settings                        string
	cmd                             *exec.Cmd
}

// cluster is a fleet whose nodes run as processes. The stand-ins run in one more.
type cluster struct {
	folder   string
	standins *exec.Cmd
	trial.Addresses
	nodes []*daemonProcess
}

func startProcess(args ...string) (*exec.Cmd, io.Reader) {
	cmd := exec.Command(daemonPath, args...)
	out, err := cmd.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	cmd.Stderr = GinkgoWriter
	Expect(cmd.Start()).To(Succeed())
	return cmd, out
}

func newCluster(count int) *cluster {
	c := &cluster{folder: GinkgoT().TempDir()}
	var out io.Reader
	c.standins, out = startProcess("try", "--stay", "--bare")
	DeferCleanup(func() { stopProcess(c.standins, syscall.SIGTERM) })
	line, err := bufio.NewReader(out).ReadBytes('\n')
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(line, &c.Addresses)).To(Succeed())
	Expect(os.WriteFile(c.path("token"), []byte(c.Token), 0o600)).To(Succeed())
	for n := range count {
		c.nodes = append(c.nodes, &daemonProcess{name: fmt.Sprint("entry-", n+1), callers: freeAddress(), operators: freeAddress(), peers: freeAddress()})
	}
	for n := range c.nodes {
		c.writeSettings(n)
		c.startNode(n)
	}
	DeferCleanup(func() {
		for _, n := range c.nodes {
			stopProcess(n.cmd, syscall.SIGKILL)
		}
	})
	for n := range c.nodes {
		c.awaitReady(n)
	}
	return c
}

func freeAddress() string {
	address, err := standin.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

func (c *cluster) path(name string) string { return filepath.Join(c.folder, name) }

func (c *cluster) writeSettings(n int) {
	node := c.nodes[n]
	var b strings.Builder
	fmt.Fprintf(&b, "node: %s\ndatacentre: %s\n", node.name, dataCentre(n))
	fmt.Fprintf(&b, "callers: {address: %q}\noperators: {address: %q, token: {file: %q}}\n", node.callers, node.operators, c.path("token"))
	fmt.Fprintf(&b, "platform: {log: %q, list: %q, cloud: %q}\n", c.Platform.Log, c.Platform.InstanceList, c.Platform.Cloud)
	fmt.Fprintf(&b, "stop: {notice: 100ms}\npeers:\n  address: %q\n  token: {file: %q}\n  nodes:\n", node.peers, c.path("token"))
	for i, peer := range c.nodes {
		fmt.Fprintf(&b, "    - {name: %s, datacentre: %s, address: %q}\n", peer.name, dataCentre(i), peer.peers)
	}
	node.settings = c.path(node.name + ".yaml")
	Expect(os.WriteFile(node.settings, []byte(b.String()), 0o600)).To(Succeed())
}

func dataCentre(n int) string {
	if n%3 == 2 {
		return string(trial.DataCentreSecond)
	}
	return string(trial.DataCentreFirst)
}

func (c *cluster) startNode(n int) {
	c.nodes[n].cmd, _ = startProcess("run", "--settings", c.nodes[n].settings)
}

func (c *cluster) awaitReady(n int) {
	Eventually(func() int {
		res, err := http.Get("http://" + c.nodes[n].operators + "/readyz")
		if err != nil {
			return 0
		}
		defer func() { _ = res.Body.Close() }()
		return res.StatusCode
	}).WithTimeout(30 * time.Second).WithPolling(50 * time.Millisecond).Should(Equal(http.StatusOK))
}

// stopProcess sends a signal to a process that this test started, and SIGCONT
// before it in case the process is frozen, and waits for its exit.
func stopProcess(cmd *exec.Cmd, signal syscall.Signal) {
	if cmd == nil || cmd.ProcessState != nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(signal)
	_ = cmd.Wait()
}

// control sends a request to the control server of the stand-ins.
func (c *cluster) control(method, path string, result any) {
	req, err := http.NewRequestWithContext(context.Background(), method, c.Control+path, nil)
	Expect(err).NotTo(HaveOccurred())
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	Expect(res.StatusCode).To(Equal(http.StatusOK))
	if result != nil {
		Expect(json.NewDecoder(res.Body).Decode(result)).To(Succeed())
	}
}
