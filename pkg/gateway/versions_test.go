package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

var _ = ginkgo.Describe("A request of a pool whose new version is sampled", func() {
	ginkgo.It("goes to the old version if the sampled endpoints are overloaded", func() {
		respond := func(w io.Writer, r *http.Request, _, _ int64) bool {
			write(w, answer(r, "done"))
			return true
		}
		old, fresh := &rawEndpoint{respond: respond}, &rawEndpoint{respond: respond}
		h := newHandler(old.start(), fresh.start())
		routes := h.Config().Routes
		for i := range routes {
			routes[i].MaxAttempts = 1
		}
		listed := h.Endpoints("desk")
		for i, v := range []serving.Version{"v1", "v2"} {
			listed[i].Pool, listed[i].Version = "desk", v
		}
		now := clock.Now()
		h.Versions = &canary.Tracker{
			Bounds: canary.Bounds{ExposeShare: 0.1, ExposeSlack: 50, RollbackTime: 5 * time.Second}, Started: now.Add(-time.Minute),
			Nodes: func() int { return 1 }, Random: func() float64 { return 0 }, UnixTime: h.UnixTime,
		}
		order := canary.Order{Pool: "desk", To: "v2", Duration: time.Minute, Offset: 1}
		h.Versions.Observe("desk", listed, now)
		h.Versions.SetOrder(order, 0, now)
		h.Versions.SetState(canary.State{Order: order, Phase: canary.PhaseSampling, Number: 1}, now)
		h.Versions.Situation("desk", listed, 0, now)
		for range 300 {
			h.Tracker.Begin("e2", fleet.Tokens(0), now)
		}
		node := startNode(h, nil)
		call(node, "/tale/1", "a")
		Expect(fresh.requests.Load()).To(BeZero())
		Expect(old.requests.Load()).To(BeNumerically(">", 0))
	})
})
