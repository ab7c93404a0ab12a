package endpoint_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

const (
	prompt      = "A bedtime tale of a lost tooth, a toy rabbit and a coin, told to the youngest of four at the sea, please."
	waitTimeout = 20 * time.Second
)

func dialEngine(e *standin.Engine) *endpoint.Engine {
	return endpoint.DialEngine(serveInstance(e.Handler().ServeHTTP), &http.Client{Transport: &http.Transport{}})
}

var _ = Describe("The client of a model engine", func() {
	It("resumes a response after the tokens that were emitted", func(ctx context.Context) {
		c := dialEngine(&standin.Engine{ResponseLength: 8})
		var b strings.Builder
		g := engine.GenerateRequest{ID: "r", Attempt: 2, Prompt: prompt, Max: 100}
		for i := range 3 {
			g.Emitted = append(g.Emitted, standin.ResponseToken(prompt, i))
			b.WriteString(g.Emitted[i])
		}
		var lastFrame engine.Frame
		Expect(c.GenerateFunc(ctx, g, func(f engine.Frame) error {
			Expect(f.Attempt).To(Equal(2))
			b.WriteString(f.Text)
			lastFrame = f
			return nil
		})).To(Succeed())
		Expect(b.String()).To(Equal(standin.Response(prompt, 8)))
		Expect(lastFrame.Done).To(BeTrue())
	})

	// Memory: a report without end was read until the caller gave up, and kept.
	DescribeTable("does not read a report without end", func(ctx context.Context, report func(context.Context, *endpoint.Engine) error, begin string) {
		// The kernel's buffers of both ends hold some megabytes.
		const maxAccepted = 24 << 20
		var accepted atomic.Int64
		instance := serveInstance(func(w http.ResponseWriter, _ *http.Request) {
			n, err := io.WriteString(w, begin)
			for block := strings.Repeat("a", 32<<10); err == nil && accepted.Add(int64(n)) < 2*maxAccepted; {
				n, err = io.WriteString(w, block)
			}
		})
		c := endpoint.DialEngine(instance, &http.Client{Transport: &http.Transport{}})
		Expect(report(ctx, c)).To(MatchError(ContainSubstring("exceeds the size limit")))
		Expect(accepted.Load()).To(BeNumerically("<", maxAccepted))
	},
		Entry("of its load", func(ctx context.Context, c *endpoint.Engine) error {
			_, err := c.LoadFunc(ctx)
			return err
		}, `{"unknown": "`),
		Entry("of its cache", func(ctx context.Context, c *endpoint.Engine) error {
			_, err := c.EventsFunc(ctx, 0)
			return err
		}, `[{"unknown": "`),
	)

	It("cancels a request, and ends the stream when its context ends", func(ctx context.Context) {
		e := &standin.Engine{ResponseLength: 1 << 20, TokenTime: time.Millisecond}
		c := dialEngine(e)
		err := c.GenerateFunc(ctx, engine.GenerateRequest{ID: "r", Prompt: prompt, Max: 1 << 20}, func(engine.Frame) error {
			return c.CancelFunc(ctx, "r")
		})
		var notFinished *endpoint.NotFinishedError
		Expect(err).To(BeAssignableToTypeOf(notFinished))
		cancelCtx, cancel := context.WithCancel(ctx)
		err = c.GenerateFunc(cancelCtx, engine.GenerateRequest{ID: "s", Prompt: prompt, Max: 1 << 20}, func(engine.Frame) error {
			cancel()
			return nil
		})
		Expect(err).To(MatchError(context.Canceled))
		Eventually(e.Cancels).WithTimeout(waitTimeout).Should(Equal(2))
		Expect(e.Running()).To(BeZero())
	})

	It("reads the load and the cache events, and moves a KV cache", func(ctx context.Context) {
		source, target := dialEngine(&standin.Engine{Slots: 4}), dialEngine(&standin.Engine{})
		generate := func(c *endpoint.Engine) (lastFrame engine.Frame) {
			Expect(c.GenerateFunc(ctx, engine.GenerateRequest{ID: "r", Prompt: prompt, Max: 100}, func(f engine.Frame) error {
				lastFrame = f
				return nil
			})).To(Succeed())
			return lastFrame
		}
		generate(source)
		l, err := source.LoadFunc(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Slots).To(Equal(4))
		Expect(l.Cache).To(BeNumerically(">", 0))
		events, err := source.EventsFunc(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).NotTo(BeEmpty())
		laterEvents, err := source.EventsFunc(ctx, events[0].Sequence+1)
		Expect(err).NotTo(HaveOccurred())
		Expect(laterEvents).To(HaveLen(len(events) - 1))
		cache, err := source.ExportFunc(ctx, engine.ExportRequest{ID: "r"})
		Expect(err).NotTo(HaveOccurred())
		Expect(target.ImportFunc(ctx, cache)).To(Succeed())
		Expect(generate(target).Cached).To(BeNumerically(">", 0))
		_, err = target.ExportFunc(ctx, engine.ExportRequest{ID: "none"})
		Expect(err).To(HaveOccurred())
	})

	It("sets states, and rejects an old fencing number only if the engine checks it", func(ctx context.Context) {
		for _, fenced := range []bool{true, false} {
			c := dialEngine(&standin.Engine{Fenced: fenced})
			Expect(c.CommandFunc(ctx, engine.Command{Kind: engine.CommandVersion, Value: "v2", Fence: 9})).To(Succeed())
			err := c.CommandFunc(ctx, engine.Command{Kind: engine.CommandVersion, Value: "v1", Fence: 8})
			Expect(err != nil).To(Equal(fenced))
		}
	})

	It("reads a delayed load report", func(ctx context.Context) {
		c := dialEngine(&standin.Engine{Lag: time.Hour})
		_, err := c.LoadFunc(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.CommandFunc(ctx, engine.Command{Kind: engine.CommandRole, Value: "prefill"})).To(Succeed())
		l, err := c.LoadFunc(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Role).To(BeEmpty())
	})
})

var _ = DescribeTable("The client of an endpoint that is", func(ctx context.Context, state standin.State, started bool, runs int) {
	e := &standin.Engine{}
	e.FaultState.Set(state)
	err := dialEngine(e).CommandFunc(ctx, engine.Command{Kind: engine.CommandRole, Value: "decode"})
	Expect(endpoint.NotStarted(err)).To(Equal(!started), "%v", err)

	s := &standin.Service{Runs: &standin.Runs{}}
	s.FaultState.Set(state)
	c := endpoint.DialService(serveInstance(s.Handler().ServeHTTP), &http.Client{Transport: &http.Transport{}})
	_, serviceErr := c.CallFunc(ctx, endpoint.ServiceCall{Method: http.MethodPost, Path: "/", Key: "k"})
	Expect(endpoint.NotStarted(serviceErr)).To(Equal(!started), "%v", serviceErr)
	Expect(serviceErr == nil).To(Equal(err == nil))
	Expect(s.Runs.Counts()["k"]).To(Equal(runs))
},
	Entry("up", standin.StateUp, true, 1),
	Entry("slow", standin.StateSlow, true, 1),
	Entry("down", standin.StateDown, true, 0),
	Entry("losing responses", standin.StateLost, true, 1),
	Entry("refusing", standin.StateRefusing, false, 0),
)

var _ = DescribeTable("The call of an order", func(fence uint64) {
	received := ""
	i := serveInstance(func(_ http.ResponseWriter, r *http.Request) { received = r.Header.Get(engine.FenceHeader) })
	_, err := endpoint.DialService(i, http.DefaultClient).CallFunc(context.Background(),
		endpoint.ServiceCall{Method: http.MethodPost, Path: "/", Key: "k", Fence: fleet.Fence(fence)})
	Expect(err).NotTo(HaveOccurred())
	Expect(received).To(Equal("42"))
}, Entry("carries its fencing number", uint64(42)))
