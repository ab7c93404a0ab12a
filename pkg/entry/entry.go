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
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/order"
)

// Limits of the callers' side.
const (
	// MaxBody bounds the body of a request, in bytes.
	MaxBody = 4 << 20
	// MaxOrderBody bounds the body of an order, which the log keeps, in bytes.
	MaxOrderBody = 64 << 10
	// MaxKey bounds an idempotency key, in bytes.
	MaxKey = 200
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
}

// Handler serves callers. Config, Generate, Call and Desk must be set.
type Handler struct {
	Config func() *config.InForce
	// Generate runs a generation.
	Generate func(ctx context.Context, r generation.Request, emit func(string) error) (generation.Result, error)
	// Call makes a call of a plain service that may be repeated.
	Call func(ctx context.Context, pool fleet.PoolName, c endpoint.Call, repeatable bool) (endpoint.Answer, error)
	Desk *order.Desk
	// Admit accepts or refuses a request; release ends its use. A refusal is a
	// *RefusedError. Nil admits everything.
	Admit func(a Admission) (release func(), err error)
	// Finished is told of every request that has ended.
	Finished func(r Report)
	Log      *zap.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	leaving  bool
	draining bool
	inflight sync.WaitGroup
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
	Attempts   int
	// Keyed is set for orders and asynchronous work, whose outcome the log keeps.
	Keyed bool
	Start time.Time
	// FirstToken is 0 for a request without tokens.
	FirstToken time.Duration
	// Between is the mean time between tokens.
	Between time.Duration
	Total   time.Duration
	// OnTime reports whether the request met its latency target.
	OnTime bool
}

// Routes returns the handler of the callers' side.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", h.openAI(h.chat))
	mux.HandleFunc("POST /v1/completions", h.openAI(h.completion))
	mux.HandleFunc("GET /v1/models", h.openAI(h.models))
	mux.HandleFunc("GET /v1/models/{model}", h.openAI(h.model))
	mux.HandleFunc("/v1/services/{pool}/{path...}", h.problem(h.service))
	mux.HandleFunc("GET /v1/requests/{key}", h.problem(h.request))
	mux.HandleFunc("/", h.problem(func(http.ResponseWriter, *http.Request, *call) error {
		return &Error{Status: http.StatusNotFound, Code: "not_found", Message: "no such path", Outcome: fleet.OutcomeNotRun}
	}))
	return alice.New(h.recovered, h.counted).Then(mux)
}

// Leave asks callers, with each answer from now on, to close the connection, so
// that they connect to another node before this one refuses requests.
func (h *Handler) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Drain refuses new requests and waits for those in flight.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	var g errgroup.Group
	idle := make(chan struct{})
	g.Go(func() error {
		defer close(idle)
		h.inflight.Wait()
		return nil
	})
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Draining reports whether the node refuses new requests.
func (h *Handler) Draining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// begin counts a request in, unless the node drains. It reports whether the
// node is about to leave.
func (h *Handler) begin() (leaving, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return true, false
	}
	h.inflight.Add(1)
	return h.leaving, true
}

func (h *Handler) now() time.Time {
	if h.Now != nil {
		return h.Now()
	}
	return time.Now()
}

// counted refuses requests while the node drains and counts the others.
func (h *Handler) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leaving, ok := h.begin()
		if leaving {
			w.Header().Set("Connection", "close")
		}
		if !ok {
			h.writeError(w, r, errDraining)
			return
		}
		defer h.inflight.Done()
		r.Body = http.MaxBytesReader(w, r.Body, MaxBody)
		next.ServeHTTP(w, r)
	})
}

// recovered turns a panic into an error answer; what it ran is not known.
func (h *Handler) recovered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			if p != nil {
				h.logger().Error("panic in a handler", zap.Any("panic", p), zap.Stack("stack"))
				h.writeError(w, r, &Error{Status: http.StatusInternalServerError, Code: "internal_error", Message: "internal error", Outcome: fleet.OutcomeUnknown})
			}
		}()
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) logger() *zap.Logger {
	if h.Log == nil {
		return zap.NewNop()
	}
	return h.Log
}
