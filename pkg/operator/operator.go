// Package operator is the operators' side of a node: configuration, status,
// health and metrics, on an address and with a token of its own.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/justinas/alice"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/burn"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/strict"
)

// maxDocument bounds a published document, in bytes.
const maxDocument = 1 << 20

// publishWait bounds how long a publish waits for the log. It is below the time
// that clients wait, so that they learn whether anything was appended.
const publishWait = 10 * time.Second

// Handler serves operators.
type Handler struct {
	Token  string
	Keeper *config.Store
	// Ready returns nil if the node can serve callers.
	Ready   func() error
	Status  func() operate.Status
	Metrics http.Handler
	// Order returns the state of a keyed request.
	Order func(ref fleet.KeyRef) (edge.State, bool)
	// Bill returns the charges and costs; nil if the node keeps none.
	Bill func() operate.Bill
	// Burn returns what the node has counted for the report on service-level burn.
	Burn func() burn.NodeReport
	// Suspects returns the contents that crashed endpoints.
	Suspects func() []operate.Suspect
	// Release lifts the suspicion of, or the conviction on, a content.
	Release func(ctx context.Context, content fleet.Digest) error
}

// Routes returns the handler of the operators' side. Health checks need no token.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", h.readyz)
	guarded := alice.New(h.authenticated)
	mux.Handle("GET /metrics", guarded.Then(h.metrics()))
	mux.Handle("GET "+operate.ConfigPath, guarded.ThenFunc(h.config))
	mux.Handle("POST "+operate.ConfigPath, guarded.ThenFunc(h.publish))
	mux.Handle("GET "+operate.HistoryPath, guarded.ThenFunc(h.history))
	mux.Handle("GET "+operate.ChangePath+"/{id}", guarded.ThenFunc(h.change))
	mux.Handle("GET "+operate.BillPath, guarded.Then(answer(h.Bill)))
	mux.Handle("GET "+operate.BurnPath, guarded.Then(answer(h.Burn)))
	mux.Handle("GET "+operate.SuspectPath, guarded.Then(answer(h.Suspects)))
	mux.Handle("DELETE "+operate.SuspectPath+"/{content}", guarded.ThenFunc(h.release))
	mux.Handle("GET "+operate.StatusPath, guarded.ThenFunc(h.status))
	mux.Handle("GET "+operate.OrderPath+"/{account}/{key}", guarded.ThenFunc(h.order))
	return mux
}

func (h *Handler) metrics() http.Handler {
	if h.Metrics == nil {
		return http.NotFoundHandler()
	}
	return h.Metrics
}

func (h *Handler) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if h.Token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(h.Token)) != 1 {
			write(w, http.StatusUnauthorized, operate.Failure{Error: "the operators' token is required"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		write(w, http.StatusServiceUnavailable, operate.Failure{Error: err.Error()})
		return
	}
	write(w, http.StatusOK, "ok")
}

func (h *Handler) config(w http.ResponseWriter, _ *http.Request) {
	c := h.Keeper.Current()
	if c == nil {
		write(w, http.StatusNotFound, operate.Failure{Error: "no configuration is in force"})
		return
	}
	write(w, http.StatusOK, c.Change)
}

func (h *Handler) history(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, h.Keeper.History())
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, h.Status())
}

// answer serves what a function returns, or a failure if there is none.
func answer[T any](read func() T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if read == nil {
			write(w, http.StatusNotFound, operate.Failure{Error: "this node does not keep what was asked for"})
			return
		}
		write(w, http.StatusOK, read())
	})
}

// change answers what became of a published change.
func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	o := operate.Outcome{State: operate.ChangeInForce}
	if err := o.ID.UnmarshalText([]byte(r.PathValue("id"))); err != nil {
		write(w, http.StatusBadRequest, operate.Failure{Error: err.Error()})
		return
	}
	c, err := h.Keeper.Outcome(o.ID, 0)
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &conflict):
		o.State, o.Current = operate.ChangeConflict, &conflict.Current
	case err != nil:
		o.State = operate.ChangePending
	default:
		o.Revision = c.Revision
	}
	write(w, http.StatusOK, o)
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request) {
	ref := fleet.KeyRef{Account: fleet.AccountName(r.PathValue("account")), Key: fleet.Key(r.PathValue("key"))}
	s, ok := h.Order(ref)
	if !ok {
		write(w, http.StatusNotFound, operate.Failure{Error: "the account has no request with this key"})
		return
	}
	write(w, http.StatusOK, s)
}

// release lifts the verdict on a content.
func (h *Handler) release(w http.ResponseWriter, r *http.Request) {
	raw, err := hex.DecodeString(r.PathValue("content"))
	if err != nil || len(raw) != len(fleet.Digest{}) {
		write(w, http.StatusBadRequest, operate.Failure{Error: "expected a digest of 64 hexadecimal digits"})
		return
	}
	var down *journal.UnavailableError
	err = h.Release(r.Context(), fleet.Digest(raw))
	switch {
	case errors.As(err, &down):
		write(w, http.StatusServiceUnavailable, operate.Failure{Error: err.Error()})
	case err != nil:
		write(w, http.StatusGatewayTimeout, operate.Failure{Error: err.Error()})
	default:
		write(w, http.StatusOK, "ok")
	}
}

func (h *Handler) publish(w http.ResponseWriter, r *http.Request) {
	var p operate.Publish
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocument)).Decode(&p); err != nil {
		write(w, http.StatusBadRequest, operate.Failure{Error: err.Error()})
		return
	}
	id, c, err := h.put(r.Context(), p)
	if err != nil {
		status, f := explain(id, err)
		write(w, status, f)
		return
	}
	write(w, http.StatusOK, operate.Published{ID: id.String(), Revision: c.Revision})
}

func (h *Handler) put(ctx context.Context, p operate.Publish) (record.ID, config.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, publishWait)
	defer cancel()
	if p.ID == (record.ID{}) {
		p.ID = record.NewID(time.Now())
	}
	return h.Keeper.PublishWithID(ctx, p.ID, record.Publish{
		Base:     p.Base,
		Document: []byte(p.Document),
		Author:   p.Author,
		Message:  p.Message,
	})
}

// explain returns the status and body for a publish that did not succeed.
func explain(id record.ID, err error) (int, operate.Failure) {
	var (
		bad      *strict.Error
		conflict *config.ConflictError
		down     *journal.UnavailableError
	)
	f := operate.Failure{Error: err.Error()}
	switch {
	case errors.As(err, &bad):
		return http.StatusUnprocessableEntity, f
	case errors.As(err, &conflict):
		f.Current = &conflict.Current
		return http.StatusConflict, f
	case errors.As(err, &down):
		return http.StatusServiceUnavailable, f
	default:
		f.Pending = id.String()
		return http.StatusGatewayTimeout, f
	}
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
