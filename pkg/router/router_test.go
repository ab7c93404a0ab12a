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

// testRouter is a router over a list of instances, with a clock that is advanced by
// hand.
type testRouter struct {
	*router.Router
	clock time.Time
}

func newTestRouter(count int) *testRouter {
	r := &testRouter{clock: time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)}
	instances := &roster.Roster{}
	r.Router = &router.Router{Roster: instances, Client: http.DefaultClient, Now: func() time.Time { return r.clock }}
	instances.Reported = r.HandleInstanceReport
	for n := range count {
		instances.Add(fleet.Instance{ID: fleet.InstanceID(fmt.Sprint("engine-", n)), Incarnation: 1, Pool: pool, Zone: "dezerter-1", HourlyPrice: 90})
	}
	return r
}

func (r *testRouter) assign() generation.Assignment { return r.assignFor("") }

// assignFor assigns an engine for a prompt with a common prefix and the given suffix.
func (r *testRouter) assignFor(suffix string) generation.Assignment {
	g := generation.Request{Pool: pool, Prompt: strings.Repeat("season plan ", 40) + suffix, MaxTokens: 100, Deadline: r.clock.Add(time.Minute)}
	a, err := r.AssignEngine(context.Background(), g, 0, nil)
	Expect(err).NotTo(HaveOccurred())
	return a
}

func (r *testRouter) reportLeaving(ref fleet.InstanceRef, notice time.Duration) {
	r.Roster.Report(roster.ConditionReport{Instance: ref, Condition: fleet.ConditionLeaving, Leaves: r.clock.Add(notice), Source: roster.SourceNotice})
}

// refusedError returns the error of a refused connection.
func refusedError() error {
	return &endpoint.NotStartedError{Cause: &net.OpError{Op: "dial", Err: errors.New("connection refused")}}
}

var _ = Describe("The router", func() {
	It("counts the leases that it has issued, each until its release", func() {
		r := newTestRouter(1)
		first, second := r.assign(), r.assign()
		ref := first.Engine.Instance.Ref()
		Expect(r.InFlight(ref)).To(Equal(2))
		first.Release(nil)
		first.Release(nil)
		Expect(r.InFlight(ref)).To(Equal(1))
		second.Release(nil)
		Expect(r.InFlight(ref)).To(Equal(0))
	})

	It("does not assign a leaving instance, and moves its requests", func() {
		r := newTestRouter(2)
		first := r.assign()
		r.reportLeaving(first.Engine.Instance.Ref(), time.Second)
		Eventually(first.MoveCtx.Done()).Should(BeClosed())
		for range 50 {
			Expect(r.assign().Engine.Instance.ID).NotTo(Equal(first.Engine.Instance.ID))
		}
	})

	It("does not move a request that ends before the instance is terminated", func() {
		r := newTestRouter(1)
		a := r.assign()
		r.reportLeaving(a.Engine.Instance.Ref(), time.Hour)
		Consistently(a.MoveCtx.Done(), 50*time.Millisecond).ShouldNot(BeClosed())
		r.reportLeaving(a.Engine.Instance.Ref(), time.Millisecond)
		Eventually(a.MoveCtx.Done()).Should(BeClosed())
	})

	It("avoids an instance for a while after it refused a connection", func() {
		r := newTestRouter(2)
		a := r.assign()
		id := a.Engine.Instance.ID
		a.Release(refusedError())
		for range 50 {
			Expect(r.assign().Engine.Instance.ID).NotTo(Equal(id))
		}
		r.clock = r.clock.Add(2 * time.Second)
		ids := map[fleet.InstanceID]bool{}
		for range 50 {
			ids[r.assign().Engine.Instance.ID] = true
		}
		Expect(ids).To(HaveKey(id))
	})

	It("does not avoid an instance whose dial was cancelled by the caller", func() {
		r := newTestRouter(2)
		a := r.assign()
		id := a.Engine.Instance.ID
		a.Release(&endpoint.NotStartedError{Cause: &net.OpError{Op: "dial", Err: context.Canceled}})
		Expect(r.assign().Engine.Instance.ID).To(Equal(id))
	})

	It("assigns an avoided instance if there is no other", func() {
		r := newTestRouter(1)
		r.assign().Release(refusedError())
		r.assign()
	})

	It("assigns the endpoint that has the prefix of the prompt cached", func() {
		r := newTestRouter(20)
		first := r.assign()
		first.Observe(generation.Observation{Tokens: 1, Finish: engine.Frame{Done: true}})
		first.Release(nil)
		for n := range 20 {
			a := r.assignFor(fmt.Sprint("week ", n))
			Expect(a.Engine.Instance.ID).To(Equal(first.Engine.Instance.ID))
			Expect(a.Cached).To(BeNumerically(">=", 64))
			a.Release(nil)
		}
	})

	It("sends copies of one content to the same two endpoints until they are full", func() {
		r := newTestRouter(20)
		ids := map[fleet.InstanceID]bool{}
		for range 24 {
			ids[r.assign().Engine.Instance.ID] = true
		}
		Expect(len(ids)).To(BeNumerically("<=", 2))
		for range 40 {
			ids[r.assign().Engine.Instance.ID] = true
		}
		Expect(len(ids)).To(BeNumerically(">", 2))
	})

	It("avoids an endpoint that a peer reports busy and ignores older reports", func() {
		r := newTestRouter(2)
		busy := r.Roster.Instances()[0].Ref()
		r.MergeReport(router.EngineLoad{Instance: busy, Load: engine.Load{Running: 64, Slots: 16}, At: r.clock})
		r.MergeReport(router.EngineLoad{Instance: r.Roster.Instances()[1].Ref(), Load: engine.Load{Slots: 16}, At: r.clock})
		r.MergeReport(router.EngineLoad{Instance: busy, Load: engine.Load{Slots: 16}, At: r.clock.Add(-time.Second)})
		for n := range 40 {
			a := r.assignFor(fmt.Sprint("week ", n))
			Expect(a.Engine.Instance.Ref()).NotTo(Equal(busy))
			a.Release(nil)
		}
	})
})

var _ = Describe("The poller", func() {
	It("reads the load and cache events of the engines assigned to it only", func(ctx context.Context) {
		s, err := standin.Serve((&standin.Engine{Slots: 7}).Handler())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		r := newTestRouter(0)
		for _, id := range []fleet.InstanceID{"mine", "theirs"} {
			r.Roster.Add(fleet.Instance{ID: id, Incarnation: 1, Pool: pool, Address: s.Address})
		}
		a := r.assign()
		Expect(a.Engine.GenerateFunc(ctx, engine.GenerateRequest{Prompt: strings.Repeat("x", 256), Max: 1}, func(engine.Frame) error { return nil })).To(Succeed())
		var read []router.EngineLoad
		p := &router.Poller{
			Router:   r.Router,
			Assigned: func(id fleet.InstanceID) bool { return id == "mine" },
			OnReport: func(rep router.EngineLoad) { read = append(read, rep) },
		}
		p.Poll(ctx)
		Expect(read).To(HaveLen(1))
		Expect(read[0].Instance.ID).To(Equal(fleet.InstanceID("mine")))
		Expect(read[0].Load.Slots).To(Equal(7))
		Expect(r.NextEvent(read[0].Instance)).To(Equal(uint64(4)))
	})
})
