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

// serveInstance starts a server with the handler and returns an instance at its address.
func serveInstance(h http.HandlerFunc) fleet.Instance {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return fleet.Instance{ID: "one", Address: s.Listener.Addr().String()}
}

var _ = Describe("A plain service", func() {
	It("receives a call with an idempotency key once, even if a reused connection breaks", func(ctx context.Context) {
		for _, body := range []string{"", "body"} {
			var calls atomic.Int64
			i := serveInstance(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					return
				}
				calls.Add(1)
				c, _, err := http.NewResponseController(w).Hijack()
				Expect(err).NotTo(HaveOccurred())
				Expect(c.Close()).To(Succeed())
			})
			s := endpoint.DialService(i, &http.Client{Transport: &http.Transport{}})
			_, err := s.CallFunc(ctx, endpoint.ServiceCall{Method: http.MethodGet, Path: "/"})
			Expect(err).NotTo(HaveOccurred())
			_, err = s.CallFunc(ctx, endpoint.ServiceCall{Method: http.MethodPost, Path: "/", Key: "k", Body: []byte(body)})
			var notFinished *endpoint.NotFinishedError
			Expect(err).To(BeAssignableToTypeOf(notFinished))
			Expect(endpoint.NotStarted(err)).To(BeFalse())
			Expect(calls.Load()).To(Equal(int64(1)))
		}
	})

	It("has not started a call if it reports so or refuses the connection", func(ctx context.Context) {
		notStarting := serveInstance(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.NotStartedHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		refusing := fleet.Instance{ID: "closed", Address: l.Addr().String()}
		Expect(l.Close()).To(Succeed())
		for _, i := range []fleet.Instance{notStarting, refusing} {
			_, err := endpoint.DialService(i, &http.Client{Transport: &http.Transport{}}).CallFunc(ctx, endpoint.ServiceCall{Method: http.MethodPost, Path: "/", Key: "k"})
			Expect(endpoint.NotStarted(err)).To(BeTrue(), "%v", err)
		}
	})

	// MIXED: a status that net/http cannot send was taken for the service's response.
	It("has not finished a call that it answers with no status of HTTP", func(ctx context.Context) {
		for _, status := range []string{"000 None", "007 None", "+20 OK", "101 Switching Protocols", "600 Odd"} {
			i := serveInstance(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				Expect(err).NotTo(HaveOccurred())
				_, err = c.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 17\r\nConnection: close\r\n\r\n{\"started\":false}"))
				Expect(err).NotTo(HaveOccurred())
				Expect(c.Close()).To(Succeed())
			})
			var notFinished *endpoint.NotFinishedError
			_, err := endpoint.DialService(i, &http.Client{Transport: &http.Transport{}}).CallFunc(ctx, endpoint.ServiceCall{Method: http.MethodPost, Path: "/", Key: "k"})
			Expect(err).To(BeAssignableToTypeOf(notFinished), status)
			_, err = endpoint.DialEngine(i, &http.Client{Transport: &http.Transport{}}).LoadFunc(ctx)
			Expect(err).To(BeAssignableToTypeOf(notFinished), status)
		}
	})
})
