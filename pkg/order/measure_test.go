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
	loadTime   = 2 * time.Minute
	loadNodes  = 3
	foldOrders = 200_000
	bodyBytes  = 200
)

var results strings.Builder

var _ = AfterSuite(func() {
	if path := os.Getenv("MEASURE_FILE"); path != "" {
		Expect(os.WriteFile(path, []byte(os.Getenv("MEASURE_HEAD")+"\n"+results.String()), 0o600)).To(Succeed())
	}
	GinkgoWriter.Println(results.String())
})

func report(format string, args ...any) { fmt.Fprintf(&results, format+"\n", args...) }

// remote returns a client of a log whose answers take the given time.
func remote(log *standin.Log, delay time.Duration) *platform.Log {
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

// load runs orders at a rate over a log, in virtual time.
func load(rate float64, delay time.Duration) {
	synctest.Test(suite, func(*testing.T) {
		log := &standin.Log{}
		ctx, stop := context.WithCancel(context.Background())
		var g errgroup.Group
		var desks []*order.Executor
		for i := range loadNodes {
			p := &order.Partition{}
			p.Stream = &journal.Stream{Log: remote(log, delay), Name: platform.OrderStream(0), Apply: p.Apply, Applied: p.Applied, Save: p.Save, Load: p.Load}
			g.Go(func() error { return p.Stream.Run(ctx) })
			desks = append(desks, &order.Executor{
				Node:       fleet.NodeRef{Name: fleet.NodeName(fmt.Sprint(i)), Incarnation: 1},
				Partitions: []*order.Partition{p},
				Send: func(context.Context, order.Order) (order.Reply, error) {
					return order.Reply{Status: 200, Body: make([]byte, bodyBytes)}, nil
				},
			})
		}
		time.Sleep(10 * time.Second)
		var mu sync.Mutex
		var took []time.Duration
		random := rand.New(rand.NewPCG(1, 2))
		end := time.Now().Add(loadTime)
		for i := 0; time.Now().Before(end); i++ {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			d := desks[random.IntN(loadNodes)]
			g.Go(func() error {
				began := time.Now()
				_, err := d.Run(ctx, newRequest(i, d.Node))
				mu.Lock()
				defer mu.Unlock()
				took = append(took, time.Since(began))
				return err
			})
		}
		time.Sleep(10 * time.Second)
		n, bytes := len(took), 0
		for _, d := range desks {
			bytes += d.Partitions[0].Stream.Stats().Bytes
		}
		slices.Sort(took)
		report("log answers in %5s, %4.0f orders/s: %.2f appends and %d bytes an order; added latency p50 %s, p99 %s (%d orders, virtual time)",
			delay, rate, float64(log.Appends())/float64(n), bytes/n, took[n/2].Round(time.Millisecond), took[n*99/100].Round(time.Millisecond), n)
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

// fill appends finished orders to a log.
func fill(log *standin.Log) (records int) {
	owner := fleet.NodeRef{Name: "entry-1", Incarnation: 1}
	for i := range foldOrders {
		r := newRequest(i, owner)
		a, d, s := mustRecord(record.KindAccept, r), record.Envelope{}, record.Envelope{}
		d = mustRecord(record.KindDispatch, record.Dispatch{Ref: r.Ref, Accept: a.ID, Term: 1, Owner: owner})
		s = mustRecord(record.KindSettle, record.Settle{Ref: r.Ref, Accept: a.ID, Term: 1, Owner: owner, Outcome: fleet.OutcomeDone, Status: 200, Type: "application/json", Answer: make([]byte, bodyBytes)})
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

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// ready returns a partition that has read the log to its end, and how long that took.
func ready(log *standin.Log) (*order.Partition, time.Duration, func()) {
	ctx, stop := context.WithCancel(context.Background())
	p := &order.Partition{}
	p.Stream = &journal.Stream{Log: log.Client(), Name: platform.OrderStream(0), Apply: p.Apply, Applied: p.Applied, Save: p.Save, Load: p.Load}
	var g errgroup.Group
	began := time.Now()
	g.Go(func() error { return p.Stream.Run(ctx) })
	Expect(p.Stream.WaitReady(ctx)).To(Succeed())
	return p, time.Since(began), func() {
		stop()
		_ = g.Wait()
	}
}

var _ = Describe("Measure", Serial, func() {
	It("appends, bytes and latency of orders", func() {
		for _, delay := range []time.Duration{5 * time.Millisecond, 200 * time.Millisecond} {
			for _, rate := range []float64{1, 10, 100} {
				load(rate, delay)
			}
		}
	})

	It("fold rate, state and start", func(ctx context.Context) {
		log := &standin.Log{}
		records := fill(log)
		before := heap()
		p, took, stop := ready(log)
		report("replay of %d orders (%d records): %s, %.0f records/s; %d bytes of heap a key with a %d-byte answer", foldOrders, records, took.Round(time.Millisecond), float64(records)/took.Seconds(), (heap()-before)/foldOrders, bodyBytes)
		state, err := p.Save()
		Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		Expect(p.Stream.Snapshot(ctx)).To(Succeed())
		report("snapshot of them: %d bytes a key, written in %s", len(state)/foldOrders, time.Since(began).Round(time.Millisecond))
		stop()
		log.Lapse(platform.OrderStream(0), foldOrders)
		_, took, stop = ready(log)
		report("ready from that snapshot in %s", took.Round(time.Millisecond))
		stop()
	})
})
