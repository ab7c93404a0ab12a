package endpoint_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// serve returns an instance that answers with the handler.
func serve(h http.HandlerFunc) fleet.Instance {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return fleet.Instance{ID: "one", Address: s.Listener.Addr().String()}
}

var _ = Describe("A plain service", func() {
	It("is sent an order once, even on a connection that breaks after a first use", func(ctx context.Context) {
		for _, body := range []string{"", "body"} {
			var calls atomic.Int64
			i := serve(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					return
				}
				calls.Add(1)
				c, _, err := http.NewResponseController(w).Hijack()
				Expect(err).NotTo(HaveOccurred())
				Expect(c.Close()).To(Succeed())
			})
			s := endpoint.DialService(i, &http.Client{Transport: &http.Transport{}})
			_, err := s.CallFunc(ctx, endpoint.Call{Method: http.MethodGet, Path: "/"})
			Expect(err).NotTo(HaveOccurred())
			_, err = s.CallFunc(ctx, endpoint.Call{Method: http.MethodPost, Path: "/", Key: "k", Body: []byte(body)})
			var broken *endpoint.NotFinishedError
			Expect(err).To(BeAssignableToTypeOf(broken))
			Expect(endpoint.NotStarted(err)).To(BeFalse())
			Expect(calls.Load()).To(Equal(int64(1)))
		}
	})

	It("is believed when it says that it did not start, and when it refuses the connection", func(ctx context.Context) {
		refusing := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.NotStartedHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closed := fleet.Instance{ID: "closed", Address: l.Addr().String()}
		Expect(l.Close()).To(Succeed())
		for _, i := range []fleet.Instance{refusing, closed} {
			_, err := endpoint.DialService(i, &http.Client{Transport: &http.Transport{}}).CallFunc(ctx, endpoint.Call{Method: http.MethodPost, Path: "/", Key: "k"})
			Expect(endpoint.NotStarted(err)).To(BeTrue(), "%v", err)
		}
	})
})
