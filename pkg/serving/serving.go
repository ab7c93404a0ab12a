// Package serving holds what a node serves by: the configuration in force,
// the endpoints that are known, and the requests of callers. Its types are
// decoded by the platform's adapter; they perform no I/O.
package serving

import (
	"slices"
	"strings"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// RouteName names a route of the configuration.
type RouteName string

// APIKey is the secret that a caller presents.
type APIKey string

// Kind tells which requests of a route may be repeated.
type Kind string

// The kinds of route.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a stream of events. They run at most
	// once, unless the route is resumable.
	KindStream Kind = "stream"
)

// Config is one version of the configuration. It is not changed once built.
type Config struct {
	Version  int64
	Routes   []Route
	Pools    map[fleet.PoolName]Pool
	Accounts []Account
	Limits   Limits

	hosts map[string][]*Route
	keys  map[APIKey]*Account
}

// Route says how the requests to a host below a path prefix are served.
type Route struct {
	Name       RouteName
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or the first event, for full credit.
	Objective time.Duration
	// MaxGap is the longest pause between events of a stream that is on time.
	MaxEventGap time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// Attempts is the most endpoints that one request may be sent to.
	MaxAttempts int
	// Public requests need no key.
	Public bool
	// Targets are the pools that serve the route, by weight.
	Targets []Target
}

// Repeatable tells whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Target is a pool with its share of a route's requests.
type Target struct {
	Pool   fleet.PoolName
	Weight int
}

// Pool is a set of endpoints of one model or service.
type Pool struct {
	Name fleet.PoolName
	// MaxConnections is how many connections an endpoint accepts from all callers.
	MaxConnections int
	// Engine describes the endpoints of a model pool; nil for plain services.
	Engine *Engine
	// Scale bounds how many endpoints may be ordered; nil if none may be.
	Scale *Scale
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is how many requests are processed in one batch.
	Slots int
	// Fetches tells that engines can take over cached parts from each other.
	FetchesKV bool
}

// Scale bounds the orders of endpoints in each data centre.
type Scale struct {
	Min, Max int
	// Price is the price of an on-demand endpoint by data centre.
	OnDemandPrice map[fleet.DataCentreName]float64
}

// Account is a client account.
type Account struct {
	Name fleet.AccountName
	Keys []APIKey
	// Priority overrides the routes' priority if it is set.
	Priority *int
	Quota    Quota
}

// Quota bounds what an account may have run, over all nodes.
type Quota struct {
	// Rate is the sustained amount a second; 0 is no limit.
	Rate float64
	// Burst is the amount that may be used at once beyond the rate.
	Burst float64
	// ByTokens counts prompt and output tokens; otherwise requests are counted.
	ByTokens bool
	// Plain is what a request without token counts counts as.
	DefaultTokens float64
}

// Limits bound what callers may send.
type Limits struct {
	// BodyBytes is the longest body; 0 is no limit of the operators'.
	MaxBodyBytes int64
}

// Index prepares the look-ups. It is called once, before the configuration is shared.
func (c *Config) BuildIndex() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.keys = make(map[APIKey]*Account)
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			c.keys[k] = &c.Accounts[i]
		}
	}
}

// Match returns the route with the longest prefix for a host and path, or nil.
func (c *Config) MatchRoute(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds a key, or nil.
func (c *Config) Account(key APIKey) *Account { return c.keys[key] }

// HasAccounts tells whether callers need keys.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }
