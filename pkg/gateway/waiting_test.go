package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
)

// newEngineHandler returns the handler of a node with one engine, whose prompts queue for
// the given time, and counts the requests that reach it. The account of key "k" has a quota
// of one request.
func newEngineHandler(queue time.Duration) (h *Handler, arrived *atomic.Int64) {
	arrived = &atomic.Int64{}
	e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
		arrived.Add(1)
		write(w, sealedHead(r, "200 OK")+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n")
		return false
	}}
	h = newHandler(e.start())
	config := h.Config()
	pool := config.Pools["desk"]
	pool.Engine = &serving.Engine{}
	config.Pools["desk"] = pool
	config.Accounts = []serving.Account{{Name: "acc", Keys: []serving.APIKey{"k"}, Quota: serving.Quota{Rate: 0.001, Burst: 1}}}
	config.BuildIndex()
	// Requests wait in fleets whose views are late.
	h.Nodes = func() allotment.Nodes { return allotment.Nodes{Total: 1, Lag: 450 * time.Millisecond} }
	setQueue(h, queue)
	return h, arrived
}

// setQueue sets the time for which prompts of other nodes queue at the engine.
func setQueue(h *Handler, queue time.Duration) {
	tokens := fleet.Tokens(queue.Seconds() * 1000 * h.Engines.Speeds("desk").Prefill)
	h.Tracker.SetPeerWork(map[fleet.InstanceID]placement.Work{"e1": {Running: 4, Backlog: tokens}})
}

// waitingCount returns the number of waiting requests.
func waitingCount(h *Handler) (sum int) {
	for _, n := range h.Waiting.Waiting() {
		sum += n
	}
	return sum
}

// callWithKey sends a request for a stream within a context.
func callWithKey(ctx context.Context, node string) reply {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/tale/1", nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Skylarkloom-Attempt-Id", "r1")
	r.Header.Set("Authorization", "Bearer k")
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	return reply{status: res.StatusCode, retryAfter: res.Header.Get("Retry-After")}
}

var _ = ginkgo.Describe("A stream request without room at the engines", func() {
	// With this queue there is no room, but a request can begin within its objective.
	const fullQueue = 700 * time.Millisecond

	// begin sends a request that waits, and returns its reply.
	begin := func(ctx context.Context, h *Handler) (node string, replies <-chan reply) {
		node = startNode(h, nil)
		answered := make(chan reply, 1)
		var group errgroup.Group
		group.Go(func() error {
			answered <- callWithKey(ctx, node)
			return nil
		})
		ginkgo.DeferCleanup(group.Wait)
		Eventually(func() int { return waitingCount(h) }).Should(Equal(1))
		return node, answered
	}

	ginkgo.It("is sent once there is room", func() {
		h, arrived := newEngineHandler(fullQueue)
		_, replies := begin(context.Background(), h)
		Expect(arrived.Load()).To(BeZero())
		setQueue(h, 0)
		h.Waiting.SetPeers(waiting.Report{}, clock.Now())
		var got reply
		Eventually(replies).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
	})

	ginkgo.It("is refused at once if it cannot begin in time, with a time to come back and its quota", func() {
		h, arrived := newEngineHandler(3 * time.Second)
		node := startNode(h, nil)
		got := callWithKey(context.Background(), node)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		after, err := strconv.ParseFloat(got.retryAfter, 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(And(BeNumerically(">=", 0.1), BeNumerically("<=", 2.0/3)))
		Expect(arrived.Load()).To(BeZero())
		setQueue(h, 0)
		Expect(callWithKey(context.Background(), node).status).To(Equal(http.StatusOK))
	})

	ginkgo.It("is sent at once in a small fleet, where views are fresh", func() {
		h, arrived := newEngineHandler(fullQueue)
		h.Nodes = func() allotment.Nodes { return allotment.Nodes{Total: 1} }
		Expect(callWithKey(context.Background(), startNode(h, nil)).status).To(Equal(http.StatusOK))
		Expect(arrived.Load()).To(BeEquivalentTo(1))
	})

	ginkgo.It("is refused when its hope ends", func() {
		h, arrived := newEngineHandler(fullQueue)
		_, replies := begin(context.Background(), h)
		var got reply
		Eventually(replies, "2s").Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(arrived.Load()).To(BeZero())
		Expect(waitingCount(h)).To(BeZero())
	})

	ginkgo.It("is refused as not run when the node stops", func() {
		h, arrived := newEngineHandler(fullQueue)
		_, replies := begin(context.Background(), h)
		h.Shutdown.Refuse()
		var got reply
		Eventually(replies, "150ms").Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(arrived.Load()).To(BeZero())
	})

	ginkgo.It("leaves the queue with its caller, and its quota is refunded", func() {
		h, _ := newEngineHandler(fullQueue)
		ctx, leave := context.WithCancel(context.Background())
		node, _ := begin(ctx, h)
		leave()
		Eventually(func() int { return waitingCount(h) }).Should(BeZero())
		setQueue(h, 0)
		Expect(callWithKey(context.Background(), node).status).To(Equal(http.StatusOK))
	})
})
