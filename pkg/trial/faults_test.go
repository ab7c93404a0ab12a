package trial_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

var _ = Describe("The trial fleet", func() {
	It("refuses wrong bearer keys, unknown pools and orders without an idempotency key", func(ctx context.Context) {
		h := newHarness(ctx)
		service := h.addresses.Callers + "/v1/services/" + string(trial.PoolService) + "/x"
		for _, c := range []struct {
			method, url, key string
			status           int
		}{
			{http.MethodGet, h.addresses.Callers + "/v1/models", "wrong", http.StatusUnauthorized},
			{http.MethodGet, h.addresses.Callers + "/v1/models/none", h.addresses.Keys[sellers], http.StatusNotFound},
			{http.MethodGet, h.addresses.Callers + "/v1/services/none/x", h.addresses.Keys[sellers], http.StatusNotFound},
			{http.MethodPost, service, h.addresses.Keys[sellers], http.StatusBadRequest},
			{http.MethodGet, h.addresses.Operators + "/v1/status", h.addresses.Keys[sellers], http.StatusUnauthorized},
		} {
			r, err := h.call(ctx, c.method, c.url, "", map[string]string{"Authorization": "Bearer " + c.key}, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Status).To(Equal(c.status), "%s %s: %s", c.method, c.url, r.Body)
		}
		Expect(h.runs(ctx)).To(BeEmpty())
	}, NodeTimeout(time.Minute))

	It("runs an order once per idempotency key, whichever nodes receive it, and hides it from other accounts", func(ctx context.Context) {
		h := newHarness(ctx)
		var g errgroup.Group
		replies := make([]reply, 9)
		for i := range replies {
			g.Go(func() (err error) {
				replies[i], err = h.order(ctx, "http://"+h.trial.Nodes[i%3].CallerAddress(), "one")
				return err
			})
		}
		Expect(g.Wait()).To(Succeed())
		for _, r := range replies {
			Expect(r.Status).To(Equal(http.StatusOK), r.Body)
			Expect(r.Body).To(Equal(replies[0].Body))
		}
		Expect(h.runs(ctx)).To(Equal(map[string]int{"one": 1}))
		for account, status := range map[fleet.AccountName]int{sellers: http.StatusOK, planner: http.StatusNotFound} {
			r, err := h.call(ctx, http.MethodGet, h.addresses.Callers+"/v1/requests/one", account, nil, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Status).To(Equal(status), r.Body)
		}
	}, NodeTimeout(time.Minute))

	DescribeTable("reports correct outcomes of orders and keeps streams complete while the log is", func(ctx context.Context, state string) {
		h := newHarness(ctx)
		h.control(ctx, "/log?state="+state)
		const orders = 12
		var g errgroup.Group
		replies := make([]reply, orders)
		for i := range replies {
			g.Go(func() (err error) {
				replies[i], err = h.order(ctx, "", fmt.Sprintf("%s-%d", state, i))
				return err
			})
		}
		g.Go(func() error {
			text, complete, err := h.stream(ctx, "Is the stall free?", nil)
			if err == nil && (!complete || text != expectedResponse("Is the stall free?")) {
				err = fmt.Errorf("the stream was not complete: %q", text)
			}
			return err
		})
		Expect(g.Wait()).To(Succeed())
		h.control(ctx, "/log?state=up")
		Eventually(func(g Gomega) {
			r, err := h.order(ctx, "", state+"-after")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Status).To(Equal(http.StatusOK), r.Body)
		}).WithTimeout(eventuallyTimeout).Should(Succeed())
		runs := h.runs(ctx)
		for i, r := range replies {
			key := fmt.Sprintf("%s-%d", state, i)
			expectOutcomeMatchesRuns(r, runs[key])
			if state == "down" {
				Expect(r.Header.Get(edge.OutcomeHeader)).To(Equal(string(fleet.OutcomeNotRun)), r.Body)
			}
		}
		Expect(runs[state+"-after"]).To(Equal(1))
	},
		Entry("down", NodeTimeout(time.Minute), "down"),
		Entry("slow", NodeTimeout(time.Minute), "slow"),
		Entry("losing responses", NodeTimeout(time.Minute), "lost"),
	)

	It("keeps streams complete while a zone is reclaimed", func(ctx context.Context) {
		h := newHarness(ctx)
		const streams = 40
		started := make(chan struct{}, streams)
		var g errgroup.Group
		for i := range streams {
			question := fmt.Sprintf("Plan %d: which flowers for which week?", i)
			g.Go(func() error {
				text, complete, err := h.stream(ctx, question, func() { started <- struct{}{} })
				if err == nil && (!complete || text != expectedResponse(question)) {
					err = fmt.Errorf("stream %d was not complete: %q", i, text)
				}
				return err
			})
		}
		<-started
		h.control(ctx, "/reclaim?zone="+string(trial.ZoneFirst)+"&notice=20ms")
		Expect(g.Wait()).To(Succeed())
	}, NodeTimeout(time.Minute))

	It("cancels the stream at the engine when the caller disconnects", func(ctx context.Context) {
		h := newHarness(ctx)
		callerCtx, disconnect := context.WithCancel(ctx)
		_, complete, _ := h.stream(callerCtx, "A question not waited for", disconnect)
		Expect(complete).To(BeFalse())
		Eventually(func() (cancels int) {
			for _, e := range h.trial.Cloud.Engines(trial.PoolModel) {
				cancels += e.Cancels()
			}
			return cancels
		}).WithTimeout(eventuallyTimeout).Should(Equal(1))
	}, NodeTimeout(time.Minute))
})

// expectOutcomeMatchesRuns checks that the outcome in the response to an order
// agrees with the number of times the service ran it.
func expectOutcomeMatchesRuns(r reply, runs int) {
	GinkgoHelper()
	Expect(runs).To(BeNumerically("<=", 1), r.Body)
	outcome := fleet.Outcome(r.Header.Get(edge.OutcomeHeader))
	switch {
	case r.Status == http.StatusOK:
		Expect(runs).To(Equal(1), r.Body)
	case outcome == fleet.OutcomeNotRun:
		Expect(runs).To(Equal(0), r.Body)
	default:
		Expect(outcome).To(Equal(fleet.OutcomeUnknown), r.Body)
	}
}
