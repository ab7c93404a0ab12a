package endpoint_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

var _ = Describe("A call with an idempotency key", func() {
	DescribeTable("is not sent again by the transport when an idle connection breaks",
		func(ctx context.Context, body string) {
			var runs atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					return
				}
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			i := fleet.Instance{ID: "desk-1", Address: strings.TrimPrefix(server.URL, "http://")}
			s := endpoint.DialService(i, server.Client())
			_, err := s.CallFunc(ctx, endpoint.ServiceCall{Method: http.MethodGet, Path: "/"})
			Expect(err).NotTo(HaveOccurred())
			_, err = s.CallFunc(ctx, endpoint.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte(body), Key: "k"})
			Expect(err).To(HaveOccurred())
			Expect(endpoint.NotStarted(err)).To(BeFalse())
			Expect(runs.Load()).To(Equal(int32(1)))
		},
		Entry("with a body", "{}"),
		Entry("without a body", ""),
	)
})
