package entry_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

// LOST: requests in flight at the end of a planned stop were cut without a response.
var _ = DescribeTable("A request in flight when a drain does not finish in time receives a response",
	func(path, body, key string, status int, text string) {
		e := newFixture()
		begun, release := make(chan struct{}, 1), make(chan struct{})
		defer close(release)
		e.handler.Generate = func(ctx context.Context, _ generation.Request, emit func(string) error) (res generation.Result, err error) {
			if err = emit("first"); err != nil {
				return res, err
			}
			begun <- struct{}{}
			<-ctx.Done()
			return res, ctx.Err()
		}
		e.handler.CallService = func(ctx context.Context, _ fleet.PoolName, _ endpoint.ServiceCall, _ bool) (res endpoint.Response, err error) {
			begun <- struct{}{}
			<-ctx.Done()
			return res, ctx.Err()
		}
		e.serveCall = func(endpoint.ServiceCall) (res endpoint.Response, err error) {
			begun <- struct{}{}
			<-release
			return res, context.DeadlineExceeded
		}
		method, header := http.MethodPost, map[string]string{}
		if body == "" {
			method = http.MethodGet
		}
		if key != "" {
			header[edge.IdempotencyKeyHeader] = key
		}
		var r response
		var group errgroup.Group
		group.Go(func() error {
			defer GinkgoRecover()
			r = e.send(method, path, body, header)
			return nil
		})
		Eventually(begun).Should(Receive())
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		drainStart := time.Now()
		Expect(e.handler.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
		Expect(time.Since(drainStart)).To(BeNumerically("<", 900*time.Millisecond))
		Expect(group.Wait()).To(Succeed())
		Expect(r.Status).To(Equal(status))
		Expect(r.Body).To(ContainSubstring(text))
		if status != http.StatusOK {
			Expect(r.outcome()).To(Equal(fleet.OutcomeUnknown))
		}
	},
	Entry("a generation", "/v1/completions", `{"model":"plume","prompt":"x"}`, "", http.StatusBadGateway, "node_stopped"),
	Entry("a stream, as an event", "/v1/completions", `{"model":"plume","prompt":"x","stream":true}`, "", http.StatusOK, "node_stopped"),
	Entry("a call that may be repeated", "/v1/services/guichet/quotes", "", "", http.StatusBadGateway, "this node stopped"),
	Entry("an order, with where to ask", "/v1/services/guichet/orders", "{}", "k1", http.StatusBadGateway, "/v1/requests/k1"),
)
