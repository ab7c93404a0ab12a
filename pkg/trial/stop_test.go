package trial_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

// runLoad sends chat streams and orders from concurrent workers until stop is set,
// and counts them. An incomplete or wrong response is an error.
func (h *harness) runLoad(ctx context.Context, workers int, stop *atomic.Bool, streams, orders *atomic.Int64) *errgroup.Group {
	var g errgroup.Group
	for w := range workers {
		g.Go(func() error {
			for i := 0; !stop.Load(); i++ {
				question := fmt.Sprintf("Worker %d asks %d", w, i)
				text, complete, err := h.stream(ctx, question, nil)
				if err != nil || !complete || text != expectedResponse(question) {
					return errors.Newf("stream %d/%d: complete %v, error %v, text %q", w, i, complete, err, text)
				}
				streams.Add(1)
			}
			return nil
		})
		g.Go(func() error {
			for i := 0; !stop.Load(); i++ {
				key := fmt.Sprintf("order-%d-%d", w, i)
				r, err := h.order(ctx, "", key)
				if err != nil || r.Status != http.StatusOK {
					return errors.Newf("order %s: status %d, error %v, body %s", key, r.Status, err, r.Body)
				}
				orders.Add(1)
			}
			return nil
		})
	}
	return &g
}

var _ = Describe("A planned shutdown", func() {
	It("aborts no request while every node is replaced under load", func(ctx context.Context) {
		h := newHarness(ctx)
		var stop atomic.Bool
		var streams, orders atomic.Int64
		load := h.runLoad(ctx, 12, &stop, &streams, &orders)
		for n := range h.trial.Nodes {
			before := streams.Load()
			Expect(h.trial.Replace(ctx, n)).To(Succeed())
			Eventually(streams.Load).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", before))
		}
		stop.Store(true)
		Expect(load.Wait()).To(Succeed())
		runs := h.runs(ctx)
		Expect(runs).To(HaveLen(int(orders.Load())))
		for key, n := range runs {
			Expect(n).To(Equal(1), key)
		}
	}, NodeTimeout(time.Minute))

	It("does not wait for an unavailable log if there is nothing to write", func(ctx context.Context) {
		h := newHarness(ctx)
		h.control(ctx, "/log?state=down")
		r, err := h.order(ctx, "", "refused")
		Expect(err).NotTo(HaveOccurred())
		expectOutcomeMatchesRuns(r, 0)
		Expect(h.trial.Drain(ctx)).To(Succeed())
	}, NodeTimeout(time.Minute))

	It("completes requests in flight, refuses later ones, and leaves no goroutine", func(ctx context.Context) {
		earlier := goleak.IgnoreCurrent()
		h := &harness{trial: &trial.Trial{}, client: &http.Client{Timeout: time.Minute, Transport: &http.Transport{}}}
		Expect(h.trial.Start(ctx)).To(Succeed())
		var err error
		h.addresses, err = h.trial.Open()
		Expect(err).NotTo(HaveOccurred())
		var g errgroup.Group
		const streams = 20
		started := make(chan struct{}, streams)
		for i := range streams {
			question := fmt.Sprintf("The last question, number %d", i)
			g.Go(func() error {
				text, complete, err := h.stream(ctx, question, func() { started <- struct{}{} })
				if err == nil && (!complete || text != expectedResponse(question)) {
					err = fmt.Errorf("stream %d was not complete: %q", i, text)
				}
				return err
			})
		}
		for range streams {
			<-started
		}
		Expect(h.trial.Drain(ctx)).To(Succeed())
		Expect(g.Wait()).To(Succeed())
		for _, n := range h.trial.Nodes {
			Expect(n.Ready()).To(BeFalse())
			r, err := h.order(ctx, "http://"+n.CallerAddress(), "late")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
			expectOutcomeMatchesRuns(r, 0)
		}
		Expect(h.trial.Stop(ctx)).To(Succeed())
		h.client.CloseIdleConnections()
		Eventually(func() error { return goleak.Find(earlier) }).WithTimeout(eventuallyTimeout).Should(Succeed())
	}, NodeTimeout(time.Minute))
})
