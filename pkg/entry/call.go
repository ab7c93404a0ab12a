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

// requestContext is the state of one request of a caller.
type requestContext struct {
	id      fleet.RequestID
	config  *config.Active
	account fleet.Account
	report  Report
	// disconnected is closed when the caller has disconnected.
	disconnected <-chan struct{}
}

// handlerFunc serves an authenticated request. A returned error is written as the
// response.
type handlerFunc func(w http.ResponseWriter, r *http.Request, c *requestContext) error

// authenticate returns a handler that finds the account of the bearer key, calls
// next and reports the request as finished.
func (h *Handler) authenticate(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := h.now()
		c := &requestContext{id: fleet.RequestID(ulid.Make().String()), config: h.Config(), disconnected: r.Context().Done()}
		c.report = Report{ID: c.id, Start: start, Status: http.StatusOK, Outcome: fleet.OutcomeDone}
		w.Header().Set(edge.RequestIDHeader, string(c.id))
		err := h.findAccount(r, c)
		if err == nil {
			err = stopError(r.Context(), next(w, r, c))
		}
		if err != nil {
			e := callerError(err)
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

func (h *Handler) findAccount(r *http.Request, c *requestContext) error {
	if c.config == nil {
		return unavailable("no configuration is in force yet")
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return invalidKey("a bearer key is required: Authorization: Bearer KEY")
	}
	c.account, ok = c.config.Document.Authenticate(secret)
	if !ok {
		return invalidKey("unknown bearer key")
	}
	return nil
}

// readBody reads the body of a request within the body timeout.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (body []byte, err error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(orDefault(h.BodyTimeout, defaultBodyTimeout)))
	body, err = io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	// Clear the deadline: the server's background read that detects a disconnect
	// would fail at the deadline and report a connected caller as disconnected.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// readJSON reads a body that must be JSON. JSON with another content type is
// accepted, because common command-line clients declare it as a form by default.
func (h *Handler) readJSON(w http.ResponseWriter, r *http.Request) (body []byte, err error) {
	body, err = h.readBody(w, r)
	if err != nil {
		return nil, err
	}
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	isJSON := r.Header.Get("Content-Type") == "" || (err == nil && mediaType == "application/json")
	if !isJSON && !json.Valid(body) {
		return nil, &Error{
			Status:  http.StatusUnsupportedMediaType,
			Code:    "unsupported_media_type",
			Message: "expected the header Content-Type: application/json",
			Outcome: fleet.OutcomeNotRun,
		}
	}
	return body, nil
}

func invalidKey(message string) *Error {
	return &Error{Status: http.StatusUnauthorized, Code: "invalid_api_key", Message: message, Outcome: fleet.OutcomeNotRun}
}

// pool returns a pool of the given kind that the account may use. A pool that the
// account may not use is reported like one that does not exist.
func (c *requestContext) pool(name fleet.PoolName, kind fleet.Kind) (fleet.Pool, error) {
	p, ok := c.config.Document.Pool(name)
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

// admit passes the request to the admission control and returns its deadline.
func (h *Handler) admit(c *requestContext, p fleet.Pool, prompt, maxTokens fleet.Tokens) (deadline time.Time, release func(), err error) {
	policy := c.config.Document.Policy(c.account.Name, p.Name, h.now())
	deadline = h.now().Add(policy.Deadline.Value)
	if h.Admit == nil {
		return deadline, func() {}, nil
	}
	release, err = h.Admit(Admission{
		Account:      c.account,
		Pool:         p,
		Policy:       policy,
		PromptTokens: prompt,
		MaxTokens:    maxTokens,
		Deadline:     deadline,
		Disconnected: c.disconnected,
	})
	return deadline, release, err
}
