package quarantine_test

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

var _ = Describe("The crash detector", func() {
	DescribeTable("takes an endpoint for crashed only if it refuses connections",
		func(result error, crashes int) {
			var group errgroup.Group
			recorded := 0
			probes := 0
			probing := make(chan struct{})
			d := &quarantine.Detector{
				Probe: func(context.Context, string) error {
					probes++
					<-probing
					return result
				},
				Go: func(fn func(context.Context)) {
					group.Go(func() error {
						fn(context.Background())
						return nil
					})
				},
				OnCrash: func(e serving.Endpoint, _ quarantine.Run) {
					Expect(e.ID).To(BeEquivalentTo("e1"))
					recorded++
				},
			}
			for content := range uint64(3) {
				d.RecordBroken(serving.Endpoint{ID: "e1", Address: "a"}, quarantine.Run{Subjects: subjects(content), Broke: clock.Now()})
			}
			close(probing)
			Expect(group.Wait()).To(Succeed())
			Expect(recorded).To(Equal(crashes))
			Expect(probes).To(Equal(1), "exchanges that break off together share a probe")
		},
		Entry("a refused connection", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, 3),
		Entry("a lost response of an endpoint that accepts connections", nil, 0),
		Entry("an endpoint that cannot be reached", errors.Wrap(context.DeadlineExceeded, "dial"), 0),
	)

	It("probes an endpoint again after the last probe", func() {
		probes := 0
		var started []func(context.Context)
		d := &quarantine.Detector{
			Probe: func(context.Context, string) error {
				probes++
				return nil
			},
			Go: func(fn func(context.Context)) { started = append(started, fn) },
		}
		for n := range 2 {
			d.RecordBroken(serving.Endpoint{ID: "e1"}, quarantine.Run{Subjects: subjects(1), Broke: clock.Instant(time.Second)})
			started[n](context.Background())
		}
		Expect(probes).To(Equal(2))
	})
})
