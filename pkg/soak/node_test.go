package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkloom/skylarkloom/platform"
)

// process is a node and its links. Its methods are safe for concurrent use.
type process struct {
	name, dataCentre string
	dir              string
	callerAddress    string
	probeAddress     string
	store, cloud     *link

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
	// incarnations counts the starts of the process.
	incarnations int
	// exitExpected is set once the test has sent a signal that ends the process.
	exitExpected bool
	// unexpectedExits describes the exits that no signal of the test caused.
	unexpectedExits []string
	// faults are the times in which a fault was injected into the node, shutdowns
	// those in which it was shut down and restarted.
	faults    timeSpans
	shutdowns timeSpans
	// halts are the times in which it was paused or killed.
	halts timeSpans
}

const settingsTemplate = `
nodeName: %s
ip: %s
zone: %s
zones: {a: r, b: r}
listen: {front: "%s", ready: "%s"}
internalPorts: [7600, 7615]
limits: {cpuShare: 1, cores: 1, memoryMb: 256}
bounds: {graceS: 6, revokeMs: 3000, strictRevocation: true, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 50,
  quotaWindowS: 8, quotaSlack: 1000, leaseMs: 3000, usageWindowS: 1, usageLateS: 10}
platform: {address: "%s"}
cloud: {address: "%s", duties: [usage]}
`

// newProcess creates the links, settings and log file of a node that listens on
// the loopback address ip. It does not start the node.
func newProcess(dir, name, dataCentre, ip, store, cloud string) (p *process, err error) {
	p = &process{name: name, dataCentre: dataCentre, dir: dir, callerAddress: ip + ":8080", probeAddress: ip + ":8081"}
	if p.store, err = newLink(store); err != nil {
		return nil, err
	}
	if p.cloud, err = newLink(cloud); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsTemplate, name, ip, dataCentre, p.callerAddress, p.probeAddress, p.store.address(), p.cloud.address())
	if err = os.WriteFile(p.settingsPath(), []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(dir, name+".log"))
	return p, err
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, p.name+".yaml") }

// start starts the program unless it is running.
func (p *process) start(program string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(program, "front")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.exitExpected = cmd, done, false
	p.incarnations++
	background.Go(func() error {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.exitExpected {
			p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
		}
		p.cmd = nil
		close(done)
		return nil
	})
	return nil
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.exitExpected = p.exitExpected || s == syscall.SIGKILL || s == syscall.SIGTERM
	// An error means that the process has exited meanwhile.
	_ = p.cmd.Process.Signal(s)
}

// wait waits at most maxWait for the process to exit and reports whether it has.
func (p *process) wait(maxWait time.Duration) bool {
	p.mu.Lock()
	running, done := p.cmd != nil, p.done
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(maxWait):
		return false
	}
}

func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations
}

func (p *process) ready() bool {
	res, err := http.Get("http://" + p.probeAddress + "/readyz")
	if err != nil {
		return false
	}
	// Only the status matters.
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// timeSpans is a set of time spans, of which some may still be open.
type timeSpans struct {
	mu  sync.Mutex
	all [][2]time.Time
}

// begin begins a span and returns the function that ends it.
func (s *timeSpans) begin() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.all)
	s.all = append(s.all, [2]time.Time{time.Now(), {}})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.all[i][1] = time.Now()
	}
}

// overlaps reports whether a span overlaps the time between from and to.
func (s *timeSpans) overlaps(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, span := range s.all {
		if span[0].Before(to) && (span[1].IsZero() || span[1].After(from)) {
			return true
		}
	}
	return false
}
