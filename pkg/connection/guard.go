package connection

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

// The timeouts of a server behind a Guard. They tell the connection which of the timeouts in
// force to apply.
const (
	HeadTimeout = 5 * time.Second
	IdleTimeout = time.Minute
)

const (
	// maxHeadBytes is the limit of a head if none is configured. It is that of net/http.
	maxHeadBytes intake.Bytes = http.DefaultMaxHeaderBytes
	// readAhead is what a server reads at most beyond a head before it has parsed it.
	readAhead intake.Bytes = 4 << 10
	// margin is added to the times for a head and between requests, which callers measure
	// at their end.
	margin = 2 * time.Second
	// refusalTime is how long the write of a refusal may take.
	refusalTime = 50 * time.Millisecond
	// yieldBytes is after how many bytes a connection lets others read.
	yieldBytes = 16 << 10
)

// The responses to callers that are not read any further.
const (
	noPlaceResponse  = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	longHeadResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Guard is a listener that keeps its connections within a budget and within the limits in
// force. The server on it has HeadTimeout and IdleTimeout, and SetState as its ConnState.
type Guard struct {
	net.Listener
	Budget *intake.Budget
	// Limits returns the limits in force, of which 0 means the server's. Nil means none.
	Limits func() intake.HeadLimits
}

// Accept implements net.Listener. It refuses connections for which there is no place.
func (g *Guard) Accept() (net.Conn, error) {
	for {
		accepted, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		c := &guardedConn{trackedConn: &trackedConn{TCPConn: tcp, idle: true}, guard: g}
		c.sender.Stop = c.stop
		c.inHead.Store(true)
		if g.Budget.Admit(&c.sender) {
			return c, nil
		}
		c.refuse(noPlaceResponse)
		// The connection was not in use, so an error has no consequence.
		_ = tcp.Close()
	}
}

// SetState follows the requests on a connection.
func (g *Guard) SetState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
		c.begun = false
		c.sender.HeadComplete()
	case http.StateIdle:
		c.sender.RequestDone()
		c.between = true
		c.inHead.Store(true)
	case http.StateClosed, http.StateHijacked:
		g.Budget.Leave(&c.sender)
	case http.StateNew:
	}
}

func (g *Guard) limits() (l intake.HeadLimits) {
	if g.Limits != nil {
		l = g.Limits()
	}
	if l.MaxBytes <= 0 {
		l.MaxBytes = maxHeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = HeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = IdleTimeout
	}
	return l
}

// guardedConn is a connection of a caller.
type guardedConn struct {
	*trackedConn
	guard  *Guard
	sender intake.Sender
	// inHead reports whether the head of a request is due.
	inHead atomic.Bool
	// begun reports whether a part of the head has arrived, between whether the server is about
	// to set the deadline between requests. Only the goroutine that serves the connection
	// uses them.
	begun, between bool
	// unyielded is what was read since others were let read.
	unyielded int
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (n int, err error) {
	if c.sender.Stopped() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err = c.trackedConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.inHead.Load() && !c.begun && !c.sender.Stopped() && HasUnread(c.TCPConn) {
		// The process was held up, and the request came in time.
		if err = c.TCPConn.SetReadDeadline(time.Now().Add(c.guard.limits().HeadTimeout)); err == nil {
			n, err = c.trackedConn.Read(p)
		}
	}
	if n <= 0 {
		return n, err
	}
	// A caller whose bytes are costly to parse is always ready to be read again.
	if c.unyielded += n; c.unyielded >= yieldBytes {
		c.unyielded = 0
		runtime.Gosched()
	}
	if !c.inHead.Load() {
		c.sender.Arrived(n)
		return n, err
	}
	c.begun = true
	switch c.sender.ArrivedInHead(p[:n], c.guard.limits().MaxBytes+readAhead) {
	case "":
		return n, err
	case intake.CauseLongHead:
		c.refuse(longHeadResponse)
	default:
		c.refuse(noPlaceResponse)
	}
	// The server closes the connection without a response of its own.
	return 0, os.ErrDeadlineExceeded
}

// SetReadDeadline implements net.Conn. While a head is due, it replaces the timeout of the
// server by the one in force. The first deadline after a response is that between requests;
// no Read need follow before the next, since the server may hold a part of the head.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	if c.inHead.Load() && !t.IsZero() {
		l := c.guard.limits()
		if c.between {
			c.between = false
			t = t.Add(l.IdleTimeout + margin - IdleTimeout)
		} else {
			t = t.Add(l.HeadTimeout + margin - HeadTimeout)
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// stop makes the caller give way. A handler that reads a body answers; otherwise the
// connection closes.
func (c *guardedConn) stop(answer bool) {
	if answer {
		// It fails only for a connection that is closed.
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Close()
}

// refuse writes a response, unless the caller has not read those before it.
func (c *guardedConn) refuse(response string) {
	// The connection is closed next, so an error has no consequence.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.Write([]byte(response))
	_ = c.CloseWrite()
}

// SenderFrom returns the account of the connection in a context, nil if it has none.
func SenderFrom(ctx context.Context) *intake.Sender {
	if c, ok := ctx.Value(contextKey{}).(*guardedConn); ok {
		return &c.sender
	}
	return nil
}
