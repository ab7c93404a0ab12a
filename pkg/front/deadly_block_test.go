package front_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

// crashingEngines are endpoints that crash when they begin to answer a request: all their
// connections break, and new ones are refused.
type crashingEngines struct {
	pool     string
	isDeadly func(*http.Request) bool

	mu       sync.Mutex
	group    errgroup.Group
	arrivals []time.Time
}

// start starts an engine and registers it.
func (c *crashingEngines) start(d *deployment, id string) {
	engine := &standin.Endpoint{ID: id, Events: 6}
	var server *httptest.Server
	var crashed sync.Once
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.isDeadly(r) {
			engine.ServeHTTP(w, r)
			return
		}
		c.mu.Lock()
		c.arrivals = append(c.arrivals, time.Now())
		c.mu.Unlock()
		w.Header().Set("Skylarkloom-Attempt-Id", r.Header.Get("Skylarkloom-Attempt-Id"))
		w.Header().Set("Skylarkloom-Response-Seal", "s")
		w.WriteHeader(http.StatusOK)
		// The header of the answer gets out before the crash.
		_ = http.NewResponseController(w).Flush()
		crashed.Do(func() {
			_ = server.Listener.Close()
			c.group.Go(func() error {
				server.CloseClientConnections()
				return nil
			})
		})
		panic(http.ErrAbortHandler)
	}))
	DeferCleanup(func() {
		Expect(c.group.Wait()).To(Succeed())
		server.CloseClientConnections()
		server.Close()
	})
	d.register(c.pool, id, strings.TrimPrefix(server.URL, "http://"), "ready")
}

// hasDeadBlock reports whether a prompt has the prefix block "dead".
func hasDeadBlock(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Skylarkloom-Prompt-Prefix"), "dead:")
}

// count counts the deadly requests that arrived.
func (c *crashingEngines) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.arrivals)
}

// lateArrivals counts the deadly requests that arrived later than grace after the
// fifth one.
func (c *crashingEngines) lateArrivals(grace time.Duration) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	const learningCrashes = 5
	if len(c.arrivals) < learningCrashes {
		return 0
	}
	for _, at := range c.arrivals[learningCrashes:] {
		if at.Sub(c.arrivals[learningCrashes-1]) > grace {
			count++
		}
	}
	return count
}

// One prefix block crashed engine after engine: no two requests with it were alike, so
// each of them was taken for a new content.
var _ = DescribeTable("Requests with a prefix block that crashes engines",
	func(position int) {
		// The bounds of the users' rule.
		const grace, maxLate = 3 * time.Second, 3
		d := newDeployment()
		engines := &crashingEngines{pool: "engine", isDeadly: hasDeadBlock}
		for i := range 40 {
			engines.start(d, fmt.Sprintf("e%d", i))
		}
		d.publish("k1", "k2")
		nodes := []*node{d.startNode(), d.startNode()}
		for _, n := range nodes {
			Eventually(n.ready, eventuallyTimeout).Should(BeTrue())
		}
		var ids, served, failed atomic.Int64
		send := func(n *node, blocks ...string) response {
			id := fmt.Sprint("r", ids.Add(1))
			prefix := strings.Join(append(blocks, id), ":100,") + ":50"
			return n.call("/tale/1", id, "k1", map[string]string{"Skylarkloom-Prompt-Prefix": prefix, "Skylarkloom-Token-Counts": "1,0"})
		}
		const duration, deadlyPause, soundPause = 6 * time.Second, 300 * time.Millisecond, 40 * time.Millisecond
		end := time.Now().Add(duration)
		lastSecond := end.Add(-time.Second)
		sound := func(n *node, blocks ...string) func() {
			return func() {
				for ; time.Now().Before(end); time.Sleep(soundPause) {
					counter := &served
					if got := send(n, blocks...); got.err != nil || got.status != http.StatusOK {
						counter = &failed
					}
					if time.Now().After(lastSecond) {
						counter.Add(1)
					}
				}
			}
		}
		tainted := []string{"shared", "session"}
		tainted = append(tainted[:position:position], append([]string{"dead"}, tainted[position:]...)...)
		concurrently(
			func() {
				for i := 0; time.Now().Before(end); i++ {
					send(nodes[i%2], tainted...)
					time.Sleep(deadlyPause)
				}
			},
			sound(nodes[0], "shared", "session"), sound(nodes[1], "shared", "session"),
			sound(nodes[0], "shared", "other"), sound(nodes[1], "further"),
		)
		Expect(engines.lateArrivals(grace)).To(BeNumerically("<=", maxLate), "deadly requests that reached engines late")
		Expect(served.Load()).To(BeNumerically(">", 20), "sound requests in the last second")
		Expect(failed.Load()).To(BeZero(), "sound requests that failed in the last second")
	},
	Entry("as the first block stop reaching engines", 0),
	Entry("in the middle stop reaching engines", 1),
	Entry("as the last shared block stop reaching engines", 2),
)

// All nodes were killed at once; what they had learned was lost with them, and engines
// crashed anew.
var _ = Describe("A prefix block that crashed engines before all nodes were replaced", func() {
	It("is refused by the new nodes", func() {
		d := newDeployment()
		engines := &crashingEngines{pool: "engine", isDeadly: hasDeadBlock}
		for i := range 20 {
			engines.start(d, fmt.Sprintf("e%d", i))
		}
		d.publish("k1", "k2")
		send := func(n *node, id int) response {
			prefix := fmt.Sprintf("shared:100,dead:100,%d:50", id)
			return n.call("/tale/1", fmt.Sprint("r", id), "k1", map[string]string{"Skylarkloom-Prompt-Prefix": prefix, "Skylarkloom-Token-Counts": "1,0"})
		}
		first := d.startNode()
		Eventually(first.ready, eventuallyTimeout).Should(BeTrue())
		ids := 0
		Eventually(func() int {
			ids++
			return send(first, ids).status
		}, eventuallyTimeout, "300ms").Should(Equal(http.StatusServiceUnavailable))
		Eventually(func() []string { return storedKeys(d, false) }, eventuallyTimeout).Should(HaveLen(1))
		// The nodes do not find each other, as if the first one were gone.
		isolated := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("topic") == "keyed.nodes" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			d.store.ServeHTTP(w, r)
		}))
		second := d.startNodeAt(isolated, "b")
		Eventually(second.ready, eventuallyTimeout).Should(BeTrue())
		arrivals := len(engines.arrivals)
		for range 5 {
			ids++
			Expect(send(second, ids).status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(engines.arrivals).To(HaveLen(arrivals))
	})
})
