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
	"github.com/skylarkloom/skylarkloom/pkg/forward"
)

// MaxServiceResponse is the maximum size of the body of a plain service's response, in
// bytes.
const MaxServiceResponse = 8 << 20

// NotStartedHeader is the header by which a plain service reports that it did not start
// a call: the value "true" with status 503.
const NotStartedHeader = "Skylarkloom-Not-Started"

// IdempotencyKeyHeader is the header that carries the caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	Method string
	// Path is the escaped path with the query. It starts with a slash.
	Path        string
	ContentType string
	// Header holds further headers, as returned by RequestHeader.
	Header  http.Header
	Body    []byte
	Account fleet.AccountName
	Key     fleet.Key
	Fence   fleet.Fence
}

// Response is the response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Header holds the headers that are passed on to callers.
	Header http.Header
	// ContentLength is the length that the service declared, or -1 if none.
	ContentLength int64
}

// Headers that are passed on between callers and plain services, apart from
// Content-Type, which has a separate field.
var (
	requestHeaders = []string{
		"Accept", "Accept-Language", "Content-Language", "If-Match", "If-Modified-Since",
		"If-None-Match", "If-Range", "If-Unmodified-Since", "Range", "Traceparent", "Tracestate",
	}
	responseHeaders = []string{
		"Accept-Ranges", "Allow", "Cache-Control", "Content-Disposition", "Content-Language",
		"Content-Range", "Etag", "Expires", "Last-Modified", "Link", "Location", "Retry-After", "Vary",
	}
)

// RequestHeader returns the headers of a request that are passed on to plain services.
func RequestHeader(h http.Header) http.Header { return selectHeaders(h, requestHeaders) }

func selectHeaders(h http.Header, names []string) http.Header {
	selected := http.Header{}
	for _, n := range names {
		if values := h.Values(n); len(values) > 0 {
			selected[n] = values
		}
	}
	return selected
}

// Service is the client of a plain service on one instance.
type Service struct {
	Instance fleet.Instance
	// CallFunc makes a call. It returns a *NotStartedError if the service certainly did
	// not start the call.
	CallFunc func(ctx context.Context, c ServiceCall) (Response, error)
}

// DialService returns a client of the plain service on an instance.
func DialService(i fleet.Instance, client *http.Client) *Service {
	return &Service{Instance: i, CallFunc: func(ctx context.Context, c ServiceCall) (Response, error) {
		return callService(ctx, i, client, c)
	}}
}

// disableReplay prevents the transport from sending a request again. Without it,
// net/http resends requests with an idempotency key on a broken idle connection if they
// have no body or one that can be read again.
func disableReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body == http.NoBody {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

func callService(ctx context.Context, i fleet.Instance, client *http.Client, c ServiceCall) (response Response, err error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+i.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return response, &NotStartedError{Instance: i.ID, Cause: err}
	}
	if c.Key != "" {
		disableReplay(req)
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
		return response, transportError(i.ID, err)
	}
	defer func() { err = errors.CombineErrors(err, res.Body.Close()) }()
	if err := forward.CheckHead(res); err != nil {
		return response, &NotFinishedError{Instance: i.ID, Cause: err}
	}
	if res.Header.Get(NotStartedHeader) == "true" && res.StatusCode == http.StatusServiceUnavailable {
		return response, &NotStartedError{Instance: i.ID, Cause: &StatusError{Code: res.StatusCode, Message: "refused"}}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxServiceResponse+1))
	if err != nil {
		return response, &NotFinishedError{Instance: i.ID, Cause: err}
	}
	if len(body) > MaxServiceResponse {
		return response, &NotFinishedError{Instance: i.ID, Cause: &StatusError{Code: res.StatusCode, Message: "response is too large"}}
	}
	return Response{
		Status:        res.StatusCode,
		ContentType:   strings.ToValidUTF8(res.Header.Get("Content-Type"), ""),
		Body:          body,
		Header:        selectHeaders(res.Header, responseHeaders),
		ContentLength: res.ContentLength,
	}, nil
}
