// Package operator implements the operators' interface of a node: configuration,
// status, health and metrics. It has a separate address and token.
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

// maxDocumentBytes is the maximum size of a publish request with its document.
const maxDocumentBytes = 1 << 20

// publishTimeout bounds how long a publish waits for the log. It is below the
// timeout of clients, so that they learn whether anything was appended.
const publishTimeout = 10 * time.Second

// Handler serves operators.
type Handler struct {
	Token       string
	ConfigStore *config.Store
	// Ready returns nil if the node can serve callers.
	Ready   func() error
	Status  func() operate.Status
	Metrics http.Handler
	// Order returns the state of a keyed request.
	Order func(ref fleet.KeyRef) (edge.State, bool)
	// Bill returns the charges and costs. It, Burn and Suspects are nil on a node that
	// does not provide them.
	Bill func() operate.Bill
	// Burn returns the node's counts for the service-level burn report.
	Burn func() burn.NodeReport
	// Suspects returns the contents that are suspect or quarantined because
	// endpoints crashed on them.
	Suspects func() []operate.Suspect
	// Release removes the suspicion or quarantine of a content.
	Release func(ctx context.Context, content fleet.Digest) error
}

// Routes returns the HTTP handler of the operators' interface. Health checks need
// no token.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", h.readyz)
	withToken := alice.New(h.requireToken)
	mux.Handle("GET /metrics", withToken.Then(h.metrics()))
	mux.Handle("GET "+operate.ConfigPath, withToken.ThenFunc(h.config))
	mux.Handle("POST "+operate.ConfigPath, withToken.ThenFunc(h.publish))
	mux.Handle("GET "+operate.HistoryPath, withToken.ThenFunc(h.history))
	mux.Handle("GET "+operate.ChangePath+"/{id}", withToken.ThenFunc(h.change))
	mux.Handle("GET "+operate.BillPath, withToken.Then(serveResult(h.Bill)))
	mux.Handle("GET "+operate.BurnPath, withToken.Then(serveResult(h.Burn)))
	mux.Handle("GET "+operate.SuspectPath, withToken.Then(serveResult(h.Suspects)))
	mux.Handle("DELETE "+operate.SuspectPath+"/{content}", withToken.ThenFunc(h.release))
	mux.Handle("GET "+operate.StatusPath, withToken.ThenFunc(h.status))
	mux.Handle("GET "+operate.OrderPath+"/{account}/{key}", withToken.ThenFunc(h.order))
	return mux
}

func (h *Handler) metrics() http.Handler {
	if h.Metrics == nil {
		return http.NotFoundHandler()
	}
	return h.Metrics
}

func (h *Handler) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if h.Token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(h.Token)) != 1 {
			writeJSON(w, http.StatusUnauthorized, operate.Failure{Error: "the operators' token is required"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, operate.Failure{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, "ok")
}

func (h *Handler) config(w http.ResponseWriter, _ *http.Request) {
	c := h.ConfigStore.Current()
	if c == nil {
		writeJSON(w, http.StatusNotFound, operate.Failure{Error: "no configuration is in force"})
		return
	}
	writeJSON(w, http.StatusOK, c.Change)
}

func (h *Handler) history(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.ConfigStore.History())
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.Status())
}

// serveResult serves the result of read, or status 404 if read is nil.
func serveResult[T any](read func() T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if read == nil {
			writeJSON(w, http.StatusNotFound, operate.Failure{Error: "this node does not provide this resource"})
			return
		}
		writeJSON(w, http.StatusOK, read())
	})
}

// change serves the outcome of a published change.
func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	o := operate.Outcome{State: operate.ChangeInForce}
	if err := o.ID.UnmarshalText([]byte(r.PathValue("id"))); err != nil {
		writeJSON(w, http.StatusBadRequest, operate.Failure{Error: err.Error()})
		return
	}
	c, err := h.ConfigStore.Outcome(o.ID, 0)
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &conflict):
		o.State, o.Current = operate.ChangeConflict, &conflict.Current
	case err != nil:
		o.State = operate.ChangePending
	default:
		o.Revision = c.Revision
	}
	writeJSON(w, http.StatusOK, o)
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request) {
	ref := fleet.KeyRef{Account: fleet.AccountName(r.PathValue("account")), Key: fleet.Key(r.PathValue("key"))}
	s, ok := h.Order(ref)
	if !ok {
		writeJSON(w, http.StatusNotFound, operate.Failure{Error: "the account has no request with this key"})
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// release removes the suspicion or quarantine of a content.
func (h *Handler) release(w http.ResponseWriter, r *http.Request) {
	raw, err := hex.DecodeString(r.PathValue("content"))
	if err != nil || len(raw) != len(fleet.Digest{}) {
		writeJSON(w, http.StatusBadRequest, operate.Failure{Error: "expected a digest of 64 hexadecimal digits"})
		return
	}
	var unavailable *journal.UnavailableError
	err = h.Release(r.Context(), fleet.Digest(raw))
	switch {
	case errors.As(err, &unavailable):
		writeJSON(w, http.StatusServiceUnavailable, operate.Failure{Error: err.Error()})
	case err != nil:
		writeJSON(w, http.StatusGatewayTimeout, operate.Failure{Error: err.Error()})
	default:
		writeJSON(w, http.StatusOK, "ok")
	}
}

func (h *Handler) publish(w http.ResponseWriter, r *http.Request) {
	var p operate.Publish
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes)).Decode(&p); err != nil {
		writeJSON(w, http.StatusBadRequest, operate.Failure{Error: err.Error()})
		return
	}
	id, c, err := h.publishDocument(r.Context(), p)
	if err != nil {
		status, f := publishFailure(id, err)
		writeJSON(w, status, f)
		return
	}
	writeJSON(w, http.StatusOK, operate.Published{ID: id.String(), Revision: c.Revision})
}

func (h *Handler) publishDocument(ctx context.Context, p operate.Publish) (record.ID, config.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if p.ID == (record.ID{}) {
		p.ID = record.NewID(time.Now())
	}
	return h.ConfigStore.PublishWithID(ctx, p.ID, record.Publish{
		Base:     p.Base,
		Document: []byte(p.Document),
		Author:   p.Author,
		Message:  p.Message,
	})
}

// publishFailure returns the status and body for a failed publish.
func publishFailure(id record.ID, err error) (int, operate.Failure) {
	var (
		invalid     *strict.Error
		conflict    *config.ConflictError
		unavailable *journal.UnavailableError
	)
	f := operate.Failure{Error: err.Error()}
	switch {
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity, f
	case errors.As(err, &conflict):
		f.Current = &conflict.Current
		return http.StatusConflict, f
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, f
	default:
		f.Pending = id.String()
		return http.StatusGatewayTimeout, f
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
