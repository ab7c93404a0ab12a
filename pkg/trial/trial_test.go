package trial_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trial")
}

var _ = Describe("The demonstration", func() {
	It("runs an order once and puts a configuration change in force", func(ctx context.Context) {
		h := newHarness(ctx)
		var out bytes.Buffer
		Expect(h.trial.RunDemo(ctx, &out, h.addresses)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("the service ran it 1 time(s)"))
		Expect(out.String()).To(ContainSubstring("revision 2 is in force"))
	}, NodeTimeout(time.Minute))
})
