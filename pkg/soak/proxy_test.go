package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// condition is how a link handles the bytes of its connections.
type condition string

const (
	linkHealthy condition = "sound"
	// linkSlow delays the bytes of each read by slowDelay before it forwards them.
	linkSlow condition = "slow"
	// linkSilent forwards nothing in either direction and closes no connection.
	linkSilent condition = "silent"
	// linkRequestsOnly forwards only the bytes to the server.
	linkRequestsOnly condition = "deaf"
	// linkRefused resets new and existing connections.
	linkRefused condition = "refused"
)

const slowDelay = 150 * time.Millisecond

// link is a loopback proxy in front of a server, for one client or several.
type link struct {
	server string
	// listenAddress stays the same when the server is back after a crash.
	listenAddress string
	group         errgroup.Group

	mu        sync.Mutex
	listener  net.Listener
	condition condition
	conns     map[net.Conn]bool
	// received holds when the latest bytes for the server arrived at this machine, by the
	// address from which the link forwards them.
	received map[string]time.Time
	// crashed reports whether the server has crashed and is not back, closed whether the
	// link has been closed.
	crashed, closed bool
}

func newLink(server string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{server: server, listenAddress: l.Addr().String(), listener: l, condition: linkHealthy, conns: make(map[net.Conn]bool), received: make(map[string]time.Time)}
	k.group.Go(func() error { k.accept(l); return nil })
	return k, nil
}

func (k *link) address() string { return k.listenAddress }

// crashTime is how long an endpoint refuses connections after a crash.
const crashTime = 500 * time.Millisecond

// crash resets all connections and refuses new ones for crashTime.
func (k *link) crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for conn := range k.conns {
		reset(conn)
	}
	if k.crashed {
		return
	}
	k.crashed = true
	_ = k.listener.Close()
	k.group.Go(func() error {
		time.Sleep(crashTime)
		k.mu.Lock()
		defer k.mu.Unlock()
		l, err := net.Listen("tcp", k.address())
		if err != nil || k.closed {
			return err
		}
		k.listener, k.crashed = l, false
		k.group.Go(func() error { k.accept(l); return nil })
		return nil
	})
}

func (k *link) close() {
	// Open connections are reset; an error on close has no effect on them.
	k.mu.Lock()
	k.closed = true
	_ = k.listener.Close()
	k.mu.Unlock()
	k.setCondition(linkRefused)
	_ = k.group.Wait()
}

// setCondition changes the condition. A connection that has discarded bytes keeps
// discarding until one end closes it, so that nothing arrives late.
func (k *link) setCondition(c condition) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.condition = c
	if c == linkRefused {
		for conn := range k.conns {
			reset(conn)
		}
	}
}

func (k *link) currentCondition() condition {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.condition
}

// reset closes a connection with a TCP reset, as a failing peer does.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// accept accepts connections until the listener is closed.
func (k *link) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		if k.currentCondition() == linkRefused {
			reset(client)
			continue
		}
		server, err := net.Dial("tcp", k.server)
		if err != nil {
			reset(client)
			continue
		}
		k.mu.Lock()
		k.conns[client], k.conns[server] = true, true
		k.mu.Unlock()
		k.group.Go(func() error { k.copy(server, client, true); return nil })
		k.group.Go(func() error { k.copy(client, server, false); return nil })
	}
}

// copy forwards bytes in one direction. When the server closes or a connection is reset,
// both are reset, so that no delayed bytes arrive later. When the client closes, the
// server may still respond.
func (k *link) copy(to, from net.Conn, toServer bool) {
	halfClosed := false
	defer func() {
		if halfClosed {
			return
		}
		k.mu.Lock()
		delete(k.conns, to)
		delete(k.conns, from)
		k.mu.Unlock()
		reset(to)
		reset(from)
	}()
	buffer := make([]byte, 16<<10)
	discarding := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			tcp, ok := to.(*net.TCPConn)
			halfClosed = errors.Is(err, io.EOF) && toServer && !discarding && ok && tcp.CloseWrite() == nil
			return
		}
		if toServer {
			k.recordReceived(from, to.LocalAddr().String())
		}
		c := k.currentCondition()
		discarding = discarding || c == linkSilent || c == linkRequestsOnly && !toServer
		if discarding {
			continue
		}
		if c == linkSlow {
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// recordReceived records when the latest bytes on a connection arrived. The kernel knows,
// also if this process gets to them late.
func (k *link) recordReceived(from net.Conn, forwardedFrom string) {
	at := time.Now()
	raw, err := from.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			at = at.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
		}
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.received[forwardedFrom] = at
}

// receivedAt returns when the latest bytes arrived that the link forwarded from an address,
// or the current time if it forwarded none.
func (k *link) receivedAt(forwardedFrom string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, ok := k.received[forwardedFrom]; ok {
		return at
	}
	return time.Now()
}
