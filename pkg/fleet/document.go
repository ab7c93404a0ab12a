package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/strict"
)

// Values that apply where a document sets none.
const (
	// DefaultDeadline is how long a request may take.
	DefaultDeadline = 60 * time.Second
	// DefaultFirstToken is the latency target to the first token.
	DefaultFirstToken = 460 * time.Millisecond
	// DefaultBetweenTokens is the latency target between tokens.
	DefaultBetweenTokens = 47 * time.Millisecond
	// DefaultKeyWindow is how long an idempotency key is remembered.
	DefaultKeyWindow = 24 * time.Hour
	// DefaultObjective is the share of requests that must meet their latency target.
	DefaultObjective = 0.95
	// DefaultMaxTokens bounds the response to a request that sets no bound.
	DefaultMaxTokens Tokens = 1024
	// MinReasonLength is the minimum length of the reason of an exception, in bytes.
	MinReasonLength = 8
)

// Document is the configuration of the fleet that operators publish.
type Document struct {
	Defaults   Defaults    `yaml:"defaults"`
	Pools      []Pool      `yaml:"pools"`
	Accounts   []Account   `yaml:"accounts"`
	Exceptions []Exception `yaml:"exceptions,omitempty"`
}

// Defaults are the values that pools and accounts fall back to.
type Defaults struct {
	Deadline      time.Duration `yaml:"deadline,omitempty"`
	FirstToken    time.Duration `yaml:"first_token,omitempty"`
	BetweenTokens time.Duration `yaml:"between_tokens,omitempty"`
	Objective     float64       `yaml:"objective,omitempty"`
	KeyWindow     time.Duration `yaml:"key_window,omitempty"`
	MaxTokens     Tokens        `yaml:"max_tokens,omitempty"`
	Weights       Weights       `yaml:"weights,omitempty"`
}

// Weights set the importance of latency, recomputed tokens and price for a pool or
// account, relative to each other. A zero weight takes the default.
type Weights struct {
	Latency   float64 `yaml:"latency,omitempty"`
	Recompute float64 `yaml:"recompute,omitempty"`
	Price     float64 `yaml:"price,omitempty"`
}

// Pool is a set of endpoints that serve the same model or plain service.
type Pool struct {
	Name     PoolName      `yaml:"name"`
	Kind     Kind          `yaml:"kind"`
	Model    string        `yaml:"model,omitempty"`
	Version  string        `yaml:"version,omitempty"`
	Adapters []string      `yaml:"adapters,omitempty"`
	Deadline time.Duration `yaml:"deadline,omitempty"`
	Weights  Weights       `yaml:"weights,omitempty"`
	// Fenced is set if the endpoints refuse outdated fencing numbers.
	Fenced bool `yaml:"fenced,omitempty"`
	// RepeatablePaths lists path prefixes of a service under which requests with unsafe
	// HTTP methods may be repeated. These requests are not orders.
	RepeatablePaths []string `yaml:"repeatable,omitempty"`
	// Slots is how many requests one endpoint runs concurrently.
	Slots int `yaml:"slots,omitempty"`
	// Workers bounds the number of instances that are kept for the pool.
	Workers Range `yaml:"workers,omitempty"`
	// Price is what accounts are charged for requests to the pool.
	Price Price `yaml:"price,omitempty"`
	// Offers list where instances for the pool can be started.
	Offers []Offer `yaml:"offers,omitempty"`
}

// Price is what accounts are charged, in millionths of a cent.
type Price struct {
	// Prompt and Generated are the prices of a token, Call is that of a request.
	Prompt    MicroCents `yaml:"prompt,omitempty"`
	Generated MicroCents `yaml:"generated,omitempty"`
	Call      MicroCents `yaml:"call,omitempty"`
}

// Charge returns the charge for one request that succeeded.
func (p Price) Charge(prompt, generated Tokens) MicroCents {
	return p.Call + p.Prompt*MicroCents(prompt) + p.Generated*MicroCents(generated)
}

func (p Price) check(c *strict.Checker, path strict.KeyPath) {
	c.Require(p.Prompt >= 0, path.Key("prompt"), "expected a price of 0 or more")
	c.Require(p.Generated >= 0, path.Key("generated"), "expected a price of 0 or more")
	c.Require(p.Call >= 0, path.Key("call"), "expected a price of 0 or more")
}

// Range is an inclusive range of counts.
type Range struct {
	Min int `yaml:"min,omitempty"`
	Max int `yaml:"max,omitempty"`
}

// Offer is a zone and class in which the cloud can start instances.
type Offer struct {
	Zone       ZoneName       `yaml:"zone"`
	DataCentre DataCentreName `yaml:"datacentre"`
	Class      ClassName      `yaml:"class"`
	Market     Market         `yaml:"market"`
	// HourlyPrice is the price of one instance for one hour.
	HourlyPrice MicroCents `yaml:"hourly"`
}

// Account is a client account.
type Account struct {
	Name AccountName `yaml:"name"`
	// Keys are the SHA-256 hashes of the bearer keys, as "sha256:HEX".
	Keys  []KeyHash  `yaml:"keys"`
	Pools []PoolName `yaml:"pools"`
	// Rate is the fleet-wide limit in requests per second; 0 means no limit.
	Rate float64 `yaml:"rate,omitempty"`
	// Burst is how many requests may arrive together; 0 means as many as Rate allows
	// in one second.
	Burst int `yaml:"burst,omitempty"`
	// Priority orders accounts under overload; a higher one goes first.
	Priority int     `yaml:"priority,omitempty"`
	Weights  Weights `yaml:"weights,omitempty"`
}

// Exception overrides one value for an account, a pool or both. It requires a
// reason.
type Exception struct {
	Account AccountName   `yaml:"account,omitempty"`
	Pool    PoolName      `yaml:"pool,omitempty"`
	Field   string        `yaml:"field"`
	Value   ExceptionText `yaml:"value"`
	Reason  string        `yaml:"reason"`
	Until   time.Time     `yaml:"until,omitempty"`
}

// ExceptionText is the value of an exception as written in the document.
type ExceptionText string

// KeyHash is the hash of a bearer key: "sha256:" and 64 hexadecimal digits.
type KeyHash string

const keyHashPrefix = "sha256:"

// HashKey returns the hash of a bearer key.
func HashKey(secret string) KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return KeyHash(keyHashPrefix + hex.EncodeToString(sum[:]))
}

// Equal reports, in constant time, whether two hashes are equal.
func (h KeyHash) Equal(other KeyHash) bool {
	return subtle.ConstantTimeCompare([]byte(h), []byte(other)) == 1
}

func (h KeyHash) valid() bool {
	if len(h) != len(keyHashPrefix)+2*sha256.Size || h[:len(keyHashPrefix)] != keyHashPrefix {
		return false
	}
	_, err := hex.DecodeString(string(h[len(keyHashPrefix):]))
	return err == nil
}

// ParseDocument decodes and checks a document. The error is a *strict.Error that
// lists every problem with its line. The document is usable only if the error is
// nil.
func ParseDocument(name string, data []byte) (doc Document, err error) {
	c := strict.Decode(name, data, &doc)
	doc.check(c)
	return doc, c.Err()
}

func (d *Document) check(c *strict.Checker) {
	pools := make(map[PoolName]bool, len(d.Pools))
	for i, p := range d.Pools {
		path := strict.Path("pools", i)
		c.Require(p.Name != "", path.Key("name"), "a pool needs a name")
		c.Require(!pools[p.Name], path.Key("name"), fmt.Sprintf("pool %q is listed twice", p.Name))
		pools[p.Name] = true
		p.check(c, path)
	}
	c.Require(len(d.Pools) > 0, strict.Path("pools"), "expected at least one pool")
	d.Defaults.check(c)
	accounts := make(map[AccountName]bool, len(d.Accounts))
	owners := make(map[KeyHash]AccountName)
	for i, a := range d.Accounts {
		path := strict.Path("accounts", i)
		c.Require(a.Name != "", path.Key("name"), "an account needs a name")
		c.Require(!accounts[a.Name], path.Key("name"), fmt.Sprintf("account %q is listed twice", a.Name))
		accounts[a.Name] = true
		a.check(c, path, pools, owners)
	}
	for i, e := range d.Exceptions {
		e.check(c, strict.Path("exceptions", i), pools, accounts)
	}
}

func (d Defaults) check(c *strict.Checker) {
	path := strict.Path("defaults")
	c.Require(d.Deadline >= 0, path.Key("deadline"), "expected a positive duration such as 30s")
	c.Require(d.FirstToken >= 0, path.Key("first_token"), "expected a positive duration such as 460ms")
	c.Require(d.BetweenTokens >= 0, path.Key("between_tokens"), "expected a positive duration such as 47ms")
	c.Require(d.KeyWindow >= 0, path.Key("key_window"), "expected a positive duration such as 24h")
	c.Require(d.Objective >= 0 && d.Objective < 1, path.Key("objective"), "expected a share from 0 to below 1")
	c.Require(d.MaxTokens >= 0, path.Key("max_tokens"), "expected a count of 0 or more")
	d.Weights.check(c, path.Key("weights"))
}

func (w Weights) check(c *strict.Checker, path strict.KeyPath) {
	c.Require(w.Latency >= 0, path.Key("latency"), "expected a weight of 0 or more")
	c.Require(w.Recompute >= 0, path.Key("recompute"), "expected a weight of 0 or more")
	c.Require(w.Price >= 0, path.Key("price"), "expected a weight of 0 or more")
}

func (p Pool) check(c *strict.Checker, path strict.KeyPath) {
	c.Require(p.Kind == KindModel || p.Kind == KindService, path.Key("kind"),
		fmt.Sprintf("expected %q or %q, found %q", KindModel, KindService, p.Kind))
	c.Require(p.Deadline >= 0, path.Key("deadline"), "expected a positive duration such as 30s")
	c.Require(p.Slots >= 0, path.Key("slots"), "expected a count of 0 or more")
	c.Require(p.Workers.Min >= 0, path.Key("workers").Key("min"), "expected a count of 0 or more")
	c.Require(p.Workers.Max >= p.Workers.Min, path.Key("workers").Key("max"), "expected a count not below min")
	p.Weights.check(c, path.Key("weights"))
	p.Price.check(c, path.Key("price"))
	for i, o := range p.Offers {
		offerPath := path.Key("offers").Index(i)
		c.Require(o.Zone != "", offerPath.Key("zone"), "an offer needs a zone")
		c.Require(o.DataCentre != "", offerPath.Key("datacentre"), "an offer needs a data centre")
		c.Require(o.Market == MarketReclaimable || o.Market == MarketOnDemand, offerPath.Key("market"),
			fmt.Sprintf("expected %q or %q, found %q", MarketReclaimable, MarketOnDemand, o.Market))
		c.Require(o.HourlyPrice > 0, offerPath.Key("hourly"), "expected a price above 0")
	}
}

func (a Account) check(c *strict.Checker, path strict.KeyPath, pools map[PoolName]bool, owners map[KeyHash]AccountName) {
	c.Require(len(a.Keys) > 0, path.Key("keys"), "an account needs at least one key hash")
	for i, k := range a.Keys {
		keyPath := path.Key("keys").Index(i)
		c.Require(k.valid(), keyPath, "expected sha256: and 64 hexadecimal digits")
		owner, taken := owners[k]
		c.Require(!taken || owner == a.Name, keyPath, fmt.Sprintf("the key already belongs to account %q", owner))
		owners[k] = a.Name
	}
	for i, p := range a.Pools {
		c.Require(pools[p], path.Key("pools").Index(i), fmt.Sprintf("no pool is named %q", p))
	}
	c.Require(a.Rate >= 0, path.Key("rate"), "expected a rate of 0 or more requests per second")
	c.Require(a.Burst >= 0, path.Key("burst"), "expected a count of 0 or more")
	a.Weights.check(c, path.Key("weights"))
}

func (e Exception) check(c *strict.Checker, path strict.KeyPath, pools map[PoolName]bool, accounts map[AccountName]bool) {
	c.Require(len(e.Reason) >= MinReasonLength, path.Key("reason"),
		fmt.Sprintf("an exception needs a written reason of at least %d characters", MinReasonLength))
	c.Require(e.Account != "" || e.Pool != "", path, "an exception names an account, a pool or both")
	c.Require(e.Account == "" || accounts[e.Account], path.Key("account"), fmt.Sprintf("no account is named %q", e.Account))
	c.Require(e.Pool == "" || pools[e.Pool], path.Key("pool"), fmt.Sprintf("no pool is named %q", e.Pool))
	_, err := e.override()
	c.Require(err == nil, path.Key("value"), fmt.Sprint(err))
}
