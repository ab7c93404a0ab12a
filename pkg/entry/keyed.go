package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/order"
)

func wantsAsync(r *http.Request) bool {
	for _, v := range r.Header.Values("Prefer") {
		for p := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(p), "respond-async") {
				return true
			}
		}
	}
	return false
}

// serveKeyed runs or enqueues an order or asynchronous request under its
// idempotency key. write writes the response that the order was settled with.
func (h *Handler) serveKeyed(w http.ResponseWriter, r *http.Request, c *requestContext, p fleet.Pool, path string, body []byte,
	write func(w http.ResponseWriter, s record.Settle) error,
) error {
	c.report.Keyed = true
	key, err := parseKey(r)
	if err != nil {
		return err
	}
	if len(body) > MaxOrderBodyBytes {
		return &http.MaxBytesError{Limit: MaxOrderBodyBytes}
	}
	if !utf8.ValidString(r.Header.Get("Content-Type")) {
		return badRequest("Content-Type", "the content type must be valid UTF-8 text")
	}
	deadline, release, err := h.admit(c, p, 0, 0)
	if err != nil {
		return err
	}
	defer release()
	accept := record.Accept{
		Ref:        fleet.KeyRef{Account: c.account.Name, Key: key},
		Digest:     requestDigest(r.Method, p.Name, path, body),
		Owner:      h.Executor.Node,
		Pool:       p.Name,
		Method:     r.Method,
		Path:       path,
		Type:       r.Header.Get("Content-Type"),
		Body:       body,
		Deadline:   deadline,
		Window:     c.config.Document.KeyWindow(),
		Repeatable: p.Kind == fleet.KindModel,
	}
	if wantsAsync(r) {
		return h.enqueue(w, r, accept)
	}
	o, err := h.runKeyed(r.Context(), accept)
	if err != nil {
		e := *callerError(err)
		e.StatusPath = statusPath(key)
		return &e
	}
	c.report.Status = o.Result.Status
	return write(w, o.Result)
}

// runKeyed runs an order until its end, or until the node stops. The executor does not
// interrupt an order then; its state can be asked for.
func (h *Handler) runKeyed(ctx context.Context, accept record.Accept) (order.Order, error) {
	type result struct {
		order order.Order
		err   error
	}
	// The buffer lets the goroutine end after the node stopped waiting.
	results := make(chan result, 1)
	var group errgroup.Group
	group.Go(func() error {
		o, err := h.Executor.Run(ctx, accept)
		results <- result{o, err}
		return nil
	})
	end, _ := h.ended()
	select {
	case r := <-results:
		return r.order, r.err
	case <-end.Done():
		return order.Order{}, errStopped
	}
}

// writeStored writes a stored response unchanged.
func (h *Handler) writeStored(w http.ResponseWriter, s record.Settle) error {
	h.writeResponse(w, s.Status, s.Type, s.Response, false)
	return nil
}

func (h *Handler) enqueue(w http.ResponseWriter, r *http.Request, accept record.Accept) error {
	accept.Deadline = laterOf(accept.Deadline, h.now().Add(minAsyncTime))
	o, err := h.Executor.Enqueue(r.Context(), accept)
	if err != nil {
		e := *callerError(err)
		e.StatusPath = statusPath(accept.Ref.Key)
		return &e
	}
	w.Header().Set("Location", statusPath(accept.Ref.Key))
	w.Header().Set("Preference-Applied", "respond-async")
	writeJSON(w, "application/json", http.StatusAccepted, OrderState(o))
	return nil
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func parseKey(r *http.Request) (fleet.Key, error) {
	key := r.Header.Get(edge.IdempotencyKeyHeader)
	if key == "" {
		return "", badRequest(edge.IdempotencyKeyHeader, "a non-repeatable or asynchronous request needs an Idempotency-Key header")
	}
	if !utf8.ValidString(key) || isDotSegment(key) {
		return "", badRequest(edge.IdempotencyKeyHeader, "the idempotency key must be valid UTF-8 text other than . and ..")
	}
	if len(key) > MaxKeyBytes {
		return "", badRequest(edge.IdempotencyKeyHeader, "the idempotency key is longer than "+strconv.Itoa(MaxKeyBytes)+" bytes")
	}
	return fleet.Key(key), nil
}

func statusPath(key fleet.Key) string { return "/v1/requests/" + url.PathEscape(string(key)) }

func requestDigest(method string, pool fleet.PoolName, path string, body []byte) fleet.Digest {
	sum := sha256.New()
	for _, field := range []string{method, string(pool), path, string(body)} {
		_, _ = sum.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return fleet.Digest(sum.Sum(nil))
}

// requestState serves the state of a keyed request of the same account.
func (h *Handler) requestState(w http.ResponseWriter, r *http.Request, c *requestContext) error {
	ref := fleet.KeyRef{Account: c.account.Name, Key: fleet.Key(r.PathValue("key"))}
	o, ok := h.Executor.Get(ref)
	if !ok {
		return &Error{Status: http.StatusNotFound, Code: "not_found", Message: "this node has no request of the account with this key", Outcome: fleet.OutcomeUnknown}
	}
	writeJSON(w, "application/json", http.StatusOK, OrderState(o))
	return nil
}

// OrderState returns the state of an order in the form that callers receive.
func OrderState(o order.Order) edge.State {
	s := edge.State{
		Key:      o.Request.Ref.Key,
		Pool:     o.Request.Pool,
		Status:   string(o.Status),
		Outcome:  o.Outcome,
		Deadline: o.Request.Deadline,
		Detail:   o.Result.Detail,
	}
	if o.Status == order.StatusSettled {
		s.Response = &edge.StoredResponse{Status: o.Result.Status, Type: o.Result.Type}
		if utf8.Valid(o.Result.Response) {
			s.Response.Body = string(o.Result.Response)
		} else {
			s.Response.Base64 = o.Result.Response
		}
	}
	return s
}

func (h *Handler) writeResponse(w http.ResponseWriter, status int, contentType string, body []byte, isHead bool) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	if status >= http.StatusBadRequest {
		w.Header().Set(edge.OutcomeHeader, string(fleet.OutcomeFailed))
	}
	noBody := status == http.StatusNoContent || status == http.StatusNotModified
	if !isHead && !noBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	h.setWriteDeadline(w)
	w.WriteHeader(status)
	if !noBody {
		_, _ = w.Write(body)
	}
}

// setWriteDeadline sets the write deadline to the write timeout from now.
func (h *Handler) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(orDefault(h.WriteTimeout, defaultWriteTimeout)))
}

// Execute runs an order; the daemon sets order.Executor.Send to a function that calls
// it. It generates the response of a repeatable order, and passes any other order to
// send.
func (h *Handler) Execute(ctx context.Context, o order.Order, send func(context.Context, order.Order) (order.Response, error)) (response order.Response, err error) {
	if !o.Request.Repeatable {
		return send(ctx, o)
	}
	req, err := parseStoredRequest(o.Request)
	if err != nil {
		return response, &endpoint.NotStartedError{Cause: err}
	}
	active := h.Config()
	if active == nil {
		return response, &endpoint.NotStartedError{Cause: errNoConfig}
	}
	c := &requestContext{id: fleet.RequestID(o.Accept.String()), config: active}
	c.account, _ = active.Document.Account(o.Request.Ref.Account)
	c.report = Report{ID: c.id, Account: c.account.Name, Pool: o.Request.Pool, Start: h.now(), Status: http.StatusOK, Outcome: fleet.OutcomeDone, Keyed: true}
	p, _ := active.Document.Pool(o.Request.Pool)
	policy := active.Document.Policy(c.account.Name, p.Name, h.now())
	maxTokens := policy.MaxTokens.Value
	if req.maxTokens > 0 {
		maxTokens = min(maxTokens, req.maxTokens)
	}
	text, res, err := h.collect(ctx, c, generationRequest(c, p, req, maxTokens, policy.Priority.Value, o.Request.Deadline))
	if err != nil {
		return response, err
	}
	body, err := json.Marshal(newResponse(c.id, h.now(), req, text, res))
	if h.Finished != nil {
		c.report.Total = h.now().Sub(c.report.Start)
		h.Finished(c.report)
	}
	return order.Response{Status: http.StatusOK, Type: "application/json", Body: body}, err
}

func parseStoredRequest(accept record.Accept) (openAIRequest, error) {
	if strings.HasPrefix(accept.Path, "/v1/chat/") {
		return parseChat(accept.Body)
	}
	return parseCompletion(accept.Body)
}
