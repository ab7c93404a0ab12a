// Package entry is the callers' side of a node: the OpenAI-compatible interface
// for models, plain services, and keyed requests.
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

// Limits of the callers' side.
const (
	// MaxBody bounds the body of a request, in bytes.
	MaxBodyBytes = 4 << 20
	// MaxOrderBody bounds the body of an order, which the log keeps, in bytes.
	MaxOrderBodyBytes = 64 << 10
	// MaxKey bounds an idempotency key, in bytes.
	MaxKeyBytes = 200
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds one write to a caller who reads slowly.
	writeTimeout = 10 * time.Second
	// asyncDeadline is the least time that asynchronous work is given.
	asyncDeadline = 10 * time.Minute
)

// Admission is what is asked of the limits before a request is accepted.
type Admission struct {
	Account  fleet.Account
	Pool     fleet.Pool
	Policy   fleet.Policy
	Prompt   fleet.Tokens
	Max      fleet.Tokens
	Deadline time.Time
	// Gone is closed when the caller has gone away.
	Disconnected <-chan struct{}
}

// Handler serves callers. Config, Generate, Call and Desk must be set.
type Handler struct {
	Config func() *config.Active
	// Generate runs a generation.
	Generate func(ctx context.Context, r generation.Request, emit func(string) error) (generation.Result, error)
	// Call makes a call of a plain service that may be repeated.
	CallService func(ctx context.Context, pool fleet.PoolName, c endpoint.Call, repeatable bool) (endpoint.Response, error)
	Executor    *order.Executor
	// Admit accepts or refuses a request; release ends its use. A refusal is a
	// *RefusedError. Nil admits everything.
	Admit func(a Admission) (release func(), err error)
	// Finished is told of every request that has ended.
	Finished func(r Report)
	Log      *zap.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// BodyTimeout and WriteTimeout bound how long a caller takes to send a body
	// and to read one piece of an answer; 0 takes the defaults.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
	// Linger is how long a drain serves on after the last request in flight, for
	// callers whose connection was never told to close.
	Linger time.Duration

	mu       sync.Mutex
	leaving  bool
	draining time.Time
	inflight int
	idle     time.Time
}

// Report is what became of one request.
type Report struct {
	ID         fleet.RequestID
	Account    fleet.AccountName
	Pool       fleet.PoolName
	Status     int
	Outcome    fleet.Outcome
	Prompt     fleet.Tokens
	Generated  fleet.Tokens
	Recomputed fleet.Tokens
	// Causes splits the recomputed tokens.
	RecomputeCauses generation.Causes
	Attempts        int
	// Keyed is set for orders and asynchronous work, whose outcome the log keeps.
	Keyed bool
	Start time.Time
	// FirstToken is 0 for a request without tokens.
	FirstToken time.Duration
	// Between is the mean time between tokens.
	BetweenTokens time.Duration
	Total         time.Duration
	// OnTime reports whether the request met its latency target.
	OnTime bool
}

func noPath(http.ResponseWriter, *http.Request, *call) error {
	return &Error{Status: http.StatusNotFound, Code: "not_found", Message: "no such path", Outcome: fleet.OutcomeNotRun}
}

// otherMethod refuses a method that a path does not take.
func otherMethod(allowed string) handle {
	return func(http.ResponseWriter, *http.Request, *call) error {
		return &Error{
			Status:  http.StatusMethodNotAllowed,
			Code:    "method_not_allowed",
			Message: "this path takes the method " + allowed,
			Outcome: fleet.OutcomeNotRun,
			Allow:   allowed,
		}
	}
}

// InFlight returns how many requests are served now.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inflight
}

// Routes returns the handler of the callers' side.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	for _, r := range []struct {
		method, path string
		handle       handle
	}{
		{http.MethodPost, "/v1/chat/completions", h.chat},
		{http.MethodPost, "/v1/completions", h.completion},
		{http.MethodGet, "/v1/models", h.models},
		{http.MethodGet, "/v1/models/{model}", h.model},
		{http.MethodGet, "/v1/requests/{key}", h.request},
	} {
		mux.HandleFunc(r.method+" "+r.path, h.authenticated(r.handle))
		mux.HandleFunc(r.path, h.authenticated(otherMethod(r.method)))
	}
	mux.HandleFunc("/v1/services/{pool}/{path...}", h.authenticated(h.service))
	mux.HandleFunc("/", h.authenticated(noPath))
	return alice.New(h.recovered, h.counted).Then(mux)
}

func (h *Handler) now() time.Time {
	if h.Now != nil {
		return h.Now()
	}
	return time.Now()
}

// recovered turns a panic into an error answer; what it ran is not known. An
// answer that has begun is broken off instead, so that it cannot pass for whole.
func (h *Handler) recovered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := &tracked{ResponseWriter: w}
		defer func() {
			p := recover()
			if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			if p == nil {
				return
			}
			h.logger().Error("panic in a handler", zap.Any("panic", p), zap.Stack("stack"))
			if t.begun {
				panic(http.ErrAbortHandler)
			}
			h.writeError(w, r, &Error{Status: http.StatusInternalServerError, Code: "internal_error", Message: "internal error", Outcome: fleet.OutcomeUnknown})
		}()
		next.ServeHTTP(t, r)
	})
}

// tracked notes whether an answer has begun.
type tracked struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (t *tracked) WriteHeader(status int) {
	t.begun = true
	t.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the writer below.
func (t *tracked) Unwrap() http.ResponseWriter { return t.ResponseWriter }

func (h *Handler) logger() *zap.Logger {
	if h.Log == nil {
		return zap.NewNop()
	}
	return h.Log
}
