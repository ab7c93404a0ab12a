package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

const (
	// defaultMaxBodyBytes is the size limit of a request body if the configuration
	// sets none.
	defaultMaxBodyBytes intake.Bytes = 4 << 20
	// retryAfterNoRoom is the Retry-After time while there is no room for a body.
	retryAfterNoRoom = time.Second
)

// readBody reads the request body. It refuses the request if the body exceeds the limit,
// finds no room, gives way to others, or cannot be read.
func (p *proxyRequest) readBody() bool {
	limit := intake.Bytes(p.config.Limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	sender := connection.SenderFrom(p.httpRequest.Context())
	r := intake.BodyReader{Sender: sender, Source: p.httpRequest.Body, Length: p.httpRequest.ContentLength, Limit: limit}
	sender.SetDue(clock.Now().Add(p.remaining()))
	body, err := r.ReadAll(p.httpRequest.Context())
	if err != nil {
		// The rest of the body is not read.
		sender.BodyComplete(0)
		return p.refuseBody(err, sender.Stopped())
	}
	sender.BodyComplete(intake.Bytes(cap(body)))
	if sender.Stopped() {
		// It gave way while the end was read. Its connection counts as closed from then on.
		sender.BodyComplete(0)
		return p.refuseBody(nil, true)
	}
	p.body = body
	return true
}

// refuseBody refuses a request whose body could not be read.
func (p *proxyRequest) refuseBody(err error, stopped bool) bool {
	switch {
	case errors.Is(err, intake.ErrTooLong):
		closeAfterResponse(p.writer)
		return p.refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	case stopped:
		closeAfterResponse(p.writer)
		return p.refuse(http.StatusRequestTimeout, ReasonBodyTooSlow, retryAfterNoRoom)
	case errors.Is(err, intake.ErrNoRoom):
		closeAfterResponse(p.writer)
		return p.refuse(http.StatusServiceUnavailable, ReasonNoRoomForBody, retryAfterNoRoom)
	default:
		return p.refuse(http.StatusBadRequest, ReasonCallerGone, 0)
	}
}

// closeAfterResponse makes the server close the connection some time after the response,
// so that the response is not lost to the reset that unread bytes cause.
func closeAfterResponse(w http.ResponseWriter) {
	// net/http does this for a body that exceeds the limit of a MaxBytesReader.
	tooLong := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = tooLong.Read(make([]byte, 1))
}
