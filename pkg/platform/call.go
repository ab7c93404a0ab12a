package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

const (
	// maxCallBytes is the limit of a response that Call reads. The store sends at most
	// one mebibyte of records in a response, plus their framing.
	maxCallBytes = 8 << 20
	// maxHeadBytes is the limit of the head of a response, as of those of endpoints.
	maxHeadBytes = 64 << 10
	// maxIdleConnections is the limit of idle connections to a service. A node runs
	// two long polls, one read at a fixed interval and one write at a time.
	maxIdleConnections = 4
	// dialTimeout bounds the set-up of a connection, which takes milliseconds on the
	// platform's network.
	dialTimeout = time.Second
)

// NewTransport returns a transport that resets the connection of an abandoned
// call. Without the reset, a call delayed by a network partition could arrive
// after the partition ends, when another node may have replaced the sender.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				if err := tcp.SetLinger(0); err != nil {
					return nil, errors.CombineErrors(err, conn.Close())
				}
			}
			return conn, nil
		},
		MaxIdleConnsPerHost:    maxIdleConnections,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
}

// readOnce hides all methods of a reader but Read, so that net/http cannot rewind the
// body to retry a request.
type readOnce struct{ io.Reader }

// ReadAll reads the body of a response into memory that is charged to a budget, which may be
// nil, until release is called. The error is intake.ErrTooLong if the body exceeds the limit.
func ReadAll(ctx context.Context, budget *intake.Budget, res *http.Response, limit intake.Bytes) (body []byte, release func(), err error) {
	r := intake.BodyReader{Source: res.Body, Length: res.ContentLength, Limit: limit}
	release = func() {}
	if budget != nil {
		// A read from a body that was closed fails.
		sender := &intake.Sender{Stop: func(bool) { _ = res.Body.Close() }}
		budget.Attach(sender)
		sender.HeadComplete()
		r.Sender, r.Source = sender, countingReader{res.Body, sender}
		release = func() { budget.Leave(sender) }
	}
	if body, err = r.ReadAll(ctx); err != nil {
		release()
	}
	return body, release, err
}

// countingReader records the progress of a body.
type countingReader struct {
	io.Reader
	sender *intake.Sender
}

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (n int, err error) {
	n, err = r.Reader.Read(p)
	r.sender.Arrived(n)
	return n, err
}

// Call makes one call to a service and reads the response within a budget, which may be nil.
// The call is never repeated.
func Call(ctx context.Context, client *http.Client, budget *intake.Budget, service, method, target string, body []byte, header http.Header) (status int, data []byte, err error) {
	var reader io.Reader
	if body != nil {
		reader = readOnce{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return 0, nil, &NotExecutedError{Service: service, Cause: err}
	}
	req.ContentLength = int64(len(body))
	for name, values := range header {
		req.Header[name] = values
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, transportError(service, err)
	}
	data, release, err := ReadAll(ctx, budget, res, maxCallBytes)
	err = errors.CombineErrors(err, res.Body.Close())
	if err != nil {
		return 0, nil, &UnknownOutcomeError{Service: service, Cause: err}
	}
	// Few calls are made at a time, and what is read is parsed at once.
	release()
	return res.StatusCode, data, nil
}

// transportError returns the error of a call without a response. A call whose connection
// could not be opened had no effect.
func transportError(service string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotExecutedError{Service: service, Cause: err}
	}
	return &UnknownOutcomeError{Service: service, Cause: err}
}
