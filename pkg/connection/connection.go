// Package connection reports the state of TCP connections without reading from
// them.
package connection

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as seen from this end.
type State string

// The states of a connection.
const (
	// StateIdle means that the connection is open and has no unread bytes.
	StateIdle State = "idle"
	// StateReadable means that the connection is open and has unread bytes.
	StateReadable State = "readable"
	// StateClosed means that one of the two ends closed or reset the connection. It may
	// have unread bytes.
	StateClosed State = "closed"
	// StateUnknown means that the connection is not a socket.
	StateUnknown State = "unknown"
)

// StateOf returns the current state of a connection. It does not wait for a
// concurrent Read.
func StateOf(c net.Conn) State {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return StateUnknown
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return StateClosed
	}
	state := StateClosed
	// RawConn.Read would wait until a Read in another goroutine returns.
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return StateClosed
	}
	return state
}

func peek(fd int) State {
	var buffer [1]byte
	for {
		n, _, err := unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return StateIdle
		case err == nil && n > 0 && !hungUp(fd):
			return StateReadable
		default:
			return StateClosed
		}
	}
}

// rawConn returns the socket of a connection, nil if it has none.
func rawConn(c net.Conn) syscall.RawConn {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// HasUnread reports whether a connection has unread bytes, also if it is closed.
func HasUnread(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	unread := false
	// Control fails only for a connection that this end has closed.
	_ = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// PeerEnded reports whether the peer ended its side of a connection that is whole
// otherwise. The kernel reports the error of a connection once, to whatever call comes
// first; every later read returns an end of file, as if the peer had ended it. It returns
// true if c is no socket.
func PeerEnded(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return true
	}
	ended := false
	// Control fails only for a connection that this end has closed.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		// Kernels without this information leave the answer to the read.
		ended = err != nil || info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return ended
}

// HasUnacknowledged reports whether the peer has yet to acknowledge bytes, or the end, that
// were written to a connection.
func HasUnacknowledged(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	queued := 0
	// Control fails only for a connection that this end has closed.
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	return queued > 0
}

// AwaitUnread waits until a connection has unread bytes or is closed, or its read deadline
// passes. It returns at once if c does not support peeking.
func AwaitUnread(c net.Conn) {
	raw := rawConn(c)
	if raw == nil {
		return
	}
	// The next Read returns the error.
	_ = raw.Read(func(fd uintptr) bool { return peek(int(fd)) != StateIdle })
}

// hungUp reports whether the peer closed the connection, also behind unread bytes.
func hungUp(fd int) bool {
	const events = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&events != 0
}

// contextKey is the key of a connection in a context.
type contextKey struct{}

// NewContext returns a context that holds a connection. It can serve as the
// ConnContext of an http.Server.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Closed reports whether the context is done or its connection is closed.
//
// The context of a request in net/http is done only after a goroutine of the server
// has read the end of the connection. On a busy node that goroutine may run long
// after the close arrived.
func Closed(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(contextKey{}).(net.Conn)
	return ok && StateOf(c) == StateClosed
}

// ResetOnClose makes the connection of a context end with a reset when it is closed, also by
// the end of the process, or orderly again. A peer to which the end of a connection is the end
// of a message has no other sign that the message is not complete.
func ResetOnClose(ctx context.Context, reset bool) {
	c, ok := ctx.Value(contextKey{}).(net.Conn)
	if !ok {
		return
	}
	raw := rawConn(c)
	if raw == nil {
		return
	}
	linger := unix.Linger{}
	if reset {
		linger.Onoff = 1
	}
	// Control, and the option, fail only for a connection that is closed.
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger) })
}
