package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// BUDGET: a stream counted as served a second after its start. What had crashed endpoints
// was cleared by that, and the crash after it was not put down to the request.
var _ = ginkgo.DescribeTable("A stream that its endpoint breaks off",
	func(after time.Duration, started bool) {
		e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
			write(w, sealedHead(r, "200 OK")+eventStream+chunked+"\r\n")
			const pause = 50 * time.Millisecond
			for n := 1; time.Duration(n)*pause <= after; n++ {
				write(w, chunk(events(n, n)))
				time.Sleep(pause)
			}
			return false
		}}
		h := newHandler(e.start())
		recorded := make(chan quarantine.Run, 1)
		h.RecordBroken = func(_ serving.Endpoint, r quarantine.Run) { recorded <- r }
		var served atomic.Int64
		h.RecordServed = func([]quarantine.Subject, clock.Instant) { served.Add(1) }
		begin := clock.Now()
		Expect(call(startNode(h, nil), "/tale/1", "r1").err).To(HaveOccurred())
		Expect(served.Load()).To(BeZero(), "the endpoint did not run it to its end")
		var broken quarantine.Run
		Expect(recorded).To(Receive(&broken))
		Expect(broken.Started).To(Equal(started))
		Expect(broken.Sent).To(BeNumerically(">=", begin))
		Expect(broken.Broke.Sub(broken.Sent)).To(BeNumerically(">=", after))
	},
	ginkgo.Entry("soon is a suspect with its whole prompt", 100*time.Millisecond, false),
	ginkgo.Entry("late is a suspect with its content", 1200*time.Millisecond, true),
)
