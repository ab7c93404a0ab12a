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

// single runs a test on a cluster of one node, in virtual time.
func single(f func(c *cluster, n *node)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			c := newCluster(1)
			defer c.stop()
			defer GinkgoRecover()
			time.Sleep(time.Second)
			f(c, c.nodes[0])
		})
	}
}

func newOrder(n *node, key fleet.Key, deadline time.Duration) record.Accept {
	return record.Accept{
		Ref:      fleet.KeyRef{Account: "sellers", Key: key},
		Owner:    n.ref,
		Deadline: time.Now().Add(deadline),
		Window:   keyWindow,
	}
}

var _ = Describe("A desk", func() {
	It("runs an order once for many callers on one node", single(func(c *cluster, n *node) {
		for range 20 {
			c.group.Go(func() error {
				_, err := n.desk.Run(context.Background(), newOrder(n, "k", callTime))
				return err
			})
		}
		time.Sleep(callTime)
		synctest.Wait()
		Expect(c.runs).To(HaveLen(1))
		for _, runs := range c.runs {
			Expect(runs).To(Equal(1))
		}
	}))

	It("takes no orders while the stream holds a record of a newer version", single(func(c *cluster, n *node) {
		e := accept(record.NewID(time.Now()), false)
		e.Version = record.Version + 1
		data, err := record.EncodeGroup([]record.Envelope{e})
		Expect(err).NotTo(HaveOccurred())
		c.put(platform.OrderStream(0), data)
		time.Sleep(time.Second)
		_, err = n.desk.Run(context.Background(), newOrder(n, "k", callTime))
		var notRun *order.NotRunError
		Expect(errors.As(err, &notRun)).To(BeTrue())
		Expect(c.runs).To(BeEmpty())
	}))

	It("drains only once the outcome of what it sent stands in the log", single(func(c *cluster, n *node) {
		c.service = serviceSlow
		r := newOrder(n, "k", asyncTime)
		_, err := n.desk.Enqueue(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		Expect(n.server.Drain(context.Background())).To(Succeed())
		o, _ := n.part.Get(r.Ref)
		Expect(o.Status).To(Equal(order.StatusSettled))
	}))

	It("leaves what it has not begun to other nodes when it drains", single(func(_ *cluster, n *node) {
		Expect(n.server.Drain(context.Background())).To(Succeed())
		r := newOrder(n, "k", asyncTime)
		_, err := n.desk.Enqueue(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(callTime)
		o, _ := n.part.Get(r.Ref)
		Expect(o.Status).To(Equal(order.StatusAccepted))
	}))

	It("answers that an order is unknown, and keeps its answer, when the deadline passes first", single(func(c *cluster, n *node) {
		c.service = serviceSlow
		r := newOrder(n, "k", time.Second)
		c.group.Go(func() error {
			_, _ = n.desk.Run(context.Background(), r)
			return nil
		})
		time.Sleep(100 * time.Millisecond)
		_, err := n.desk.Run(context.Background(), r)
		var unknown *order.UnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		time.Sleep(callTime)
		o, _ := n.part.Get(r.Ref)
		Expect(o.Final()).To(BeTrue())
		Expect(o.Open()).To(BeFalse())
	}))
})
