// Package forward sends requests to endpoints over persistent HTTP/1.1
// connections. It never retries a request, and its errors distinguish whether the
// endpoint may have received the request.
package forward

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

const (
	// dialTimeout is the timeout for establishing a connection. Links have
	// latencies of milliseconds, and a lost SYN is retransmitted only after a
	// second, so trying another endpoint is faster.
	dialTimeout = 250 * time.Millisecond
	// inlineWriteBytes is the size up to which a request is written before the
	// response is read. The rest of a longer request is written concurrently, since
	// an endpoint may respond before it has read the whole request.
	inlineWriteBytes = 4 << 10
	// writeReturnTime is how long a write whose bytes the endpoint has received may take to
	// return on a busy node.
	writeReturnTime = 100 * time.Millisecond
	// maxResponsesPerRequest limits the responses that are read for one request,
	// including skipped ones.
	maxResponsesPerRequest = 4
	// maxHeadBytes is the size limit of the status line and header of a response.
	maxHeadBytes = 64 << 10
	// maxSkippedBodyBytes is the size limit of the body of a skipped response.
	maxSkippedBodyBytes = 1 << 20
)

// Request is a request to an endpoint.
type Request struct {
	Address string
	Method  string
	// Target is the path and query of the request line, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxConnections limits this node's connections to the address; 0 means no limit.
	MaxConnections int
	// Matches reports whether a response belongs to this request. A late response
	// to an earlier request may precede it on a reused connection.
	Matches func(status int, h http.Header) bool
	// OnHead, if set, is called with the head of each final response that arrives on the
	// connection, also one that Matches rejects. opened is when the connection was
	// established. If the endpoint received the request, OnHead is also called for a response
	// that arrives after the context has ended and Do has returned, until Expires.
	OnHead func(status int, h http.Header, opened clock.Instant)
	// Expires is when the endpoint stops its work on the request, if set.
	Expires time.Time
	// Abandoned is called directly before the first byte is sent, if set, once the responses
	// that have arrived from the address were read. If it returns true, nothing is sent.
	Abandoned func() bool
}

// ErrAbandoned is the cause of an UnsentError for a request that was abandoned.
var ErrAbandoned = errors.New("request abandoned before it was sent")

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

// NoResponseError reports a request that the endpoint may have received but did
// not respond to.
type NoResponseError struct {
	Address string
	// Reused reports whether the connection had served a request before.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no response from %s (reused connection: %t): %v", e.Address, e.Reused, e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// BrokeOff reports whether an error means that the endpoint closed or reset the
// connection before its response was complete.
func BrokeOff(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// ConnectionLimitError reports that the node has no free connection to an address
// and may not open another one.
type ConnectionLimitError struct{ Limit int }

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

// Response is the response of an endpoint. Close must be called. Unless the body
// was read completely, Close resets the connection and so ends the endpoint's work.
type Response struct {
	Status int
	Header http.Header
	// Framed reports whether the body has a length or chunks, so that its end is known.
	// Any other body ends with the connection.
	Framed bool
	// Sender is the account of the response in the budget of the pool.
	Sender *intake.Sender
	body   io.Reader
	// length is the length of the body, -1 if the head announces none.
	length         int64
	context        context.Context //nolint:containedctx // It ends with the exchange, as the response does.
	conn           *conn
	pool           *Pool
	keepAlive      bool
	complete       bool
	requestWritten func(wait time.Duration) bool
	stopReset      func() bool
}

// Read reads the body. io.EOF means that the body is complete. A body without framing is
// complete only if the endpoint ended its side of the connection after it had received the
// whole request: an error may have been reported to the write, and not to the read.
func (r *Response) Read(p []byte) (n int, err error) {
	n, err = r.body.Read(p)
	if err != nil && err != io.EOF && r.Sender.Stopped() {
		return n, errors.CombineErrors(intake.ErrNoRoom, err)
	}
	if err == io.EOF && !r.Framed && !r.endedWell() {
		return n, io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// ReadAll reads the body to its end into memory that is charged until Close. The error is
// intake.ErrTooLong if the body exceeds the limit, and intake.ErrNoRoom if there is no room
// for it.
func (r *Response) ReadAll(limit intake.Bytes) (body []byte, err error) {
	reader := intake.BodyReader{Sender: r.Sender, Source: r, Length: r.length, Limit: limit}
	return reader.ReadAll(r.context)
}

// Reset resets the connection, which makes a read of the body fail.
func (r *Response) Reset() { r.conn.reset() }

// endedWell reports whether the endpoint ended its side of the connection after it had
// received the whole request.
func (r *Response) endedWell() bool {
	return connection.PeerEnded(r.conn.Conn) && r.requestWritten(writeReturnTime)
}

// DoNotReuse makes Close reset the connection.
func (r *Response) DoNotReuse() { r.keepAlive = false }

// Close returns the connection to the pool if it can be reused, or else resets it.
func (r *Response) Close() {
	notReset := r.stopReset()
	if notReset && r.complete && r.keepAlive && r.requestWritten(0) && r.conn.reader.Buffered() == 0 {
		r.pool.put(r.conn, time.Now().Add(idleTimeout(r.Header)))
		return
	}
	r.pool.discard(r.conn)
}

// Do sends a request and returns the response once its header was received. The
// context applies to the whole exchange, including the body of the response.
func (p *Pool) Do(ctx context.Context, req Request) (*Response, error) {
	c, err := p.acquire(ctx, req)
	if err != nil {
		return nil, &UnsentError{Address: req.Address, Cause: err}
	}
	p.settleUnread(ctx, req.Address)
	if req.Abandoned != nil && req.Abandoned() {
		c.uses--
		p.put(c, cmp.Or(c.expires, time.Now().Add(defaultIdleTimeout)))
		return nil, &UnsentError{Address: req.Address, Cause: ErrAbandoned}
	}
	p.openAccount(c)
	// The response may arrive before send returns.
	p.addAwaiting(c)
	stopReset := context.AfterFunc(ctx, c.reset)
	written, sent, err := c.send(req)
	stopReset()
	if err != nil && sent == 0 {
		p.removeAwaiting(c)
		p.discard(c)
		return nil, &UnsentError{Address: req.Address, Cause: cmp.Or(context.Cause(ctx), err)}
	}
	// A failed write does not end the exchange: the endpoint may have responded
	// before it stopped reading.
	res, err := p.awaitHead(ctx, c, req) //nolint:bodyclose // Response.Close releases the connection under the body.
	if err != nil {
		return nil, &NoResponseError{Address: req.Address, Reused: c.uses > 1, Cause: cmp.Or(context.Cause(ctx), err)}
	}
	stopReset = context.AfterFunc(ctx, c.reset)
	length := res.ContentLength
	if res.Body == http.NoBody {
		length = 0
	}
	return &Response{
		Status: res.StatusCode, Header: res.Header, body: res.Body, length: length,
		Framed: length >= 0 || len(res.TransferEncoding) > 0,
		Sender: c.head.sender, context: ctx,
		conn: c, pool: p,
		keepAlive:      !res.Close,
		requestWritten: written, stopReset: stopReset,
	}, nil
}

// send writes the request. It writes only the first inlineWriteBytes before it
// returns, and the rest concurrently. sent is the number of bytes that the kernel
// accepted before the return; written reports whether the whole request is accepted
// within some time.
func (c *conn) send(req Request) (written func(wait time.Duration) bool, sent int, err error) {
	first, rest := encodeRequest(req)
	n, err := c.Write(first)
	if err != nil || len(rest) == 0 {
		return func(time.Duration) bool { return err == nil }, n, err
	}
	done := make(chan struct{})
	var restErr error
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		for _, part := range rest {
			if _, restErr = c.Write(part); restErr != nil {
				break
			}
		}
		return restErr
	})
	return func(wait time.Duration) bool {
		select {
		case <-done:
			return restErr == nil
		default:
		}
		select {
		case <-done:
			return restErr == nil
		case <-time.After(wait):
			return false
		}
	}, n, nil
}

// receive reads responses until one matches the request.
func (c *conn) receive(req Request) (res *http.Response, err error) {
	httpRequest := &http.Request{Method: req.Method}
	for range maxResponsesPerRequest {
		c.head.remaining = maxHeadBytes
		res, err = http.ReadResponse(c.reader, httpRequest)
		if err != nil {
			return nil, err
		}
		if err = CheckHead(res); err != nil {
			return nil, err
		}
		c.head.remaining = math.MaxInt
		c.head.sender.HeadComplete()
		if res.StatusCode/100 == 1 {
			continue
		}
		if req.OnHead != nil {
			req.OnHead(res.StatusCode, res.Header, c.opened)
		}
		if req.Matches == nil || req.Matches(res.StatusCode, res.Header) {
			return res, nil
		}
		if err = skipBody(res.Body); err != nil {
			return nil, err
		}
		c.head.sender.RequestDone()
		if res.Close {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, ErrNoMatchingResponse
}

// InvalidHeadError reports a response whose head is none of HTTP/1.
type InvalidHeadError struct {
	Protocol, Status string
}

// Error implements error.
func (e *InvalidHeadError) Error() string {
	return fmt.Sprintf("%q, %q is no response of HTTP/1", e.Protocol, e.Status)
}

// The range of the statuses of HTTP (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// CheckHead returns an *InvalidHeadError if a response has a status or a version that HTTP/1
// does not have, or switches to a protocol that no request of a node asks for. net/http accepts
// any number of three characters, but panics when a server responds with some of them.
func CheckHead(res *http.Response) error {
	digits := res.Status[:min(len(res.Status), 3)]
	isStatus := res.StatusCode >= minStatus && res.StatusCode <= maxStatus && digits == strconv.Itoa(res.StatusCode)
	if res.ProtoMajor != 1 || !isStatus || res.StatusCode == http.StatusSwitchingProtocols {
		return &InvalidHeadError{Protocol: res.Proto, Status: res.Status}
	}
	return nil
}

// errSkippedTooLong reports a response to another request whose body exceeds
// maxSkippedBodyBytes.
var errSkippedTooLong = errors.New("response to another request exceeds the size limit for skipping")

// skipBody reads a body to its end, behind which the next response starts.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBodyBytes+1))
	if err == nil && n > maxSkippedBodyBytes {
		err = errSkippedTooLong
	}
	return err
}

// errHeadTooLong reports a response whose status line and header exceed maxHeadBytes.
var errHeadTooLong = errors.New("response head exceeds the size limit")

// headReader limits the bytes that are read of the head of a response, which net/http
// does not do.
type headReader struct {
	net.Conn
	remaining int
	// sender is the account of the current response. Nil has no limits.
	sender *intake.Sender
	// arrived reports whether bytes of a head have arrived that may not have been parsed.
	arrived atomic.Bool
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (n int, err error) {
	if r.remaining <= 0 {
		return 0, errHeadTooLong
	}
	if r.remaining <= maxHeadBytes {
		r.arrived.Store(false)
		// Once bytes have left the socket, only arrived tells of them.
		connection.AwaitUnread(r.Conn)
		r.arrived.Store(true)
	}
	n, err = r.Conn.Read(p[:min(len(p), r.remaining)])
	inHead := r.remaining <= maxHeadBytes
	r.remaining -= n
	switch {
	case n <= 0 || r.sender == nil:
	case !inHead:
		r.sender.Arrived(n)
	case r.sender.ArrivedInHead(p[:n], math.MaxInt64) != "":
		return 0, intake.ErrNoRoom
	}
	return n, err
}

// conn is a connection to an endpoint. It is closed by Pool.discard.
type conn struct {
	net.Conn
	address string
	// opened is when the connection was established.
	opened clock.Instant
	// released reports whether the connection was removed from its address's count.
	// Pool.mu guards it.
	released bool
	// reader buffers what head reads from the connection.
	reader *bufio.Reader
	head   *headReader
	// uses counts the requests sent on the connection, including the current one.
	uses int
	// expires is when an idle connection may no longer be used.
	expires time.Time
}

// hasArrived reports whether bytes of an awaited head have arrived that may not have been
// parsed.
func (c *conn) hasArrived() bool {
	return connection.HasUnread(c.Conn) || c.head.arrived.Load()
}

// reset closes the connection with a TCP reset, so that the endpoint stops its
// work immediately and bytes delayed by a network partition never reach it.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Setting the option fails only on a connection that is already closed.
		_ = tcp.SetLinger(0)
	}
	// The connection is discarded, so an error has no consequence.
	_ = c.Close()
}
