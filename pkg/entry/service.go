package entry

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// service forwards a call to a plain service. Calls with a safe or idempotent
// method, or with a path that the pool lists as repeatable, are forwarded
// directly; others are orders.
func (h *Handler) service(w http.ResponseWriter, r *http.Request, c *requestContext) error {
	p, err := c.pool(fleet.PoolName(r.PathValue("pool")), fleet.KindService)
	if err != nil {
		return err
	}
	if r.Method == http.MethodTrace || r.Method == http.MethodConnect {
		return methodNotAllowed("GET, HEAD, OPTIONS, PUT, DELETE, POST, PATCH")(w, r, c)
	}
	path, err := servicePath(r)
	if err != nil {
		return err
	}
	body, err := h.readBody(w, r)
	if err != nil {
		return err
	}
	if isOrder(r.Method, path, p) || wantsAsync(r) {
		return h.serveKeyed(w, r, c, p, path, body, h.writeStored)
	}
	deadline, release, err := h.admit(c, p, 0, 0)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	resp, err := h.CallService(ctx, p.Name, endpoint.ServiceCall{
		Method:      r.Method,
		Path:        path,
		ContentType: r.Header.Get("Content-Type"),
		Header:      endpoint.RequestHeader(r.Header),
		Body:        body,
		Account:     c.account.Name,
	}, true)
	if err != nil {
		return err
	}
	c.report.Status = resp.Status
	h.writeServiceResponse(w, r.Method, p.Name, resp)
	return nil
}

// servicePath returns the path and query for the service, encoded as the caller
// sent them. A path with dot segments, which could escape the service's path
// prefix, is refused.
func servicePath(r *http.Request) (path string, err error) {
	// The path is /v1/services/{pool}/{path...}.
	segments := strings.SplitN(r.URL.EscapedPath(), "/", 5)
	if len(segments) == 5 {
		path = segments[4]
	}
	path = "/" + path
	decoded, err := url.PathUnescape(path)
	if err != nil || slices.ContainsFunc(strings.FieldsFunc(decoded, isSeparator), isDotSegment) {
		return "", badRequest("", "the path must not contain the segments . and ..")
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	if strings.ContainsFunc(path, needsEscape) {
		return "", badRequest("", "the path and query must be percent-encoded ASCII")
	}
	return path, nil
}

func isSeparator(r rune) bool { return r == '/' || r == '\\' }

func isDotSegment(segment string) bool { return segment == "." || segment == ".." }

func needsEscape(r rune) bool { return r <= ' ' || r > '~' || r == '#' }

// isOrder reports whether a call must not be repeated: its method is not idempotent
// by RFC 9110, and its path is neither equal to nor below one that the pool lists as
// repeatable.
func isOrder(method, path string, p fleet.Pool) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return false
	}
	path, _, _ = strings.Cut(path, "?")
	for _, prefix := range p.RepeatablePaths {
		rest, matched := strings.CutPrefix(path, prefix)
		if matched && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/")) {
			return false
		}
	}
	return true
}

// writeServiceResponse writes the response of a plain service.
func (h *Handler) writeServiceResponse(w http.ResponseWriter, method string, pool fleet.PoolName, resp endpoint.Response) {
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	if location := header.Get("Location"); location != "" {
		header.Del("Location")
		// Only a path on the service can be reached by the caller.
		if strings.HasPrefix(location, "/") && !strings.HasPrefix(location, "//") {
			header.Set("Location", "/v1/services/"+url.PathEscape(string(pool))+location)
		}
	}
	if method == http.MethodHead && resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	h.writeResponse(w, resp.Status, resp.ContentType, resp.Body, method == http.MethodHead)
}
