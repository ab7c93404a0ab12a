package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

// shortTimeout is a timeout that a test waits for.
const shortTimeout = 50 * time.Millisecond

// dial opens a connection and sends the header of a chat request with a body of
// the given length.
func (e *fixture) dial(length int) net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp", e.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer one\r\nContent-Length: %d\r\n\r\n", length)
	Expect(err).NotTo(HaveOccurred())
	return c
}

var _ = Describe("A caller", func() {
	It("that sends the body too slowly is refused and nothing is run", func() {
		e := newFixture()
		e.handler.BodyTimeout = shortTimeout
		c := e.dial(100)
		_, err := c.Write([]byte(`{"model":`))
		Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
		Expect(res.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(res.Header.Get(edge.OutcomeHeader)).To(Equal(string(fleet.OutcomeNotRun)))
		Expect(res.Close).To(BeTrue())
	})

	It("that does not read the response ends the generation", func() {
		e := newFixture()
		e.handler.WriteTimeout = shortTimeout
		ended := make(chan error, 1)
		e.handler.Generate = func(_ context.Context, _ generation.Request, emit func(string) error) (res generation.Result, err error) {
			defer func() { ended <- err }()
			for err == nil {
				err = emit(strings.Repeat("x", 1<<16))
			}
			return res, err
		}
		body := `{"stream":true,` + chatFields + `}`
		_, err := e.dial(len(body)).Write([]byte(body))
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended).WithTimeout(eventuallyTimeout).Should(Receive(HaveOccurred()))
	})

	It("that waits for a response longer than the body timeout is not taken for disconnected", func() {
		e := newFixture()
		e.handler.BodyTimeout = 10 * shortTimeout
		e.handler.Generate = func(ctx context.Context, r generation.Request, emit func(string) error) (generation.Result, error) {
			t := time.NewTimer(20 * shortTimeout)
			defer t.Stop()
			select {
			case <-t.C:
			case <-ctx.Done():
				return generation.Result{}, ctx.Err()
			}
			return e.generate(ctx, r, emit)
		}
		r := e.send(http.MethodPost, "/v1/chat/completions", `{`+chatFields+`}`, nil)
		Expect(r.Status).To(Equal(http.StatusOK), r.Body)
	})

	It("that disconnects ends the generation", func() {
		e := newFixture()
		begun, ended := make(chan struct{}), make(chan struct{})
		e.handler.Generate = func(ctx context.Context, _ generation.Request, emit func(string) error) (res generation.Result, err error) {
			defer close(ended)
			err = emit("first")
			close(begun)
			<-ctx.Done()
			return res, err
		}
		body := `{"stream":true,` + chatFields + `}`
		c := e.dial(len(body))
		_, err := c.Write([]byte(body))
		Expect(err).NotTo(HaveOccurred())
		<-begun
		Expect(c.Close()).To(Succeed())
		Eventually(ended).WithTimeout(eventuallyTimeout).Should(BeClosed())
	})

	It("receives a Retry-After header if the admission control refuses the request", func() {
		for limited, status := range map[bool]int{true: http.StatusTooManyRequests, false: http.StatusServiceUnavailable} {
			e := newFixture()
			e.handler.Admit = func(entry.Admission) (func(), error) {
				return nil, &entry.RefusedError{Reason: "full", RetryAfter: 2500 * time.Millisecond, OverQuota: limited}
			}
			r := e.send(http.MethodPost, "/v1/chat/completions", `{`+chatFields+`}`, nil)
			Expect(r.Status).To(Equal(status))
			Expect(r.Header.Get("Retry-After")).To(Equal("3"))
			Expect(r.outcome()).To(Equal(fleet.OutcomeNotRun))
		}
	})
})
