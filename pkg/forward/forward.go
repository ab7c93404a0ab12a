// Package forward sends requests to endpoints over kept HTTP/1.1 connections.
// It never repeats a request by itself and tells, for each failure, whether the
// endpoint may have received it.
package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// dialTimeout bounds the set-up of a connection. Links take milliseconds; an
	// opening packet that was lost is sent again only after a second, so another
	// endpoint is the faster way.
	dialTimeout = 250 * time.Millisecond
	// inlineBytes is the longest request that is written before the answer is
	// read. Longer ones are written meanwhile, since an endpoint may answer
	// before it has read them.
	inlineBytes = 4 << 10
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 4
	// maxForeignBytes bounds the body of an answer that is skipped.
	maxForeignBytes = 1 << 20
)

// Call is one request to an endpoint.
type Request struct {
	Address string
	Method  string
	// Target is the request line's path and query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxConnections bounds this node's connections to the address; 0 is no bound.
	MaxConnections int
	// Belongs tells whether an answer is to this request. A late answer to an
	// earlier request may come first on a kept connection.
	Matches func(status int, h http.Header) bool
}

// UnsentError reports a request of which the endpoint received nothing.
type UnsentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("nothing sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// BrokenError reports a request that the endpoint may have received and that
// was not answered.
type NoResponseError struct {
	Address string
	// Reused tells that the connection had served a request before.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no answer from %s (kept connection: %t): %v", e.Address, e.Reused, e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// BusyError reports that the node has all its connections to an address in use.
type ConnectionLimitError struct{ Limit int }

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

// Answer is the answer of an endpoint. Close must be called; it cuts the
// connection, and with it the endpoint's work, unless the body was read whole.
type Response struct {
	Status  int
	Header  http.Header
	body    io.Reader
	conn    *conn
	pool    *Pool
	keep    bool
	whole   bool
	written func() bool
	stop    func() bool
}

// Read reads the body. io.EOF means that it is whole.
func (a *Response) Read(p []byte) (n int, err error) {
	n, err = a.body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close releases the connection.
func (a *Response) Close() {
	intact := a.stop()
	if intact && a.whole && a.keep && a.written() && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.conn, a.Header)
		return
	}
	a.pool.discard(a.conn)
}

// Do sends a request and returns the answer once its header has come. The
// context bounds the whole exchange, the body included.
func (p *Pool) Do(ctx context.Context, c Request) (*Response, error) {
	k, err := p.take(ctx, c)
	if err != nil {
		return nil, &UnsentError{Address: c.Address, Cause: err}
	}
	stop := context.AfterFunc(ctx, k.cut)
	fail := func(unsent bool, err error) (*Response, error) {
		stop()
		p.discard(k)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if unsent {
			return nil, &UnsentError{Address: c.Address, Cause: err}
		}
		return nil, &NoResponseError{Address: c.Address, Reused: k.uses > 1, Cause: err}
	}
	written, sent, err := k.send(c)
	if err != nil && sent == 0 {
		return fail(true, err)
	}
	// A failed write does not end the exchange: the endpoint may have answered
	// before it stopped reading.
	res, err := k.receive(c) //nolint:bodyclose // Answer.Close ends the connection under the body.
	if err != nil {
		return fail(false, err)
	}
	return &Response{
		Status: res.StatusCode, Header: res.Header, body: res.Body,
		conn: k, pool: p,
		keep:    !res.Close,
		written: written, stop: stop,
	}, nil
}

// send writes the request. It returns how many bytes were taken by the system,
// and a function that tells whether all have been.
func (k *conn) send(c Request) (written func() bool, sent int, err error) {
	data := encode(c)
	if len(data) <= inlineBytes {
		n, err := k.Write(data)
		return func() bool { return err == nil }, n, err
	}
	n, err := k.Write(data[:inlineBytes])
	if err != nil {
		return func() bool { return false }, n, err
	}
	done := make(chan struct{})
	var rest error
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		_, rest = k.Write(data[inlineBytes:])
		return rest
	})
	return func() bool {
		select {
		case <-done:
			return rest == nil
		default:
			return false
		}
	}, n, nil
}

// receive reads answers until one belongs to the call.
func (k *conn) receive(c Request) (res *http.Response, err error) {
	request := &http.Request{Method: c.Method}
	for range maxForeign {
		res, err = http.ReadResponse(k.reader, request)
		if err != nil {
			return nil, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		if c.Matches == nil || c.Matches(res.StatusCode, res.Header) {
			return res, nil
		}
		if _, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxForeignBytes)); err != nil {
			return nil, err
		}
		if res.Close {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, ErrNoMatchingResponse
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	uses    int
	expires time.Time
}

// cut resets the connection, so that the endpoint stops its work at once and
// bytes that a partition holds up never reach it.
func (k *conn) cut() {
	if tcp, ok := k.Conn.(*net.TCPConn); ok {
		// A connection that cannot be reset is already closed.
		_ = tcp.SetLinger(0)
	}
	// The connection is given up; there is nothing to do about an error.
	_ = k.Close()
}
