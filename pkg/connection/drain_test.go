package connection_test

import (
	"context"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
)

// A server whose Serve had not returned yet failed to close its listener a second time.
var _ = It("A drained server can be closed without an error", func(ctx context.Context) {
	for range 200 {
		var tracker connection.Tracker
		server := &http.Server{ConnState: tracker.SetState}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		served := make(chan struct{})
		var group errgroup.Group
		group.Go(func() error {
			defer close(served)
			return server.Serve(l)
		})
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Close()).To(Succeed())
		Expect(tracker.CloseIdle(ctx, server, l, served)).To(Succeed())
		Expect(tracker.AwaitRequests(ctx)).To(Succeed())
		Expect(server.Close()).To(Succeed())
		Expect(group.Wait()).To(MatchError(net.ErrClosed))
	}
})
