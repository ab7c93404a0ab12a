//go:build measure

package trial_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

const (
	measureToken    = "token-of-the-measurement"
	measureWarmUp   = 15 * time.Second
	measureDuration = 20 * time.Second
	measureRounds   = 10
	// clockTick is the number of clock ticks per second in /proc/PID/stat.
	clockTick = 100.0
)

// daemonProcess is a daemon that runs as a process.
type daemonProcess struct {
	cmd       *exec.Cmd
	operators string
}

// usage holds the resource counters of a daemon: processor time in seconds, bytes
// sent to and received from peers, and resident memory in MB.
type usage struct{ processor, sent, received, resident float64 }

func (p *daemonProcess) get(path string) []byte {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.operators+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+measureToken)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	data, _ := io.ReadAll(res.Body)
	return data
}

func (p *daemonProcess) status() (s operate.Status) {
	_ = json.Unmarshal(p.get(operate.StatusPath), &s)
	return s
}

func (p *daemonProcess) usage() (u usage) {
	folder := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	Expect(err).NotTo(HaveOccurred())
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	u.processor = (user + system) / clockTick
	pages, _ := strconv.ParseFloat(fields[21], 64)
	u.resident = pages * float64(os.Getpagesize()) / (1 << 20)
	metrics := p.get("/metrics")
	u.sent, u.received = metric(metrics, "skylarkloom_peer_sent_bytes_total"), metric(metrics, "skylarkloom_peer_received_bytes_total")
	return u
}

func metric(text []byte, name string) float64 {
	m := regexp.MustCompile(`(?m)^` + name + ` (\S+)$`).FindSubmatch(text)
	if m == nil {
		return 0
	}
	v, _ := strconv.ParseFloat(string(m[1]), 64)
	return v
}

// startNodes starts the daemons of a fleet as processes.
func startNodes(folder string, nodes, dataCentres int, log, cloud string) (daemons []*daemonProcess) {
	type nodeAddresses struct{ name, dataCentre, callers, operators, peers string }
	var addresses []nodeAddresses
	var peers strings.Builder
	for n := range nodes {
		p := nodeAddresses{name: fmt.Sprintf("entry-%03d", n), dataCentre: fmt.Sprintf("dc%d", n%dataCentres)}
		for _, a := range []*string{&p.callers, &p.operators, &p.peers} {
			var err error
			*a, err = standin.FreeAddress()
			Expect(err).NotTo(HaveOccurred())
		}
		addresses = append(addresses, p)
		fmt.Fprintf(&peers, "    - {name: %s, datacentre: %s, address: %q}\n", p.name, p.dataCentre, p.peers)
	}
	for _, p := range addresses {
		text := fmt.Sprintf("node: %s\ndatacentre: %s\ncallers: {address: %q}\noperators: {address: %q, token: {variable: MEASURE_TOKEN}}\n"+
			"peers:\n  address: %q\n  token: {variable: MEASURE_TOKEN}\n  nodes:\n%splatform: {log: %q, list: %q, cloud: %q}\nlog: {level: error}\n",
			p.name, p.dataCentre, p.callers, p.operators, p.peers, peers.String(), log, cloud, cloud)
		file := filepath.Join(folder, p.name+".yaml")
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		c := exec.Command(os.Getenv("MEASURE_DAEMON"), "run", "--settings", file)
		c.Env = append(os.Environ(), "MEASURE_TOKEN="+measureToken)
		c.Stdout, c.Stderr = GinkgoWriter, GinkgoWriter
		Expect(c.Start()).To(Succeed())
		daemons = append(daemons, &daemonProcess{cmd: c, operators: p.operators})
	}
	return daemons
}

// killNodes kills each daemon and waits for its exit.
func killNodes(daemons []*daemonProcess) {
	for _, p := range daemons {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range daemons {
		_ = p.cmd.Wait()
	}
}

func measureFleet(nodes, dataCentres, endpoints int) (line string) {
	folder, err := os.MkdirTemp("", "measure")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = os.RemoveAll(folder) }()
	log := &standin.Log{Delay: 2 * time.Millisecond}
	zones := map[fleet.ZoneName]fleet.DataCentreName{}
	for c := range dataCentres {
		zones[fleet.ZoneName(fmt.Sprintf("zone-%d", c))] = fleet.DataCentreName(fmt.Sprintf("dc%d", c))
	}
	cloud := &standin.Cloud{
		Engine:      func(fleet.PoolName) *standin.Engine { return &standin.Engine{Slots: 16} },
		Kinds:       map[fleet.PoolName]fleet.Kind{trial.PoolModel: fleet.KindModel, trial.PoolService: fleet.KindService},
		DataCentres: zones,
	}
	defer cloud.Close()
	for e := range endpoints {
		zone := fleet.ZoneName(fmt.Sprintf("zone-%d", e%dataCentres))
		_, err := cloud.Start(platform.StartRequest{Pool: trial.PoolModel, Zone: zone, Class: "small", Market: fleet.MarketOnDemand})
		Expect(err).NotTo(HaveOccurred())
	}
	document := regexp.MustCompile(`(?m)^    workers:.*\n|^    offers:\n(      .*\n)*`).ReplaceAll(trial.Document(), nil)
	e, err := record.New(record.KindPublish, time.Now(), record.Publish{Document: document, Author: "measure"})
	Expect(err).NotTo(HaveOccurred())
	data, err := record.EncodeGroup([]record.Envelope{e})
	Expect(err).NotTo(HaveOccurred())
	log.Put(platform.StreamConfig, data)
	logs, err := standin.Serve(log.Handler())
	Expect(err).NotTo(HaveOccurred())
	defer logs.Close()
	clouds, err := standin.Serve(cloud.Handler())
	Expect(err).NotTo(HaveOccurred())
	defer clouds.Close()
	daemons := startNodes(folder, nodes, dataCentres, logs.URL(), clouds.URL())
	defer killNodes(daemons)
	for _, p := range daemons {
		Eventually(func() bool { return p.status().Ready }).WithTimeout(time.Minute).Should(BeTrue())
	}
	time.Sleep(measureWarmUp)
	line = fmt.Sprintf("nodes %d centres %d endpoints %d | %s", nodes, dataCentres, endpoints, measureIdle(daemons, log))
	return line + "\n  " + measurePublish(daemons, document)
}

// measureIdle measures processor time, memory, bytes and appends without requests.
func measureIdle(daemons []*daemonProcess, log *standin.Log) string {
	before := make([]usage, len(daemons))
	for i, p := range daemons {
		before[i] = p.usage()
	}
	appends, begin := log.Appends(), time.Now()
	time.Sleep(measureDuration)
	seconds := time.Since(begin).Seconds()
	var sum, highest usage
	for i, p := range daemons {
		u := p.usage()
		u.processor, u.sent, u.received = (u.processor-before[i].processor)/seconds, (u.sent-before[i].sent)/seconds, (u.received-before[i].received)/seconds
		sum.processor, sum.sent, sum.received, sum.resident = sum.processor+u.processor, sum.sent+u.sent, sum.received+u.received, sum.resident+u.resident
		highest.processor, highest.sent, highest.received, highest.resident = max(highest.processor, u.processor), max(highest.sent, u.sent), max(highest.received, u.received), max(highest.resident, u.resident)
	}
	n := float64(len(daemons))
	return fmt.Sprintf("mean/most a node: core %.2f/%.2f%%, resident %.0f/%.0f MB, peers sent %.0f/%.0f B/s, received %.0f/%.0f B/s | appends/s %.2f",
		100*sum.processor/n, 100*highest.processor, sum.resident/n, highest.resident, sum.sent/n, highest.sent, sum.received/n, highest.received,
		float64(log.Appends()-appends)/seconds)
}

// measurePublish measures how long a published configuration takes to be in force
// on all nodes.
func measurePublish(daemons []*daemonProcess, document []byte) string {
	var times []time.Duration
	for round := range measureRounds {
		body, err := json.Marshal(operate.Publish{Base: fleet.Revision(round + 1), Document: string(document) + fmt.Sprintf("# %d\n", round), Author: "measure", Message: "a round of the measurement"})
		Expect(err).NotTo(HaveOccurred())
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+daemons[round%len(daemons)].operators+operate.ConfigPath, bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+measureToken)
		begin := time.Now()
		res, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		_ = res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		pending := slices.Clone(daemons)
		for len(pending) > 0 {
			pending = slices.DeleteFunc(pending, func(p *daemonProcess) bool {
				if p.status().Revision < fleet.Revision(round+2) {
					return false
				}
				times = append(times, time.Since(begin))
				return true
			})
		}
	}
	slices.Sort(times)
	at := func(q float64) int { return int(times[int(q*float64(len(times)-1))].Milliseconds()) }
	return fmt.Sprintf("configuration in force, as seen by asking one node after the other: p50 %d p99 %d worst %d ms", at(0.5), at(0.99), at(1))
}

var _ = Describe("Measure the nodes", func() {
	It("reports usage and publish latency by fleet size", func() {
		out, err := os.Create(os.Getenv("MEASURE_NODES_FILE"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = out.Close() }()
		fmt.Fprintln(out, os.Getenv("MEASURE_HEAD"))
		fmt.Fprintln(out, "daemons as processes on loopback, at rest (no requests); bytes on the peers' connections with HTTP framing, without TCP and IP headers")
		for _, s := range [][3]int{{7, 1, 30}, {20, 3, 60}, {60, 6, 120}} {
			fmt.Fprintln(out, measureFleet(s[0], s[1], s[2]))
		}
	})
})
