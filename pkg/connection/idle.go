package connection

import (
	"net"
	"sync"
)

// Listen returns a listener whose connections tell the Tracker exactly whether they have
// read anything since they became idle. http.ConnState can't: net/http reports a connection
// as active only after it has read a request.
func (t *Tracker) Listen(l net.Listener) net.Listener { return &trackedListener{Listener: l} }

type trackedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); err == nil && ok {
		return &trackedConn{TCPConn: tcp, idle: true}, nil
	}
	return c, err
}

// idler is a trackedConn or a connection that embeds one.
type idler interface {
	setIdle()
	closeIdle()
}

// trackedConn is a connection that can be closed while it is idle without losing a request
// that was just read.
type trackedConn struct {
	*net.TCPConn

	mu sync.Mutex
	// idle reports whether nothing was read since the last response, or at all.
	idle bool
}

func (c *trackedConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// Read implements io.Reader. Bytes leave the socket of an idle connection only under the
// lock.
func (c *trackedConn) Read(p []byte) (n int, err error) {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	if !idle {
		return c.TCPConn.Read(p)
	}
	AwaitUnread(c.TCPConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	// If the wait ended with the read deadline, so does this read.
	n, err = c.TCPConn.Read(p)
	if n > 0 {
		c.idle = false
	}
	return n, err
}

// closeIdle closes the connection if it is idle and nothing has arrived.
func (c *trackedConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && StateOf(c.TCPConn) != StateReadable {
		// The connection is in no use, so an error has no consequence.
		_ = c.Close()
	}
}
