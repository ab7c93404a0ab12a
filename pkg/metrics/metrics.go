// Package metrics counts what a node does, for Prometheus. The values of its
// labels are bounded: names that are not configured count as "other".
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

// Other is the label of a name that is not configured.
const Other = "other"

// The causes of recomputed tokens.
const (
	CauseReclaim = "reclaim"
	CauseFailure = "failure"
)

// Buckets of the histograms, in seconds. The latency targets of the sizes that
// the system is designed for, 460 ms and 47 ms, are among them.
var (
	firstTokenBuckets = []float64{.025, .05, .1, .2, .3, .46, .7, 1, 2, 5, 10, 30}
	betweenBuckets    = []float64{.005, .01, .02, .03, .047, .07, .1, .2, .5, 1}
	totalBuckets      = []float64{.01, .05, .1, .5, 1, 5, 10, 30, 60, 300}
)

// Sample is what is read when metrics are collected.
type Sample struct {
	InFlight  int
	Ready     bool
	Revision  fleet.Revision
	Instances []fleet.Instance
	Streams   []Stream
	Degraded  []operate.Degraded
}

// Stream is the state of one stream of the log.
type Stream struct {
	Name    platform.StreamName
	Stats   journal.Stats
	Healthy bool
	// Lag is the time since the log last answered a read; 0 if it never did.
	Lag time.Duration
}

// Set is the metrics of one node; it is a prometheus.Collector. The zero value
// counts every name as other.
type Set struct {
	// Document returns the configuration in force, whose names become labels;
	// nil if there is none.
	Document func() *fleet.Document
	// Read returns what is read at collection.
	Read func() Sample

	once       sync.Once
	requests   *prometheus.CounterVec
	tokens     *prometheus.CounterVec
	recomputed *prometheus.CounterVec
	judged     *prometheus.CounterVec
	objective  *prometheus.GaugeVec
	first      *prometheus.HistogramVec
	between    *prometheus.HistogramVec
	total      *prometheus.HistogramVec
}

func (s *Set) init() {
	s.once.Do(func() {
		names := []string{"account", "pool"}
		s.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_requests_total", Help: "Requests that have ended, by outcome.",
		}, append(names, "outcome"))
		s.tokens = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_tokens_total", Help: "Tokens of prompts and answers, by kind: prompt or generated.",
		}, append(names, "kind"))
		s.recomputed = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_recomputed_tokens_total", Help: "Tokens computed again, by cause: reclaim or failure of an endpoint.",
		}, append(names, "cause"))
		s.judged = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_judged_total", Help: "Requests that count for the objective, by verdict: good, refused, failed, late or slow.",
		}, append(names, "verdict"))
		s.objective = prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "skylarkloom_objective", Help: "Share of requests that must meet their targets.",
		}, names)
		s.first = histogram("skylarkloom_first_token_seconds", "Time from a request to its first token.", firstTokenBuckets, names)
		s.between = histogram("skylarkloom_between_tokens_seconds", "Mean time between the tokens of one answer.", betweenBuckets, names)
		s.total = histogram("skylarkloom_request_seconds", "Time from a request to the end of its answer.", totalBuckets, names)
	})
}

func histogram(name, help string, buckets []float64, labels []string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
}

// Observe counts a request that has ended.
func (s *Set) Observe(r entry.Report) {
	s.init()
	account, pool := s.labels(r.Account, r.Pool)
	s.requests.WithLabelValues(account, pool, string(r.Outcome)).Inc()
	s.total.WithLabelValues(account, pool).Observe(r.Total.Seconds())
	if r.Prompt+r.Generated > 0 {
		s.tokens.WithLabelValues(account, pool, "prompt").Add(float64(r.Prompt))
		s.tokens.WithLabelValues(account, pool, "generated").Add(float64(r.Generated))
	}
	if r.Recomputed > 0 {
		s.recomputed.WithLabelValues(account, pool, CauseReclaim).Add(float64(r.Causes.Reclaim))
		s.recomputed.WithLabelValues(account, pool, CauseFailure).Add(float64(r.Causes.Failure))
	}
	if r.FirstToken > 0 {
		s.first.WithLabelValues(account, pool).Observe(r.FirstToken.Seconds())
	}
	if r.Between > 0 {
		s.between.WithLabelValues(account, pool).Observe(r.Between.Seconds())
	}
}

// Judge counts the verdict on a request under its objective.
func (s *Set) RecordVerdict(r entry.Report, objective float64, v burn.Verdict) {
	if v == burn.VerdictNone {
		return
	}
	s.init()
	account, pool := s.labels(r.Account, r.Pool)
	s.judged.WithLabelValues(account, pool, string(v)).Inc()
	s.objective.WithLabelValues(account, pool).Set(objective)
}

// labels returns the names if they are configured.
func (s *Set) labels(account fleet.AccountName, pool fleet.PoolName) (string, string) {
	a, p := Other, Other
	if s.Document == nil {
		return a, p
	}
	doc := s.Document()
	if doc == nil {
		return a, p
	}
	if slices.ContainsFunc(doc.Accounts, func(k fleet.Account) bool { return k.Name == account }) {
		a = string(account)
	}
	if slices.ContainsFunc(doc.Pools, func(k fleet.Pool) bool { return k.Name == pool }) {
		p = string(pool)
	}
	return a, p
}
