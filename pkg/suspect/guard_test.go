package suspect_test

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
	"github.com/skylarkloom/skylarkloom/pkg/suspect"
)

var _ = Describe("The guard", func() {
	It("claims no trial before the preceding crash is written to the log", func(ctx context.Context) {
		log := &standin.Log{}
		registry := &suspect.Registry{}
		registry.Stream = &journal.Stream{Log: log.Client(), Name: platform.StreamSuspect, Apply: registry.Apply, AppendTimeout: time.Second}
		running, cancel := context.WithCancel(context.WithoutCancel(ctx))
		var g errgroup.Group
		g.Go(func() error { return registry.Stream.Run(running) })
		DeferCleanup(func() {
			cancel()
			Expect(g.Wait()).To(Succeed())
		})
		Expect(registry.Stream.WaitReady(ctx)).To(Succeed())
		hosts := []fleet.Instance{{ID: "one"}, {ID: "two"}, {ID: "three"}}
		crashed := 0
		assign := func() generation.Assignment {
			i := hosts[crashed]
			return generation.Assignment{Engine: &endpoint.Engine{Instance: i}, MoveCtx: context.Background(), Release: func(error) {}}
		}
		guard := &suspect.Guard{
			Registry: registry,
			Select: func(context.Context, generation.Request, int, []fleet.InstanceRef) (generation.Assignment, error) {
				return assign(), nil
			},
			TrialCandidates: func(fleet.PoolName) []fleet.Instance { return hosts[crashed:] },
			AssignInstance: func(context.Context, generation.Request, fleet.Instance) (generation.Assignment, error) {
				return assign(), nil
			},
			Reclaimed: func(fleet.Instance) bool { return false },
		}
		crash := func() error {
			a, err := guard.Pick(ctx, generation.Request{Pool: "plume", Prompt: "nettles"}, 0, nil)
			if err != nil {
				return err
			}
			crashed++
			a.Release(&endpoint.NotFinishedError{Instance: a.Engine.Instance.ID, Cause: io.EOF})
			return nil
		}
		log.Set(standin.StateDown)
		// Failed appends open the circuit breaker of the stream.
		Eventually(func() bool {
			short, done := context.WithTimeout(ctx, 50*time.Millisecond)
			defer done()
			_ = registry.Release(short, fleet.Digest{})
			return registry.Stream.Healthy()
		}).WithContext(ctx).WithTimeout(30 * time.Second).Should(BeFalse())
		Expect(crash()).To(Succeed())
		log.Set(standin.StateUp)
		Eventually(crash).WithContext(ctx).Should(MatchError(ContainSubstring("is not run again")))
		Expect(crashed).To(Equal(suspect.MaxCrashes))
	}, NodeTimeout(time.Minute))
})
