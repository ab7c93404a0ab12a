//go:build measure

package trial_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

// Sizes of the measurement.
const (
	calls          = 4000
	warmUp         = 500
	workers        = 8
	responseTokens = 32
	openStreams    = 1000
)

var results strings.Builder

var _ = AfterSuite(func() {
	if path := os.Getenv("MEASURE_FILE"); path != "" {
		Expect(os.WriteFile(path, []byte(os.Getenv("MEASURE_HEAD")+"\n"+results.String()), 0o600)).To(Succeed())
	}
	GinkgoWriter.Println(results.String())
})

func report(format string, args ...any) { fmt.Fprintf(&results, format+"\n", args...) }

// sample holds the latencies and the processor time per request of one series of
// requests.
type sample struct {
	first, total []time.Duration
	processor    time.Duration
}

func percentile(list []time.Duration, quantile float64) time.Duration {
	slices.Sort(list)
	return list[int(float64(len(list)-1)*quantile)]
}

func processorTime() time.Duration {
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// chatFunc sends a question, calls onFirst at the first token, and returns the
// response text.
type chatFunc func(ctx context.Context, question string, onFirst func()) (string, error)

// measure sends a series of requests with the given concurrency: 1 to measure
// latency, more to measure processor time.
func measure(ctx context.Context, concurrency int, name string, chat chatFunc) (s sample) {
	var mu sync.Mutex
	chatOnce := func(n int, keep bool) error {
		question := fmt.Sprintf("Question %d of %s", n, name)
		start := time.Now()
		var first time.Duration
		text, err := chat(ctx, question, func() { first = time.Since(start) })
		total := time.Since(start)
		if err != nil {
			return err
		}
		if text != standin.Response("user: "+question+"\n", responseTokens) {
			return fmt.Errorf("response differs from the expected text: %q", text)
		}
		mu.Lock()
		defer mu.Unlock()
		if keep {
			s.first, s.total = append(s.first, first), append(s.total, total)
		}
		return nil
	}
	for n := range warmUp {
		Expect(chatOnce(n, false)).To(Succeed())
	}
	before := processorTime()
	var g errgroup.Group
	for w := range concurrency {
		g.Go(func() error {
			for n := w; n < calls; n += concurrency {
				if err := chatOnce(warmUp+n, true); err != nil {
					return err
				}
			}
			return nil
		})
	}
	Expect(g.Wait()).To(Succeed())
	s.processor = (processorTime() - before) / calls
	return s
}

// chatDirect returns a chatFunc that calls the engine without the proxy.
func chatDirect(e *endpoint.Engine) chatFunc {
	return func(ctx context.Context, question string, onFirst func()) (string, error) {
		var b strings.Builder
		g := engine.GenerateRequest{ID: fleet.RequestID(question), Prompt: "user: " + question + "\n", Max: 1 << 20}
		err := e.GenerateFunc(ctx, g, func(f engine.Frame) error {
			if onFirst != nil {
				onFirst()
				onFirst = nil
			}
			b.WriteString(f.Text)
			return nil
		})
		return b.String(), err
	}
}

// chatThroughProxy is the chatFunc that sends the question to the node.
func (h *harness) chatThroughProxy(ctx context.Context, question string, onFirst func()) (string, error) {
	text, complete, err := h.stream(ctx, question, onFirst)
	if err == nil && !complete {
		err = fmt.Errorf("the stream was not complete: %q", text)
	}
	return text, err
}

// newFastHarness starts a trial whose engines have the given time per token. The
// client calls the first node without the balancer.
func newFastHarness(ctx context.Context, tokenTime time.Duration, length, slots int) *harness {
	h := &harness{
		trial: &trial.Trial{
			Slots: slots,
			Engine: func() *standin.Engine {
				return &standin.Engine{TokenTime: tokenTime, ResponseLength: length, Slots: slots}
			},
		},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * openStreams}},
	}
	Expect(h.trial.Start(ctx)).To(Succeed())
	DeferCleanup(func(ctx context.Context) {
		h.client.CloseIdleConnections()
		Expect(h.trial.Drain(ctx)).To(Succeed())
		Expect(h.trial.Stop(ctx)).To(Succeed())
	})
	h.addresses.Callers, h.addresses.Keys = "http://"+h.trial.Nodes[0].CallerAddress(), trial.Keys
	return h
}

func (h *harness) engine() *endpoint.Engine {
	for _, i := range h.trial.Nodes[0].Status().Instances {
		if i.Pool == trial.PoolModel {
			return endpoint.DialEngine(i, h.client)
		}
	}
	Fail("no engine")
	return nil
}

// memoryInUse returns the bytes in use by heap and stacks after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// memoryPerStream holds streams open and returns the memory per stream in bytes,
// clients and engines included.
func memoryPerStream(ctx context.Context, name string, chat chatFunc) int64 {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(ctx)
	started := make(chan struct{}, openStreams)
	var g errgroup.Group
	for n := range openStreams {
		g.Go(func() error {
			_, _ = chat(ctx, fmt.Sprintf("Stream %d of %s", n, name), func() { started <- struct{}{} })
			return nil
		})
	}
	for range openStreams {
		Eventually(started).WithTimeout(eventuallyTimeout).Should(Receive())
	}
	during := memoryInUse()
	cancel()
	Expect(g.Wait()).To(Succeed())
	return (during - before) / openStreams
}

var _ = Describe("Measure the edge", Ordered, func() {
	It("reports the added latency and processor time", func(ctx context.Context) {
		h := newFastHarness(ctx, 0, responseTokens, 64)
		direct, proxied := chatDirect(h.engine()), chatFunc(h.chatThroughProxy)
		d := measure(ctx, 1, "one straight", direct)
		p := measure(ctx, 1, "one through", proxied)
		load, err := os.ReadFile("/proc/loadavg")
		Expect(err).NotTo(HaveOccurred())
		report("load averages of the machine: %s", strings.TrimSpace(string(load)))
		report("one at a time, %d answers of %d tokens, each compared byte for byte:", calls, responseTokens)
		for _, quantile := range []float64{0.5, 0.99} {
			report("  p%.0f first token straight %v, through %v, added %v; whole answer straight %v, through %v, added %v", quantile*100,
				percentile(d.first, quantile), percentile(p.first, quantile), percentile(p.first, quantile)-percentile(d.first, quantile),
				percentile(d.total, quantile), percentile(p.total, quantile), percentile(p.total, quantile)-percentile(d.total, quantile))
		}
		d = measure(ctx, workers, "many straight", direct)
		p = measure(ctx, workers, "many through", proxied)
		added := p.processor - d.processor
		report("%d at a time: processor time an answer straight %v, through %v; the proxy's share %v, %.0f answers/s a core",
			workers, d.processor, p.processor, added, float64(time.Second)/float64(added))
	}, NodeTimeout(10*time.Minute))

	It("reports the memory per open stream", func(ctx context.Context) {
		h := newFastHarness(ctx, 50*time.Millisecond, 1<<20, openStreams)
		d := memoryPerStream(ctx, "straight", chatDirect(h.engine()))
		p := memoryPerStream(ctx, "through", h.chatThroughProxy)
		report("%d streams open at once: %d bytes a stream straight, %d through, the proxy's share %d", openStreams, d, p, p-d)
	}, NodeTimeout(5*time.Minute))
})
