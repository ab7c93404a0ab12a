package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Log is the client of the append-only log. The zero value reports the log as
// not reachable.
type Log struct {
	// AppendFunc appends one entry and returns its offset.
	AppendFunc func(ctx context.Context, stream StreamName, data []byte) (fleet.Offset, error)
	// ReadFunc returns entries from an offset; at the end of the stream it
	// waits for one for up to the given time.
	ReadFunc func(ctx context.Context, stream StreamName, from fleet.Offset, limit int, wait time.Duration) (Page, error)
}

var errNoLog = errors.New("no log is configured")

// Append appends one entry. Errors are *NotSentError if nothing was appended;
// after any other error the entry may stand in the stream.
func (l *Log) Append(ctx context.Context, stream StreamName, data []byte) (fleet.Offset, error) {
	if l.AppendFunc == nil {
		return 0, &NotExecutedError{Service: "log", Cause: errNoLog}
	}
	return l.AppendFunc(ctx, stream, data)
}

// Read returns up to limit entries from an offset on. The error is a
// *LapsedError if the offset is no longer kept.
func (l *Log) Read(ctx context.Context, stream StreamName, from fleet.Offset, limit int, wait time.Duration) (Page, error) {
	if l.ReadFunc == nil {
		return Page{}, &NotExecutedError{Service: "log", Cause: errNoLog}
	}
	return l.ReadFunc(ctx, stream, from, limit, wait)
}

// LogPath returns the path of a stream's entries in the log's HTTP interface.
func LogPath(stream StreamName) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/entries"
}

// DialLog returns a client of the log at a base URL.
func DialLog(base, token string, client *http.Client) *Log {
	c := &caller{service: "log", base: base, token: token, client: client}
	return &Log{
		AppendFunc: func(ctx context.Context, stream StreamName, data []byte) (fleet.Offset, error) {
			var answer struct {
				Offset fleet.Offset `json:"offset"`
			}
			err := c.call(ctx, http.MethodPost, LogPath(stream), data, &answer)
			return answer.Offset, err
		},
		ReadFunc: func(ctx context.Context, stream StreamName, from fleet.Offset, limit int, wait time.Duration) (page Page, err error) {
			q := url.Values{}
			q.Set("from", strconv.FormatUint(uint64(from), 10))
			q.Set("limit", strconv.Itoa(limit))
			q.Set("wait", wait.String())
			err = c.call(ctx, http.MethodGet, LogPath(stream)+"?"+q.Encode(), nil, &page)
			var status *StatusError
			if errors.As(err, &status) && status.Code == http.StatusGone {
				err = &OffsetExpiredError{Stream: stream, From: from, Oldest: status.Oldest}
			}
			return page, err
		},
	}
}
