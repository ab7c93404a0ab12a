package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// LOST: any request was admitted with its full time until the end of a planned stop.
var _ = ginkgo.DescribeTable("A request during a planned stop",
	func(path, tokenCounts string, left, work time.Duration, status, arrivals int) {
		var arrived atomic.Int64
		e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
			arrived.Add(1)
			time.Sleep(work)
			if path == "/tale/1" {
				write(w, sealedHead(r, "200 OK")+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n")
				return false
			}
			write(w, answer(r, "done"))
			return true
		}}
		h := newHandler(e.start())
		config := h.Config()
		for i := range config.Routes {
			config.Routes[i].Objective, config.Routes[i].Timeout = 100*time.Millisecond, 10*time.Second
		}
		pool := config.Pools["desk"]
		pool.Engine = &serving.Engine{}
		config.Pools["desk"] = pool
		node := startNode(h, nil)
		h.Shutdown.Begin(time.Now().Add(left))
		r, err := http.NewRequest(http.MethodGet, "http://"+node+path, nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header.Set("Skylarkloom-Attempt-Id", "r1")
		r.Header.Set("Skylarkloom-Token-Counts", tokenCounts)
		res, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		Expect(res.StatusCode).To(Equal(status))
		Expect(res.Close).To(BeTrue(), "the response closes the connection")
		Expect(arrived.Load()).To(BeEquivalentTo(arrivals))
	},
	ginkgo.Entry("is served if it is expected to finish", "/tale/1", "10,10", 2*time.Second, time.Millisecond, http.StatusOK, 1),
	ginkgo.Entry("is refused if its output is expected to take longer", "/tale/1", "10,400", 2*time.Second, time.Millisecond, http.StatusServiceUnavailable, 0),
	ginkgo.Entry("is refused if it may not be repeated and too little time is left", "/book/1", "", 150*time.Millisecond, time.Millisecond, http.StatusServiceUnavailable, 0),
	ginkgo.Entry("may have run if it is under way at the end", "/book/1", "", 400*time.Millisecond, time.Second, http.StatusBadGateway, 1),
	ginkgo.Entry("may have run if its stream has not begun at the end", "/tale/1", "10,10", 700*time.Millisecond, time.Second, http.StatusBadGateway, 1),
)
