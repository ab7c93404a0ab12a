package gateway

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// maxEventBytes is the size limit of one event of a stream.
	maxEventBytes = 1 << 20
	// eventGrowth is the factor by which the memory of an event grows.
	eventGrowth = 4
	// maxStaleBytes is the number of bytes that a response may send without an event with
	// a new ID, as comments or as events that the caller already has. An event counts as
	// minEventBytes at least.
	maxStaleBytes, minEventBytes = 256 << 10, 64
)

// errEventTooLong reports an event that exceeds maxEventBytes.
var errEventTooLong = errors.New("event exceeds the size limit")

// errNoEventID reports an event without an ID in a response that continues a stream. It
// may be the text of an error.
var errNoEventID = errors.New("an event of a resumed stream has no ID")

// errNoNewEvents reports a response that sent maxStaleBytes without an event with a new
// ID.
var errNoNewEvents = errors.New("stream sends no new events")

// sseEvent is one complete event of a text/event-stream, including its
// terminating blank line.
type sseEvent struct {
	data []byte
	id   serving.EventID
	// hasID reports whether the event has a numeric id.
	hasID bool
}

// isComment reports whether the event consists of comments.
func (e *sseEvent) isComment() bool {
	for line := range bytes.Lines(e.data) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

// eventChecker finds bytes in a response that are no part of its stream.
type eventChecker struct {
	// continues reports whether the response continues a stream that has begun, framed
	// whether its end is known without the end of the connection.
	continues, framed bool
	// begun reports whether the response had an event.
	begun      bool
	staleBytes int
}

// check returns the error of an event, or of its reader if that is not nil. isNew reports
// whether the event has a new ID.
func (c *eventChecker) check(e sseEvent, isNew bool, err error) error {
	if errors.Is(err, io.EOF) && c.continues && !c.begun && !c.framed {
		// The endpoint may have ended before the first event.
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	c.begun = true
	if c.continues && !e.hasID && !e.isComment() {
		return errNoEventID
	}
	if isNew {
		c.staleBytes = 0
	} else if c.staleBytes += max(len(e.data), minEventBytes); c.staleBytes > maxStaleBytes {
		return errNoNewEvents
	}
	return nil
}

// sseReader splits a stream into complete events. A partial event is never
// relayed, so a stream that fails inside an event can resume at another endpoint.
type sseReader struct {
	reader *bufio.Reader
	// reserve reserves memory for the current event, if set.
	reserve func(total intake.Bytes) error
	// reserved is what is reserved.
	reserved intake.Bytes
}

// grow makes room for n more bytes of an event that is longer than usual. An event over
// intake.SmallBody has the memory for the longest one, with the copy that is made as it grows.
func (r *sseReader) grow(data []byte, n int) (grown []byte, err error) {
	if len(data)+n <= max(cap(data), eventBufferBytes) {
		return data, nil
	}
	size := eventGrowth * max(cap(data), eventBufferBytes)
	if intake.Bytes(size) > intake.SmallBody {
		size = maxEventBytes + eventBufferBytes
	}
	total := intake.Bytes(size + cap(data))
	if r.reserve != nil && total > r.reserved {
		if err = r.reserve(total); err != nil {
			return data, err
		}
		r.reserved = total
	}
	return slices.Grow(data, size-len(data)), nil
}

// release returns what the last event held, once it was passed on.
func (r *sseReader) release(response *forward.Response) {
	if r.reserved > 0 {
		r.reserved = 0
		response.Sender.BodyGoesOn(response.Reset)
	}
}

// next returns the next event. The error is io.EOF after the last complete
// event, and io.ErrUnexpectedEOF if the stream ends inside an event.
func (r *sseReader) next() (e sseEvent, err error) {
	// lineStart is the offset of the current line in e.data.
	lineStart := 0
	for {
		chunk, err := r.reader.ReadSlice('\n')
		var growErr error
		if e.data, growErr = r.grow(e.data, len(chunk)); growErr != nil {
			return e, growErr
		}
		e.data = append(e.data, chunk...)
		line := e.data[lineStart:]
		switch {
		case len(e.data) > maxEventBytes:
			return e, errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(e.data) > 0:
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && lineStart > 0:
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err == nil {
				e.id, e.hasID = serving.EventID(n), true
			}
		}
		lineStart = len(e.data)
	}
}
