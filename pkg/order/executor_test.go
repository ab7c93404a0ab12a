package order_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/order"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// onOneNode runs a test on a cluster of one node, in virtual time.
func onOneNode(f func(c *cluster, n *node)) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			c := newCluster(1)
			defer c.stop()
			defer GinkgoRecover()
			time.Sleep(time.Second)
			f(c, c.nodes[0])
		})
	}
}

func newAccept(n *node, key fleet.Key, deadline time.Duration) record.Accept {
	return record.Accept{
		Ref:      fleet.KeyRef{Account: "sellers", Key: key},
		Owner:    n.ref,
		Deadline: time.Now().Add(deadline),
		Window:   keyWindow,
	}
}

var _ = Describe("An executor", func() {
	It("runs an order once for many callers on one node", onOneNode(func(c *cluster, n *node) {
		for range 20 {
			c.group.Go(func() error {
				_, err := n.executor.Run(context.Background(), newAccept(n, "k", callTimeout))
				return err
			})
		}
		time.Sleep(callTimeout)
		synctest.Wait()
		Expect(c.runs).To(HaveLen(1))
		for _, runs := range c.runs {
			Expect(runs).To(Equal(1))
		}
	}))

	It("accepts no orders if the stream holds a record of a newer version", onOneNode(func(c *cluster, n *node) {
		e := accept(record.NewID(time.Now()), false)
		e.Version = record.Version + 1
		data, err := record.EncodeGroup([]record.Envelope{e})
		Expect(err).NotTo(HaveOccurred())
		c.appendEntry(platform.OrderStream(0), data)
		time.Sleep(time.Second)
		_, err = n.executor.Run(context.Background(), newAccept(n, "k", callTimeout))
		var notRun *order.NotRunError
		Expect(errors.As(err, &notRun)).To(BeTrue())
		Expect(c.runs).To(BeEmpty())
	}))

	It("completes a drain only after the outcome of each sent order is in the log", onOneNode(func(c *cluster, n *node) {
		c.endpoint = endpointSlow
		r := newAccept(n, "k", asyncTimeout)
		_, err := n.executor.Enqueue(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		Expect(n.worker.Drain(context.Background())).To(Succeed())
		o, _ := n.partition.Get(r.Ref)
		Expect(o.Status).To(Equal(order.StatusSettled))
	}))

	It("leaves orders that it has not started to other nodes when it drains", onOneNode(func(_ *cluster, n *node) {
		Expect(n.worker.Drain(context.Background())).To(Succeed())
		r := newAccept(n, "k", asyncTimeout)
		_, err := n.executor.Enqueue(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(callTimeout)
		o, _ := n.partition.Get(r.Ref)
		Expect(o.Status).To(Equal(order.StatusAccepted))
	}))

	// The fuzz does not always reach this state: an append of the node that was delayed
	// takes effect just before its next one.
	It("does not send in the background on a dispatch of another call", onOneNode(func(c *cluster, n *node) {
		// The worker scans at each 100 ms and must not dispatch the order before the pause.
		time.Sleep(50 * time.Millisecond)
		r := newAccept(n, "k", asyncTimeout)
		o, err := n.executor.Enqueue(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		// The worker's dispatch waits here while the delayed one is appended.
		n.pause()
		time.Sleep(150 * time.Millisecond)
		c.mu.Lock()
		entries := len(c.fullLog[platform.OrderStream(0)])
		c.mu.Unlock()
		Expect(entries).To(Equal(1))
		e, err := record.New(record.KindDispatch, time.Now(), record.Dispatch{Ref: r.Ref, Accept: o.Accept, Term: o.Term, Owner: n.ref})
		Expect(err).NotTo(HaveOccurred())
		data, err := record.EncodeGroup([]record.Envelope{e})
		Expect(err).NotTo(HaveOccurred())
		c.appendEntry(platform.OrderStream(0), data)
		n.resume()
		time.Sleep(callTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		Expect(c.runs).To(BeEmpty())
	}))

	It("reports an order as unknown if the deadline passes first, and records its final outcome", onOneNode(func(c *cluster, n *node) {
		c.endpoint = endpointSlow
		r := newAccept(n, "k", time.Second)
		c.group.Go(func() error {
			_, _ = n.executor.Run(context.Background(), r)
			return nil
		})
		time.Sleep(100 * time.Millisecond)
		_, err := n.executor.Run(context.Background(), r)
		var unknown *order.UnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		time.Sleep(callTimeout)
		o, _ := n.partition.Get(r.Ref)
		Expect(o.Final()).To(BeTrue())
		Expect(o.Open()).To(BeFalse())
	}))
})
