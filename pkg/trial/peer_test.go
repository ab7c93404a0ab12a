package trial_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/daemon"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

var _ = Describe("Nodes together", func() {
	It("give a node its configuration while the log is down, and nobody else does", func(ctx context.Context) {
		t := &trial.Trial{}
		Expect(t.Start(ctx)).To(Succeed())
		DeferCleanup(func(ctx context.Context) { Expect(t.Stop(ctx)).To(Succeed()) })
		Eventually(func() (alive int) {
			for _, n := range t.Nodes[2].Status().Nodes {
				if n.Alive && n.Revision == 1 {
					alive++
				}
			}
			return alive
		}).WithTimeout(30 * time.Second).Should(Equal(3))

		t.Log.Set(standin.StateDown)
		fed, err := t.StartNode(ctx, "entry-4", trial.CentreOne)
		Expect(err).NotTo(HaveOccurred())
		alone := &daemon.Daemon{Settings: t.Nodes[0].Settings}
		alone.Settings.Node, alone.Settings.Peers = "entry-5", settings.Peers{}
		Expect(alone.Start(context.WithoutCancel(ctx))).To(Succeed())
		DeferCleanup(func(ctx context.Context) {
			Expect(fed.Stop(ctx)).To(Succeed())
			Expect(alone.Stop(ctx)).To(Succeed())
		})
		Eventually(fed.Ready).WithTimeout(30 * time.Second).Should(BeTrue())
		Expect(fed.Status().Revision).To(Equal(fleet.Revision(1)))
		Expect(alone.Ready()).To(BeFalse())
		Expect(alone.Status().Revision).To(BeZero())
	}, NodeTimeout(2*time.Minute))
})
