package front_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/platform"
)

// storedKeys returns the keys of the crashes or of the quarantines in the store.
func storedKeys(d *deployment, ofCrashes bool) (keys []string) {
	batch, err := platform.NewStore(d.storeAddress).Newest(context.Background(), platform.TopicQuarantine)
	Expect(err).NotTo(HaveOccurred())
	for _, r := range batch.Records {
		if strings.Contains(r.Key, "-") == ofCrashes {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// crashFleet is a deployment with endpoints that a request crashes, and its nodes.
type crashFleet struct {
	*deployment
	engines crashingEngines
	nodes   []*node
	// refused holds the node whose calls the store refuses, 0 for none, refuseAll for all.
	refused atomic.Int64
	calls   int
}

const (
	refuseNone int64 = 0
	refuseAll  int64 = -1
)

func newCrashFleet(nodes int) *crashFleet {
	f := &crashFleet{deployment: newDeployment(), engines: crashingEngines{pool: "desk"}}
	f.engines.isDeadly = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/book/dead") }
	for i := range 12 {
		f.engines.start(f.deployment, fmt.Sprintf("e%d", i))
	}
	f.publish("k1")
	for range nodes {
		f.add()
	}
	for _, n := range f.nodes {
		Eventually(n.ready, eventuallyTimeout).Should(BeTrue())
	}
	return f
}

// add starts a node whose calls to the store can be refused.
func (f *crashFleet) add() *node {
	number := int64(f.deployment.nodes) + 1
	address := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused := f.refused.Load(); refused == refuseAll || refused == number {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	n := f.startNodeAt(address, "a")
	f.nodes = append(f.nodes, n)
	return n
}

// send sends the request that crashes endpoints, each time as another attempt.
func (f *crashFleet) send(n *node) response {
	f.calls++
	r := n.request("/book/dead", fmt.Sprint("d", f.calls), "k1", nil)
	r.Body, r.ContentLength = http.NoBody, 0
	res, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return response{err: err}
	}
	return response{status: res.StatusCode, header: res.Header, err: res.Body.Close()}
}

// restartInTurn restarts the nodes one after the other.
func (f *crashFleet) restartInTurn() {
	for _, n := range f.nodes {
		n.restart()
		Eventually(n.ready, eventuallyTimeout).Should(BeTrue())
	}
}

// replaceAll stops all nodes and starts new ones elsewhere.
func (f *crashFleet) replaceAll() {
	count := len(f.nodes)
	for _, old := range f.nodes {
		old.stop()
	}
	f.nodes = nil
	for range count {
		f.add()
	}
	for _, n := range f.nodes {
		Eventually(n.ready, eventuallyTimeout).Should(BeTrue())
	}
}

const (
	// crashAge is the age of a crash that digests no longer hold.
	crashAge = 11 * time.Second
	// learnTime is the time within which the nodes have to know of a crash.
	learnTime = 3 * time.Second
)

// review/6: crashes before a quarantine were forgotten with the nodes that had seen them, and the
// request crashed three endpoints more after each start of all nodes.
var _ = DescribeTable("A request that crashed two endpoints crashes only a third",
	func(nodes int, refused int64, lose func(f *crashFleet)) {
		f := newCrashFleet(nodes)
		f.refused.Store(refused)
		for i := range 2 {
			Expect(f.send(f.nodes[i%nodes]).status).To(Equal(http.StatusBadGateway))
			time.Sleep(time.Second)
		}
		lose(f)
		Expect(f.engines.count()).To(Equal(2))
		Expect(f.send(f.nodes[0]).status).To(Equal(http.StatusBadGateway))
		time.Sleep(learnTime)
		for range 3 {
			for _, n := range f.nodes {
				Expect(f.send(n).status).To(Equal(http.StatusServiceUnavailable))
			}
		}
		Expect(f.engines.count()).To(Equal(3))
	},
	Entry("after the nodes were restarted in turn", 2, refuseNone, func(f *crashFleet) {
		time.Sleep(crashAge)
		f.restartInTurn()
	}),
	Entry("after all nodes were replaced at the same time", 2, refuseNone, (*crashFleet).replaceAll),
	Entry("after the only node was replaced", 1, refuseNone, (*crashFleet).replaceAll),
	Entry("after the crashes happened, and a node was restarted, while the store was away", 2, refuseAll, func(f *crashFleet) {
		time.Sleep(crashAge)
		f.nodes[0].restart()
		f.refused.Store(refuseNone)
		Eventually(f.nodes[0].ready, eventuallyTimeout).Should(BeTrue())
		time.Sleep(time.Second)
		f.nodes[1].restart()
		Eventually(f.nodes[1].ready, eventuallyTimeout).Should(BeTrue())
	}),
)

var _ = Describe("A crash that the store does not accept from the node that saw it", func() {
	It("is stored by another node", func() {
		f := newCrashFleet(2)
		f.refused.Store(1)
		Expect(f.send(f.nodes[0]).status).To(Equal(http.StatusBadGateway))
		Eventually(func() []string { return storedKeys(f.deployment, true) }, "8s", "100ms").Should(HaveLen(1))
	})
})

var _ = Describe("The crashes in the store", func() {
	It("are removed once their content is served", func() {
		f := newCrashFleet(1)
		var crashing atomic.Bool
		crashing.Store(true)
		f.engines.isDeadly = func(r *http.Request) bool { return r.URL.Path == "/book/dead" && crashing.Load() }
		Expect(f.send(f.nodes[0]).status).To(Equal(http.StatusBadGateway))
		Eventually(func() []string { return storedKeys(f.deployment, true) }, eventuallyTimeout).Should(HaveLen(1))
		crashing.Store(false)
		Expect(f.send(f.nodes[0]).status).To(Equal(http.StatusOK))
		Eventually(func() []string { return storedKeys(f.deployment, true) }, eventuallyTimeout).Should(BeEmpty())
	})
})
