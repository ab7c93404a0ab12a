package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
)

// MIXED: net/http sent an empty success for a request that was given up without a response.
var _ = ginkgo.It("A request that is given up because the node's context ended is not ended as a success", func() {
	arrived := make(chan struct{})
	e := &rawEndpoint{respond: func(io.Writer, *http.Request, int64, int64) bool {
		close(arrived)
		time.Sleep(300 * time.Millisecond)
		return false
	}}
	h := newHandler(e.start())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := httptest.NewUnstartedServer(h)
	server.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	server.Config.ConnContext = connection.NewContext
	server.Start()
	defer server.Close()
	replies := make(chan reply, 1)
	var group errgroup.Group
	group.Go(func() error {
		defer ginkgo.GinkgoRecover()
		replies <- call(server.Listener.Addr().String(), "/book/1", "r1")
		return nil
	})
	Eventually(arrived).Should(BeClosed())
	cancel()
	var r reply
	Eventually(replies).Should(Receive(&r))
	Expect(r.err).To(HaveOccurred(), "status %d", r.status)
	Expect(group.Wait()).To(Succeed())
})
