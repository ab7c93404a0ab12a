package forward

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrForeign reports a connection that gave only answers to other requests.
var ErrNoMatchingResponse = errors.New("only answers to other requests came")

// encode returns the request as it goes over the wire.
func encode(c Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(c.Body))
	b.WriteString(c.Method)
	b.WriteByte(' ')
	b.WriteString(c.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(c.Host)
	b.WriteString("\r\n")
	for name, values := range c.Header {
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
	if len(c.Body) > 0 || c.Method == http.MethodPost || c.Method == http.MethodPut || c.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(c.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
}
