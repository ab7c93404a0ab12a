//go:build measure

package front_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

var _ = Describe("Measure", func() {
	It("a third of a pool that pauses 2 s in turn", func() {
		const endpoints, pause, seconds, callers = 6, 2 * time.Second, 12, 24
		d := newDeployment()
		began := time.Now()
		var inPause atomic.Int64
		for i := range endpoints {
			e := &standin.Endpoint{ID: fmt.Sprint("d", i)}
			d.register("desk", e.ID, startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				elapsed := time.Since(began)
				if int(elapsed/pause)%3 != i%3 {
					time.Sleep(20 * time.Millisecond)
					e.ServeHTTP(w, r)
					return
				}
				inPause.Add(1)
				w.Header().Set("Skylarkloom-Not-Executed", "1")
				w.Header().Set("Retry-After", fmt.Sprintf("%.3f", (pause-elapsed%pause).Seconds()))
				w.WriteHeader(http.StatusServiceUnavailable)
			})), "ready")
		}
		d.publish("k1", "k2")
		n := d.startNode()
		Eventually(n.ready, eventuallyTimeout).Should(BeTrue())
		began = time.Now()
		var mu sync.Mutex
		var sent, served [seconds]int
		calls := make([]func(), callers)
		for c := range calls {
			calls[c] = func() {
				for i := 0; time.Since(began) < seconds*time.Second; i++ {
					at := int(time.Since(began) / time.Second)
					status := n.call("/open/1", fmt.Sprint(c, "-", i), "", nil).status
					mu.Lock()
					sent[at]++
					if status == http.StatusOK {
						served[at]++
					}
					mu.Unlock()
				}
			}
		}
		concurrently(calls...)
		worst, allSent, allServed := 1.0, 0, 0
		for i := range sent {
			worst = min(worst, float64(served[i])/float64(sent[i]))
			allSent, allServed = allSent+sent[i], allServed+served[i]
		}
		AddReportEntry("pauses", fmt.Sprintf("%d requests, %.4f served, %.4f in the worst second, %d arrived in pauses", allSent, float64(allServed)/float64(allSent), worst, inPause.Load()), ReportEntryVisibilityAlways)
	})
})
