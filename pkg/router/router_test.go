package router_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/router"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

const pool fleet.PoolName = "loom-servers"

// bench is a router over listed instances and a clock that stands still.
type bench struct {
	*router.Router
	clock time.Time
}

func newBench(count int) *bench {
	b := &bench{clock: time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)}
	known := &roster.Roster{}
	b.Router = &router.Router{Roster: known, Client: http.DefaultClient, Now: func() time.Time { return b.clock }}
	known.Reported = b.HandleInstanceReport
	for n := range count {
		known.Add(fleet.Instance{ID: fleet.InstanceID(fmt.Sprint("engine-", n)), Incarnation: 1, Pool: pool, Zone: "dezerter-1", Hourly: 90})
	}
	return b
}

func (b *bench) lease() generation.Lease { return b.ask("") }

// ask leases an engine for a prompt with a common start.
func (b *bench) ask(end string) generation.Lease {
	g := generation.Request{Pool: pool, Prompt: strings.Repeat("season plan ", 40) + end, MaxTokens: 100, Deadline: b.clock.Add(time.Minute)}
	l, err := b.LeaseEngine(context.Background(), g, 0, nil)
	Expect(err).NotTo(HaveOccurred())
	return l
}

func (b *bench) leave(ref fleet.InstanceRef, notice time.Duration) {
	b.Roster.Report(roster.Report{Instance: ref, Condition: fleet.ConditionLeaving, Leaves: b.clock.Add(notice), Source: roster.SourceNotice})
}

// refusal is the error of a connection that was refused.
func refusal() error {
	return &endpoint.NotStartedError{Cause: &net.OpError{Op: "dial", Err: errors.New("connection refused")}}
}

var _ = Describe("The router", func() {
	It("counts its own work exactly", func() {
		b := newBench(1)
		x, y := b.lease(), b.lease()
		ref := x.Engine.Instance.Ref()
		Expect(b.InFlight(ref)).To(Equal(2))
		x.Release(nil)
		x.Release(nil)
		Expect(b.InFlight(ref)).To(Equal(1))
		y.Release(nil)
		Expect(b.InFlight(ref)).To(Equal(0))
	})

	It("gives nothing new to a leaving instance, and moves its work", func() {
		b := newBench(2)
		first := b.lease()
		b.leave(first.Engine.Instance.Ref(), time.Second)
		Eventually(first.MoveCtx.Done()).Should(BeClosed())
		for range 50 {
			Expect(b.lease().Engine.Instance.ID).NotTo(Equal(first.Engine.Instance.ID))
		}
	})

	It("leaves work where it is that ends before the instance goes", func() {
		b := newBench(1)
		l := b.lease()
		b.leave(l.Engine.Instance.Ref(), time.Hour)
		Consistently(l.MoveCtx.Done(), 50*time.Millisecond).ShouldNot(BeClosed())
		b.leave(l.Engine.Instance.Ref(), time.Millisecond)
		Eventually(l.MoveCtx.Done()).Should(BeClosed())
	})

	It("avoids an instance that refused a connection, for a while", func() {
		b := newBench(2)
		l := b.lease()
		id := l.Engine.Instance.ID
		l.Release(refusal())
		for range 50 {
			Expect(b.lease().Engine.Instance.ID).NotTo(Equal(id))
		}
		b.clock = b.clock.Add(2 * time.Second)
		ids := map[fleet.InstanceID]bool{}
		for range 50 {
			ids[b.lease().Engine.Instance.ID] = true
		}
		Expect(ids).To(HaveKey(id))
	})

	It("does not avoid an instance because a caller went away while it was dialled", func() {
		b := newBench(2)
		l := b.lease()
		id := l.Engine.Instance.ID
		l.Release(&endpoint.NotStartedError{Cause: &net.OpError{Op: "dial", Err: context.Canceled}})
		Expect(b.lease().Engine.Instance.ID).To(Equal(id))
	})

	It("uses a refused instance if there is no other", func() {
		b := newBench(1)
		b.lease().Release(refusal())
		b.lease()
	})

	It("sends a prompt where its prefix is cached", func() {
		b := newBench(20)
		first := b.lease()
		first.Observe(generation.Observation{Tokens: 1, Finish: engine.Frame{Done: true}})
		first.Release(nil)
		for n := range 20 {
			l := b.ask(fmt.Sprint("week ", n))
			Expect(l.Engine.Instance.ID).To(Equal(first.Engine.Instance.ID))
			Expect(l.Cached).To(BeNumerically(">=", 64))
			l.Release(nil)
		}
	})

	It("sends copies of one content to the same two endpoints, unless they are full", func() {
		b := newBench(20)
		ids := map[fleet.InstanceID]bool{}
		for range 24 {
			ids[b.lease().Engine.Instance.ID] = true
		}
		Expect(len(ids)).To(BeNumerically("<=", 2))
		for range 40 {
			ids[b.lease().Engine.Instance.ID] = true
		}
		Expect(len(ids)).To(BeNumerically(">", 2))
	})

	It("goes round an endpoint that a peer reports busy, and ignores older reports", func() {
		b := newBench(2)
		busy := b.Roster.Instances()[0].Ref()
		b.MergeReport(router.Report{Instance: busy, Load: engine.Load{Running: 64, Slots: 16}, At: b.clock})
		b.MergeReport(router.Report{Instance: b.Roster.Instances()[1].Ref(), Load: engine.Load{Slots: 16}, At: b.clock})
		b.MergeReport(router.Report{Instance: busy, Load: engine.Load{Slots: 16}, At: b.clock.Add(-time.Second)})
		for n := range 40 {
			l := b.ask(fmt.Sprint("week ", n))
			Expect(l.Engine.Instance.Ref()).NotTo(Equal(busy))
			l.Release(nil)
		}
	})
})

var _ = Describe("The poller", func() {
	It("reads the engines that are its own, and their cache events", func(ctx context.Context) {
		s, err := standin.Serve((&standin.Engine{Slots: 7}).Handler())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		b := newBench(0)
		for _, id := range []fleet.InstanceID{"mine", "theirs"} {
			b.Roster.Add(fleet.Instance{ID: id, Incarnation: 1, Pool: pool, Address: s.Address})
		}
		l := b.lease()
		Expect(l.Engine.GenerateFunc(ctx, engine.Generate{Prompt: strings.Repeat("x", 256), Max: 1}, func(engine.Frame) error { return nil })).To(Succeed())
		var read []router.Report
		p := &router.Poller{
			Router:   b.Router,
			Assigned: func(id fleet.InstanceID) bool { return id == "mine" },
			OnReport: func(m router.Report) { read = append(read, m) },
		}
		p.Poll(ctx)
		Expect(read).To(HaveLen(1))
		Expect(read[0].Instance.ID).To(Equal(fleet.InstanceID("mine")))
		Expect(read[0].Load.Slots).To(Equal(7))
		Expect(b.NextEvent(read[0].Instance)).To(Equal(uint64(4)))
	})
})
