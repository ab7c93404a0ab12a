package entry

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/order"
	"github.com/skylarkloom/skylarkloom/pkg/suspect"
)

// Error is an error in the form that callers receive.
type Error struct {
	Status  int
	Code    string
	Message string
	Outcome fleet.Outcome
	// Allow lists the methods that the path allows, for status 405.
	Allow string
	// Param is the invalid field of the request, if there is one.
	Param string
	// RetryAfter is the time after which the caller may retry; 0 means unspecified.
	RetryAfter time.Duration
	// StatusPath is the path that serves the state of the keyed request.
	StatusPath string
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// RefusedError reports a request that the admission control refused.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	// OverQuota is set if the account's quota was exceeded, and not set if capacity
	// was lacking.
	OverQuota bool
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

var errNoConfig = errors.New("no configuration is in force yet")

var errDraining = &Error{
	Status:     http.StatusServiceUnavailable,
	Code:       "draining",
	Message:    "this node is shutting down; the request was not run",
	Outcome:    fleet.OutcomeNotRun,
	RetryAfter: time.Second,
}

// errStopped is the response to requests that are in flight when a drain does not finish in
// time. Those under an idempotency key may still be completed.
var errStopped = &Error{
	Status:  http.StatusBadGateway,
	Code:    "node_stopped",
	Message: "this node stopped before the response was complete",
	Outcome: fleet.OutcomeUnknown,
}

// stopError returns errStopped in place of an error that is due to the end of a drain.
func stopError(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStopped) && errors.Is(err, context.Canceled) {
		return errStopped
	}
	return err
}

func badRequest(param, message string) *Error {
	return &Error{
		Status:  http.StatusBadRequest,
		Code:    "invalid_request",
		Message: message,
		Param:   param,
		Outcome: fleet.OutcomeNotRun,
	}
}

// callerError converts any error to one for callers.
func callerError(err error) *Error {
	var (
		converted      *Error
		refused        *RefusedError
		notRun         *order.NotRunError
		unknownOutcome *order.UnknownError
		conflict       *order.ConflictError
		exhausted      *generation.ExhaustedError
		quarantined    *suspect.QuarantinedError
		tooLarge       *http.MaxBytesError
	)
	switch {
	case errors.As(err, &converted):
		return converted
	case errors.As(err, &refused):
		return refusalError(refused)
	case errors.As(err, &notRun):
		return unavailable(notRun.Error())
	case errors.As(err, &unknownOutcome):
		return &Error{Status: http.StatusGatewayTimeout, Code: "outcome_unknown", Message: unknownOutcome.Error(), Outcome: fleet.OutcomeUnknown}
	case errors.As(err, &conflict):
		return &Error{Status: http.StatusUnprocessableEntity, Code: "key_conflict", Message: conflict.Error(), Outcome: fleet.OutcomeNotRun}
	case errors.As(err, &quarantined):
		return &Error{Status: http.StatusUnprocessableEntity, Code: "content_refused", Message: quarantined.Error(), Outcome: fleet.OutcomeFailed}
	case errors.As(err, &exhausted) && exhausted.Attempts == 0:
		return unavailable(exhausted.Cause.Error())
	case errors.As(err, &tooLarge):
		return &Error{Status: http.StatusRequestEntityTooLarge, Code: "too_large", Message: "the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes", Outcome: fleet.OutcomeNotRun}
	case endpoint.NotStarted(err):
		return unavailable(err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Error{Status: http.StatusRequestTimeout, Code: "slow_body", Message: "the body was not received in time", Outcome: fleet.OutcomeNotRun}
	case errors.Is(err, context.DeadlineExceeded):
		return &Error{Status: http.StatusGatewayTimeout, Code: "deadline_exceeded", Message: "the deadline passed before the response was complete", Outcome: fleet.OutcomeFailed}
	default:
		return &Error{Status: http.StatusBadGateway, Code: "failed", Message: err.Error(), Outcome: fleet.OutcomeFailed}
	}
}

func refusalError(r *RefusedError) *Error {
	e := unavailable(r.Reason)
	e.RetryAfter = r.RetryAfter
	if r.OverQuota {
		e.Status, e.Code = http.StatusTooManyRequests, "rate_limit_exceeded"
	}
	return e
}

func unavailable(message string) *Error {
	return &Error{Status: http.StatusServiceUnavailable, Code: "unavailable", Message: message, Outcome: fleet.OutcomeNotRun, RetryAfter: time.Second}
}

// writeError writes an error in the format of the API that the path belongs to.
func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	e := callerError(err)
	if e.Outcome != "" {
		w.Header().Set(edge.OutcomeHeader, string(e.Outcome))
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	if e.Status == http.StatusRequestEntityTooLarge || e.Status == http.StatusRequestTimeout {
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
	}
	if e.Allow != "" {
		w.Header().Set("Allow", e.Allow)
	}
	if e.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if openAIPath(r.URL.Path) {
		writeJSON(w, "application/json", e.Status, openAIError(e))
		return
	}
	writeJSON(w, "application/problem+json", e.Status, edge.Problem{
		Type:    "about:blank",
		Title:   http.StatusText(e.Status),
		Status:  e.Status,
		Detail:  e.Message,
		Outcome: e.Outcome,
		Request: e.StatusPath,
	})
}

func openAIPath(path string) bool {
	return strings.HasPrefix(path, "/v1/chat/") || strings.HasPrefix(path, "/v1/completions") ||
		strings.HasPrefix(path, "/v1/models")
}

func openAIError(e *Error) edge.ErrorBody {
	errorType := "invalid_request_error"
	switch {
	case e.Status >= http.StatusInternalServerError:
		errorType = "server_error"
	case e.Status == http.StatusTooManyRequests:
		errorType = "rate_limit_error"
	}
	detail := edge.ErrorDetail{Message: e.Message, Type: errorType, Code: &e.Code, Outcome: e.Outcome}
	if e.Param != "" {
		detail.Param = &e.Param
	}
	return edge.ErrorBody{Error: detail}
}

func writeJSON(w http.ResponseWriter, contentType string, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
