// Package parsing_test fuzzes the parsers of the callers' interface. It is separate
// from the tests of package entry because their libraries are slow to build for
// fuzzing.
package parsing_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"testing"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

const chatFields = `"model":"plume","messages":[{"role":"user","content":"A tale, please"}]`

// newHandler returns the routes of an entry handler that passes calls of services
// to onCall.
func newHandler(onCall func(endpoint.ServiceCall)) http.Handler {
	active := &config.Active{Document: fleet.Document{
		Pools: []fleet.Pool{{Name: "plume", Kind: fleet.KindModel}, {Name: "guichet", Kind: fleet.KindService}},
		Accounts: []fleet.Account{{
			Name: "dentists", Keys: []fleet.KeyHash{fleet.HashKey("one")}, Pools: []fleet.PoolName{"plume", "guichet"},
		}},
	}}
	h := &entry.Handler{
		Config: func() *config.Active { return active },
		Generate: func(_ context.Context, _ generation.Request, emit func(string) error) (generation.Result, error) {
			return generation.Result{Tokens: 1, Finish: engine.Frame{Reason: engine.FinishStop}}, emit("x")
		},
		CallService: func(_ context.Context, _ fleet.PoolName, c endpoint.ServiceCall, _ bool) (endpoint.Response, error) {
			onCall(c)
			return endpoint.Response{Status: http.StatusOK}, nil
		},
	}
	return h.Routes()
}

// serveAndCheck serves a request and checks that the status is below 500 and that
// an error response has the outcome not-run.
func serveAndCheck(t *testing.T, h http.Handler, r *http.Request) *httptest.ResponseRecorder {
	r.Header.Set("Authorization", "Bearer one")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if w.Code >= http.StatusInternalServerError {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	if w.Code >= http.StatusBadRequest && w.Header().Get(edge.OutcomeHeader) != string(fleet.OutcomeNotRun) {
		t.Fatalf("status %d without the outcome not-run", w.Code)
	}
	return w
}

func FuzzModelBody(f *testing.F) {
	for _, seed := range []string{
		`{` + chatFields + `}`, `{"stream":true,` + chatFields + `}`, `{"n":2,` + chatFields + `}`, `{"model":"plume","prompt":["a"]}`, `{"model":"plume","prompt":""}`,
		`{"model":"plume","messages":[{"content":[{"type":"text","text":"x"},"y"]}]}`, `{"max_tokens":-1}`, `null`, `[]`, ``, `{"model":"plume","max_tokens":1e99}`,
	} {
		f.Add(seed)
	}
	h := newHandler(func(endpoint.ServiceCall) {})
	f.Fuzz(func(t *testing.T, body string) {
		for _, path := range []string{"/v1/chat/completions", "/v1/completions"} {
			w := serveAndCheck(t, h, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
			if w.Code == http.StatusOK && w.Body.Len() == 0 {
				t.Fatal("a success with an empty body")
			}
		}
	})
}

func FuzzServicePath(f *testing.F) {
	for _, seed := range []string{"", "a/b", "a%2Fb?x=%26", "%2e%2e/x", "..%5c..", "//elsewhere/x", "@elsewhere", "a?b#c", "a?b#%", "é", "%", "a b"} {
		f.Add(seed)
	}
	var seen []string
	h := newHandler(func(c endpoint.ServiceCall) { seen = append(seen, c.Path) })
	f.Fuzz(func(t *testing.T, path string) {
		u, err := url.ParseRequestURI("/v1/services/guichet/" + path)
		if err != nil {
			return
		}
		seen = nil
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.URL = u
		serveAndCheck(t, h, r)
		for _, p := range seen {
			target, err := url.Parse("http://10.0.0.1:80" + p)
			if err != nil {
				t.Fatalf("path %q is not a valid URL path: %v", p, err)
			}
			if target.Host != "10.0.0.1:80" || slices.Contains(strings.Split(target.Path, "/"), "..") {
				t.Fatalf("path %q escapes the service", p)
			}
		}
	})
}

func FuzzRequestKey(f *testing.F) {
	for _, seed := range []string{"", "k", ".", "..", "a/b", "\xff", "é", strings.Repeat("k", 201), " k ", "%2e"} {
		f.Add(seed)
	}
	h := newHandler(func(endpoint.ServiceCall) {})
	f.Fuzz(func(t *testing.T, key string) {
		// The pool does not exist, so a request with an accepted key gets status 404.
		r := httptest.NewRequest(http.MethodPost, "/v1/services/none/coins", strings.NewReader("{}"))
		r.Header[edge.IdempotencyKeyHeader] = []string{key}
		serveAndCheck(t, h, r)
		statusPath := "/v1/requests/" + url.PathEscape(key)
		if u, err := url.Parse(statusPath); err != nil || u.Path != "/v1/requests/"+key {
			t.Fatalf("key %q is not decoded from path %q", key, statusPath)
		}
	})
}
