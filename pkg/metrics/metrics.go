// Package metrics provides the Prometheus metrics of a node. The number of label
// values is bounded: names that are not configured are counted as "other".
package metrics

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/burn"
	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// Other is the label value for names that are not configured.
const Other = "other"

// The causes of recomputed tokens.
const (
	CauseReclaim = "reclaim"
	CauseFailure = "failure"
)

// The buckets of the histograms, in seconds. They include the latency targets
// for which the system is designed: 460 ms to the first token and 47 ms between
// tokens.
var (
	firstTokenBuckets    = []float64{.025, .05, .1, .2, .3, .46, .7, 1, 2, 5, 10, 30}
	betweenTokensBuckets = []float64{.005, .01, .02, .03, .047, .07, .1, .2, .5, 1}
	durationBuckets      = []float64{.01, .05, .1, .5, 1, 5, 10, 30, 60, 300}
)

// Sample holds the values that are read at each collection.
type Sample struct {
	InFlight  int
	Ready     bool
	Revision  fleet.Revision
	Instances []fleet.Instance
	Streams   []Stream
	Degraded  []operate.Degraded
}

// Stream is the state of a stream of the log.
type Stream struct {
	Name  platform.StreamName
	Stats journal.Stats
	// Healthy is false if the last appends failed and the latest failure is recent.
	Healthy bool
	// Lag is the time since the last successful read; 0 if there was none.
	Lag time.Duration
}

// Set holds the metrics of a node and implements prometheus.Collector. The zero
// value counts all names as Other.
type Set struct {
	// Document returns the configuration in force, or nil if there is none. The names
	// in it are used as label values.
	Document func() *fleet.Document
	// Read returns the current values; if it is nil, only the request metrics are
	// collected.
	Read func() Sample

	once          sync.Once
	requests      *prometheus.CounterVec
	tokens        *prometheus.CounterVec
	recomputed    *prometheus.CounterVec
	verdicts      *prometheus.CounterVec
	objective     *prometheus.GaugeVec
	firstToken    *prometheus.HistogramVec
	betweenTokens *prometheus.HistogramVec
	duration      *prometheus.HistogramVec
}

func (s *Set) init() {
	s.once.Do(func() {
		names := []string{"account", "pool"}
		s.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_requests_total", Help: "Finished requests, by outcome.",
		}, append(names, "outcome"))
		s.tokens = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_tokens_total", Help: "Tokens of prompts and responses, by kind: prompt or generated.",
		}, append(names, "kind"))
		s.recomputed = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_recomputed_tokens_total", Help: "Recomputed tokens, by cause: reclaim or failure of an endpoint.",
		}, append(names, "cause"))
		s.verdicts = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_judged_total", Help: "Requests that count towards the objective, by verdict: good, refused, failed, late or slow.",
		}, append(names, "verdict"))
		s.objective = prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "skylarkloom_objective", Help: "Objective: the share of requests that must meet their targets.",
		}, names)
		s.firstToken = histogram("skylarkloom_first_token_seconds", "Time from a request to its first token.", firstTokenBuckets, names)
		s.betweenTokens = histogram("skylarkloom_between_tokens_seconds", "Mean time between the tokens of a response.", betweenTokensBuckets, names)
		s.duration = histogram("skylarkloom_request_seconds", "Time from a request to the end of its response.", durationBuckets, names)
	})
}

func histogram(name, help string, buckets []float64, labels []string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
}

// Observe records a finished request.
func (s *Set) Observe(r entry.Report) {
	s.init()
	account, pool := s.labels(r.Account, r.Pool)
	s.requests.WithLabelValues(account, pool, string(r.Outcome)).Inc()
	s.duration.WithLabelValues(account, pool).Observe(r.Total.Seconds())
	if r.Prompt+r.Generated > 0 {
		s.tokens.WithLabelValues(account, pool, "prompt").Add(float64(r.Prompt))
		s.tokens.WithLabelValues(account, pool, "generated").Add(float64(r.Generated))
	}
	if r.Recomputed > 0 {
		s.recomputed.WithLabelValues(account, pool, CauseReclaim).Add(float64(r.RecomputeCauses.Reclaim))
		s.recomputed.WithLabelValues(account, pool, CauseFailure).Add(float64(r.RecomputeCauses.Failure))
	}
	if r.FirstTokenTime > 0 {
		s.firstToken.WithLabelValues(account, pool).Observe(r.FirstTokenTime.Seconds())
	}
	if r.MeanTokenTime > 0 {
		s.betweenTokens.WithLabelValues(account, pool).Observe(r.MeanTokenTime.Seconds())
	}
}

// RecordVerdict counts the verdict on a finished request and sets the objective of
// its account and pool.
func (s *Set) RecordVerdict(r entry.Report, objective float64, v burn.Verdict) {
	if v == burn.VerdictNone {
		return
	}
	s.init()
	account, pool := s.labels(r.Account, r.Pool)
	s.verdicts.WithLabelValues(account, pool, string(v)).Inc()
	s.objective.WithLabelValues(account, pool).Set(objective)
}

// labels returns the label values of an account and a pool: their names if they
// are configured, otherwise Other.
func (s *Set) labels(account fleet.AccountName, pool fleet.PoolName) (string, string) {
	accountLabel, poolLabel := Other, Other
	if s.Document == nil {
		return accountLabel, poolLabel
	}
	doc := s.Document()
	if doc == nil {
		return accountLabel, poolLabel
	}
	if slices.ContainsFunc(doc.Accounts, func(k fleet.Account) bool { return k.Name == account }) {
		accountLabel = string(account)
	}
	if slices.ContainsFunc(doc.Pools, func(k fleet.Pool) bool { return k.Name == pool }) {
		poolLabel = string(pool)
	}
	return accountLabel, poolLabel
}
