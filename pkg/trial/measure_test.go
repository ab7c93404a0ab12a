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

// Sizes of the measurements.
const (
	calls       = 4000
	warmUp      = 500
	workers     = 8
	answerSize  = 32
	openStreams = 1000
)

var results strings.Builder

var _ = AfterSuite(func() {
	if path := os.Getenv("MEASURE_FILE"); path != "" {
		Expect(os.WriteFile(path, []byte(os.Getenv("MEASURE_HEAD")+"\n"+results.String()), 0o600)).To(Succeed())
	}
	GinkgoWriter.Println(results.String())
})

func report(format string, args ...any) { fmt.Fprintf(&results, format+"\n", args...) }

// sample is what one way of asking cost.
type sample struct {
	first, whole []time.Duration
	processor    time.Duration
}

func percentile(list []time.Duration, share float64) time.Duration {
	slices.Sort(list)
	return list[int(float64(len(list)-1)*share)]
}

func processorTime() time.Duration {
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// asker asks a question and calls begun at the first token.
type asker func(ctx context.Context, question string, begun func()) (string, error)

// measure asks one after the other, for latency, or by several workers, for
// the processor time.
func measure(ctx context.Context, by int, name string, a asker) (s sample) {
	var mu sync.Mutex
	one := func(n int, keep bool) error {
		question := fmt.Sprintf("Question %d of %s", n, name)
		start := time.Now()
		var first time.Duration
		text, err := a(ctx, question, func() { first = time.Since(start) })
		whole := time.Since(start)
		if err != nil {
			return err
		}
		if text != standin.Answer("user: "+question+"\n", answerSize) {
			return fmt.Errorf("the answer differs: %q", text)
		}
		mu.Lock()
		defer mu.Unlock()
		if keep {
			s.first, s.whole = append(s.first, first), append(s.whole, whole)
		}
		return nil
	}
	for n := range warmUp {
		Expect(one(n, false)).To(Succeed())
	}
	before := processorTime()
	var g errgroup.Group
	for w := range by {
		g.Go(func() error {
			for n := w; n < calls; n += by {
				if err := one(warmUp+n, true); err != nil {
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

// straight asks an engine without the proxy.
func straight(e *endpoint.Engine) asker {
	return func(ctx context.Context, question string, begun func()) (string, error) {
		var b strings.Builder
		g := engine.Generate{ID: fleet.RequestID(question), Prompt: "user: " + question + "\n", Max: 1 << 20}
		err := e.GenerateFunc(ctx, g, func(f engine.Frame) error {
			if begun != nil {
				begun()
				begun = nil
			}
			b.WriteString(f.Text)
			return nil
		})
		return b.String(), err
	}
}

func (o *outside) through(ctx context.Context, question string, begun func()) (string, error) {
	text, whole, err := o.stream(ctx, question, begun)
	if err == nil && !whole {
		err = fmt.Errorf("the stream was not whole: %q", text)
	}
	return text, err
}

// fastTrial is a try-out with engines of the given token time, asked at a node
// without the balancer.
func fastTrial(ctx context.Context, tokenTime time.Duration, length, slots int) *outside {
	o := &outside{
		trial: &trial.Trial{
			Slots:  slots,
			Engine: func() *standin.Engine { return &standin.Engine{TokenTime: tokenTime, Length: length, Slots: slots} },
		},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * openStreams}},
	}
	Expect(o.trial.Start(ctx)).To(Succeed())
	DeferCleanup(func(ctx context.Context) {
		o.client.CloseIdleConnections()
		Expect(o.trial.Drain(ctx)).To(Succeed())
		Expect(o.trial.Stop(ctx)).To(Succeed())
	})
	o.at.Callers, o.at.Keys = "http://"+o.trial.Nodes[0].Callers(), trial.Keys
	return o
}

func (o *outside) engine() *endpoint.Engine {
	for _, i := range o.trial.Nodes[0].Status().Instances {
		if i.Pool == trial.PoolModel {
			return endpoint.DialEngine(i, o.client)
		}
	}
	Fail("no engine")
	return nil
}

// heap returns the memory in use, heap and stacks, after a collection.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// open holds streams open and returns the memory that each takes, clients and
// engines included.
func open(ctx context.Context, name string, a asker) int64 {
	before := heap()
	ctx, leave := context.WithCancel(ctx)
	begun := make(chan struct{}, openStreams)
	var g errgroup.Group
	for n := range openStreams {
		g.Go(func() error {
			_, _ = a(ctx, fmt.Sprintf("Stream %d of %s", n, name), func() { begun <- struct{}{} })
			return nil
		})
	}
	for range openStreams {
		Eventually(begun).WithTimeout(patient).Should(Receive())
	}
	during := heap()
	leave()
	Expect(g.Wait()).To(Succeed())
	return (during - before) / openStreams
}

var _ = Describe("Measure the edge", Ordered, func() {
	It("adds latency and processor time", func(ctx context.Context) {
		o := fastTrial(ctx, 0, answerSize, 64)
		direct, proxied := straight(o.engine()), asker(o.through)
		d := measure(ctx, 1, "one straight", direct)
		p := measure(ctx, 1, "one through", proxied)
		load, err := os.ReadFile("/proc/loadavg")
		Expect(err).NotTo(HaveOccurred())
		report("load averages of the machine: %s", strings.TrimSpace(string(load)))
		report("one at a time, %d answers of %d tokens, each compared byte for byte:", calls, answerSize)
		for _, share := range []float64{0.5, 0.99} {
			report("  p%.0f first token straight %v, through %v, added %v; whole answer straight %v, through %v, added %v", share*100,
				percentile(d.first, share), percentile(p.first, share), percentile(p.first, share)-percentile(d.first, share),
				percentile(d.whole, share), percentile(p.whole, share), percentile(p.whole, share)-percentile(d.whole, share))
		}
		d = measure(ctx, workers, "many straight", direct)
		p = measure(ctx, workers, "many through", proxied)
		added := p.processor - d.processor
		report("%d at a time: processor time an answer straight %v, through %v; the proxy's share %v, %.0f answers/s a core",
			workers, d.processor, p.processor, added, float64(time.Second)/float64(added))
	}, NodeTimeout(10*time.Minute))

	It("holds streams open", func(ctx context.Context) {
		o := fastTrial(ctx, 50*time.Millisecond, 1<<20, openStreams)
		d := open(ctx, "straight", straight(o.engine()))
		p := open(ctx, "through", o.through)
		report("%d streams open at once: %d bytes a stream straight, %d through, the proxy's share %d", openStreams, d, p, p-d)
	}, NodeTimeout(5*time.Minute))
})
