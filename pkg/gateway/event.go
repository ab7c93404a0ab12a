package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// maxEventBytes is the size limit of one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLong reports an event that exceeds maxEventBytes.
var errEventTooLong = errors.New("event exceeds the size limit")

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

// sseReader splits a stream into complete events. A partial event is never
// relayed, so a stream that fails inside an event can resume at another endpoint.
type sseReader struct{ reader *bufio.Reader }

// next returns the next event. The error is io.EOF after the last complete
// event, and io.ErrUnexpectedEOF if the stream ends inside an event.
func (r *sseReader) next() (e sseEvent, err error) {
	// lineStart is the offset of the current line in e.data.
	lineStart := 0
	for {
		chunk, err := r.reader.ReadSlice('\n')
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
