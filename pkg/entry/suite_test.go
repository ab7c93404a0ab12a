package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/order"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

const eventuallyTimeout = 20 * time.Second

// tokens are the tokens that the fake generation emits.
var tokens = []string{"Tulips ", "<fit> ", "სამი ", "& “four”\n"}

// fixture is a handler behind an HTTP server, with fakes for what it calls.
type fixture struct {
	handler *entry.Handler
	server  *httptest.Server
	// generateErr is the error that ends generations after their tokens.
	generateErr error
	// serveCall responds to calls of plain services.
	serveCall func(c endpoint.ServiceCall) (endpoint.Response, error)

	mu    sync.Mutex
	calls []endpoint.ServiceCall
}

func newFixture() *fixture {
	e := &fixture{serveCall: func(endpoint.ServiceCall) (endpoint.Response, error) {
		return endpoint.Response{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("done"), ContentLength: 4}, nil
	}}
	active := &config.Active{Change: config.Change{Revision: 1}, Document: fleet.Document{
		Pools: []fleet.Pool{
			{Name: "plume", Kind: fleet.KindModel},
			{Name: "guichet", Kind: fleet.KindService, RepeatablePaths: []string{"/quotes"}},
			{Name: "other", Kind: fleet.KindModel},
		},
		Accounts: []fleet.Account{
			{Name: "dentists", Keys: []fleet.KeyHash{fleet.HashKey("one")}, Pools: []fleet.PoolName{"plume", "guichet"}},
			{Name: "bookshops", Keys: []fleet.KeyHash{fleet.HashKey("two")}, Pools: []fleet.PoolName{"plume", "guichet"}},
		},
	}}
	e.handler = &entry.Handler{
		Config:   func() *config.Active { return active },
		Generate: e.generate,
		CallService: func(_ context.Context, _ fleet.PoolName, c endpoint.ServiceCall, _ bool) (endpoint.Response, error) {
			return e.call(c)
		},
		Executor: e.newExecutor(),
	}
	e.server = httptest.NewUnstartedServer(e.handler.Routes())
	e.server.Config.ConnContext = e.handler.ConnContext
	e.server.Start()
	DeferCleanup(e.server.Close)
	return e
}

func (e *fixture) generate(_ context.Context, _ generation.Request, emit func(string) error) (res generation.Result, err error) {
	for _, t := range tokens {
		if err := emit(t); err != nil {
			return res, err
		}
	}
	res.Finish = engine.Frame{Done: true, Reason: engine.FinishStop, Prompt: 7}
	res.Tokens, res.Attempts = fleet.Tokens(len(tokens)), 1
	return res, e.generateErr
}

func (e *fixture) call(c endpoint.ServiceCall) (endpoint.Response, error) {
	e.mu.Lock()
	e.calls = append(e.calls, c)
	e.mu.Unlock()
	return e.serveCall(c)
}

// newExecutor returns an executor with a single partition on a new log.
func (e *fixture) newExecutor() *order.Executor {
	p := &order.Partition{Stream: &journal.Stream{Log: new(standin.Log).Client(), Name: "order.0"}}
	p.Stream.Apply, p.Stream.Applied, p.Stream.Save, p.Stream.Load = p.Apply, p.Applied, p.Save, p.Load
	executor := &order.Executor{Node: fleet.NodeRef{Name: "entry-1", Incarnation: 1}, Partitions: []*order.Partition{p}, NotStarted: endpoint.NotStarted}
	executor.Send = func(ctx context.Context, o order.Order) (order.Response, error) {
		return e.handler.Execute(ctx, o, func(_ context.Context, o order.Order) (order.Response, error) {
			a, err := e.call(endpoint.ServiceCall{Method: o.Request.Method, Path: o.Request.Path, Key: o.Request.Ref.Key, Body: o.Request.Body})
			return order.Response{Status: a.Status, Type: a.ContentType, Body: a.Body}, err
		})
	}
	worker := &order.Worker{Executor: executor, Alive: func(fleet.NodeRef) bool { return true }, Candidate: func(fleet.KeyRef) bool { return true }}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return p.Stream.Run(ctx) })
	g.Go(func() error { return worker.Run(ctx) })
	DeferCleanup(func() {
		cancel()
		Expect(g.Wait()).To(Or(Succeed(), MatchError(context.Canceled)))
	})
	Expect(p.Stream.WaitReady(ctx)).To(Succeed())
	return executor
}

// response is an HTTP response with its body read.
type response struct {
	Status int
	Header http.Header
	Body   string
}

func (r response) outcome() fleet.Outcome { return fleet.Outcome(r.Header.Get(edge.OutcomeHeader)) }

func (e *fixture) send(method, path, body string, header map[string]string) response {
	GinkgoHelper()
	req, err := http.NewRequest(method, e.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer one")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	res, err := client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(res.Body.Close()).To(Succeed()) }()
	data, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return response{Status: res.StatusCode, Header: res.Header, Body: string(data)}
}

var errBroken = errors.New("the engine was lost")
