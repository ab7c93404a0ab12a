package forward

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrNoMatchingResponse reports a connection that delivered only responses to
// other requests.
var ErrNoMatchingResponse = errors.New("received only responses to other requests")

// encodeRequest returns the request in HTTP/1.1 wire format in parts: at most
// inlineWriteBytes that are written first, and the rest. The body is not copied beyond the
// first part, since it may be large.
func encodeRequest(req Request) (first []byte, rest [][]byte) {
	var b bytes.Buffer
	b.Grow(512 + min(len(req.Body), inlineWriteBytes))
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	for name, values := range req.Header {
		if name == "Host" || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	inline := min(len(req.Body), max(0, inlineWriteBytes-b.Len()))
	b.Write(req.Body[:inline])
	first = b.Bytes()
	if len(first) > inlineWriteBytes {
		first, rest = first[:inlineWriteBytes], append(rest, first[inlineWriteBytes:])
	}
	if inline < len(req.Body) {
		rest = append(rest, req.Body[inline:])
	}
	return first, rest
}
