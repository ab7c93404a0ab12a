//go:build measure

package order_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/order"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

// Sizes of the measurements.
const (
	loadDuration  = 2 * time.Minute
	loadNodeCount = 3
	replayOrders  = 200_000
	bodyBytes     = 200
)

var results strings.Builder

var _ = AfterSuite(func() {
	if path := os.Getenv("MEASURE_FILE"); path != "" {
		Expect(os.WriteFile(path, []byte(os.Getenv("MEASURE_HEAD")+"\n"+results.String()), 0o600)).To(Succeed())
	}
	GinkgoWriter.Println(results.String())
})

func report(format string, args ...any) { fmt.Fprintf(&results, format+"\n", args...) }

// delayedClient returns a client of a log that responds after the given delay.
func delayedClient(log *standin.Log, delay time.Duration) *platform.Log {
	base := log.Client()
	return &platform.Log{
		AppendFunc: func(ctx context.Context, name platform.StreamName, data []byte) (fleet.Offset, error) {
			time.Sleep(delay / 2)
			offset, err := base.Append(ctx, name, data)
			time.Sleep(delay / 2)
			return offset, err
		},
		ReadFunc: func(ctx context.Context, name platform.StreamName, from fleet.Offset, limit int, wait time.Duration) (platform.Page, error) {
			time.Sleep(delay / 2)
			page, err := base.Read(ctx, name, from, limit, wait)
			time.Sleep(delay / 2)
			return page, err
		},
	}
}

// measureLoad runs orders at a rate (orders/s) over a log with the given delay, in
// virtual time.
func measureLoad(rate float64, delay time.Duration) {
	synctest.Test(suiteT, func(*testing.T) {
		log := &standin.Log{}
		ctx, stop := context.WithCancel(context.Background())
		var g errgroup.Group
		var executors []*order.Executor
		for i := range loadNodeCount {
			p := &order.Partition{}
			p.Stream = &journal.Stream{Log: delayedClient(log, delay), Name: platform.OrderStream(0), Apply: p.Apply, Applied: p.Applied, Save: p.Save, Load: p.Load}
			g.Go(func() error { return p.Stream.Run(ctx) })
			executors = append(executors, &order.Executor{
				Node:       fleet.NodeRef{Name: fleet.NodeName(fmt.Sprint(i)), Incarnation: 1},
				Partitions: []*order.Partition{p},
				Send: func(context.Context, order.Order) (order.Response, error) {
					return order.Response{Status: 200, Body: make([]byte, bodyBytes)}, nil
				},
			})
		}
		time.Sleep(10 * time.Second)
		var mu sync.Mutex
		var latencies []time.Duration
		random := rand.New(rand.NewPCG(1, 2))
		end := time.Now().Add(loadDuration)
		for i := 0; time.Now().Before(end); i++ {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			x := executors[random.IntN(loadNodeCount)]
			g.Go(func() error {
				began := time.Now()
				_, err := x.Run(ctx, newRequest(i, x.Node))
				mu.Lock()
				defer mu.Unlock()
				latencies = append(latencies, time.Since(began))
				return err
			})
		}
		time.Sleep(10 * time.Second)
		n, bytes := len(latencies), 0
		for _, x := range executors {
			bytes += x.Partitions[0].Stream.Stats().Bytes
		}
		slices.Sort(latencies)
		report("log answers in %5s, %4.0f orders/s: %.2f appends and %d bytes an order; added latency p50 %s, p99 %s (%d orders, virtual time)",
			delay, rate, float64(log.Appends())/float64(n), bytes/n, latencies[n/2].Round(time.Millisecond), latencies[n*99/100].Round(time.Millisecond), n)
		stop()
		Expect(g.Wait()).To(Succeed())
	})
}

func newRequest(i int, owner fleet.NodeRef) record.Accept {
	return record.Accept{
		Ref:      fleet.KeyRef{Account: "dezerter-sellers", Key: fleet.Key(fmt.Sprintf("8c1f4e52-7f0e-4b7e-9c52-%012d", i))},
		Digest:   fleet.Digest{byte(i), byte(i >> 8), byte(i >> 16)},
		Owner:    owner,
		Pool:     "cart-desk",
		Method:   "POST",
		Path:     "/reserve",
		Type:     "application/json",
		Body:     make([]byte, bodyBytes),
		Deadline: time.Now().Add(time.Minute),
		Window:   keyWindow,
	}
}

// appendOrders appends completed orders to a log.
func appendOrders(log *standin.Log) (records int) {
	owner := fleet.NodeRef{Name: "entry-1", Incarnation: 1}
	for i := range replayOrders {
		r := newRequest(i, owner)
		a, d, s := mustRecord(record.KindAccept, r), record.Envelope{}, record.Envelope{}
		d = mustRecord(record.KindDispatch, record.Dispatch{Ref: r.Ref, Accept: a.ID, Term: 1, Owner: owner})
		s = mustRecord(record.KindSettle, record.Settle{Ref: r.Ref, Accept: a.ID, Term: 1, Owner: owner, Outcome: fleet.OutcomeDone, Status: 200, Type: "application/json", Response: make([]byte, bodyBytes)})
		data, err := record.EncodeGroup([]record.Envelope{a, d, s})
		Expect(err).NotTo(HaveOccurred())
		log.Put(platform.OrderStream(0), data)
		records += 3
	}
	return records
}

func mustRecord(kind record.Kind, body any) record.Envelope {
	e, err := record.New(kind, time.Now(), body)
	Expect(err).NotTo(HaveOccurred())
	return e
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// loadPartition returns a partition that has read the log to its end, how long that
// took, and a function that stops it.
func loadPartition(log *standin.Log) (*order.Partition, time.Duration, func()) {
	ctx, stop := context.WithCancel(context.Background())
	p := &order.Partition{}
	p.Stream = &journal.Stream{Log: log.Client(), Name: platform.OrderStream(0), Apply: p.Apply, Applied: p.Applied, Save: p.Save, Load: p.Load}
	var g errgroup.Group
	startedAt := time.Now()
	g.Go(func() error { return p.Stream.Run(ctx) })
	Expect(p.Stream.WaitReady(ctx)).To(Succeed())
	return p, time.Since(startedAt), func() {
		stop()
		_ = g.Wait()
	}
}

var _ = Describe("Measure", Serial, func() {
	It("appends, bytes and latency of orders", func() {
		for _, delay := range []time.Duration{5 * time.Millisecond, 200 * time.Millisecond} {
			for _, rate := range []float64{1, 10, 100} {
				measureLoad(rate, delay)
			}
		}
	})

	It("replay rate, size of the state and start", func(ctx context.Context) {
		log := &standin.Log{}
		records := appendOrders(log)
		before := heapBytes()
		p, took, stop := loadPartition(log)
		report("replay of %d orders (%d records): %s, %.0f records/s; %d bytes of heap a key with a %d-byte answer", replayOrders, records, took.Round(time.Millisecond), float64(records)/took.Seconds(), (heapBytes()-before)/replayOrders, bodyBytes)
		state, err := p.Save()
		Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		Expect(p.Stream.Snapshot(ctx)).To(Succeed())
		report("snapshot of them: %d bytes a key, written in %s", len(state)/replayOrders, time.Since(began).Round(time.Millisecond))
		stop()
		log.DropBefore(platform.OrderStream(0), replayOrders)
		_, took, stop = loadPartition(log)
		report("ready from that snapshot in %s", took.Round(time.Millisecond))
		stop()
	})
})
