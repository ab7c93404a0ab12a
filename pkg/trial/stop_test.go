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

// load streams and orders until it is stopped; any answer that is not whole is
// an error.
func (o *outside) load(ctx context.Context, workers int, stop *atomic.Bool, streams, orders *atomic.Int64) *errgroup.Group {
	var g errgroup.Group
	for w := range workers {
		g.Go(func() error {
			for i := 0; !stop.Load(); i++ {
				question := fmt.Sprintf("Worker %d asks %d", w, i)
				text, whole, err := o.stream(ctx, question, nil)
				if err != nil || !whole || text != wanted(question) {
					return errors.Newf("stream %d/%d: whole %v, error %v, text %q", w, i, whole, err, text)
				}
				streams.Add(1)
			}
			return nil
		})
		g.Go(func() error {
			for i := 0; !stop.Load(); i++ {
				key := fmt.Sprintf("order-%d-%d", w, i)
				r, err := o.order(ctx, "", key)
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

var _ = Describe("A planned stop", func() {
	It("cuts nothing while every node is replaced under load", func(ctx context.Context) {
		o := start(ctx)
		var stop atomic.Bool
		var streams, orders atomic.Int64
		load := o.load(ctx, 12, &stop, &streams, &orders)
		for n := range o.trial.Nodes {
			before := streams.Load()
			Expect(o.trial.Replace(ctx, n)).To(Succeed())
			Eventually(streams.Load).WithTimeout(patient).Should(BeNumerically(">", before))
		}
		stop.Store(true)
		Expect(load.Wait()).To(Succeed())
		runs := o.runs(ctx)
		Expect(runs).To(HaveLen(int(orders.Load())))
		for key, n := range runs {
			Expect(n).To(Equal(1), key)
		}
	}, NodeTimeout(time.Minute))

	It("does not wait for a log that is down if nothing must be written", func(ctx context.Context) {
		o := start(ctx)
		o.control(ctx, "/log?state=down")
		r, err := o.order(ctx, "", "refused")
		Expect(err).NotTo(HaveOccurred())
		judge(r, 0)
		Expect(o.trial.Drain(ctx)).To(Succeed())
	}, NodeTimeout(time.Minute))

	It("finishes what is in flight, refuses what comes after, and leaves no goroutine", func(ctx context.Context) {
		earlier := goleak.IgnoreCurrent()
		o := &outside{trial: &trial.Trial{}, client: &http.Client{Timeout: time.Minute, Transport: &http.Transport{}}}
		Expect(o.trial.Start(ctx)).To(Succeed())
		var err error
		o.at, err = o.trial.Open()
		Expect(err).NotTo(HaveOccurred())
		var g errgroup.Group
		const streams = 20
		begun := make(chan struct{}, streams)
		for i := range streams {
			question := fmt.Sprintf("The last question, number %d", i)
			g.Go(func() error {
				text, whole, err := o.stream(ctx, question, func() { begun <- struct{}{} })
				if err == nil && (!whole || text != wanted(question)) {
					err = fmt.Errorf("stream %d was not whole: %q", i, text)
				}
				return err
			})
		}
		for range streams {
			<-begun
		}
		Expect(o.trial.Drain(ctx)).To(Succeed())
		Expect(g.Wait()).To(Succeed())
		for _, n := range o.trial.Nodes {
			Expect(n.Ready()).To(BeFalse())
			r, err := o.order(ctx, "http://"+n.Callers(), "late")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
			judge(r, 0)
		}
		Expect(o.trial.Stop(ctx)).To(Succeed())
		o.client.CloseIdleConnections()
		Eventually(func() error { return goleak.Find(earlier) }).WithTimeout(patient).Should(Succeed())
	}, NodeTimeout(time.Minute))
})
