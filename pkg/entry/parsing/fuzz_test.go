// Package parsing_test fuzzes what the callers' edge parses. It stands apart from
// package entry's tests because their libraries are slow to build for fuzzing.
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

const ask = `"model":"plume","messages":[{"role":"user","content":"A tale, please"}]`

// fuzzed returns the routes of an edge that hands calls of services to see.
func fuzzed(see func(endpoint.Call)) http.Handler {
	force := &config.Active{Document: fleet.Document{
		Pools: []fleet.Pool{{Name: "plume", Kind: fleet.KindModel}, {Name: "guichet", Kind: fleet.KindService}},
		Accounts: []fleet.Account{{
			Name: "dentists", Keys: []fleet.KeyHash{fleet.HashKey("one")}, Pools: []fleet.PoolName{"plume", "guichet"},
		}},
	}}
	h := &entry.Handler{
		Config: func() *config.Active { return force },
		Generate: func(_ context.Context, _ generation.Request, emit func(string) error) (generation.Result, error) {
			return generation.Result{Tokens: 1, Finish: engine.Frame{Reason: engine.FinishStop}}, emit("x")
		},
		CallService: func(_ context.Context, _ fleet.PoolName, c endpoint.Call, _ bool) (endpoint.Response, error) {
			see(c)
			return endpoint.Response{Status: http.StatusOK}, nil
		},
	}
	return h.Routes()
}

// answer checks what holds for every answer: no 5xx, and an outcome unless it
// is a success or a redirect.
func answer(t *testing.T, h http.Handler, r *http.Request) *httptest.ResponseRecorder {
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
		`{` + ask + `}`, `{"stream":true,` + ask + `}`, `{"n":2,` + ask + `}`, `{"model":"plume","prompt":["a"]}`, `{"model":"plume","prompt":""}`,
		`{"model":"plume","messages":[{"content":[{"type":"text","text":"x"},"y"]}]}`, `{"max_tokens":-1}`, `null`, `[]`, ``, `{"model":"plume","max_tokens":1e99}`,
	} {
		f.Add(seed)
	}
	h := fuzzed(func(endpoint.Call) {})
	f.Fuzz(func(t *testing.T, body string) {
		for _, path := range []string{"/v1/chat/completions", "/v1/completions"} {
			w := answer(t, h, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
			if w.Code == http.StatusOK && w.Body.Len() == 0 {
				t.Fatal("a success without an answer")
			}
		}
	})
}

func FuzzServicePath(f *testing.F) {
	for _, seed := range []string{"", "a/b", "a%2Fb?x=%26", "%2e%2e/x", "..%5c..", "//elsewhere/x", "@elsewhere", "a?b#c", "a?b#%", "é", "%", "a b"} {
		f.Add(seed)
	}
	var seen []string
	h := fuzzed(func(c endpoint.Call) { seen = append(seen, c.Path) })
	f.Fuzz(func(t *testing.T, path string) {
		u, err := url.ParseRequestURI("/v1/services/guichet/" + path)
		if err != nil {
			return
		}
		seen = nil
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.URL = u
		answer(t, h, r)
		for _, p := range seen {
			out, err := url.Parse("http://10.0.0.1:80" + p)
			if err != nil {
				t.Fatalf("path %q gives no URL: %v", p, err)
			}
			if out.Host != "10.0.0.1:80" || slices.Contains(strings.Split(out.Path, "/"), "..") {
				t.Fatalf("path %q leads elsewhere", p)
			}
		}
	})
}

func FuzzRequestKey(f *testing.F) {
	for _, seed := range []string{"", "k", ".", "..", "a/b", "\xff", "é", strings.Repeat("k", 201), " k ", "%2e"} {
		f.Add(seed)
	}
	h := fuzzed(func(endpoint.Call) {})
	f.Fuzz(func(t *testing.T, key string) {
		// The model is unknown, so that a key that is taken ends as 404.
		r := httptest.NewRequest(http.MethodPost, "/v1/services/none/coins", strings.NewReader("{}"))
		r.Header[edge.KeyHeader] = []string{key}
		answer(t, h, r)
		place := "/v1/requests/" + url.PathEscape(key)
		if u, err := url.Parse(place); err != nil || u.Path != "/v1/requests/"+key {
			t.Fatalf("key %q does not come back from %q", key, place)
		}
	})
}
