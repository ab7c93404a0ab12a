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

// short is a limit that a test waits out.
const short = 50 * time.Millisecond

// dial opens a connection and sends the head of a chat request of a length.
func (e *edgeCase) dial(length int) net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp", e.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer one\r\nContent-Length: %d\r\n\r\n", length)
	Expect(err).NotTo(HaveOccurred())
	return c
}

var _ = Describe("A caller", func() {
	It("who sends slowly is refused, with nothing run", func() {
		e := serve()
		e.handler.BodyTimeout = short
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

	It("who does not read loses the generation", func() {
		e := serve()
		e.handler.WriteTimeout = short
		ended := make(chan error, 1)
		e.handler.Generate = func(_ context.Context, _ generation.Request, emit func(string) error) (res generation.Result, err error) {
			defer func() { ended <- err }()
			for err == nil {
				err = emit(strings.Repeat("x", 1<<16))
			}
			return res, err
		}
		body := `{"stream":true,` + ask + `}`
		_, err := e.dial(len(body)).Write([]byte(body))
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended).WithTimeout(patient).Should(Receive(HaveOccurred()))
	})

	It("who reads a long answer after a long body is not taken for one who left", func() {
		e := serve()
		e.handler.BodyTimeout = 10 * short
		e.handler.Generate = func(ctx context.Context, r generation.Request, emit func(string) error) (generation.Result, error) {
			t := time.NewTimer(20 * short)
			defer t.Stop()
			select {
			case <-t.C:
			case <-ctx.Done():
				return generation.Result{}, ctx.Err()
			}
			return e.generate(ctx, r, emit)
		}
		r := e.send(http.MethodPost, "/v1/chat/completions", `{`+ask+`}`, nil)
		Expect(r.Status).To(Equal(http.StatusOK), r.Body)
	})

	It("who leaves ends the generation", func() {
		e := serve()
		begun, ended := make(chan struct{}), make(chan struct{})
		e.handler.Generate = func(ctx context.Context, _ generation.Request, emit func(string) error) (res generation.Result, err error) {
			defer close(ended)
			err = emit("first")
			close(begun)
			<-ctx.Done()
			return res, err
		}
		body := `{"stream":true,` + ask + `}`
		c := e.dial(len(body))
		_, err := c.Write([]byte(body))
		Expect(err).NotTo(HaveOccurred())
		<-begun
		Expect(c.Close()).To(Succeed())
		Eventually(ended).WithTimeout(patient).Should(BeClosed())
	})

	It("is told when the limits may admit the request", func() {
		for limited, status := range map[bool]int{true: http.StatusTooManyRequests, false: http.StatusServiceUnavailable} {
			e := serve()
			e.handler.Admit = func(entry.Admission) (func(), error) {
				return nil, &entry.RefusedError{Reason: "full", RetryAfter: 2500 * time.Millisecond, OverQuota: limited}
			}
			r := e.send(http.MethodPost, "/v1/chat/completions", `{`+ask+`}`, nil)
			Expect(r.Status).To(Equal(status))
			Expect(r.Header.Get("Retry-After")).To(Equal("3"))
			Expect(r.outcome()).To(Equal(fleet.OutcomeNotRun))
		}
	})
})
