package trial_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trial")
}

var _ = Describe("The try-out", func() {
	It("shows the main job from caller to endpoint and back", func(ctx context.Context) {
		t := &trial.Trial{}
		Expect(t.Start(ctx)).To(Succeed())
		DeferCleanup(func(ctx context.Context) { Expect(t.Stop(ctx)).To(Succeed()) })
		a, err := t.Open()
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(t.Show(ctx, &out, a)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("the service ran it 1 time(s)"))
		Expect(out.String()).To(ContainSubstring("revision 2 is in force"))
	}, NodeTimeout(time.Minute))
})
