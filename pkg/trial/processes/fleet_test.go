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

// program is the daemon's binary; the make target sets where it is.
var program = os.Getenv("SKYLARKLOOMD")

// node is one daemon that runs as a process.
type node struct {
	name, callers, operators, peers string
	settings                        string
	process                         *exec.Cmd
}

// world is the stand-ins and the nodes, each as a process.
type world struct {
	folder   string
	standins *exec.Cmd
	trial.Addresses
	nodes []*node
}

func start(arguments ...string) (*exec.Cmd, io.Reader) {
	c := exec.Command(program, arguments...)
	out, err := c.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	c.Stderr = GinkgoWriter
	Expect(c.Start()).To(Succeed())
	return c, out
}

func newWorld(count int) *world {
	w := &world{folder: GinkgoT().TempDir()}
	var out io.Reader
	w.standins, out = start("try", "--stay", "--bare")
	DeferCleanup(func() { stop(w.standins, syscall.SIGTERM) })
	line, err := bufio.NewReader(out).ReadBytes('\n')
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(line, &w.Addresses)).To(Succeed())
	Expect(os.WriteFile(w.path("token"), []byte(w.Token), 0o600)).To(Succeed())
	for n := range count {
		w.nodes = append(w.nodes, &node{name: fmt.Sprint("entry-", n+1), callers: free(), operators: free(), peers: free()})
	}
	for n := range w.nodes {
		w.write(n)
		w.run(n)
	}
	DeferCleanup(func() {
		for _, n := range w.nodes {
			stop(n.process, syscall.SIGKILL)
		}
	})
	for n := range w.nodes {
		w.ready(n)
	}
	return w
}

func free() string {
	address, err := standin.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

func (w *world) path(name string) string { return filepath.Join(w.folder, name) }

func (w *world) write(n int) {
	self := w.nodes[n]
	var b strings.Builder
	fmt.Fprintf(&b, "node: %s\ndatacentre: %s\n", self.name, centre(n))
	fmt.Fprintf(&b, "callers: {address: %q}\noperators: {address: %q, token: {file: %q}}\n", self.callers, self.operators, w.path("token"))
	fmt.Fprintf(&b, "platform: {log: %q, list: %q, cloud: %q}\n", w.Platform.Log, w.Platform.List, w.Platform.Cloud)
	fmt.Fprintf(&b, "stop: {notice: 100ms}\npeers:\n  address: %q\n  token: {file: %q}\n  nodes:\n", self.peers, w.path("token"))
	for i, o := range w.nodes {
		fmt.Fprintf(&b, "    - {name: %s, datacentre: %s, address: %q}\n", o.name, centre(i), o.peers)
	}
	self.settings = w.path(self.name + ".yaml")
	Expect(os.WriteFile(self.settings, []byte(b.String()), 0o600)).To(Succeed())
}

func centre(n int) string {
	if n%3 == 2 {
		return string(trial.CentreTwo)
	}
	return string(trial.CentreOne)
}

func (w *world) run(n int) {
	w.nodes[n].process, _ = start("run", "--settings", w.nodes[n].settings)
}

func (w *world) ready(n int) {
	Eventually(func() int {
		res, err := http.Get("http://" + w.nodes[n].operators + "/readyz")
		if err != nil {
			return 0
		}
		defer func() { _ = res.Body.Close() }()
		return res.StatusCode
	}).WithTimeout(30 * time.Second).WithPolling(50 * time.Millisecond).Should(Equal(http.StatusOK))
}

// stop ends a process that this test started and waits for it.
func stop(c *exec.Cmd, s syscall.Signal) {
	if c == nil || c.ProcessState != nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Signal(s)
	_ = c.Wait()
}

// control calls the control address of the stand-ins.
func (w *world) control(method, path string, answer any) {
	req, err := http.NewRequestWithContext(context.Background(), method, w.Control+path, nil)
	Expect(err).NotTo(HaveOccurred())
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	Expect(res.StatusCode).To(Equal(http.StatusOK))
	if answer != nil {
		Expect(json.NewDecoder(res.Body).Decode(answer)).To(Succeed())
	}
}
