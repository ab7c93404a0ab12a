package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Source is where an effective value comes from.
type Source string

// The sources of an effective value, in increasing order of precedence.
const (
	SourceBuiltIn   Source = "built-in"
	SourceDefaults  Source = "defaults"
	SourcePool      Source = "pool"
	SourceAccount   Source = "account"
	SourceException Source = "exception"
)

// Value is an effective value with its source.
type Value[T any] struct {
	Value  T
	Source Source
	// Reason is the written reason, for a value that an exception set.
	Reason string
}

// Policy is the set of values in effect for one account on one pool.
type Policy struct {
	Deadline        Value[time.Duration]
	FirstToken      Value[time.Duration]
	BetweenTokens   Value[time.Duration]
	Objective       Value[float64]
	MaxTokens       Value[Tokens]
	LatencyWeight   Value[float64]
	RecomputeWeight Value[float64]
	PriceWeight     Value[float64]
	Rate            Value[float64]
	Burst           Value[int]
	Priority        Value[int]
}

// The fields that an exception can set.
const (
	FieldDeadline  = "deadline"
	FieldMaxTokens = "max_tokens"
	FieldLatency   = "latency"
	FieldRecompute = "recompute"
	FieldPrice     = "price"
	FieldRate      = "rate"
	FieldBurst     = "burst"
	FieldPriority  = "priority"
)

// FieldError reports an exception on a field that an exception cannot set.
type FieldError struct{ Field string }

// Error implements error.
func (e *FieldError) Error() string {
	fields := []string{
		FieldDeadline, FieldMaxTokens, FieldLatency, FieldRecompute,
		FieldPrice, FieldRate, FieldBurst, FieldPriority,
	}
	return fmt.Sprintf("an exception cannot set field %q; expected one of %v", e.Field, fields)
}

// Pool returns the pool with a name.
func (d *Document) Pool(name PoolName) (Pool, bool) {
	i := slices.IndexFunc(d.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return d.Pools[i], true
}

// Account returns the account with a name.
func (d *Document) Account(name AccountName) (Account, bool) {
	i := slices.IndexFunc(d.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return Account{}, false
	}
	return d.Accounts[i], true
}

// Authenticate returns the account that a bearer key belongs to. It compares every
// hash in constant time, so that the time taken reveals nothing about the key.
func (d *Document) Authenticate(secret string) (found Account, ok bool) {
	hash := HashKey(secret)
	for _, a := range d.Accounts {
		for _, k := range a.Keys {
			if k.Equal(hash) {
				found, ok = a, true
			}
		}
	}
	return found, ok
}

// Allows reports whether the account may use the pool with a name.
func (a Account) Allows(name PoolName) bool {
	return slices.Contains(a.Pools, name)
}

// KeyWindow returns how long idempotency keys are remembered.
func (d *Document) KeyWindow() time.Duration {
	if d.Defaults.KeyWindow > 0 {
		return d.Defaults.KeyWindow
	}
	return DefaultKeyWindow
}

// Policy returns the values in effect for an account on a pool at a time, with
// their sources. An unknown account or pool contributes no values.
func (d *Document) Policy(account AccountName, pool PoolName, now time.Time) Policy {
	a, _ := d.Account(account)
	p, _ := d.Pool(pool)
	defaults := d.Defaults
	policy := Policy{
		Deadline:        mostSpecific(DefaultDeadline, defaults.Deadline, p.Deadline, 0),
		FirstToken:      mostSpecific(DefaultFirstToken, defaults.FirstToken, 0, 0),
		BetweenTokens:   mostSpecific(DefaultBetweenTokens, defaults.BetweenTokens, 0, 0),
		Objective:       mostSpecific(DefaultObjective, defaults.Objective, 0, 0),
		MaxTokens:       mostSpecific(DefaultMaxTokens, defaults.MaxTokens, 0, 0),
		LatencyWeight:   mostSpecific(1, defaults.Weights.Latency, p.Weights.Latency, a.Weights.Latency),
		RecomputeWeight: mostSpecific(1, defaults.Weights.Recompute, p.Weights.Recompute, a.Weights.Recompute),
		PriceWeight:     mostSpecific(1, defaults.Weights.Price, p.Weights.Price, a.Weights.Price),
		Rate:            mostSpecific(0, 0, 0, a.Rate),
		Burst:           mostSpecific(0, 0, 0, a.Burst),
		Priority:        mostSpecific(0, 0, 0, a.Priority),
	}
	for _, e := range d.Exceptions {
		if e.applies(account, pool, now) {
			e.apply(&policy)
		}
	}
	return policy
}

// mostSpecific returns the last of the values that is not zero, with its source.
func mostSpecific[T comparable](builtIn, defaults, pool, account T) Value[T] {
	var unset T
	v := Value[T]{Value: builtIn, Source: SourceBuiltIn}
	if defaults != unset {
		v = Value[T]{Value: defaults, Source: SourceDefaults}
	}
	if pool != unset {
		v = Value[T]{Value: pool, Source: SourcePool}
	}
	if account != unset {
		v = Value[T]{Value: account, Source: SourceAccount}
	}
	return v
}

func (e Exception) applies(account AccountName, pool PoolName, now time.Time) bool {
	if e.Account != "" && e.Account != account {
		return false
	}
	if e.Pool != "" && e.Pool != pool {
		return false
	}
	return e.Until.IsZero() || now.Before(e.Until)
}

func (e Exception) apply(policy *Policy) {
	set, err := e.override()
	if err == nil {
		set(policy)
	}
}

// override returns the change that the exception makes to a policy.
func (e Exception) override() (set func(*Policy), err error) {
	text := string(e.Value)
	switch e.Field {
	case FieldDeadline:
		d, err := time.ParseDuration(text)
		return func(v *Policy) { v.Deadline = exceptionValue(d, e.Reason) }, err
	case FieldMaxTokens:
		n, err := strconv.Atoi(text)
		return func(v *Policy) { v.MaxTokens = exceptionValue(Tokens(n), e.Reason) }, err
	case FieldBurst:
		n, err := strconv.Atoi(text)
		return func(v *Policy) { v.Burst = exceptionValue(n, e.Reason) }, err
	case FieldPriority:
		n, err := strconv.Atoi(text)
		return func(v *Policy) { v.Priority = exceptionValue(n, e.Reason) }, err
	case FieldLatency, FieldRecompute, FieldPrice, FieldRate:
		f, err := strconv.ParseFloat(text, 64)
		return func(v *Policy) { *e.floatValue(v) = exceptionValue(f, e.Reason) }, err
	default:
		return nil, &FieldError{Field: e.Field}
	}
}

func (e Exception) floatValue(policy *Policy) *Value[float64] {
	switch e.Field {
	case FieldLatency:
		return &policy.LatencyWeight
	case FieldRecompute:
		return &policy.RecomputeWeight
	case FieldPrice:
		return &policy.PriceWeight
	default:
		return &policy.Rate
	}
}

func exceptionValue[T any](value T, reason string) Value[T] {
	return Value[T]{Value: value, Source: SourceException, Reason: reason}
}
