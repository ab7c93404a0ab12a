package duty_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/duty"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	serviceclient "github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/platform"
)

func TestDuty(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duty")
}

// topicStub stands in for the topic of the duties in the store.
type topicStub struct {
	records []platform.Record
	// loseResponse drops the response to the next append after it took effect.
	// delayNext defers the next append until its function in delayed is called.
	loseResponse, delayNext bool
	delayed                 []func()
}

var errNoResponse = &serviceclient.UnknownOutcomeError{Service: "store", Cause: errors.New("no answer")}

func (t *topicStub) store() duty.Store {
	return duty.Store{
		Newest: func(context.Context, platform.Topic) (platform.Batch, error) {
			b := platform.Batch{End: fleet.Offset(len(t.records))}
			if len(t.records) > 0 {
				b.Records = t.records[len(t.records)-1:]
			}
			return b, nil
		},
		AppendAt: func(_ context.Context, _ platform.Topic, r platform.Record, at fleet.Offset) error {
			appendRecord := func() error {
				if at != fleet.Offset(len(t.records)) {
					return &platform.ConflictError{End: fleet.Offset(len(t.records))}
				}
				t.records = append(t.records, r)
				return nil
			}
			if t.delayNext {
				t.delayNext = false
				t.delayed = append(t.delayed, func() { Expect(appendRecord()).To(Succeed()) })
				return errNoResponse
			}
			err := appendRecord()
			if t.loseResponse && err == nil {
				t.loseResponse = false
				return errNoResponse
			}
			return err
		},
	}
}

const leaseTTL = 3 * time.Second

func newLease(t *topicStub, name fleet.NodeName, started clock.Instant) *duty.Lease {
	return &duty.Lease{Store: t.store(), Self: fleet.NodeRef{Name: name, Incarnation: fleet.Incarnation(started)}, TTL: leaseTTL, Started: started}
}

var _ = Describe("The lease on the duties", func() {
	ctx := context.Background()
	longAgo := clock.Now().Add(-time.Minute)

	It("is acquired by one of the nodes that try at the same time", func() {
		store := &topicStub{}
		a, b := newLease(store, "a", longAgo), newLease(store, "b", longAgo)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(b.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(b.Acquire(ctx)).NotTo(Succeed())
		Expect(a.Held()).To(BeTrue())
		Expect(b.Held()).To(BeFalse())
	})

	It("is acquired at once after a release, with a higher fencing number", func() {
		store := &topicStub{}
		a, b := newLease(store, "a", longAgo), newLease(store, "b", longAgo)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(a.Renew(ctx, func(record *duty.LeaseRecord) { record.Released = true })).To(Succeed())
		Expect(a.Held()).To(BeFalse())
		Expect(b.Read(ctx)).To(Succeed())
		Expect(b.MayAcquire(clock.Now())).To(BeTrue())
		Expect(b.Acquire(ctx)).To(Succeed())
		Expect(b.Record().Fence).To(BeNumerically(">", a.Record().Fence))
	})

	// Guards against two holders within the TTL: a node released the duties on
	// shutdown, another acquired and released them on its own shutdown, and the
	// first node restarted and acted again within the TTL.
	It("is not acquired by a node that has just started after another node released it", func() {
		store := &topicStub{}
		b := newLease(store, "b", longAgo)
		Expect(b.Read(ctx)).To(Succeed())
		Expect(b.Acquire(ctx)).To(Succeed())
		Expect(b.Renew(ctx, func(record *duty.LeaseRecord) { record.Released = true })).To(Succeed())
		started := clock.Now()
		a := newLease(store, "a", started)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.MayAcquire(started.Add(leaseTTL))).To(BeFalse())
		Expect(a.MayAcquire(started.Add(leaseTTL + time.Second))).To(BeTrue())
	})

	It("stays with its holder until the record is unchanged for longer than the TTL", func() {
		store := &topicStub{}
		a, b := newLease(store, "a", longAgo), newLease(store, "b", longAgo)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(b.Read(ctx)).To(Succeed())
		Expect(b.MayAcquire(clock.Now().Add(leaseTTL))).To(BeFalse())
		Expect(b.MayAcquire(clock.Now().Add(leaseTTL + time.Second))).To(BeTrue())
	})

	DescribeTable("is acquired after its time if the record cannot be read", func(value string) {
		store := &topicStub{records: []platform.Record{{Key: "duties", Value: []byte(value)}}}
		a := newLease(store, "a", longAgo)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.MayAcquire(clock.Now().Add(leaseTTL))).To(BeFalse(), "its holder may still act")
		Expect(a.MayAcquire(clock.Now().Add(leaseTTL + time.Second))).To(BeTrue())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(a.Record().CountsUnknown).To(BeTrue())
	},
		Entry("nested deeply", strings.Repeat("[", 100_000)),
		Entry("with a number too large", `{"holder":"b","fence":1e99}`),
		Entry("without a holder", `{}`),
		Entry("no JSON", "\xff"),
	)

	It("is held after an append that took effect but whose answer was lost", func() {
		store := &topicStub{loseResponse: true}
		a := newLease(store, "a", longAgo)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(a.Held()).To(BeTrue())
	})

	It("continues from the record in the log when a delayed append took effect first", func() {
		store := &topicStub{}
		a := newLease(store, "a", longAgo)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		store.delayNext = true
		Expect(a.Renew(ctx, func(record *duty.LeaseRecord) { record.LastFixed = 1 })).NotTo(Succeed())
		store.delayed[0]()
		Expect(a.Renew(ctx, func(record *duty.LeaseRecord) { record.LastFixed = 2 })).NotTo(Succeed())
		Expect(a.Record().LastFixed).To(BeEquivalentTo(1))
		Expect(a.Renew(ctx, func(record *duty.LeaseRecord) { record.LastFixed = 2 })).To(Succeed())
	})

	It("permits no action when the last renewal is almost as old as the TTL", func() {
		store := &topicStub{}
		a := newLease(store, "a", longAgo)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(a.MayAct(clock.Now())).To(BeTrue())
		Expect(a.MayAct(clock.Now().Add(leaseTTL - 500*time.Millisecond))).To(BeFalse())
	})
})
