package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

// failureRate returns the failure rate of the first endpoint of a handler.
func failureRate(h *Handler) float64 {
	return h.Tracker.Loads(h.Endpoints("desk")[:1], nil, "", clock.Now())[0].FailureRate
}

// Memory: a node kept what endpoints sent without end, each response up to its own limit.
var _ = ginkgo.Describe("A node with a budget for responses", func() {
	const budgetBytes intake.Bytes = 1 << 20
	withBudget := func(h *Handler) *intake.Budget {
		b := &intake.Budget{Limits: intake.Limits{Memory: budgetBytes}}
		h.Pool.Budget = b
		return b
	}
	endless := func(head, text string) func(io.Writer, *http.Request, int64, int64) bool {
		return func(w io.Writer, r *http.Request, _, _ int64) bool {
			write(w, sealedHead(r, "200 OK")+head+"\r\n")
			for block := strings.Repeat(text, 1+(16<<10)/len(text)); ; {
				if _, err := io.WriteString(w, block); err != nil {
					return false
				}
			}
		}
	}

	ginkgo.DescribeTable("counts a response without end against its endpoint and gets the answer from another one",
		func(path, head, text, soundAnswer string) {
			faulty := &rawEndpoint{respond: endless(head, text)}
			sound := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
				write(w, sealedHead(r, "200 OK")+soundAnswer)
				return false
			}}
			h := newHandler(faulty.start(), sound.start())
			budget := withBudget(h)
			got := call(startNode(h, nil), path, "r1")
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(failureRate(h)).To(BeNumerically(">", 0))
			Eventually(func() intake.Bytes { held, _ := budget.Held(); return held }).Should(BeZero())
		},
		ginkgo.Entry("with a length", "/look/1", fmt.Sprintf("Content-Length: %d\r\n", 1<<40), "x", "\r\nsound"),
		ginkgo.Entry("that ends with its connection", "/look/1", "", "x", "\r\nsound"),
		ginkgo.Entry("in chunks", "/look/1", chunked, "10\r\n0123456789abcdef\r\n", "\r\nsound"),
		ginkgo.Entry("in an event", "/tale/1", eventStream, "data: x\n", eventStream+"\r\n"+events(1, 2)),
	)

	ginkgo.It("does not count a response against its endpoint for which there is no room, and says that it may have run", func() {
		big := strings.Repeat("x", 200<<10)
		e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
			write(w, sealedHead(r, "200 OK")+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(big), big))
			return false
		}}
		h := newHandler(e.start())
		budget := withBudget(h)
		var other intake.Sender
		budget.Attach(&other)
		other.HeadComplete()
		Expect(other.Reserve(ginkgo.GinkgoT().Context(), budgetBytes)).To(Succeed())
		node := startNode(h, nil)
		Expect(call(node, "/look/1", "r1").status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
		Expect(failureRate(h)).To(BeZero())
		budget.Leave(&other)
		Expect(call(node, "/look/2", "r2")).To(Equal(reply{status: http.StatusOK, body: big}))
	})

	ginkgo.It("holds a response until its caller has it, and ends one that its caller does not read while others wait", func() {
		// Longer than what the kernel keeps for a caller.
		const length = 8 << 20
		e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
			write(w, sealedHead(r, "200 OK")+fmt.Sprintf("Content-Length: %d\r\n\r\n", length))
			write(w, strings.Repeat("x", length))
			return true
		}}
		h := newHandler(e.start())
		budget := withBudget(h)
		node := startNode(h, nil)
		silent, err := net.Dial("tcp", node)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = silent.Close() }()
		write(silent, "GET /look/1 HTTP/1.1\r\nHost: h\r\nSkylarkloom-Attempt-Id: r1\r\n\r\n")
		held := func() intake.Bytes {
			budget.Sweep(clock.Now())
			held, _ := budget.Held()
			return held
		}
		Eventually(held).Should(BeNumerically(">=", length))
		Consistently(held, "1500ms", "250ms").Should(BeNumerically(">=", length), "nobody waits")
		var group errgroup.Group
		var got reply
		answered := make(chan struct{})
		group.Go(func() error {
			defer close(answered)
			got = call(node, "/look/2", "r2")
			return nil
		})
		Eventually(func() <-chan struct{} { held(); return answered }, "5s", "100ms").Should(BeClosed())
		Expect(group.Wait()).To(Succeed())
		Expect(got.body).To(HaveLen(length))
		text, _ := io.ReadAll(silent)
		Expect(len(text)).To(BeNumerically("<", length), "it must not look complete")
	})
})
