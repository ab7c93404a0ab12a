package trial

import (
	"context"
	"io"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/daemon"
)

// balancer stands in for the platform's balancer: it spreads connections over
// the nodes that are ready, byte for byte.
type balancer struct {
	mu    sync.Mutex
	nodes []*daemon.Daemon
	next  int
	net   net.Listener
	group errgroup.Group
}

// set replaces the nodes.
func (b *balancer) set(nodes []*daemon.Daemon) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = nodes
}

// pick returns the next node that is ready. If none is, it returns any, which
// then tells the caller that it drains.
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
	b.net, err = new(net.ListenConfig).Listen(context.Background(), "tcp", loopback)
	if err != nil {
		return err
	}
	b.group.Go(func() error {
		for {
			conn, err := b.net.Accept()
			if err != nil {
				return err
			}
			b.group.Go(func() error { b.pass(conn); return nil })
		}
	})
	return nil
}

// stop takes no new connections; those that are open end with their nodes.
func (b *balancer) stop() {
	if b.net != nil {
		_ = b.net.Close()
	}
}

// wait returns once every connection has ended.
func (b *balancer) wait() { _ = b.group.Wait() }

// pass joins a connection to the next node that is ready. One that refuses the
// connection is passed over, as a balancer that checks health would soon do.
func (b *balancer) pass(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	for range dialAttempts {
		n, ok := b.pick()
		if !ok {
			return
		}
		node, err := new(net.Dialer).DialContext(context.Background(), "tcp", n.Callers())
		if err == nil {
			join(caller, node)
			return
		}
	}
}

// dialAttempts bounds how many nodes one connection is offered to.
const dialAttempts = 6

// join copies both ways until both sides have ended.
func join(caller, node net.Conn) {
	defer func() { _ = node.Close() }()
	var g errgroup.Group
	g.Go(func() error {
		_, err := io.Copy(node, caller)
		if c, ok := node.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
		return err
	})
	_, _ = io.Copy(caller, node)
	_ = caller.Close()
	_ = g.Wait()
}
