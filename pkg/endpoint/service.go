package endpoint

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// MaxServiceAnswer bounds the answer of a plain service, in bytes.
const MaxServiceResponse = 8 << 20

// NotStartedHeader is the documented way in which a plain service says that it
// did not start a call: the header with the value "true" on a status 503.
const NotStartedHeader = "Skylarkloom-Not-Started"

// KeyHeader carries the caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// Call is a call of a plain service.
type Call struct {
	Method string
	// Path is the escaped path and query; it begins with a slash.
	Path        string
	ContentType string
	// Header holds further headers, of those that RequestHeader keeps.
	Header  http.Header
	Body    []byte
	Account fleet.AccountName
	Key     fleet.Key
	Fence   fleet.Fence
}

// Answer is a plain service's answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Header holds the headers that are passed to callers.
	Header http.Header
	// Length is the length that the service declared; -1 if none.
	ContentLength int64
}

// Headers that are passed between callers and plain services. Content-Type goes
// by itself.
var (
	requestHeaders = []string{
		"Accept", "Accept-Language", "Content-Language", "If-Match", "If-Modified-Since",
		"If-None-Match", "If-Range", "If-Unmodified-Since", "Range", "Traceparent", "Tracestate",
	}
	answerHeaders = []string{
		"Accept-Ranges", "Allow", "Cache-Control", "Content-Disposition", "Content-Language",
		"Content-Range", "Etag", "Expires", "Last-Modified", "Link", "Location", "Retry-After", "Vary",
	}
)

// RequestHeader returns the headers of a request that a plain service may see.
func RequestHeader(h http.Header) http.Header { return keep(h, requestHeaders) }

func keep(h http.Header, names []string) http.Header {
	kept := http.Header{}
	for _, n := range names {
		if values := h.Values(n); len(values) > 0 {
			kept[n] = values
		}
	}
	return kept
}

// Service is the client of a plain service on one instance.
type Service struct {
	Instance fleet.Instance
	// CallFunc makes a call. Errors are *NotStartedError if the service
	// certainly did not begin it.
	CallFunc func(ctx context.Context, c Call) (Response, error)
}

// DialService returns a client of the plain service on an instance.
func DialService(i fleet.Instance, client *http.Client) *Service {
	return &Service{Instance: i, CallFunc: func(ctx context.Context, c Call) (Response, error) {
		return callService(ctx, i, client, c)
	}}
}

// forbidReplay keeps the transport from sending a request a second time by
// itself, which net/http does with requests that carry an idempotency key when
// they have no body or one that can be read again.
func forbidReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body == http.NoBody {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

func callService(ctx context.Context, i fleet.Instance, client *http.Client, c Call) (a Response, err error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+i.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return a, &NotStartedError{Instance: i.ID, Cause: err}
	}
	if c.Key != "" {
		forbidReplay(req)
	}
	maps.Copy(req.Header, c.Header)
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	if c.Key != "" {
		req.Header.Set(IdempotencyKeyHeader, string(c.Key))
		req.Header.Set(engine.FenceHeader, strconv.FormatUint(uint64(c.Fence), 10))
	}
	req.Header.Set("Skylarkloom-Account", string(c.Account))
	res, err := client.Do(req)
	if err != nil {
		return a, classify(i.ID, err)
	}
	defer func() { err = errors.CombineErrors(err, res.Body.Close()) }()
	if res.Header.Get(NotStartedHeader) == "true" && res.StatusCode == http.StatusServiceUnavailable {
		return a, &NotStartedError{Instance: i.ID, Cause: &StatusError{Code: res.StatusCode, Message: "refused"}}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxServiceResponse+1))
	if err != nil {
		return a, &NotFinishedError{Instance: i.ID, Cause: err}
	}
	if len(body) > MaxServiceResponse {
		return a, &NotFinishedError{Instance: i.ID, Cause: &StatusError{Code: res.StatusCode, Message: "the answer is too large"}}
	}
	return Response{
		Status:        res.StatusCode,
		ContentType:   strings.ToValidUTF8(res.Header.Get("Content-Type"), ""),
		Body:          body,
		Header:        keep(res.Header, answerHeaders),
		ContentLength: res.ContentLength,
	}, nil
}
