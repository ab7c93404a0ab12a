package front_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/platform"
	"github.com/skylarkloom/skylarkloom/platform/standin"
)

// rolloutBounds are the bounds that the operator's settings add for roll-outs.
const rolloutBounds = ", exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5000"

// versionedEndpoint is a stand-in endpoint of a version that takes a usual time.
func (d *deployment) versionedEndpoint(id, version string, fault func(*http.Request) standin.Fault) *standin.Endpoint {
	e := &standin.Endpoint{ID: id, Fault: fault}
	address := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		e.ServeHTTP(w, r)
	}))
	record := map[string]any{"service": "desk", "address": address, "zone": "a", "slots": 8, "state": "ready", "version": version, "coldLeftMs": 0, "seqNo": 1}
	data, err := json.Marshal(record)
	Expect(err).NotTo(HaveOccurred())
	d.store.Put("keyed.servers", id, data)
	return e
}

// order writes an order of a roll-out of the pool "desk".
func (d *deployment) order(to string, duration time.Duration) {
	data, err := json.Marshal(map[string]any{"service": "desk", "to": to, "durationS": duration.Seconds()})
	Expect(err).NotTo(HaveOccurred())
	d.store.Put("keyed.op", "rollout/desk", data)
}

// rolloutState returns the state that the operator reads.
func (d *deployment) rolloutState() string {
	b, err := platform.NewStore(d.storeAddress).Newest(context.Background(), platform.TopicStatus)
	if err != nil {
		return err.Error()
	}
	for _, r := range b.Records {
		var status struct{ State, To string }
		if r.Key == "rollout/desk" && json.Unmarshal(r.Value, &status) == nil {
			return status.State + " " + status.To
		}
	}
	return ""
}

// decision returns the stored state with the counts that decided.
func (d *deployment) decision() string {
	b, err := platform.NewStore(d.storeAddress).Newest(context.Background(), platform.TopicRollouts)
	if err != nil || len(b.Records) == 0 {
		return fmt.Sprint(err)
	}
	return string(b.Records[0].Value)
}

// traffic calls nodes in turn until stop is called, about 150 times a second, and counts the answers.
func traffic(nodes ...*node) (stop func(), served, failed *atomic.Int64) {
	served, failed = &atomic.Int64{}, &atomic.Int64{}
	ctx, cancel := context.WithCancel(context.Background())
	calls := make([]func(), 6)
	for c := range calls {
		calls[c] = func() {
			for i := 0; ctx.Err() == nil; i++ {
				path := []string{"/look/x", "/open/x"}[i%2]
				if res := nodes[i%len(nodes)].call(path, fmt.Sprintf("%d-%d", c, i), "k1", nil); res.status == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(30 * time.Millisecond)
			}
		}
	}
	var group errgroup.Group
	group.Go(func() error {
		defer GinkgoRecover()
		concurrently(calls...)
		return nil
	})
	return func() {
		cancel()
		Expect(group.Wait()).To(Succeed())
	}, served, failed
}

func runs(endpoints ...*standin.Endpoint) (total int) {
	for _, e := range endpoints {
		total += len(e.Runs())
	}
	return total
}

var _ = Describe("A roll-out that the operator orders", func() {
	const duration = 12 * time.Second
	var (
		d          *deployment
		nodes      []*node
		old, fresh []*standin.Endpoint
		bad        func(*http.Request) standin.Fault
	)
	start := func() {
		d = newDeployment()
		d.extraBounds = rolloutBounds
		d.publish("k1")
		old, fresh, nodes = nil, nil, nil
		for i := range 3 {
			old = append(old, d.versionedEndpoint(fmt.Sprintf("old-%d", i), "v1", nil))
		}
		for range 3 {
			nodes = append(nodes, d.startNode())
		}
		for _, n := range nodes {
			Eventually(n.ready, eventuallyTimeout).Should(BeTrue())
		}
	}
	order := func() {
		for i := range 3 {
			fresh = append(fresh, d.versionedEndpoint(fmt.Sprintf("new-%d", i), "v2", bad))
		}
		d.order("v2", duration)
	}
	exposed := func() bool { return float64(runs(fresh...)) <= 0.1*float64(runs(fresh...)+runs(old...))+50 }

	It("moves all requests to a good version in time, and none to the old one from then on", func() {
		bad = nil
		start()
		stop, served, failed := traffic(nodes...)
		defer stop()
		Eventually(served.Load, eventuallyTimeout).Should(BeNumerically(">", 100))
		order()
		Eventually(d.rolloutState, eventuallyTimeout).Should(Equal("running v2"))
		Expect(exposed()).To(BeTrue())
		Eventually(d.rolloutState, duration).Should(Equal("done v2"), d.decision)
		before := runs(old...)
		count := served.Load()
		Eventually(served.Load, eventuallyTimeout).Should(BeNumerically(">", count+100))
		Expect(runs(old...)).To(Equal(before))
		Expect(failed.Load()).To(BeZero())
	})

	DescribeTable("is rolled back if the version is bad", func(fault func(*http.Request) standin.Fault) {
		bad = fault
		start()
		stop, served, _ := traffic(nodes...)
		defer stop()
		Eventually(served.Load, eventuallyTimeout).Should(BeNumerically(">", 100))
		order()
		Eventually(d.rolloutState, duration).Should(Equal("rolled_back v2"))
		Expect(exposed()).To(BeTrue(), "%d of %d", runs(fresh...), runs(fresh...)+runs(old...))
		// The other nodes learn the verdict, and requests that are under way end.
		time.Sleep(time.Second)
		before := runs(fresh...)
		count := served.Load()
		Eventually(served.Load, eventuallyTimeout).Should(BeNumerically(">", count+100))
		Expect(runs(fresh...)).To(Equal(before))
	},
		Entry("at once", func(*http.Request) standin.Fault { return standin.FaultError }),
		Entry("on one route", func(r *http.Request) standin.Fault {
			if strings.HasPrefix(r.URL.Path, "/open") {
				return standin.FaultError
			}
			return standin.FaultNone
		}),
		Entry("because it is slow", func(*http.Request) standin.Fault {
			time.Sleep(150 * time.Millisecond)
			return standin.FaultNone
		}),
	)

	It("is finished by another node when the one that decides stops", func() {
		bad = nil
		start()
		decides := func(n *node) bool { return strings.Contains(n.metrics(), "skylarkloom_front_duties 1") }
		Eventually(func() bool { return slices.ContainsFunc(nodes, decides) }, eventuallyTimeout).Should(BeTrue())
		decider := nodes[slices.IndexFunc(nodes, decides)]
		others := slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n == decider })
		stop, served, _ := traffic(others...)
		defer stop()
		Eventually(served.Load, eventuallyTimeout).Should(BeNumerically(">", 50))
		order()
		Eventually(d.rolloutState, eventuallyTimeout).Should(Equal("running v2"))
		Expect(decides(decider)).To(BeTrue())
		Expect(decider.front.Stop(context.Background())).To(Succeed())
		Eventually(d.rolloutState, duration).Should(Equal("done v2"))
		Expect(decider.ready()).To(BeFalse())
	})

	It("keeps the status of a later state that the node has not read", func() {
		d = newDeployment()
		d.extraBounds = rolloutBounds
		d.publish("k1")
		d.versionedEndpoint("old-0", "v1", nil)
		var decided, written atomic.Bool
		n := d.startNodeAt(startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if topic := r.URL.Query().Get("topic"); topic == "keyed.status" {
				written.Store(written.Load() || r.URL.Path == "/log-append")
				// Another node decides while this one is frozen.
				if decided.CompareAndSwap(false, true) {
					d.store.Put("keyed.rollouts", "desk", []byte(`{"order":{"pool":"desk","to":"v9","duration":60000000000},"phase":"done","number":9}`))
					d.store.Put("keyed.status", "rollout/desk", []byte(`{"state":"done","to":"v9"}`))
				}
			}
			d.store.ServeHTTP(w, r)
		})), "a")
		Eventually(n.ready, eventuallyTimeout).Should(BeTrue())
		d.order("v9", time.Minute)
		Eventually(decided.Load, eventuallyTimeout).Should(BeTrue())
		Consistently(written.Load, 2*time.Second).Should(BeFalse())
		Expect(d.rolloutState()).To(Equal("done v9"))
	})

	It("keeps its verdict when an earlier status arrives late", func() {
		d = newDeployment()
		d.extraBounds = rolloutBounds
		d.publish("k1")
		d.versionedEndpoint("old-0", "v1", nil)
		var first atomic.Pointer[http.Request]
		n := d.startNodeAt(startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/log-append" && r.URL.Query().Get("topic") == "keyed.status" && first.Load() == nil {
				body, _ := io.ReadAll(r.Body)
				late := r.Clone(context.Background())
				late.Body = io.NopCloser(bytes.NewReader(body))
				first.Store(late)
				panic(http.ErrAbortHandler)
			}
			d.store.ServeHTTP(w, r)
		})), "a")
		Eventually(n.ready, eventuallyTimeout).Should(BeTrue())
		// No endpoint has the version.
		d.order("v9", 2*time.Second)
		Eventually(d.rolloutState, eventuallyTimeout).Should(Equal("rolled_back v9"))
		d.store.ServeHTTP(httptest.NewRecorder(), first.Load())
		Consistently(d.rolloutState, time.Second).Should(Equal("rolled_back v9"))
	})

	It("stops exposing a bad version while the store is away", func() {
		bad = func(*http.Request) standin.Fault { return standin.FaultError }
		start()
		stop, served, _ := traffic(nodes...)
		defer stop()
		Eventually(served.Load, eventuallyTimeout).Should(BeNumerically(">", 100))
		order()
		Eventually(func() int { return runs(fresh...) }, eventuallyTimeout).Should(BeNumerically(">", 0))
		d.store.SetMode(standin.ModeSilent)
		time.Sleep(2 * time.Second)
		before := runs(fresh...)
		Expect(before).To(BeNumerically("<=", 50))
		time.Sleep(2 * time.Second)
		Expect(runs(fresh...)).To(Equal(before))
		d.store.SetMode(standin.ModeNormal)
		Eventually(d.rolloutState, duration).Should(Equal("rolled_back v2"))
	})
})
