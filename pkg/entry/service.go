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

// service passes a call to a plain service. Safe and idempotent methods, and
// those that the pool lists as repeatable, go straight through; others are
// orders.
func (h *Handler) service(w http.ResponseWriter, r *http.Request, c *call) error {
	p, err := c.pool(fleet.PoolName(r.PathValue("pool")), fleet.KindService)
	if err != nil {
		return err
	}
	if r.Method == http.MethodTrace || r.Method == http.MethodConnect {
		return otherMethod("GET, HEAD, OPTIONS, PUT, DELETE, POST, PATCH")(w, r, c)
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
		return h.keyed(w, r, c, p, path, body, h.writeStored)
	}
	deadline, release, err := h.admit(c, p, 0, 0)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	a, err := h.CallService(ctx, p.Name, endpoint.Call{
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
	c.report.Status = a.Status
	h.pass(w, r.Method, p.Name, a)
	return nil
}

// servicePath returns the path and query for the service, as the caller wrote
// them. A path that could leave the service's own is refused.
func servicePath(r *http.Request) (path string, err error) {
	// The path is /v1/services/{pool}/{path...}.
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 5)
	if len(parts) == 5 {
		path = parts[4]
	}
	path = "/" + path
	plain, err := url.PathUnescape(path)
	if err != nil || slices.ContainsFunc(strings.FieldsFunc(plain, isSeparator), isDots) {
		return "", badRequest("", "the path must not hold the segments . and ..")
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	if strings.ContainsFunc(path, mustEscape) {
		return "", badRequest("", "the path and query must be percent-encoded ASCII")
	}
	return path, nil
}

func isSeparator(r rune) bool { return r == '/' || r == '\\' }

func isDots(segment string) bool { return segment == "." || segment == ".." }

func mustEscape(r rune) bool { return r <= ' ' || r > '~' || r == '#' }

// isOrder reports whether a call may not be repeated, by RFC 9110 and the pool.
func isOrder(method, path string, p fleet.Pool) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return false
	}
	path, _, _ = strings.Cut(path, "?")
	for _, prefix := range p.Repeatable {
		rest, below := strings.CutPrefix(path, prefix)
		if below && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/")) {
			return false
		}
	}
	return true
}

// pass writes an answer of a plain service.
func (h *Handler) pass(w http.ResponseWriter, method string, pool fleet.PoolName, a endpoint.Response) {
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	if place := header.Get("Location"); place != "" {
		header.Del("Location")
		// Only a path of the service itself means something to a caller.
		if strings.HasPrefix(place, "/") && !strings.HasPrefix(place, "//") {
			header.Set("Location", "/v1/services/"+url.PathEscape(string(pool))+place)
		}
	}
	if method == http.MethodHead && a.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	h.writeAnswer(w, a.Status, a.ContentType, a.Body, method == http.MethodHead)
}
