//go:build measure

package peer_test

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/peer"
)

// fleetSize is the size of a fleet to measure.
type fleetSize struct {
	nodes, dataCentres, endpoints int
	loss                          float64
}

const (
	warmUpTime      = 20 * time.Second
	measuredTime    = 30 * time.Second
	rounds          = 6
	pollInterval    = 250 * time.Millisecond
	loadReportBytes = 32
)

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// generateLoad lets the pollers of each endpoint report its load and every node
// report a changing demand, for a duration.
func (w *network) generateLoad(endpoints, dataCentres int, d time.Duration) {
	load := make([]byte, loadReportBytes)
	polled := make(map[*node][]fleet.Instance)
	for e := range endpoints {
		i := fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("i-%05d", e)), Incarnation: 1, DataCentre: dataCentreName(e % dataCentres)}
		for _, n := range w.list {
			if n.Self.DataCentre == i.DataCentre && n.IsPoller(i) {
				polled[n] = append(polled[n], i)
			}
		}
	}
	for step := range int(d / pollInterval) {
		for k, n := range w.list {
			for _, i := range polled[n] {
				n.ReportLoad(i, load)
			}
			n.mu.Lock()
			n.rates = map[fleet.AccountName]float64{}
			for a := range 5 {
				n.rates[fleet.AccountName(fmt.Sprint("account-", a))] = float64(10 + (step/20+k+a)%4)
			}
			n.mu.Unlock()
		}
		time.Sleep(pollInterval)
	}
}

// propagationTimes returns how long each node took to receive something, and how
// many nodes have not received it.
func (w *network) propagationTimes(begin time.Time, receivedAt func(n *node) time.Time) (times []time.Duration, missed int) {
	for _, n := range w.list {
		n.mu.Lock()
		at := receivedAt(n)
		n.mu.Unlock()
		if at.IsZero() {
			missed++
			continue
		}
		times = append(times, at.Sub(begin))
	}
	return times, missed
}

func summarise(name string, times []time.Duration, missed int) string {
	slices.Sort(times)
	at := func(q float64) int { return int(times[int(q*float64(len(times)-1))].Milliseconds()) }
	return fmt.Sprintf("%s p50 %d p99 %d max %d ms missed %d", name, at(0.5), at(0.99), at(1), missed)
}

func measure(s fleetSize) (line string) {
	runNetwork(s.nodes, s.dataCentres, s.loss, func(_ Gomega, w *network) {
		w.generateLoad(s.endpoints, s.dataCentres, warmUpTime)
		for _, n := range w.list {
			n.takeSentBytes()
		}
		before := cpuTime()
		exchanges := 0
		for _, n := range w.list {
			exchanges -= n.Stats().Exchanges
		}
		w.generateLoad(s.endpoints, s.dataCentres, measuredTime)
		processorTime := cpuTime() - before
		total, highest := 0, 0
		for _, n := range w.list {
			sent := n.takeSentBytes()
			total, highest = total+sent, max(highest, sent)
			exchanges += n.Stats().Exchanges
		}
		seconds := measuredTime.Seconds()
		nodeSeconds := float64(s.nodes) * seconds
		line = fmt.Sprintf("nodes %d data centres %d endpoints %d loss %.2f | sent B/s per node mean %.0f max %.0f, exchanges/s %.2f | core %.3f%% per node, heap %d KB per node",
			s.nodes, s.dataCentres, s.endpoints, s.loss, float64(total)/nodeSeconds, float64(highest)/seconds, float64(exchanges)/nodeSeconds,
			100*processorTime.Seconds()/nodeSeconds, heapBytes()/uint64(s.nodes)/1024)
		var conditionReports, suspects, changes []time.Duration
		var missed [3]int
		for round := range rounds {
			from := w.list[round%len(w.list)]
			begin := time.Now()
			ref := leavingReport(fmt.Sprint("mark-", round)).Instance
			key := fmt.Sprint("suspect-", round)
			from.reportCondition(leavingReport(string(ref.ID)))
			from.PublishSuspect(peer.Suspect{Key: key, Crashes: 1, Rank: 1})
			from.mu.Lock()
			from.suspectedAt[key] = begin
			from.mu.Unlock()
			_ = from.applyConfig(newChange(fleet.Revision(round + 1)))
			w.generateLoad(s.endpoints, s.dataCentres, 15*time.Second)
			add := func(list *[]time.Duration, missed *int, receivedAt func(n *node) time.Time) {
				times, count := w.propagationTimes(begin, receivedAt)
				*list = append(*list, times...)
				*missed += count
			}
			add(&conditionReports, &missed[0], func(n *node) time.Time { return n.conditionReceivedAt[ref] })
			add(&suspects, &missed[1], func(n *node) time.Time { return n.suspectedAt[key] })
			add(&changes, &missed[2], func(n *node) time.Time {
				if n.change.Revision < fleet.Revision(round+1) {
					return time.Time{}
				}
				return n.appliedAt
			})
		}
		deaths := 0
		for _, n := range w.list {
			deaths += n.deaths
		}
		line += fmt.Sprintf("\n  live nodes considered dead %d times in total", deaths)
		line += "\n  " + summarise("mark", conditionReports, missed[0]) + "\n  " + summarise("suspect", suspects, missed[1]) + "\n  " + summarise("configuration without the log", changes, missed[2])
	})
	return line
}

var _ = Describe("Measure", func() {
	It("the exchange by fleet size", func() {
		out := os.Stdout
		if name := os.Getenv("MEASURE_FILE"); name != "" {
			f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY|os.O_CREATE, 0o644)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = f.Close() }()
			out = f
		}
		fmt.Fprintln(out, os.Getenv("MEASURE_HEAD"))
		fmt.Fprintln(out, "many nodes in one process, virtual time, message bodies without framing, 1.5 ms per hop")
		for _, s := range []fleetSize{{7, 1, 30, 0}, {20, 3, 100, 0}, {60, 6, 200, 0}, {60, 6, 600, 0}, {60, 6, 600, 0.05}, {340, 6, 600, 0}} {
			if only := os.Getenv("MEASURE_NODES"); only == "" || only == fmt.Sprint(s.nodes) {
				fmt.Fprintln(out, measure(s))
			}
		}
	})
})
