// Package entry implements the callers' interface of a node: the OpenAI-compatible
// API for models, calls of plain services, and keyed requests.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/justinas/alice"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/order"
)

// Limits on what callers send and on how long they take.
const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 4 << 20
	// MaxOrderBodyBytes is the maximum size of an order's body, which is stored in
	// the log.
	MaxOrderBodyBytes = 64 << 10
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 200
	// defaultBodyTimeout bounds how long a caller may take to send a body.
	defaultBodyTimeout = 30 * time.Second
	// defaultWriteTimeout bounds one write to a caller that reads slowly.
	defaultWriteTimeout = 10 * time.Second
	// minAsyncTime is the minimum time from acceptance to deadline of an
	// asynchronous request.
	minAsyncTime = 10 * time.Minute
)

// Admission describes a request to the admission control before it is accepted.
type Admission struct {
	Account fleet.Account
	Pool    fleet.Pool
	Policy  fleet.Policy
	// PromptTokens is the estimated length of the prompt, MaxTokens the maximum length of
	// the response. Both are 0 for services and keyed requests.
	PromptTokens fleet.Tokens
	MaxTokens    fleet.Tokens
	Deadline     time.Time
	// Disconnected is closed when the caller has disconnected.
	Disconnected <-chan struct{}
}

// Handler serves callers. Config, Generate, CallService and Executor must be set.
type Handler struct {
	Config func() *config.Active
	// Generate runs a generation.
	Generate func(ctx context.Context, r generation.Request, emit func(string) error) (generation.Result, error)
	// CallService calls a plain service; repeatable reports whether the call may be
	// sent more than once.
	CallService func(ctx context.Context, pool fleet.PoolName, c endpoint.ServiceCall, repeatable bool) (endpoint.Response, error)
	Executor    *order.Executor
	// Admit accepts or refuses a request. The caller of Admit calls release when the
	// request has finished. A refusal is a *RefusedError. Nil admits every request.
	Admit func(a Admission) (release func(), err error)
	// Finished is called with the report of each finished request.
	Finished func(r Report)
	Log      *zap.Logger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	// BodyTimeout and WriteTimeout bound how long a caller may take to send a body
	// and to accept one write of a response; 0 means the defaults.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
	// DrainIdleTime is how long no request must have been in flight before Drain
	// returns. In this time callers can send a request on a connection that has not
	// received "Connection: close" yet.
	DrainIdleTime time.Duration

	mu           sync.Mutex
	closing      bool
	drainStart   time.Time
	inflight     int
	lastFinished time.Time
	// end ends with a drain that did not finish in time, endNow ends it.
	end    context.Context
	endNow context.CancelFunc
}

// Report is the outcome, usage and latency of one request.
type Report struct {
	ID         fleet.RequestID
	Account    fleet.AccountName
	Pool       fleet.PoolName
	Status     int
	Outcome    fleet.Outcome
	Prompt     fleet.Tokens
	Generated  fleet.Tokens
	Recomputed fleet.Tokens
	// RecomputeCauses splits the recomputed tokens by cause.
	RecomputeCauses generation.Causes
	Attempts        int
	// Keyed is set for orders and asynchronous requests, whose outcome is stored in
	// the log.
	Keyed bool
	Start time.Time
	// FirstTokenTime is the time from Start to the first token; 0 without tokens.
	FirstTokenTime time.Duration
	// MeanTokenTime is the mean time between tokens.
	MeanTokenTime time.Duration
	Total         time.Duration
	// OnTime is unused: package burn judges the latency of requests.
	OnTime bool
}

func unknownPath(http.ResponseWriter, *http.Request, *requestContext) error {
	return &Error{Status: http.StatusNotFound, Code: "not_found", Message: "no such path", Outcome: fleet.OutcomeNotRun}
}

// methodNotAllowed returns a handler that refuses a request because of its method.
func methodNotAllowed(allowed string) handlerFunc {
	return func(http.ResponseWriter, *http.Request, *requestContext) error {
		return &Error{
			Status:  http.StatusMethodNotAllowed,
			Code:    "method_not_allowed",
			Message: "method not allowed; expected " + allowed,
			Outcome: fleet.OutcomeNotRun,
			Allow:   allowed,
		}
	}
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inflight
}

// Routes returns the HTTP handler of the callers' interface.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	for _, r := range []struct {
		method, path string
		handle       handlerFunc
	}{
		{http.MethodPost, "/v1/chat/completions", h.chat},
		{http.MethodPost, "/v1/completions", h.completion},
		{http.MethodGet, "/v1/models", h.models},
		{http.MethodGet, "/v1/models/{model}", h.model},
		{http.MethodGet, "/v1/requests/{key}", h.requestState},
	} {
		mux.HandleFunc(r.method+" "+r.path, h.authenticate(r.handle))
		mux.HandleFunc(r.path, h.authenticate(methodNotAllowed(r.method)))
	}
	mux.HandleFunc("/v1/services/{pool}/{path...}", h.authenticate(h.service))
	mux.HandleFunc("/", h.authenticate(unknownPath))
	return alice.New(h.recoverPanics, h.trackInFlight).Then(mux)
}

func (h *Handler) now() time.Time {
	if h.Now != nil {
		return h.Now()
	}
	return time.Now()
}

// recoverPanics turns a panic into an error response with an unknown outcome. A
// response that has started is aborted instead, so that the caller cannot take it
// for complete.
func (h *Handler) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := &startTracker{ResponseWriter: w}
		defer func() {
			p := recover()
			if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			if p == nil {
				return
			}
			h.logger().Error("panic in an HTTP handler", zap.Any("panic", p), zap.Stack("stack"))
			if t.started {
				panic(http.ErrAbortHandler)
			}
			h.writeError(w, r, &Error{Status: http.StatusInternalServerError, Code: "internal_error", Message: "internal error", Outcome: fleet.OutcomeUnknown})
		}()
		next.ServeHTTP(t, r)
	})
}

// startTracker records whether a response has started.
type startTracker struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (t *startTracker) WriteHeader(status int) {
	t.started = true
	t.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (t *startTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }

func (h *Handler) logger() *zap.Logger {
	if h.Log == nil {
		return zap.NewNop()
	}
	return h.Log
}
