package entry

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// call is one authenticated request of a caller.
type call struct {
	id      fleet.RequestID
	force   *config.Active
	account fleet.Account
	report  Report
	// gone is closed when the caller has gone away.
	gone <-chan struct{}
}

type handle func(w http.ResponseWriter, r *http.Request, c *call) error

// authenticated finds the account of a request's bearer key.
func (h *Handler) authenticated(next handle) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := h.now()
		c := &call{id: fleet.RequestID(ulid.Make().String()), force: h.Config(), gone: r.Context().Done()}
		c.report = Report{ID: c.id, Start: start, Status: http.StatusOK, Outcome: fleet.OutcomeDone}
		w.Header().Set(edge.RequestHeader, string(c.id))
		err := h.identify(r, c)
		if err == nil {
			err = next(w, r, c)
		}
		if err != nil {
			e := explain(err)
			c.report.Status, c.report.Outcome = e.Status, e.Outcome
			h.writeError(w, r, err)
		}
		c.report.Account = c.account.Name
		c.report.Total = h.now().Sub(start)
		if h.Finished != nil {
			h.Finished(c.report)
		}
	}
}

func (h *Handler) identify(r *http.Request, c *call) error {
	if c.force == nil {
		return unavailable("no configuration is in force yet")
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return refusedKey("a bearer key is required: Authorization: Bearer KEY")
	}
	c.account, ok = c.force.Document.Authenticate(secret)
	if !ok {
		return refusedKey("the bearer key belongs to no account")
	}
	return nil
}

// readBody reads the body of a request, within the time that a caller has for it.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (body []byte, err error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(or(h.BodyTimeout, bodyTimeout)))
	body, err = io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	// The deadline must not outlast the body: a read that waits for the caller to
	// leave would take it for one who has left.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func or(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// readJSON reads a body that must be JSON. JSON under another type is accepted,
// because common command-line clients send it as a form unless told otherwise.
func (h *Handler) readJSON(w http.ResponseWriter, r *http.Request) (body []byte, err error) {
	body, err = h.readBody(w, r)
	if err != nil {
		return nil, err
	}
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	typed := r.Header.Get("Content-Type") == "" || (err == nil && kind == "application/json")
	if !typed && !json.Valid(body) {
		return nil, &Error{
			Status:  http.StatusUnsupportedMediaType,
			Code:    "unsupported_media_type",
			Message: "expected the header Content-Type: application/json",
			Outcome: fleet.OutcomeNotRun,
		}
	}
	return body, nil
}

func refusedKey(message string) *Error {
	return &Error{Status: http.StatusUnauthorized, Code: "invalid_api_key", Message: message, Outcome: fleet.OutcomeNotRun}
}

// pool returns a pool of the wanted kind that the account may use. A pool that
// it may not use is reported like one that does not exist.
func (c *call) pool(name fleet.PoolName, kind fleet.Kind) (fleet.Pool, error) {
	p, ok := c.force.Document.Pool(name)
	if !ok || p.Kind != kind || !c.account.Allows(name) {
		e := &Error{
			Status:  http.StatusNotFound,
			Code:    string(kind) + "_not_found",
			Message: "the account has no " + string(kind) + " pool named " + string(name),
			Outcome: fleet.OutcomeNotRun,
		}
		if kind == fleet.KindModel {
			e.Param = "model"
		}
		return p, e
	}
	c.report.Pool = name
	return p, nil
}

// admit asks the limits and returns the deadline of the request.
func (h *Handler) admit(c *call, p fleet.Pool, prompt, most fleet.Tokens) (deadline time.Time, release func(), err error) {
	policy := c.force.Document.Policy(c.account.Name, p.Name, h.now())
	deadline = h.now().Add(policy.Deadline.Value)
	if h.Admit == nil {
		return deadline, func() {}, nil
	}
	release, err = h.Admit(Admission{
		Account:      c.account,
		Pool:         p,
		Policy:       policy,
		Prompt:       prompt,
		Max:          most,
		Deadline:     deadline,
		Disconnected: c.gone,
	})
	return deadline, release, err
}
