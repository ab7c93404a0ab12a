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

var _ = Describe("A node that starts while the log is down", func() {
	It("gets its configuration from its peers, and has none without peers", func(ctx context.Context) {
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
		synced, err := t.StartNode(ctx, "entry-4", trial.DataCentreFirst)
		Expect(err).NotTo(HaveOccurred())
		isolated := &daemon.Daemon{Settings: t.Nodes[0].Settings}
		isolated.Settings.Node, isolated.Settings.Peers = "entry-5", settings.Peers{}
		Expect(isolated.Start(context.WithoutCancel(ctx))).To(Succeed())
		DeferCleanup(func(ctx context.Context) {
			Expect(synced.Stop(ctx)).To(Succeed())
			Expect(isolated.Stop(ctx)).To(Succeed())
		})
		Eventually(synced.Ready).WithTimeout(30 * time.Second).Should(BeTrue())
		Expect(synced.Status().Revision).To(Equal(fleet.Revision(1)))
		Expect(isolated.Ready()).To(BeFalse())
		Expect(isolated.Status().Revision).To(BeZero())
	}, NodeTimeout(2*time.Minute))
})
