package connection_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

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
			return server.Serve(tracker.Listen(l))
		})
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Close()).To(Succeed())
		Expect(tracker.CloseIdle(ctx, l, served)).To(Succeed())
		Expect(tracker.AwaitRequests(ctx)).To(Succeed())
		Expect(server.Close()).To(Succeed())
		Expect(group.Wait()).To(MatchError(net.ErrClosed))
	}
})

// LOST: an idle connection was closed on which a request had just been read.
var _ = Describe("A drained server", func() {
	It("answers a request that was read on an idle connection, and closes the others", func(ctx context.Context) {
		var tracker connection.Tracker
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l = tracker.Listen(l)
		served := make(chan struct{})
		close(served)
		dial := func() (client, server net.Conn) {
			client, err := net.Dial("tcp", l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(client.Close)
			server, err = l.Accept()
			Expect(err).NotTo(HaveOccurred())
			tracker.SetState(server, http.StateIdle)
			return client, server
		}
		exchange := func(from, to net.Conn, text string) {
			_, err := io.WriteString(from, text)
			Expect(err).NotTo(HaveOccurred())
			got := make([]byte, len(text))
			_, err = io.ReadFull(to, got)
			Expect(err).NotTo(HaveOccurred())
		}
		read, reading := dial()
		exchange(read, reading, "request")
		unread, waiting := dial()
		_, err = io.WriteString(unread, "request")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return connection.HasUnread(waiting) }).Should(BeTrue())
		idle, _ := dial()
		Expect(tracker.CloseIdle(ctx, l, served)).To(Succeed())
		Expect(tracker.AwaitRequests(ctx)).To(Succeed())
		exchange(reading, read, "answer")
		exchange(waiting, unread, "answer")
		_, err = idle.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	// Otherwise http.Server.Shutdown waits 5 s for them.
	It("closes connections without a request, also those that don't come from Listen", func(ctx context.Context) {
		var tracker connection.Tracker
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		served := make(chan struct{})
		close(served)
		silent, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		c, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		tracker.SetState(c, http.StateNew)
		Expect(tracker.CloseIdle(ctx, l, served)).To(Succeed())
		Expect(silent.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err = silent.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("loses no request that its handler gets while idle connections are closed", func(ctx context.Context) {
		const conns, text = 50, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		for range 20 {
			var tracker connection.Tracker
			var handled, answered atomic.Int64
			draining := make(chan struct{})
			server := &http.Server{ConnState: tracker.SetState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				select {
				case <-draining:
					handled.Add(1)
					w.Header().Set("Connection", "close")
				default:
				}
			})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			l = tracker.Listen(l)
			served := make(chan struct{})
			var serving, calling errgroup.Group
			serving.Go(func() error {
				defer close(served)
				return server.Serve(l)
			})
			for range conns {
				c, err := net.Dial("tcp", l.Addr().String())
				Expect(err).NotTo(HaveOccurred())
				responses := bufio.NewReader(c)
				call := func() error {
					if _, err := io.WriteString(c, text); err != nil {
						return err
					}
					res, err := http.ReadResponse(responses, nil)
					if err == nil {
						err = res.Body.Close()
					}
					return err
				}
				Expect(call()).To(Succeed())
				calling.Go(func() error {
					defer func() { _ = c.Close() }()
					<-draining
					if call() == nil {
						answered.Add(1)
					}
					return nil
				})
			}
			close(draining)
			Expect(tracker.CloseIdle(ctx, l, served)).To(Succeed())
			Expect(calling.Wait()).To(Succeed())
			Expect(tracker.AwaitRequests(ctx)).To(Succeed())
			Expect(server.Close()).To(Succeed())
			Expect(serving.Wait()).To(MatchError(net.ErrClosed))
			Expect(answered.Load()).To(Equal(handled.Load()))
		}
	})
})
