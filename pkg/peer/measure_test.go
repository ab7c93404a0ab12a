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

// size is one fleet to measure.
type size struct {
	nodes, centres, endpoints int
	loss                      float64
}

const (
	warmUp   = 20 * time.Second
	steady   = 30 * time.Second
	rounds   = 6
	pollStep = 250 * time.Millisecond
	loadSize = 32
)

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// work reports loads and demand on all nodes for a while, as pollers would.
func (w *network) work(endpoints, centres int, d time.Duration) {
	load := make([]byte, loadSize)
	polled := make(map[*node][]fleet.Instance)
	for e := range endpoints {
		i := fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("i-%05d", e)), Incarnation: 1, DataCentre: centreOf(e % centres)}
		for _, n := range w.list {
			if n.Self.DataCentre == i.DataCentre && n.IsPoller(i) {
				polled[n] = append(polled[n], i)
			}
		}
	}
	for step := range int(d / pollStep) {
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
		time.Sleep(pollStep)
	}
}

// spread returns how long each node took to hear of something.
func (w *network) spread(begin time.Time, heard func(n *node) time.Time) (times []time.Duration, missed int) {
	for _, n := range w.list {
		n.mu.Lock()
		at := heard(n)
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
	return fmt.Sprintf("%s p50 %d p99 %d worst %d ms missed %d", name, at(0.5), at(0.99), at(1), missed)
}

func measure(s size) (line string) {
	bubble(s.nodes, s.centres, s.loss, func(_ Gomega, w *network) {
		w.work(s.endpoints, s.centres, warmUp)
		for _, n := range w.list {
			n.sentSince()
		}
		before := processorTime()
		calls := 0
		for _, n := range w.list {
			calls -= n.Stats().Exchanges
		}
		w.work(s.endpoints, s.centres, steady)
		processor := processorTime() - before
		total, most := 0, 0
		for _, n := range w.list {
			sent := n.sentSince()
			total, most = total+sent, max(most, sent)
			calls += n.Stats().Exchanges
		}
		seconds := steady.Seconds()
		per := float64(s.nodes) * seconds
		line = fmt.Sprintf("nodes %d centres %d endpoints %d loss %.2f | sent B/s a node mean %.0f most %.0f, exchanges/s %.2f | core %.3f%% a node, heap %d KB a node",
			s.nodes, s.centres, s.endpoints, s.loss, float64(total)/per, float64(most)/seconds, float64(calls)/per,
			100*processor.Seconds()/per, heap()/uint64(s.nodes)/1024)
		var marks, suspects, changes []time.Duration
		var lost [3]int
		for round := range rounds {
			from := w.list[round%len(w.list)]
			begin := time.Now()
			ref := leaving(fmt.Sprint("mark-", round)).Instance
			key := fmt.Sprint("suspect-", round)
			from.marked(leaving(string(ref.ID)))
			from.PublishSuspect(peer.Suspect{Key: key, Crashes: 1, Rank: 1})
			from.mu.Lock()
			from.known[key] = begin
			from.mu.Unlock()
			_ = from.learn(change(fleet.Revision(round + 1)))
			w.work(s.endpoints, s.centres, 15*time.Second)
			add := func(list *[]time.Duration, lost *int, heard func(n *node) time.Time) {
				times, missed := w.spread(begin, heard)
				*list = append(*list, times...)
				*lost += missed
			}
			add(&marks, &lost[0], func(n *node) time.Time { return n.marks[ref] })
			add(&suspects, &lost[1], func(n *node) time.Time { return n.known[key] })
			add(&changes, &lost[2], func(n *node) time.Time {
				if n.change.Revision < fleet.Revision(round+1) {
					return time.Time{}
				}
				return n.inForce
			})
		}
		deaths := 0
		for _, n := range w.list {
			deaths += n.deaths
		}
		line += fmt.Sprintf("\n  living nodes taken for dead %d times in all", deaths)
		line += "\n  " + summarise("mark", marks, lost[0]) + "\n  " + summarise("suspect", suspects, lost[1]) + "\n  " + summarise("configuration without the log", changes, lost[2])
	})
	return line
}

var _ = Describe("Measure", func() {
	It("the exchange by size", func() {
		out := os.Stdout
		if name := os.Getenv("MEASURE_FILE"); name != "" {
			f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY|os.O_CREATE, 0o644)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = f.Close() }()
			out = f
		}
		fmt.Fprintln(out, os.Getenv("MEASURE_HEAD"))
		fmt.Fprintln(out, "many nodes in one process, virtual time, message bodies without framing, 1.5 ms a hop")
		for _, s := range []size{{7, 1, 30, 0}, {20, 3, 100, 0}, {60, 6, 200, 0}, {60, 6, 600, 0}, {60, 6, 600, 0.05}, {340, 6, 600, 0}} {
			if only := os.Getenv("MEASURE_NODES"); only == "" || only == fmt.Sprint(s.nodes) {
				fmt.Fprintln(out, measure(s))
			}
		}
	})
})
