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

// keyed takes an order, or asynchronous work, on under its idempotency key.
// write writes the answer that the order was settled with.
func (h *Handler) keyed(w http.ResponseWriter, r *http.Request, c *call, p fleet.Pool, path string, body []byte,
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
		return badRequest("Content-Type", "the content type must be text")
	}
	deadline, release, err := h.admit(c, p, 0, 0)
	if err != nil {
		return err
	}
	defer release()
	a := record.Accept{
		Ref:        fleet.KeyRef{Account: c.account.Name, Key: key},
		Digest:     requestDigest(r.Method, p.Name, path, body),
		Owner:      h.Executor.Node,
		Pool:       p.Name,
		Method:     r.Method,
		Path:       path,
		Type:       r.Header.Get("Content-Type"),
		Body:       body,
		Deadline:   deadline,
		Window:     c.force.Document.KeyWindow(),
		Repeatable: p.Kind == fleet.KindModel,
	}
	if wantsAsync(r) {
		return h.enqueue(w, r, a)
	}
	o, err := h.Executor.Run(r.Context(), a)
	if err != nil {
		e := *explain(err)
		e.StatusPath = requestPath(key)
		return &e
	}
	c.report.Status = o.Result.Status
	return write(w, o.Result)
}

// writeStored writes a stored answer as it is.
func (h *Handler) writeStored(w http.ResponseWriter, s record.Settle) error {
	h.writeAnswer(w, s.Status, s.Type, s.Answer, false)
	return nil
}

func (h *Handler) enqueue(w http.ResponseWriter, r *http.Request, a record.Accept) error {
	a.Deadline = later(a.Deadline, h.now().Add(asyncDeadline))
	o, err := h.Executor.Enqueue(r.Context(), a)
	if err != nil {
		e := *explain(err)
		e.StatusPath = requestPath(a.Ref.Key)
		return &e
	}
	w.Header().Set("Location", requestPath(a.Ref.Key))
	w.Header().Set("Preference-Applied", "respond-async")
	writeJSON(w, "application/json", http.StatusAccepted, OrderState(o))
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func parseKey(r *http.Request) (fleet.Key, error) {
	key := r.Header.Get(edge.KeyHeader)
	if key == "" {
		return "", badRequest(edge.KeyHeader, "a call that may not be repeated, or that is answered later, needs an Idempotency-Key header")
	}
	if !utf8.ValidString(key) || isDots(key) {
		return "", badRequest(edge.KeyHeader, "the idempotency key must be text, and not . or ..")
	}
	if len(key) > MaxKeyBytes {
		return "", badRequest(edge.KeyHeader, "the idempotency key is longer than "+strconv.Itoa(MaxKeyBytes)+" bytes")
	}
	return fleet.Key(key), nil
}

func requestPath(key fleet.Key) string { return "/v1/requests/" + url.PathEscape(string(key)) }

func requestDigest(method string, pool fleet.PoolName, path string, body []byte) fleet.Digest {
	sum := sha256.New()
	for _, part := range []string{method, string(pool), path, string(body)} {
		_, _ = sum.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return fleet.Digest(sum.Sum(nil))
}

// request answers with the state of a keyed request of the same account.
func (h *Handler) request(w http.ResponseWriter, r *http.Request, c *call) error {
	ref := fleet.KeyRef{Account: c.account.Name, Key: fleet.Key(r.PathValue("key"))}
	o, ok := h.Executor.Get(ref)
	if !ok {
		return &Error{Status: http.StatusNotFound, Code: "not_found", Message: "this node knows of no request of the account with this key", Outcome: fleet.OutcomeUnknown}
	}
	writeJSON(w, "application/json", http.StatusOK, OrderState(o))
	return nil
}

// State returns the state of an order as callers are told of it.
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
		s.Answer = &edge.StoredAnswer{Status: o.Result.Status, Type: o.Result.Type}
		if utf8.Valid(o.Result.Answer) {
			s.Answer.Body = string(o.Result.Answer)
		} else {
			s.Answer.Base64 = o.Result.Answer
		}
	}
	return s
}

func (h *Handler) writeAnswer(w http.ResponseWriter, status int, contentType string, body []byte, head bool) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	if status >= http.StatusBadRequest {
		w.Header().Set(edge.OutcomeHeader, string(fleet.OutcomeFailed))
	}
	bodiless := status == http.StatusNoContent || status == http.StatusNotModified
	if !head && !bodiless {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	h.limitWrite(w)
	w.WriteHeader(status)
	if !bodiless {
		_, _ = w.Write(body)
	}
}

// limitWrite gives a caller the write timeout to read what is written next.
func (h *Handler) limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(or(h.WriteTimeout, writeTimeout)))
}

// Execute carries out an order of either kind of pool; it is the desk's Send.
func (h *Handler) Execute(ctx context.Context, o order.Order, send func(context.Context, order.Order) (order.Reply, error)) (reply order.Reply, err error) {
	if !o.Request.Repeatable {
		return send(ctx, o)
	}
	q, err := parseStored(o.Request)
	if err != nil {
		return reply, &endpoint.NotStartedError{Cause: err}
	}
	force := h.Config()
	if force == nil {
		return reply, &endpoint.NotStartedError{Cause: errNoConfig}
	}
	c := &call{id: fleet.RequestID(o.Accept.String()), force: force}
	c.account, _ = force.Document.Account(o.Request.Ref.Account)
	c.report = Report{ID: c.id, Account: c.account.Name, Pool: o.Request.Pool, Start: h.now(), Status: http.StatusOK, Outcome: fleet.OutcomeDone, Keyed: true}
	p, _ := force.Document.Pool(o.Request.Pool)
	policy := force.Document.Policy(c.account.Name, p.Name, h.now())
	most := policy.MaxTokens.Value
	if q.max > 0 {
		most = min(most, q.max)
	}
	text, res, err := h.collect(ctx, c, generationRequest(c, p, q, most, policy.Priority.Value, o.Request.Deadline))
	if err != nil {
		return reply, err
	}
	body, err := json.Marshal(whole(c.id, h.now(), q, text, res))
	if h.Finished != nil {
		c.report.Total = h.now().Sub(c.report.Start)
		h.Finished(c.report)
	}
	return order.Reply{Status: http.StatusOK, Type: "application/json", Body: body}, err
}

func parseStored(a record.Accept) (question, error) {
	if strings.HasPrefix(a.Path, "/v1/chat/") {
		return parseChat(a.Body)
	}
	return parseCompletion(a.Body)
}
