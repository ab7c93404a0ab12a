package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

// first lets the first request have a fault, on whichever endpoint it comes.
func first(fault standin.Fault) func(*http.Request) standin.Fault {
	var count atomic.Int64
	return func(*http.Request) standin.Fault {
		if count.Add(1) == 1 {
			return fault
		}
		return standin.FaultNone
	}
}

var _ = Describe("A node on the platform", func() {
	var (
		d      *deployment
		n      *node
		fault  func(*http.Request) standin.Fault
		desks  []*standin.Endpoint
		engine []*standin.Endpoint
	)
	shared := func(r *http.Request) standin.Fault {
		if fault == nil {
			return standin.FaultNone
		}
		return fault(r)
	}
	runs := func(endpoints []*standin.Endpoint) (all []standin.Run) {
		for _, e := range endpoints {
			all = append(all, e.Runs()...)
		}
		return all
	}

	BeforeEach(func() {
		fault = nil
		d = deploy()
		desks, engine = nil, nil
		for _, id := range []string{"d1", "d2"} {
			desks = append(desks, d.endpoint("desk", &standin.Endpoint{ID: id, Fault: shared}))
		}
		for _, id := range []string{"e1", "e2"} {
			engine = append(engine, d.endpoint("engine", &standin.Endpoint{ID: id, Events: 6, Fault: shared}))
		}
		d.publish("k1", "k2")
		n = d.start()
		Eventually(n.ready, soon).Should(BeTrue())
	})

	Context("with sound endpoints", func() {
		It("passes on the endpoint's whole answer under the caller's id", func() {
			a := n.call("/look/1?q=%2f", "r1", "k1", nil)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(a.body).To(HaveSuffix("to r1"))
			Expect(a.header.Get("Skylarkloom-Response-Seal")).To(HaveSuffix("r1"))
			Expect(a.header.Get("Skylarkloom-Attempt-Id")).To(Equal("r1"))
		})

		It("sets the account itself and passes no key and no header of its own on", func() {
			forged := map[string]string{"Skylarkloom-Tenant": "other", "Skylarkloom-Hold": "h", "Skylarkloom-Pin-Ms": "9", "Kv-From": "x", "X-Own": "kept"}
			Expect(n.call("/book/1", "r1", "k2", forged).status).To(Equal(http.StatusOK))
			run := runs(desks)[0]
			Expect(run.Body).To(Equal("body of r1"))
			Expect(run.Header.Get("Skylarkloom-Tenant")).To(Equal("shop"))
			Expect(run.Header.Get("X-Own")).To(Equal("kept"))
			for _, name := range []string{"Authorization", "Skylarkloom-Hold", "Skylarkloom-Pin-Ms", "Kv-From"} {
				Expect(run.Header).NotTo(HaveKey(name))
			}
		})

		It("passes a stream on as it is", func() {
			a := n.call("/tale/1", "r1", "k1", nil)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(standin.Stream(6)))
		})

		It("refuses an unknown key and an unknown route", func() {
			Expect(n.call("/look/1", "r1", "no", nil).status).To(Equal(http.StatusUnauthorized))
			Expect(n.call("/look/1", "r2", "", nil).status).To(Equal(http.StatusUnauthorized))
			Expect(n.call("/none/1", "r3", "k1", nil).status).To(Equal(http.StatusNotFound))
			Expect(n.call("/open/1", "r4", "", nil).status).To(Equal(http.StatusOK))
			Expect(runs(desks)).To(HaveLen(1))
		})

		It("refuses what exceeds an account's quota, and says when to come back", func() {
			many := map[string]string{"Skylarkloom-Token-Counts": "900,90"}
			Expect(n.call("/tale/1", "r1", "k1", many).status).To(Equal(http.StatusOK))
			a := n.call("/tale/1", "r2", "k1", many)
			Expect(a.status).To(Equal(http.StatusTooManyRequests))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(runs(engine)).To(HaveLen(1))
		})
	})

	DescribeTable("a request that may run once at most",
		func(f standin.Fault, status, times int) {
			fault = first(f)
			a := n.call("/book/1", "r1", "k1", nil)
			Expect(a.status).To(Equal(status))
			Expect(runs(desks)).To(HaveLen(times))
		},
		Entry("goes to another endpoint when it was shed", standin.FaultShed, http.StatusOK, 1),
		Entry("goes to another endpoint when the address has a new owner", standin.FaultMoved, http.StatusOK, 1),
		Entry("is not repeated after a crash", standin.FaultCrash, http.StatusBadGateway, 1),
		Entry("is not repeated when its answer is cut", standin.FaultTruncated, http.StatusBadGateway, 1),
		Entry("is not repeated when its answer has no seal", standin.FaultUnsealed, http.StatusBadGateway, 1),
		Entry("is not repeated when its answer is no answer", standin.FaultGarbled, http.StatusBadGateway, 1),
		Entry("is not repeated when the endpoint hangs", standin.FaultHang, http.StatusGatewayTimeout, 1),
		Entry("gets the endpoint's own error", standin.FaultError, http.StatusInternalServerError, 1),
	)

	DescribeTable("a request that may be repeated",
		func(f standin.Fault) {
			fault = first(f)
			a := n.call("/look/1", "r1", "k1", nil)
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(a.body).To(HaveSuffix("to r1"))
		},
		Entry("is served elsewhere when it was shed", standin.FaultShed),
		Entry("is served elsewhere after a crash", standin.FaultCrash),
		Entry("is served elsewhere when its answer is cut", standin.FaultTruncated),
		Entry("is served elsewhere when its answer has no seal", standin.FaultUnsealed),
		Entry("is served elsewhere when its answer is no answer", standin.FaultGarbled),
		Entry("is served elsewhere when the endpoint hangs", standin.FaultHang),
		Entry("is served elsewhere after an error", standin.FaultError),
	)

	It("never takes a late answer for that of the next request", func() {
		fault = func(*http.Request) standin.Fault { return standin.FaultDuplicate }
		for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
			a := n.call("/look/1", id, "k1", nil)
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(a.header.Get("Skylarkloom-Attempt-Id")).To(Equal(id))
		}
	})

	It("continues a resumable stream at another endpoint, without a gap or a repeat", func() {
		fault = first(standin.FaultTruncated)
		a := n.call("/tale/1", "r1", "k1", nil)
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(standin.Stream(6)))
		Expect(runs(engine)).To(HaveLen(2))
	})

	// Found by the fault soak: the endpoint had no work, so each request went there first.
	DescribeTable("does not try an endpoint again and again that turns all requests away",
		func(f standin.Fault) {
			var turned atomic.Int64
			fault = func(r *http.Request) standin.Fault {
				if r.Header.Get("Skylarkloom-Expect-Instance") != "e1" {
					return standin.FaultNone
				}
				turned.Add(1)
				return f
			}
			for i := range 40 {
				Expect(n.call("/note/1", fmt.Sprint("r", i), "k1", nil).status).To(Equal(http.StatusOK))
			}
			Expect(turned.Load()).To(BeNumerically("<=", 10))
		},
		Entry("since another has its address", standin.FaultMoved),
		Entry("since it is full", standin.FaultShed),
	)

	It("cuts any other stream, so that it does not look complete", func() {
		fault = first(standin.FaultTruncated)
		a := n.call("/note/1", "r1", "k1", nil)
		Expect(a.err).To(HaveOccurred())
		Expect(standin.Stream(6)).To(HavePrefix(a.body))
		Expect(runs(engine)).To(HaveLen(1))
	})

	It("ends the endpoint's work when the caller leaves", func() {
		left := make(chan struct{})
		fault = func(r *http.Request) standin.Fault {
			context.AfterFunc(r.Context(), func() { close(left) })
			return standin.FaultHang
		}
		ctx, cancel := context.WithCancel(context.Background())
		r := n.request("/tale/1", "r1", "k1", nil).WithContext(ctx)
		together(func() {
			_, err := http.DefaultClient.Do(r) //nolint:bodyclose // The call fails.
			Expect(err).To(HaveOccurred())
		}, func() {
			Eventually(func() int { return len(runs(engine)) }, soon).Should(Equal(1))
			cancel()
		})
		Eventually(left, soon).Should(BeClosed())
	})

	It("sends nothing to an endpoint that is leaving", func() {
		d.register("desk", "d1", "127.0.0.1:1", "draining")
		Eventually(func() []standin.Run {
			n.call("/look/1", "r", "k1", nil)
			return desks[1].Runs()
		}, soon).ShouldNot(BeEmpty())
		before := len(desks[0].Runs())
		Eventually(func() int { return len(n.front.ReadyEndpoints("desk")) }, soon).Should(Equal(1))
		for range 10 {
			Expect(n.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
		}
		Expect(len(desks[0].Runs()) - before).To(BeNumerically("<=", 10))
		Expect(len(desks[1].Runs())).To(BeNumerically(">=", 10))
	})

	It("takes a new version over, and refuses a key that it took away", func() {
		d.publish("k2")
		Eventually(func() int { return n.call("/look/1", "r", "k1", nil).status }, soon).Should(Equal(http.StatusUnauthorized))
		Expect(n.call("/look/1", "r", "k2", nil).status).To(Equal(http.StatusOK))
	})

	It("keeps its configuration when the store forgets its history", func() {
		d.store.Compact("keyed.op")
		d.store.Compact("keyed.servers")
		d.publish("k3")
		Eventually(func() int { return n.call("/look/1", "r", "k3", nil).status }, soon).Should(Equal(http.StatusOK))
	})

	It("refuses keys, but not public routes, when the store has been silent for too long", func() {
		d.store.SetMode(standin.ModeSilent)
		Eventually(func() int { return n.call("/look/1", "r", "k1", nil).status }, soon).Should(Equal(http.StatusServiceUnavailable))
		Expect(n.call("/open/1", "r", "", nil).status).To(Equal(http.StatusOK))
		d.store.SetMode(standin.ModeNormal)
		Eventually(func() int { return n.call("/look/1", "r", "k1", nil).status }, soon).Should(Equal(http.StatusOK))
	})

	// Found on a grown site: a node that had taken over another's view told others
	// that it had read the entries up to then, and they went on with old ones.
	It("does not tell others that it read the entries when it took over another's view", func() {
		store, silence := d.gate()
		second := d.startAt(store, "b")
		Eventually(second.ready, soon).Should(BeTrue())
		silence()
		d.endpoint("desk", &standin.Endpoint{ID: "d3"})
		put := time.Now()
		d.publish("k1", "k2")
		Eventually(func() int { return len(second.front.ReadyEndpoints("desk")) }, soon).Should(Equal(3))
		told := second.front.Describe()
		Expect(told.DirectoryOffset).To(BeNumerically("<", n.front.Describe().DirectoryOffset))
		Expect(told.DirectoryAge).To(BeNumerically(">=", time.Since(put)))
	})

	It("goes on by what a node of its data centre reads while it reaches no store itself", func() {
		store, silence := d.gate()
		second := d.startAt(store, "a")
		Eventually(second.ready, soon).Should(BeTrue())
		silence()
		d.register("desk", "d1", "127.0.0.1:1", "draining")
		put := time.Now()
		Eventually(func() int { return len(second.front.ReadyEndpoints("desk")) }, soon).Should(Equal(1))
		Eventually(func() bool {
			told := second.front.Describe()
			return told.DirectoryOffset == n.front.Describe().DirectoryOffset && told.DirectoryAge < time.Since(put)
		}, soon).Should(BeTrue(), "it knows as much as the other node")
		Expect(second.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
	})

	It("serves the metrics that the page on operations names", func() {
		Expect(n.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
		res, err := http.Get("http://" + n.metrics + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		served, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		for _, m := range regexp.MustCompile(`(?m)^# TYPE skylarkloom_front(\S+) `).FindAllSubmatch(served, -1) {
			Expect(string(page)).To(ContainSubstring(string(m[1]) + "`"))
		}
		Expect(string(served)).To(ContainSubstring(`skylarkloom_front_requests_total{kind="safe",reason="",status="200"} 1`))
	})

	It("reports each window of usage once, whichever node does", func() {
		second := d.start()
		Eventually(second.ready, soon).Should(BeTrue())
		const each = 5
		for range each {
			Expect(n.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
			Expect(second.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
		}
		count := func() (total int64) {
			seen := map[int64]standin.UsageReport{}
			for _, u := range d.cloud.Reports() {
				if before, ok := seen[u.Window]; ok {
					Expect(u.Counts).To(Equal(before.Counts))
				}
				seen[u.Window] = u
			}
			for _, u := range seen {
				total += u.Counts["shop"]
			}
			return total
		}
		Eventually(count, soon).Should(BeEquivalentTo(2 * each))
		Consistently(count, 2*time.Second).Should(BeEquivalentTo(2 * each))
	})
})
