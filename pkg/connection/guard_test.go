package connection_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

// serveGuarded serves bodies back on a guarded listener and returns its address.
func serveGuarded(g *connection.Guard) string {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	g.Listener = s.Listener
	s.Listener = g
	s.Config.ReadHeaderTimeout, s.Config.IdleTimeout = connection.HeadTimeout, connection.IdleTimeout
	s.Config.ConnContext = connection.NewContext
	s.Config.ConnState = g.SetState
	s.Start()
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// exchange sends a request on a connection and returns the status of its response, or 0.
func exchange(c net.Conn, header string) int {
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n%s\r\nok", header)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func dial(address string) net.Conn {
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	// Some specs close the connection themselves.
	DeferCleanup(func() { _ = c.Close() })
	return c
}

var _ = Describe("A guarded listener", func() {
	It("applies changed limits to connections that are open", func() {
		var maxBytes atomic.Int64
		maxBytes.Store(40 << 10)
		address := serveGuarded(&connection.Guard{Budget: &intake.Budget{}, Limits: func() intake.HeadLimits {
			return intake.HeadLimits{MaxBytes: intake.Bytes(maxBytes.Load())}
		}})
		c, header := dial(address), "X-Long: "+strings.Repeat("a", 30<<10)+"\r\n"
		Expect(exchange(c, header)).To(Equal(http.StatusOK))
		Expect(exchange(c, header)).To(Equal(http.StatusOK), "each head is counted by itself")
		maxBytes.Store(16 << 10)
		Expect(exchange(c, header)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("leaves the whole time to a head whose first part came with the request before", func() {
		address := serveGuarded(&connection.Guard{Budget: &intake.Budget{}, Limits: func() intake.HeadLimits {
			return intake.HeadLimits{IdleTimeout: time.Second}
		}})
		c := dial(address)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nokPOST / HTTP/1.1\r\nHo")
		Expect(err).NotTo(HaveOccurred())
		responses := bufio.NewReader(c)
		res, err := http.ReadResponse(responses, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(res.Body)).To(Equal([]byte("ok")))
		Expect(res.Body.Close()).To(Succeed())
		Consistently(stateOf(c), "200ms").Should(Equal(connection.StateIdle))
		_, err = io.WriteString(c, "st: h\r\nContent-Length: 2\r\n\r\nok")
		Expect(err).NotTo(HaveOccurred())
		res, err = http.ReadResponse(responses, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
		Expect(res.StatusCode).To(Equal(http.StatusOK))
	})

	It("closes a connection after the idle time, and one whose head does not end", func() {
		address := serveGuarded(&connection.Guard{Budget: &intake.Budget{}, Limits: func() intake.HeadLimits {
			return intake.HeadLimits{HeadTimeout: 100 * time.Millisecond, IdleTimeout: time.Millisecond}
		}})
		idle, endless := dial(address), dial(address)
		Expect(exchange(idle, "")).To(Equal(http.StatusOK))
		_, err := io.WriteString(endless, "POST / HTTP/1.1\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(stateOf(idle), "20s").Should(Equal(connection.StateClosed))
		Eventually(stateOf(endless), "20s").Should(Equal(connection.StateClosed))
	})

	It("refuses connections beyond the limit, and takes others once they are closed", func() {
		budget := &intake.Budget{Limits: intake.Limits{Connections: 1}}
		address := serveGuarded(&connection.Guard{Budget: budget})
		first := dial(address)
		Expect(exchange(first, "")).To(Equal(http.StatusOK))
		res, err := http.ReadResponse(bufio.NewReader(dial(address)), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
		Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(res.Header.Get("Retry-After")).To(Equal("1"))
		Expect(first.Close()).To(Succeed())
		Eventually(func() int {
			_, connections := budget.Held()
			return connections
		}).Should(BeZero())
		Expect(exchange(dial(address), "")).To(Equal(http.StatusOK))
	})
})
