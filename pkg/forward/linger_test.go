package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
)

var _ = Describe("A request that is given up", func() {
	var (
		pool  *forward.Pool
		heads chan string
	)
	BeforeEach(func() { pool, heads = &forward.Pool{}, make(chan string, 20) })
	// giveUp sends a request whose context ends before its response.
	giveUp := func(ctx context.Context, r forward.Request) {
		r.Expires = time.Now().Add(time.Second)
		r.OnHead = func(_ int, h http.Header, opened clock.Instant) {
			if opened > 0 && opened <= clock.Now() {
				heads <- h.Get("X-Id")
			}
		}
		_, err := pool.Do(ctx, r)
		Expect(err).To(MatchError(ctx.Err()))
		var unread *forward.NoResponseError
		Expect(errors.As(err, &unread)).To(BeTrue(), "%v", err)
	}

	It("lets the endpoint see the close at once, and its response is read", func() {
		closed := make(chan time.Time, 1)
		address := scriptedEndpoint(func(conn net.Conn, requests *bufio.Reader) {
			if _, _, err := readRequest(requests); err != nil {
				return
			}
			_, _ = requests.ReadByte()
			closed <- time.Now()
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(conn, response("r1", "late"))
		})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		giveUp(ctx, newRequest(address, "r1", ""))
		gaveUp := time.Now()
		var at time.Time
		Eventually(closed).Should(Receive(&at))
		Expect(at).To(BeTemporally("~", gaveUp, 50*time.Millisecond))
		Eventually(heads).Should(Receive(Equal("r1")))
	})

	It("has its connection reset after the endpoint's deadline, and before if another request needs it", func() {
		var reset atomic.Int64
		arrived := make(chan struct{})
		// The head of the endpoint's response never ends.
		address := scriptedEndpoint(func(conn net.Conn, requests *bufio.Reader) {
			_, _, err := readRequest(requests)
			arrived <- struct{}{}
			for text := "HTTP/1.1 200 OK\r\nX-Id: "; err == nil; text = "x" {
				_, err = io.WriteString(conn, text)
				time.Sleep(20 * time.Millisecond)
			}
			reset.Add(1)
		})
		var group errgroup.Group
		leaveOnArrival := func(r forward.Request) {
			ctx, cancel := context.WithCancel(context.Background())
			group.Go(func() error {
				<-arrived
				cancel()
				return nil
			})
			giveUp(ctx, r)
		}
		for range 20 {
			leaveOnArrival(newRequest(address, "r", ""))
		}
		last := newRequest(address, "last", "")
		last.MaxConnections = 1
		// It takes the place of a connection that is only read.
		leaveOnArrival(last)
		Expect(group.Wait()).To(Succeed())
		Eventually(reset.Load, "3s").Should(BeEquivalentTo(21))
		Expect(heads).To(BeEmpty())
	})

	// GONE: the rest of a long body arrived after the caller had left.
	It("does not arrive in full if it is long and a part is still on its way", func() {
		bodies := make(chan error, 1)
		address := scriptedEndpoint(func(_ net.Conn, requests *bufio.Reader) {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			time.Sleep(300 * time.Millisecond)
			_, err = io.Copy(io.Discard, r.Body)
			bodies <- err
		})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := pool.Do(ctx, newRequest(address, "r", strings.Repeat("x", 1<<20)))
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(bodies).Should(Receive(HaveOccurred()))
	})
})
