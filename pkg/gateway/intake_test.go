package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

var _ = DescribeTable("A body arrives unchanged or is refused", func(length int, chunked bool, status int) {
	body := bytes.Repeat([]byte("0123456789abcdef"), length/16+1)[:length]
	reader := io.Reader(bytes.NewReader(body))
	if chunked {
		// Without a length, a client sends chunks.
		reader = io.MultiReader(reader)
	}
	r := httptest.NewRequest(http.MethodPost, "/", reader)
	if chunked {
		r.ContentLength = -1
	}
	got, err := (&intake.BodyReader{Source: r.Body, Length: r.ContentLength, Limit: 1 << 20}).ReadAll(r.Context())
	if status == http.StatusOK {
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, body)).To(BeTrue())
		return
	}
	Expect(err).To(MatchError(intake.ErrTooLong))
},
	Entry("empty", 0, false, http.StatusOK),
	Entry("empty in chunks", 0, true, http.StatusOK),
	Entry("small", 9<<10, false, http.StatusOK),
	Entry("small in chunks", 9<<10, true, http.StatusOK),
	Entry("the longest", 1<<20, false, http.StatusOK),
	Entry("the longest in chunks", 1<<20, true, http.StatusOK),
	Entry("too long", 1<<20+1, false, http.StatusRequestEntityTooLarge),
	Entry("too long in chunks", 1<<20+1, true, http.StatusRequestEntityTooLarge),
)

var _ = It("A body in chunks counts as large only beyond the length of small bodies", func() {
	var budget intake.Budget
	held := make(map[int]intake.Bytes)
	guard := &connection.Guard{Budget: &budget}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		read := 0
		body := r.Body
		r.Body = io.NopCloser(readerFunc(func(p []byte) (int, error) {
			n, err := body.Read(p[:min(len(p), 4<<10)])
			if read += n; n > 0 {
				held[read], _ = budget.Held()
			}
			return n, err
		}))
		_, err := (&intake.BodyReader{Sender: connection.SenderFrom(r.Context()), Source: r.Body, Length: r.ContentLength, Limit: 4 << 20}).ReadAll(r.Context())
		Expect(err).NotTo(HaveOccurred())
	}))
	server.Listener, guard.Listener = guard, server.Listener
	server.Config.ConnContext, server.Config.ConnState = connection.NewContext, guard.SetState
	server.Start()
	DeferCleanup(server.Close)
	// Without a length, a client sends chunks.
	res, err := http.Post(server.URL, "", io.MultiReader(bytes.NewReader(make([]byte, 60<<10))))
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	Expect(held).NotTo(BeEmpty())
	for read, bytes := range held {
		Expect(bytes).To(BeNumerically("<=", intake.SmallBody), "after %d bytes", read)
	}
})

// readerFunc reads a body with a function.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// LOST: the caller's connection counted as closed while an endpoint ran its request.
var _ = It("A request whose caller gives way while the end of its body is read is refused as not run", func() {
	var arrived atomic.Int64
	e := &rawEndpoint{respond: func(w io.Writer, r *http.Request, _, _ int64) bool {
		arrived.Add(1)
		time.Sleep(200 * time.Millisecond)
		write(w, answer(r, "done"))
		return true
	}}
	h, gaveWay := newHandler(e.start()), false
	budget := &intake.Budget{OnRefused: func(intake.Cause) { gaveWay = true }}
	guard := &connection.Guard{Budget: budget}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := r.Body
		r.Body = io.NopCloser(readerFunc(func(p []byte) (int, error) {
			n, err := body.Read(p)
			for now := clock.Now(); n > 0 && !gaveWay; now = now.Add(250 * time.Millisecond) {
				budget.Sweep(now)
			}
			return n, err
		}))
		h.ServeHTTP(w, r)
	}))
	server.Listener, guard.Listener = guard, server.Listener
	server.Config.ReadHeaderTimeout, server.Config.IdleTimeout = connection.HeadTimeout, connection.IdleTimeout
	server.Config.ConnContext, server.Config.ConnState = connection.NewContext, guard.SetState
	server.Start()
	DeferCleanup(server.Close)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	_, err = io.WriteString(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	Expect(err).NotTo(HaveOccurred())
	got, err := io.ReadAll(c)
	Expect(err).NotTo(HaveOccurred())
	status, _, _ := strings.Cut(string(got), "\r\n")
	Expect(status).To(Equal("HTTP/1.1 408 Request Timeout"))
	Expect(arrived.Load()).To(BeZero())
})
