package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Weights describes the weights of one version of a model.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Bytes is how much an engine reads to load them.
	Bytes  int64  `json:"bytes"`
	Digest string `json:"digest"`
}

// LimitedError reports a call that a rate limit refused; it had no effect.
type LimitedError struct {
	Service string
	// RetryAfter is when the next call may come; 0 if the service did not say.
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("%s limits the rate of calls; retry after %v", e.Service, e.RetryAfter)
}

// WeightStore is the client of the weight store, which limits the rate of calls.
type WeightStore struct {
	// DescribeFunc describes a version's weights. The error is a *LimitedError if
	// the limit was met.
	DescribeFunc func(ctx context.Context, model, version string) (Weights, error)
}

var errNoWeights = errors.New("no weight store is configured")

// Describe describes the weights of one version of a model.
func (s *WeightStore) Describe(ctx context.Context, model, version string) (Weights, error) {
	if s.DescribeFunc == nil {
		return Weights{}, &NotSentError{Service: "weight store", Cause: errNoWeights}
	}
	return s.DescribeFunc(ctx, model, version)
}

// WeightsPath returns the path of a version's weights.
func WeightsPath(model, version string) string {
	return "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
}

// DialWeights returns a client of the weight store at a base URL.
func DialWeights(base, token string, client *http.Client) *WeightStore {
	c := &caller{service: "weight store", base: base, token: token, client: client}
	return &WeightStore{DescribeFunc: func(ctx context.Context, model, version string) (w Weights, err error) {
		err = c.call(ctx, http.MethodGet, WeightsPath(model, version), nil, &w)
		var status *StatusError
		if errors.As(err, &status) && status.Code == http.StatusTooManyRequests {
			err = &LimitedError{Service: c.service, RetryAfter: status.RetryAfter}
		}
		return w, err
	}}
}
