package trial

import (
	"context"
	"io"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/daemon"
)

// balancer is a stand-in for the platform's TCP load balancer. It distributes
// connections over the ready nodes in round-robin order.
type balancer struct {
	mu       sync.Mutex
	nodes    []*daemon.Daemon
	next     int
	listener net.Listener
	group    errgroup.Group
}

// set replaces the list of nodes.
func (b *balancer) set(nodes []*daemon.Daemon) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = nodes
}

// pick returns the next ready node. If no node is ready, it returns any node,
// which then responds that it is draining. ok is false if there are no nodes.
func (b *balancer) pick() (d *daemon.Daemon, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.nodes {
		b.next++
		d = b.nodes[b.next%len(b.nodes)]
		if d.Ready() {
			return d, true
		}
	}
	return d, d != nil
}

func (b *balancer) start() (err error) {
	b.listener, err = new(net.ListenConfig).Listen(context.Background(), "tcp", loopback)
	if err != nil {
		return err
	}
	b.group.Go(func() error {
		for {
			conn, err := b.listener.Accept()
			if err != nil {
				return err
			}
			b.group.Go(func() error { b.forward(conn); return nil })
		}
	})
	return nil
}

// stopAccepting stops accepting connections. Open connections end with their nodes.
func (b *balancer) stopAccepting() {
	if b.listener != nil {
		_ = b.listener.Close()
	}
}

// wait blocks until every connection is closed.
func (b *balancer) wait() { _ = b.group.Wait() }

// forward proxies a connection to the next ready node. If the node refuses the
// connection, it tries the next one: a balancer with health checks would soon stop
// selecting such a node.
func (b *balancer) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	for range dialAttempts {
		n, ok := b.pick()
		if !ok {
			return
		}
		node, err := new(net.Dialer).DialContext(context.Background(), "tcp", n.CallerAddress())
		if err == nil {
			proxy(client, node)
			return
		}
	}
}

// dialAttempts is the maximum number of dial attempts per client connection.
const dialAttempts = 6

// proxy copies data in both directions until the node closes its connection. When
// the client stops sending, proxy closes only the write side of that connection.
func proxy(client, node net.Conn) {
	defer func() { _ = node.Close() }()
	var g errgroup.Group
	g.Go(func() error {
		_, err := io.Copy(node, client)
		if c, ok := node.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
		return err
	})
	_, _ = io.Copy(client, node)
	_ = client.Close()
	_ = g.Wait()
}
