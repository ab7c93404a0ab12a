package connection_test

import (
	"context"
	"io"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
)

func TestConnection(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connection")
}

// pair returns both ends of a TCP connection.
func pair() (client, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	c, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	s, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		// Most specs close the connections themselves.
		_ = c.Close()
		_ = s.Close()
	})
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

func stateOf(c net.Conn) func() connection.State {
	return func() connection.State { return connection.StateOf(c) }
}

var _ = Describe("The state of a connection", func() {
	It("follows what the peer does", func() {
		client, server := pair()
		Expect(connection.StateOf(server)).To(Equal(connection.StateIdle))
		_, err := client.Write([]byte("ab"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(stateOf(server)).Should(Equal(connection.StateReadable))
		n, err := server.Read(make([]byte, 10))
		Expect(n, err).To(Equal(2), "the peek must leave the bytes to the reader")
		Expect(connection.StateOf(server)).To(Equal(connection.StateIdle))
		Expect(client.Close()).To(Succeed())
		Eventually(stateOf(server)).Should(Equal(connection.StateClosed))
	})

	It("is closed while it still has unread bytes", func() {
		client, server := pair()
		_, err := client.Write([]byte("ab"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(stateOf(server)).Should(Equal(connection.StateReadable))
		Expect(client.Close()).To(Succeed())
		Eventually(stateOf(server)).Should(Equal(connection.StateClosed))
		Expect(io.ReadAll(server)).To(Equal([]byte("ab")))
	})

	It("is closed after a reset, for later readers too", func() {
		client, server := pair()
		Expect(client.SetLinger(0)).To(Succeed())
		Expect(client.Close()).To(Succeed())
		Eventually(stateOf(server)).Should(Equal(connection.StateClosed))
		Expect(connection.StateOf(server)).To(Equal(connection.StateClosed))
		_, err := server.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})

	It("is closed when this end closed it, and unknown for other connections", func() {
		_, server := pair()
		Expect(server.Close()).To(Succeed())
		Expect(connection.StateOf(server)).To(Equal(connection.StateClosed))
		a, b := net.Pipe()
		DeferCleanup(a.Close)
		DeferCleanup(b.Close)
		Expect(connection.StateOf(a)).To(Equal(connection.StateUnknown))
	})

	It("is read while another goroutine waits in Read", func() {
		client, server := pair()
		var group errgroup.Group
		group.Go(func() error {
			_, err := server.Read(make([]byte, 1))
			return err
		})
		Consistently(stateOf(server), "50ms").Should(Equal(connection.StateIdle))
		Expect(client.Close()).To(Succeed())
		Expect(group.Wait()).To(MatchError(io.EOF))
	})

	It("is found through a context", func() {
		client, server := pair()
		ctx, cancel := context.WithCancel(connection.NewContext(context.Background(), server))
		Expect(connection.Closed(ctx)).To(BeFalse())
		Expect(client.Close()).To(Succeed())
		Eventually(func() bool { return connection.Closed(ctx) }).Should(BeTrue())
		Expect(connection.Closed(context.Background())).To(BeFalse())
		cancel()
		Expect(connection.Closed(ctx)).To(BeTrue())
	})
})
