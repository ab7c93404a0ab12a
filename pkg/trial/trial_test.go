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

var _ = Describe("The try-out", func() {
	It("shows the main job from caller to endpoint and back", func(ctx context.Context) {
		o := start(ctx)
		var out bytes.Buffer
		Expect(o.trial.Show(ctx, &out, o.at)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("the service ran it 1 time(s)"))
		Expect(out.String()).To(ContainSubstring("revision 2 is in force"))
	}, NodeTimeout(time.Minute))
})
