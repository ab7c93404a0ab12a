package duty_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/duty"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	base "github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/platform"
)

func TestDuty(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duty")
}

// topic is a stand-in of the store's topic of duties.
type topic struct {
	records []platform.Record
	// lose loses the answer of the next append after it took effect, hold keeps
	// it back until deliver.
	lose, hold bool
	held       []func()
}

var errLost = &base.UnsureError{Service: "store", Cause: errors.New("no answer")}

func (t *topic) store() duty.Store {
	return duty.Store{
		Newest: func(context.Context, platform.Topic) (platform.Batch, error) {
			b := platform.Batch{End: fleet.Offset(len(t.records))}
			if len(t.records) > 0 {
				b.Records = t.records[len(t.records)-1:]
			}
			return b, nil
		},
		AppendAt: func(_ context.Context, _ platform.Topic, r platform.Record, at fleet.Offset) error {
			put := func() error {
				if at != fleet.Offset(len(t.records)) {
					return &platform.ConflictError{End: fleet.Offset(len(t.records))}
				}
				t.records = append(t.records, r)
				return nil
			}
			if t.hold {
				t.hold = false
				t.held = append(t.held, func() { Expect(put()).To(Succeed()) })
				return errLost
			}
			err := put()
			if t.lose && err == nil {
				t.lose = false
				return errLost
			}
			return err
		},
	}
}

const lease = 3 * time.Second

func holding(t *topic, name fleet.NodeName, started clock.Instant) *duty.Lease {
	return &duty.Lease{Store: t.store(), Self: fleet.NodeRef{Name: name, Incarnation: fleet.Incarnation(started)}, TTL: lease, Started: started}
}

var _ = Describe("Holding the duties", func() {
	ctx := context.Background()
	long := clock.Now().Add(-time.Minute)

	It("has one holder of those that try at once", func() {
		store := &topic{}
		a, b := holding(store, "a", long), holding(store, "b", long)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(b.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(b.Acquire(ctx)).NotTo(Succeed())
		Expect(a.Held()).To(BeTrue())
		Expect(b.Held()).To(BeFalse())
	})

	It("is taken at once when it was given up, with a higher fence", func() {
		store := &topic{}
		a, b := holding(store, "a", long), holding(store, "b", long)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(a.Renew(ctx, func(t *duty.LeaseRecord) { t.Released = true })).To(Succeed())
		Expect(a.Held()).To(BeFalse())
		Expect(b.Read(ctx)).To(Succeed())
		Expect(b.MayAcquire(clock.Now())).To(BeTrue())
		Expect(b.Acquire(ctx)).To(Succeed())
		Expect(b.Record().Fence).To(BeNumerically(">", a.Record().Fence))
	})

	// Found by a hunt: a node gave the duties up as it stopped, another took them,
	// stopped too, and the first, started anew, acted again within the lease.
	It("is not taken by a node that has just started from one that gave it up", func() {
		store := &topic{}
		b := holding(store, "b", long)
		Expect(b.Read(ctx)).To(Succeed())
		Expect(b.Acquire(ctx)).To(Succeed())
		Expect(b.Renew(ctx, func(t *duty.LeaseRecord) { t.Released = true })).To(Succeed())
		started := clock.Now()
		a := holding(store, "a", started)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.MayAcquire(started.Add(lease))).To(BeFalse())
		Expect(a.MayAcquire(started.Add(lease + time.Second))).To(BeTrue())
	})

	It("stays with a holder that is heard of in the record", func() {
		store := &topic{}
		a, b := holding(store, "a", long), holding(store, "b", long)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(b.Read(ctx)).To(Succeed())
		Expect(b.MayAcquire(clock.Now().Add(lease))).To(BeFalse())
		Expect(b.MayAcquire(clock.Now().Add(lease + time.Second))).To(BeTrue())
	})

	It("finds out what became of an append whose answer was lost", func() {
		store := &topic{lose: true}
		a := holding(store, "a", long)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(a.Held()).To(BeTrue())
	})

	It("goes on from what the log holds when a late append came first", func() {
		store := &topic{}
		a := holding(store, "a", long)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		store.hold = true
		Expect(a.Renew(ctx, func(t *duty.LeaseRecord) { t.LastFixed = 1 })).NotTo(Succeed())
		store.held[0]()
		Expect(a.Renew(ctx, func(t *duty.LeaseRecord) { t.LastFixed = 2 })).NotTo(Succeed())
		Expect(a.Record().LastFixed).To(BeEquivalentTo(1))
		Expect(a.Renew(ctx, func(t *duty.LeaseRecord) { t.LastFixed = 2 })).To(Succeed())
	})

	It("does not act when its last renewal is almost as old as the lease", func() {
		store := &topic{}
		a := holding(store, "a", long)
		Expect(a.Read(ctx)).To(Succeed())
		Expect(a.Acquire(ctx)).To(Succeed())
		Expect(a.MayAct(clock.Now())).To(BeTrue())
		Expect(a.MayAct(clock.Now().Add(lease - 500*time.Millisecond))).To(BeFalse())
	})
})
