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

var _ = Describe("From outside", func() {
	It("refuses wrong keys, unknown pools and calls without a key", func(ctx context.Context) {
		o := start(ctx)
		service := o.at.Callers + "/v1/services/" + string(trial.PoolService) + "/x"
		for _, c := range []struct {
			method, url, key string
			status           int
		}{
			{http.MethodGet, o.at.Callers + "/v1/models", "wrong", http.StatusUnauthorized},
			{http.MethodGet, o.at.Callers + "/v1/models/none", o.at.Keys[sellers], http.StatusNotFound},
			{http.MethodGet, o.at.Callers + "/v1/services/none/x", o.at.Keys[sellers], http.StatusNotFound},
			{http.MethodPost, service, o.at.Keys[sellers], http.StatusBadRequest},
			{http.MethodGet, o.at.Operators + "/v1/status", o.at.Keys[sellers], http.StatusUnauthorized},
		} {
			r, err := o.call(ctx, c.method, c.url, "", map[string]string{"Authorization": "Bearer " + c.key}, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Status).To(Equal(c.status), "%s %s: %s", c.method, c.url, r.Body)
		}
		Expect(o.runs(ctx)).To(BeEmpty())
	}, NodeTimeout(time.Minute))

	It("runs a key once on whichever nodes it is repeated, and keeps accounts apart", func(ctx context.Context) {
		o := start(ctx)
		var g errgroup.Group
		answers := make([]reply, 9)
		for i := range answers {
			g.Go(func() (err error) {
				answers[i], err = o.order(ctx, "http://"+o.trial.Nodes[i%3].Callers(), "one")
				return err
			})
		}
		Expect(g.Wait()).To(Succeed())
		for _, a := range answers {
			Expect(a.Status).To(Equal(http.StatusOK), a.Body)
			Expect(a.Body).To(Equal(answers[0].Body))
		}
		Expect(o.runs(ctx)).To(Equal(map[string]int{"one": 1}))
		for account, status := range map[fleet.AccountName]int{sellers: http.StatusOK, planner: http.StatusNotFound} {
			r, err := o.call(ctx, http.MethodGet, o.at.Callers+"/v1/requests/one", account, nil, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Status).To(Equal(status), r.Body)
		}
	}, NodeTimeout(time.Minute))

	DescribeTable("tells the truth about orders while the log is", func(ctx context.Context, state string) {
		o := start(ctx)
		o.control(ctx, "/log?state="+state)
		const orders = 12
		var g errgroup.Group
		answers := make([]reply, orders)
		for i := range answers {
			g.Go(func() (err error) {
				answers[i], err = o.order(ctx, "", fmt.Sprintf("%s-%d", state, i))
				return err
			})
		}
		g.Go(func() error {
			text, whole, err := o.stream(ctx, "Is the stall free?", nil)
			if err == nil && (!whole || text != wanted("Is the stall free?")) {
				err = fmt.Errorf("the stream was not whole: %q", text)
			}
			return err
		})
		Expect(g.Wait()).To(Succeed())
		o.control(ctx, "/log?state=up")
		Eventually(func(g Gomega) {
			r, err := o.order(ctx, "", state+"-after")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Status).To(Equal(http.StatusOK), r.Body)
		}).WithTimeout(patient).Should(Succeed())
		runs := o.runs(ctx)
		for i, a := range answers {
			key := fmt.Sprintf("%s-%d", state, i)
			judge(a, runs[key])
			if state == "down" {
				Expect(a.Header.Get(edge.OutcomeHeader)).To(Equal(string(fleet.OutcomeNotRun)), a.Body)
			}
		}
		Expect(runs[state+"-after"]).To(Equal(1))
	},
		Entry("down", NodeTimeout(time.Minute), "down"),
		Entry("slow", NodeTimeout(time.Minute), "slow"),
		Entry("losing answers", NodeTimeout(time.Minute), "lost"),
	)

	It("keeps streams whole while a zone is reclaimed", func(ctx context.Context) {
		o := start(ctx)
		const streams = 40
		begun := make(chan struct{}, streams)
		var g errgroup.Group
		for i := range streams {
			question := fmt.Sprintf("Plan %d: which flowers for which week?", i)
			g.Go(func() error {
				text, whole, err := o.stream(ctx, question, func() { begun <- struct{}{} })
				if err == nil && (!whole || text != wanted(question)) {
					err = fmt.Errorf("stream %d was not whole: %q", i, text)
				}
				return err
			})
		}
		<-begun
		o.control(ctx, "/reclaim?zone="+string(trial.ZoneFirst)+"&notice=20ms")
		Expect(g.Wait()).To(Succeed())
	}, NodeTimeout(time.Minute))

	It("cancels the stream at the engine of a caller who leaves", func(ctx context.Context) {
		o := start(ctx)
		leaving, leave := context.WithCancel(ctx)
		_, whole, _ := o.stream(leaving, "A question not waited for", leave)
		Expect(whole).To(BeFalse())
		Eventually(func() (cancels int) {
			for _, e := range o.trial.Cloud.Engines(trial.PoolModel) {
				cancels += e.Cancels()
			}
			return cancels
		}).WithTimeout(patient).Should(Equal(1))
	}, NodeTimeout(time.Minute))
})

// judge checks that an answer to an order agrees with how often it was run.
func judge(a reply, runs int) {
	GinkgoHelper()
	Expect(runs).To(BeNumerically("<=", 1), a.Body)
	outcome := fleet.Outcome(a.Header.Get(edge.OutcomeHeader))
	switch {
	case a.Status == http.StatusOK:
		Expect(runs).To(Equal(1), a.Body)
	case outcome == fleet.OutcomeNotRun:
		Expect(runs).To(Equal(0), a.Body)
	default:
		Expect(outcome).To(Equal(fleet.OutcomeUnknown), a.Body)
	}
}
