package gateway

import (
	"io"
	"net/http"
	"slices"
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
	// firstBodyBytes is the first amount of memory for a body of unknown length, which grows
	// by the factor bodyGrowth.
	firstBodyBytes intake.Bytes = 8 << 10
	bodyGrowth                  = 4
	// retryAfterNoRoom is the Retry-After time while there is no room for a body.
	retryAfterNoRoom = time.Second
)

// errBodyTooLarge reports a body that exceeds the limit.
var errBodyTooLarge = errors.New("body exceeds the limit")

// readBody reads the request body. It refuses the request if the body exceeds the limit,
// finds no room, gives way to others, or cannot be read.
func (p *proxyRequest) readBody() bool {
	limit := intake.Bytes(p.config.Limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	r := bodyReader{sender: connection.SenderFrom(p.httpRequest.Context()), request: p.httpRequest, limit: limit}
	r.sender.SetDue(clock.Now().Add(p.remaining()))
	body, err := r.read()
	if err != nil {
		// The rest of the body is not read.
		r.sender.BodyComplete(0)
		return p.refuseBody(err, r.sender.Stopped())
	}
	r.sender.BodyComplete(intake.Bytes(cap(body)))
	if r.sender.Stopped() {
		// It gave way while the end was read. Its connection counts as closed from then on.
		r.sender.BodyComplete(0)
		return p.refuseBody(nil, true)
	}
	p.body = body
	return true
}

// refuseBody refuses a request whose body could not be read.
func (p *proxyRequest) refuseBody(err error, stopped bool) bool {
	switch {
	case errors.Is(err, errBodyTooLarge):
		closeAfterResponse(p.writer)
		return p.refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	case errors.Is(err, intake.ErrNoRoom):
		closeAfterResponse(p.writer)
		return p.refuse(http.StatusServiceUnavailable, ReasonNoRoomForBody, retryAfterNoRoom)
	case stopped:
		closeAfterResponse(p.writer)
		return p.refuse(http.StatusRequestTimeout, ReasonBodyTooSlow, retryAfterNoRoom)
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

// bodyReader reads the body of a request into memory that is charged before it is used.
type bodyReader struct {
	sender  *intake.Sender
	request *http.Request
	limit   intake.Bytes
}

func (r *bodyReader) read() (body []byte, err error) {
	length := intake.Bytes(r.request.ContentLength)
	switch {
	case length == 0:
		return nil, nil
	case length > r.limit:
		return nil, errBodyTooLarge
	case length < 0:
		return r.readChunks()
	}
	if err = r.sender.Reserve(r.request.Context(), length); err != nil {
		return nil, err
	}
	body = make([]byte, length)
	_, err = io.ReadFull(r.request.Body, body)
	return body, err
}

// readChunks reads a body of unknown length. Once it counts as large, it waits for the room
// that the longest body takes. So does a body whose chunks are so short that their framing
// is large.
func (r *bodyReader) readChunks() (body []byte, err error) {
	for large := false; ; {
		if len(body) == cap(body) {
			size := min(max(firstBodyBytes, bodyGrowth*intake.Bytes(cap(body))), r.limit+1)
			if intake.Bytes(cap(body)) < intake.SmallBody {
				size = min(size, intake.SmallBody)
			}
			if err = r.reserve(size, &large); err != nil {
				return nil, err
			}
			body = slices.Grow(body, int(size)-len(body))
		}
		n, err := r.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case intake.Bytes(len(body)) > r.limit:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return slices.Clip(slices.Clone(body)), nil
		case err != nil:
			return nil, err
		}
		if r.sender.BodyArrived() > intake.SmallBody {
			if err = r.reserve(r.limit, &large); err != nil {
				return nil, err
			}
		}
	}
}

// reserve reserves memory for a body of unknown length. large reports whether the body has
// the memory for the longest body.
func (r *bodyReader) reserve(size intake.Bytes, large *bool) error {
	if *large {
		return nil
	}
	if size > intake.SmallBody {
		// A copy is made as it grows.
		*large, size = true, r.limit+r.limit/bodyGrowth
	}
	return r.sender.Reserve(r.request.Context(), size)
}
