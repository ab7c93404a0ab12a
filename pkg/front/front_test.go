package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/platform/standin"
)

// firstRequest returns a fault function that injects the fault into the first request
// only, whichever endpoint receives it.
func firstRequest(fault standin.Fault) func(*http.Request) standin.Fault {
	var requests atomic.Int64
	return func(*http.Request) standin.Fault {
		if requests.Add(1) == 1 {
			return fault
		}
		return standin.FaultNone
	}
}

// knowsOneNode matches the metrics of a node that exchanges digests with one other node.
// A node that never read the list of nodes cannot be reached when the store is away.
const knowsOneNode = `skylarkloom_front_nodes 2\n(.*\n)*skylarkloom_front_nodes_silent 0\n`

var _ = Describe("A node on the platform", func() {
	var (
		d        *deployment
		n        *node
		fault    func(*http.Request) standin.Fault
		services []*standin.Endpoint
		engines  []*standin.Endpoint
	)
	injectFault := func(r *http.Request) standin.Fault {
		if fault == nil {
			return standin.FaultNone
		}
		return fault(r)
	}
	runsOn := func(endpoints []*standin.Endpoint) (all []standin.Run) {
		for _, e := range endpoints {
			all = append(all, e.Runs()...)
		}
		return all
	}

	BeforeEach(func() {
		fault = nil
		d = newDeployment()
		services, engines = nil, nil
		for _, id := range []string{"d1", "d2"} {
			services = append(services, d.startEndpoint("desk", &standin.Endpoint{ID: id, Fault: injectFault}))
		}
		for _, id := range []string{"e1", "e2"} {
			engines = append(engines, d.startEndpoint("engine", &standin.Endpoint{ID: id, Events: 6, Fault: injectFault}))
		}
		d.publish("k1", "k2")
		n = d.startNode()
		Eventually(n.ready, eventuallyTimeout).Should(BeTrue())
	})

	Context("with healthy endpoints", func() {
		It("forwards the endpoint's complete response with the caller's request ID", func() {
			got := n.call("/look/1?q=%2f", "r1", "k1", nil)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(HaveSuffix("to r1"))
			Expect(got.header.Get("Skylarkloom-Response-Seal")).To(HaveSuffix("r1"))
			Expect(got.header.Get("Skylarkloom-Attempt-Id")).To(Equal("r1"))
		})

		It("sets the account header and forwards neither the key nor other reserved headers", func() {
			forged := map[string]string{"Skylarkloom-Tenant": "other", "Skylarkloom-Hold": "h", "Skylarkloom-Pin-Ms": "9", "Kv-From": "x", "X-Own": "kept"}
			Expect(n.call("/book/1", "r1", "k2", forged).status).To(Equal(http.StatusOK))
			run := runsOn(services)[0]
			Expect(run.Body).To(Equal("body of r1"))
			Expect(run.Header.Get("Skylarkloom-Tenant")).To(Equal("shop"))
			Expect(run.Header.Get("X-Own")).To(Equal("kept"))
			for _, name := range []string{"Authorization", "Skylarkloom-Hold", "Skylarkloom-Pin-Ms", "Kv-From"} {
				Expect(run.Header).NotTo(HaveKey(name))
			}
		})

		It("forwards a stream unchanged", func() {
			got := n.call("/tale/1", "r1", "k1", nil)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(standin.Stream(6)))
		})

		It("refuses an unknown key and an unknown route", func() {
			Expect(n.call("/look/1", "r1", "no", nil).status).To(Equal(http.StatusUnauthorized))
			Expect(n.call("/look/1", "r2", "", nil).status).To(Equal(http.StatusUnauthorized))
			Expect(n.call("/none/1", "r3", "k1", nil).status).To(Equal(http.StatusNotFound))
			Expect(n.call("/open/1", "r4", "", nil).status).To(Equal(http.StatusOK))
			Expect(runsOn(services)).To(HaveLen(1))
		})

		It("refuses a request that exceeds an account's quota, with a Retry-After header", func() {
			tokenCounts := map[string]string{"Skylarkloom-Token-Counts": "900,90"}
			Expect(n.call("/tale/1", "r1", "k1", tokenCounts).status).To(Equal(http.StatusOK))
			got := n.call("/tale/1", "r2", "k1", tokenCounts)
			Expect(got.status).To(Equal(http.StatusTooManyRequests))
			Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(runsOn(engines)).To(HaveLen(1))
		})
	})

	DescribeTable("a request that must run at most once",
		func(f standin.Fault, status, runCount int) {
			fault = firstRequest(f)
			got := n.call("/book/1", "r1", "k1", nil)
			Expect(got.status).To(Equal(status))
			Expect(runsOn(services)).To(HaveLen(runCount))
		},
		Entry("is sent to another endpoint when the first one sheds it", standin.FaultShed, http.StatusOK, 1),
		Entry("is sent to another endpoint when the address belongs to a different instance", standin.FaultMoved, http.StatusOK, 1),
		Entry("is not repeated after a crash", standin.FaultCrash, http.StatusBadGateway, 1),
		Entry("is not repeated when the response is truncated", standin.FaultTruncated, http.StatusBadGateway, 1),
		Entry("is not repeated when the response has no seal", standin.FaultUnsealed, http.StatusBadGateway, 1),
		Entry("is not repeated when the response is malformed", standin.FaultGarbled, http.StatusBadGateway, 1),
		Entry("is not repeated when the endpoint hangs", standin.FaultHang, http.StatusGatewayTimeout, 1),
		Entry("returns the endpoint's error", standin.FaultError, http.StatusInternalServerError, 1),
	)

	DescribeTable("a request that may be repeated",
		func(f standin.Fault) {
			fault = firstRequest(f)
			got := n.call("/look/1", "r1", "k1", nil)
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(HaveSuffix("to r1"))
		},
		Entry("is served by another endpoint when the first one sheds it", standin.FaultShed),
		Entry("is served by another endpoint after a crash", standin.FaultCrash),
		Entry("is served by another endpoint when the response is truncated", standin.FaultTruncated),
		Entry("is served by another endpoint when the response has no seal", standin.FaultUnsealed),
		Entry("is served by another endpoint when the response is malformed", standin.FaultGarbled),
		Entry("is served by another endpoint when the first one hangs", standin.FaultHang),
		Entry("is served by another endpoint after an error", standin.FaultError),
	)

	It("does not return a late response for the next request", func() {
		fault = func(*http.Request) standin.Fault { return standin.FaultDuplicate }
		for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
			got := n.call("/look/1", id, "k1", nil)
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.header.Get("Skylarkloom-Attempt-Id")).To(Equal(id))
		}
	})

	It("resumes a resumable stream at another endpoint, without gaps or duplicates", func() {
		fault = firstRequest(standin.FaultTruncated)
		got := n.call("/tale/1", "r1", "k1", nil)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(standin.Stream(6)))
		Expect(runsOn(engines)).To(HaveLen(2))
	})

	// Found by the fault soak test: an endpoint that refuses all requests has no work, so
	// each request was sent there first.
	DescribeTable("does not try an endpoint repeatedly that refuses all requests",
		func(f standin.Fault) {
			var rejected atomic.Int64
			fault = func(r *http.Request) standin.Fault {
				if r.Header.Get("Skylarkloom-Expect-Instance") != "e1" {
					return standin.FaultNone
				}
				rejected.Add(1)
				return f
			}
			for i := range 40 {
				Expect(n.call("/note/1", fmt.Sprint("r", i), "k1", nil).status).To(Equal(http.StatusOK))
			}
			Expect(rejected.Load()).To(BeNumerically("<=", 10))
		},
		Entry("because its address belongs to a different instance", standin.FaultMoved),
		Entry("because it is full", standin.FaultShed),
	)

	It("aborts a stream that is not resumable, so that it does not appear complete", func() {
		fault = firstRequest(standin.FaultTruncated)
		got := n.call("/note/1", "r1", "k1", nil)
		Expect(got.err).To(HaveOccurred())
		Expect(standin.Stream(6)).To(HavePrefix(got.body))
		Expect(runsOn(engines)).To(HaveLen(1))
	})

	It("cancels the request at the endpoint when the caller disconnects", func() {
		cancelled := make(chan struct{})
		fault = func(r *http.Request) standin.Fault {
			context.AfterFunc(r.Context(), func() { close(cancelled) })
			return standin.FaultHang
		}
		ctx, cancel := context.WithCancel(context.Background())
		r := n.request("/tale/1", "r1", "k1", nil).WithContext(ctx)
		concurrently(func() {
			_, err := http.DefaultClient.Do(r) //nolint:bodyclose // The call fails.
			Expect(err).To(HaveOccurred())
		}, func() {
			Eventually(func() int { return len(runsOn(engines)) }, eventuallyTimeout).Should(Equal(1))
			cancel()
		})
		Eventually(cancelled, eventuallyTimeout).Should(BeClosed())
	})

	It("sends no requests to a draining endpoint", func() {
		d.register("desk", "d1", "127.0.0.1:1", "draining")
		Eventually(func() []standin.Run {
			n.call("/look/1", "r", "k1", nil)
			return services[1].Runs()
		}, eventuallyTimeout).ShouldNot(BeEmpty())
		before := len(services[0].Runs())
		Eventually(func() int { return len(n.front.ReadyEndpoints("desk")) }, eventuallyTimeout).Should(Equal(1))
		for range 10 {
			Expect(n.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
		}
		Expect(len(services[0].Runs()) - before).To(BeNumerically("<=", 10))
		Expect(len(services[1].Runs())).To(BeNumerically(">=", 10))
	})

	It("sends no requests to an endpoint that said in a response that it leaves, on any node", func() {
		second := d.startNode()
		Eventually(second.ready, eventuallyTimeout).Should(BeTrue())
		Eventually(second.metrics, eventuallyTimeout).Should(MatchRegexp(knowsOneNode))
		leaving := &standin.Endpoint{ID: "d1"}
		d.register("desk", "d1", startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Server-Leaving", "1")
			leaving.ServeHTTP(w, r)
		})), "ready")
		Eventually(func() []standin.Run {
			Expect(n.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
			return leaving.Runs()
		}, eventuallyTimeout).ShouldNot(BeEmpty())
		before := len(leaving.Runs())
		for range 10 {
			Expect(n.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
		}
		Eventually(func() int { return len(second.front.ReadyEndpoints("desk")) }, eventuallyTimeout).Should(Equal(1))
		for range 10 {
			Expect(second.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
		}
		Expect(leaving.Runs()).To(HaveLen(before))
		Expect(n.metrics()).To(ContainSubstring(`skylarkloom_front_announcements_total{pool="desk",what="leaving"} 1`))
	})

	// DRAIN, BUDGET: what an endpoint had announced was forgotten when its entry changed.
	DescribeTable("remembers what an endpoint announced when its entry shows another birth",
		func(name, value string, status int) {
			var announcing atomic.Bool
			endpoint := &standin.Endpoint{ID: "d1"}
			address := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if announcing.Load() {
					w.Header().Set(name, value)
				}
				if announcing.Load() && status != http.StatusOK {
					w.Header().Set("Skylarkloom-Not-Executed", "1")
					w.WriteHeader(status)
					return
				}
				endpoint.ServeHTTP(w, r)
			}))
			d.store.Put("keyed.servers", "d2", nil)
			registered := 0
			registerBorn := func(born time.Time) {
				d.registerBorn("desk", "d1", address, "ready", born)
				// The node has read the entry once it knows the next one.
				registered++
				d.register("other", fmt.Sprint("o", registered), address, "ready")
				Eventually(func() int { return len(n.front.ReadyEndpoints("other")) }, eventuallyTimeout).Should(Equal(registered))
			}
			born := time.Now().Add(-time.Second)
			registerBorn(born.Add(-time.Minute))
			announcing.Store(true)
			Eventually(func() int { return n.call("/book/1", "r", "k1", nil).status }, eventuallyTimeout).Should(Equal(status))
			announcing.Store(false)
			before := len(endpoint.Runs())
			for _, shown := range []time.Time{born.Add(-2 * time.Minute), born} {
				registerBorn(shown)
				for range 5 {
					Expect(n.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusServiceUnavailable))
				}
			}
			Expect(endpoint.Runs()).To(HaveLen(before))
			registerBorn(time.Now().Add(time.Second))
			Expect(n.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK), "it has started anew")
		},
		Entry("that it leaves", "Server-Leaving", "1", http.StatusOK),
		Entry("that it wants a pause", "Retry-After", "60", http.StatusServiceUnavailable),
	)

	It("applies a new configuration and refuses a key that it no longer contains", func() {
		d.publish("k2")
		Eventually(func() int { return n.call("/look/1", "r", "k1", nil).status }, eventuallyTimeout).Should(Equal(http.StatusUnauthorized))
		Expect(n.call("/look/1", "r", "k2", nil).status).To(Equal(http.StatusOK))
	})

	It("continues to follow the configuration when the store drops its history", func() {
		d.store.Compact("keyed.op")
		d.store.Compact("keyed.servers")
		d.publish("k3")
		Eventually(func() int { return n.call("/look/1", "r", "k3", nil).status }, eventuallyTimeout).Should(Equal(http.StatusOK))
	})

	It("refuses keys, but not public routes, when the store has not responded for too long", func() {
		d.store.SetMode(standin.ModeSilent)
		Eventually(func() int { return n.call("/look/1", "r", "k1", nil).status }, eventuallyTimeout).Should(Equal(http.StatusServiceUnavailable))
		Expect(n.call("/open/1", "r", "", nil).status).To(Equal(http.StatusOK))
		d.store.SetMode(standin.ModeNormal)
		Eventually(func() int { return n.call("/look/1", "r", "k1", nil).status }, eventuallyTimeout).Should(Equal(http.StatusOK))
	})

	// Found on a larger deployment: a node that had applied a peer's snapshot reported
	// that it had read the directory up to then, and other nodes kept outdated entries.
	It("does not report the directory as read after it applied a peer's snapshot", func() {
		store, silence := d.silenceableStore()
		address := startServer(store)
		second := d.startNodeAt(address, "b")
		Eventually(second.ready, eventuallyTimeout).Should(BeTrue())
		Eventually(second.metrics, eventuallyTimeout).Should(MatchRegexp(knowsOneNode))
		silence()
		d.startEndpoint("desk", &standin.Endpoint{ID: "d3"})
		registeredAt := time.Now()
		d.publish("k1", "k2")
		Eventually(func() int { return len(second.front.ReadyEndpoints("desk")) }, eventuallyTimeout).Should(Equal(3))
		digest := second.front.Describe()
		Expect(digest.DirectoryOffset).To(BeNumerically("<", n.front.Describe().DirectoryOffset))
		Expect(digest.DirectoryAge).To(BeNumerically(">=", time.Since(registeredAt)))
	})

	It("applies what a node of its data centre reads while it cannot reach the store", func() {
		store, silence := d.silenceableStore()
		address := startServer(store)
		second := d.startNodeAt(address, "a")
		Eventually(second.ready, eventuallyTimeout).Should(BeTrue())
		Eventually(second.metrics, eventuallyTimeout).Should(MatchRegexp(knowsOneNode))
		silence()
		d.register("desk", "d1", "127.0.0.1:1", "draining")
		registeredAt := time.Now()
		Eventually(func() int { return len(second.front.ReadyEndpoints("desk")) }, eventuallyTimeout).Should(Equal(1))
		Eventually(func() bool {
			digest := second.front.Describe()
			return digest.DirectoryOffset == n.front.Describe().DirectoryOffset && digest.DirectoryAge < time.Since(registeredAt)
		}, eventuallyTimeout).Should(BeTrue(), "the directory should be as recent as the other node's")
		Expect(second.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
	})

	It("follows the directory, also for another node, beside entries that no endpoint can have", func() {
		store, silence := d.silenceableStore()
		second := d.startNodeAt(startServer(store), "a")
		Eventually(second.ready, eventuallyTimeout).Should(BeTrue())
		Eventually(second.metrics, eventuallyTimeout).Should(MatchRegexp(knowsOneNode))
		silence()
		for _, odd := range []struct{ id, value string }{
			{"deep", strings.Repeat(`{"service":`, 20_000)},
			{"large", `{"service":"desk","address":"127.0.0.1:1","zone":"a","state":"ready","slots":1e99}`},
			{"port", `{"service":"desk","address":"127.0.0.1:70000","zone":"a","state":"ready","slots":4}`},
			{"name", `{"service":"` + strings.Repeat("x", 200_000) + `","address":"127.0.0.1:1","zone":"a","state":"ready"}`},
			{"\xff\xfe", `{"service":"desk","address":"127.0.0.1:1","zone":"a","state":"ready","slots":4}`},
			{"empty", "null"},
		} {
			d.store.Put("keyed.servers", odd.id, []byte(odd.value))
		}
		d.register("desk", "d1", "127.0.0.1:1", "draining")
		registeredAt := time.Now()
		for _, follower := range []*node{n, second} {
			Eventually(func(g Gomega) {
				endpoints, digest := follower.front.ReadyEndpoints("desk"), follower.front.Describe()
				g.Expect(endpoints).To(HaveLen(1))
				g.Expect(endpoints[0].ID).To(BeEquivalentTo("d2"))
				g.Expect(digest.DirectoryAge).To(BeNumerically("<", time.Since(registeredAt)), "offset %d", digest.DirectoryOffset)
			}, eventuallyTimeout).Should(Succeed())
			Expect(follower.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
		}
	})

	It("does not wait for another node's snapshot when it stops", func() {
		requested, release := make(chan struct{}, 16), make(chan struct{})
		hanging := startServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			requested <- struct{}{}
			<-release
		}))
		DeferCleanup(func() { close(release) })
		ahead := gossip.Digest{Node: fleet.NodeRef{Name: "ahead", Incarnation: 1}, DataCentre: "a", Address: hanging, ConfigVersion: 1 << 40, Clock: time.Now()}
		exchange := &gossip.Exchange{
			ListenAddress: hanging, Describe: func() gossip.Digest { return ahead }, OnDigest: func(gossip.Digest) {},
			OnReply:    func(gossip.Digest, *gossip.Delta, clock.Instant) {},
			DeltaSince: func(fleet.Offset) *gossip.Delta { return nil }, WallClock: time.Now, Table: &gossip.Table{Self: "ahead", DataCentre: "a"},
		}
		Expect(exchange.Listen()).To(Succeed())
		var group errgroup.Group
		group.Go(func() error {
			exchange.Receive()
			return nil
		})
		DeferCleanup(func() {
			Expect(exchange.Close()).To(Succeed())
			Expect(group.Wait()).To(Succeed())
		})
		announcement, err := json.Marshal(gossip.Announcement{Address: hanging, DataCentre: "a", Incarnation: 1})
		Expect(err).NotTo(HaveOccurred())
		d.store.Put("keyed.nodes", "ahead", announcement)
		second := d.startNode()
		Eventually(second.ready, eventuallyTimeout).Should(BeTrue())
		Eventually(requested, eventuallyTimeout).Should(Receive())
		began := time.Now()
		Expect(second.front.Stop(context.Background())).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically("<", 700*time.Millisecond), "a snapshot may take a second")
	})

	It("serves metrics that the operations page documents", func() {
		Expect(n.call("/look/1", "r", "k1", nil).status).To(Equal(http.StatusOK))
		metrics := n.metrics()
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		for _, m := range regexp.MustCompile(`(?m)^# TYPE skylarkloom_front(\S+) `).FindAllStringSubmatch(metrics, -1) {
			Expect(string(page)).To(ContainSubstring(m[1] + "`"))
		}
		Expect(metrics).To(ContainSubstring(`skylarkloom_front_requests_total{kind="safe",reason="",status="200"} 1`))
	})

	It("reports each usage window once, whichever node reports it", func() {
		second := d.startNode()
		Eventually(second.ready, eventuallyTimeout).Should(BeTrue())
		const requestsPerNode = 5
		for range requestsPerNode {
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
		Eventually(count, eventuallyTimeout).Should(BeEquivalentTo(2 * requestsPerNode))
		Consistently(count, 2*time.Second).Should(BeEquivalentTo(2 * requestsPerNode))
	})
})
