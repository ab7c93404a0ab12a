// Package serving defines the configuration, endpoints and requests that a node works
// with. The platform's adapter decodes these types; they perform no I/O.
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

// RouteKind determines whether requests to a route may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe RouteKind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe RouteKind = "unsafe"
	// KindStream requests receive a stream of events as the response. They run at
	// most once unless the route is resumable.
	KindStream RouteKind = "stream"
)

// Config is one version of the configuration. It is immutable after BuildIndex.
type Config struct {
	Version  int64
	Routes   []Route
	Pools    map[fleet.PoolName]Pool
	Accounts []Account
	Limits   Limits

	routesByHost  map[string][]*Route
	accountsByKey map[APIKey]*Account
}

// Route defines how requests to a host below a path prefix are served.
type Route struct {
	Name       RouteName
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Resumable reports whether a stream may continue at another endpoint after its
	// last event.
	Resumable bool
	// Timeout is the maximum time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the maximum time to the response, or to the first event of a
	// stream, for full credit.
	Objective time.Duration
	// MaxEventGap is the maximum time between events of a stream that is on time.
	MaxEventGap time.Duration
	// Priority is the rank of the route; 0 is the highest priority.
	Priority int
	// MaxAttempts is the maximum number of endpoints that a request may be sent to.
	MaxAttempts int
	// Public reports whether requests need no API key.
	Public bool
	// Targets are the pools that serve the route, with their weights.
	Targets []Target
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Target is a pool with its weight among the pools of a route.
type Target struct {
	Pool   fleet.PoolName
	Weight int
}

// Pool is a set of endpoints of one model or service.
type Pool struct {
	Name fleet.PoolName
	// MaxConnections is the number of connections that an endpoint accepts from all
	// nodes together; 0 means no limit.
	MaxConnections int
	// Engine describes the engines of a model pool; nil for plain services.
	Engine *Engine
	// Scale bounds the number of endpoints that may be requested; nil if none may be
	// requested.
	Scale *Scale
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that an engine processes in one batch.
	Slots int
	// FetchesKV reports whether engines can fetch cached prefix blocks from each
	// other.
	FetchesKV bool
	// TokensPerEvent is the number of output tokens in an event of a stream; 0 if it is not
	// known.
	TokensPerEvent int
}

// Scale bounds the number of endpoints to request in each data centre.
type Scale struct {
	Min, Max int
	// BootTime is the time from a request for an endpoint until it serves.
	BootTime time.Duration
	// OnDemandPrice is the price of an on-demand endpoint by data centre.
	OnDemandPrice map[fleet.DataCentreName]float64
}

// Account is a client account.
type Account struct {
	Name fleet.AccountName
	Keys []APIKey
	// Priority overrides the priority of the routes if it is set.
	Priority *int
	Quota    Quota
}

// Quota limits the requests or tokens of an account over all nodes.
type Quota struct {
	// Rate is the sustained amount per second; 0 means no limit.
	Rate float64
	// Burst is the amount by which consumption may exceed the rate for a short time.
	Burst float64
	// ByTokens reports whether the quota counts prompt and output tokens; otherwise
	// it counts requests.
	ByTokens bool
	// DefaultTokens is the amount that a request without token counts consumes.
	DefaultTokens float64
}

// Limits are the limits on requests of callers.
type Limits struct {
	// MaxBodyBytes is the maximum length of a request body; 0 if the configuration
	// sets no limit.
	MaxBodyBytes int64
	// MaxHeadBytes is the maximum length of a head, HeadTimeout the time that it may take, and
	// IdleTimeout the time between requests on a connection; 0 if the configuration sets none.
	MaxHeadBytes             int64
	HeadTimeout, IdleTimeout time.Duration
}

// BuildIndex prepares the lookups of routes and accounts. It is called once, before
// the configuration is shared.
func (c *Config) BuildIndex() {
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.accountsByKey = make(map[APIKey]*Account)
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			c.accountsByKey[k] = &c.Accounts[i]
		}
	}
}

// MatchRoute returns the route of a host with the longest matching path prefix, or nil.
func (c *Config) MatchRoute(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Account returns the account of an API key, or nil.
func (c *Config) Account(key APIKey) *Account { return c.accountsByKey[key] }

// HasAccounts reports whether any accounts are configured, in which case callers need
// API keys.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }
