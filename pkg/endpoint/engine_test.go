package endpoint_test

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

const (
	prompt  = "A bedtime tale of a lost tooth, a toy rabbit and a coin, told to the youngest of four at the sea, please."
	patient = 20 * time.Second
)

func dial(e *standin.Engine) *endpoint.Engine {
	return endpoint.DialEngine(serve(e.Handler().ServeHTTP), &http.Client{Transport: &http.Transport{}})
}

var _ = Describe("The client of a model engine", func() {
	It("resumes an answer after the tokens that were delivered", func(ctx context.Context) {
		c := dial(&standin.Engine{Length: 8})
		var b strings.Builder
		g := engine.Generate{ID: "r", Attempt: 2, Prompt: prompt, Max: 100}
		for i := range 3 {
			g.Emitted = append(g.Emitted, standin.Text(prompt, i))
			b.WriteString(g.Emitted[i])
		}
		var last engine.Frame
		Expect(c.GenerateFunc(ctx, g, func(f engine.Frame) error {
			Expect(f.Attempt).To(Equal(2))
			b.WriteString(f.Text)
			last = f
			return nil
		})).To(Succeed())
		Expect(b.String()).To(Equal(standin.Answer(prompt, 8)))
		Expect(last.Done).To(BeTrue())
	})

	It("cancels a request, and breaks off when its context ends", func(ctx context.Context) {
		e := &standin.Engine{Length: 1 << 20, TokenTime: time.Millisecond}
		c := dial(e)
		err := c.GenerateFunc(ctx, engine.Generate{ID: "r", Prompt: prompt, Max: 1 << 20}, func(engine.Frame) error {
			return c.CancelFunc(ctx, "r")
		})
		var broken *endpoint.NotFinishedError
		Expect(err).To(BeAssignableToTypeOf(broken))
		ending, end := context.WithCancel(ctx)
		err = c.GenerateFunc(ending, engine.Generate{ID: "s", Prompt: prompt, Max: 1 << 20}, func(engine.Frame) error {
			end()
			return nil
		})
		Expect(err).To(MatchError(context.Canceled))
		Eventually(e.Cancels).WithTimeout(patient).Should(Equal(2))
		Expect(e.Running()).To(BeZero())
	})

	It("reads the load and the cache's events, and moves a cache", func(ctx context.Context) {
		from, to := dial(&standin.Engine{Slots: 4}), dial(&standin.Engine{})
		run := func(c *endpoint.Engine) (last engine.Frame) {
			Expect(c.GenerateFunc(ctx, engine.Generate{ID: "r", Prompt: prompt, Max: 100}, func(f engine.Frame) error {
				last = f
				return nil
			})).To(Succeed())
			return last
		}
		run(from)
		l, err := from.LoadFunc(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Slots).To(Equal(4))
		Expect(l.Cache).To(BeNumerically(">", 0))
		events, err := from.EventsFunc(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).NotTo(BeEmpty())
		rest, err := from.EventsFunc(ctx, events[0].Sequence+1)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(HaveLen(len(events) - 1))
		kv, err := from.ExportFunc(ctx, engine.Export{ID: "r"})
		Expect(err).NotTo(HaveOccurred())
		Expect(to.ImportFunc(ctx, kv)).To(Succeed())
		Expect(run(to).Cached).To(BeNumerically(">", 0))
		_, err = to.ExportFunc(ctx, engine.Export{ID: "none"})
		Expect(err).To(HaveOccurred())
	})

	It("sets states, and only some engines refuse old fencing numbers", func(ctx context.Context) {
		for _, fenced := range []bool{true, false} {
			c := dial(&standin.Engine{Fenced: fenced})
			Expect(c.CommandFunc(ctx, engine.Command{Kind: engine.CommandVersion, Value: "v2", Fence: 9})).To(Succeed())
			err := c.CommandFunc(ctx, engine.Command{Kind: engine.CommandVersion, Value: "v1", Fence: 8})
			Expect(err != nil).To(Equal(fenced))
		}
	})

	It("reports a load that lags", func(ctx context.Context) {
		c := dial(&standin.Engine{Lag: time.Hour})
		_, err := c.LoadFunc(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.CommandFunc(ctx, engine.Command{Kind: engine.CommandRole, Value: "prefill"})).To(Succeed())
		l, err := c.LoadFunc(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Role).To(BeEmpty())
	})
})

var _ = DescribeTable("An endpoint that is", func(ctx context.Context, state standin.State, started bool, runs int) {
	e := &standin.Engine{}
	e.Switch.Set(state)
	err := dial(e).CommandFunc(ctx, engine.Command{Kind: engine.CommandRole, Value: "decode"})
	Expect(endpoint.NotStarted(err)).To(Equal(!started), "%v", err)

	s := &standin.Service{Runs: &standin.Runs{}}
	s.Switch.Set(state)
	c := endpoint.DialService(serve(s.Handler().ServeHTTP), &http.Client{Transport: &http.Transport{}})
	_, serviceErr := c.CallFunc(ctx, endpoint.Call{Method: http.MethodPost, Path: "/", Key: "k"})
	Expect(endpoint.NotStarted(serviceErr)).To(Equal(!started), "%v", serviceErr)
	Expect(serviceErr == nil).To(Equal(err == nil))
	Expect(s.Runs.Counts()["k"]).To(Equal(runs))
},
	Entry("up", standin.StateUp, true, 1),
	Entry("slow", standin.StateSlow, true, 1),
	Entry("down", standin.StateDown, true, 0),
	Entry("losing answers", standin.StateLost, true, 1),
	Entry("refusing", standin.StateRefusing, false, 0),
)

var _ = DescribeTable("The path of an order", func(fence uint64) {
	seen := ""
	i := serve(func(_ http.ResponseWriter, r *http.Request) { seen = r.Header.Get(engine.FenceHeader) })
	_, err := endpoint.DialService(i, http.DefaultClient).CallFunc(context.Background(),
		endpoint.Call{Method: http.MethodPost, Path: "/", Key: "k", Fence: fleet.Fence(fence)})
	Expect(err).NotTo(HaveOccurred())
	Expect(seen).To(Equal("42"))
}, Entry("carries its fencing number", uint64(42)))
