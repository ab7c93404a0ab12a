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

// Log is a client of the append-only log. Calls on the zero value return a
// *NotExecutedError.
type Log struct {
	// AppendFunc appends one entry and returns its offset.
	AppendFunc func(ctx context.Context, stream StreamName, data []byte) (fleet.Offset, error)
	// ReadFunc returns entries starting at an offset; at the end of the stream it
	// waits up to wait for a new entry.
	ReadFunc func(ctx context.Context, stream StreamName, from fleet.Offset, limit int, wait time.Duration) (Page, error)
}

var errNoLog = errors.New("no log is configured")

// Append appends one entry. The error is a *NotExecutedError if nothing was
// appended; after any other error the entry may be in the stream.
func (l *Log) Append(ctx context.Context, stream StreamName, data []byte) (fleet.Offset, error) {
	if l.AppendFunc == nil {
		return 0, &NotExecutedError{Service: "log", Cause: errNoLog}
	}
	return l.AppendFunc(ctx, stream, data)
}

// Read returns up to limit entries starting at an offset. The error is an
// *OffsetExpiredError if the offset is no longer retained.
func (l *Log) Read(ctx context.Context, stream StreamName, from fleet.Offset, limit int, wait time.Duration) (Page, error) {
	if l.ReadFunc == nil {
		return Page{}, &NotExecutedError{Service: "log", Cause: errNoLog}
	}
	return l.ReadFunc(ctx, stream, from, limit, wait)
}

// LogPath returns the path of a stream's entries in the HTTP API of the log.
func LogPath(stream StreamName) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/entries"
}

// DialLog returns a client of the log at a base URL.
func DialLog(baseURL, token string, client *http.Client) *Log {
	c := &jsonClient{service: "log", baseURL: baseURL, token: token, client: client}
	return &Log{
		AppendFunc: func(ctx context.Context, stream StreamName, data []byte) (fleet.Offset, error) {
			var response struct {
				Offset fleet.Offset `json:"offset"`
			}
			err := c.call(ctx, http.MethodPost, LogPath(stream), data, &response)
			return response.Offset, err
		},
		ReadFunc: func(ctx context.Context, stream StreamName, from fleet.Offset, limit int, wait time.Duration) (page Page, err error) {
			query := url.Values{}
			query.Set("from", strconv.FormatUint(uint64(from), 10))
			query.Set("limit", strconv.Itoa(limit))
			query.Set("wait", wait.String())
			err = c.call(ctx, http.MethodGet, LogPath(stream)+"?"+query.Encode(), nil, &page)
			var status *StatusError
			if errors.As(err, &status) && status.Code == http.StatusGone {
				err = &OffsetExpiredError{Stream: stream, From: from, Oldest: status.Oldest}
			}
			return page, err
		},
	}
}
