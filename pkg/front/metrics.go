package front

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gateway"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
)

// The buckets of the histograms, in seconds. The latency objectives of the
// deployments lie between 0.1 and 2 s.
var (
	timeToFirstBuckets = []float64{.025, .05, .1, .15, .2, .3, .46, .7, 1, 1.5, 2, 4, 8}
	durationBuckets    = []float64{.025, .05, .1, .15, .3, .8, 1.5, 4, 8, 15}
)

// requestMetrics are the metrics of requests and connections. Their labels have few
// values: route kinds, statuses and reasons, and of the names chosen by operators only
// those of pools.
type requestMetrics struct {
	requests          *prometheus.CounterVec
	timeToFirst       *prometheus.HistogramVec
	duration          *prometheus.HistogramVec
	connectionsOpened prometheus.Counter
	callersLeft       *prometheus.CounterVec
	announcements     *prometheus.CounterVec
	unread            *prometheus.CounterVec
	speedSpread       *prometheus.GaugeVec
	speedEvidence     *prometheus.GaugeVec
	waitMetrics
	callersRefused, responsesRefused *prometheus.CounterVec
}

func newRequestMetrics() *requestMetrics {
	return &requestMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_front_requests_total", Help: "Finished requests, by route kind, status (0: response aborted) and reason.",
		}, []string{"kind", "status", "reason"}),
		timeToFirst: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "skylarkloom_front_first_seconds", Help: "Time from a request to its first event or its complete response.", Buckets: timeToFirstBuckets,
		}, []string{"kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "skylarkloom_front_took_seconds", Help: "Total duration of a request.", Buckets: durationBuckets,
		}, []string{"kind"}),
		connectionsOpened: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkloom_front_connections_total", Help: "Connections opened to endpoints.",
		}),
		callersLeft: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_front_callers_left_total", Help: "Requests whose callers left, by stage (before or after they were sent to an endpoint).",
		}, []string{"stage"}),
		announcements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_front_announcements_total", Help: "Responses in which an endpoint newly said that it leaves, or asked for a pause, by pool.",
		}, []string{"pool", "what"}),
		unread: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_front_unread_total", Help: "Requests given up before the endpoint responded, by pool and cause (caller left, timeout).",
		}, []string{"pool", "cause"}),
		speedSpread: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "skylarkloom_front_speed_spread", Help: "Ratio of the speeds of fast and slow endpoints of a pool; 0 while unknown.",
		}, []string{"pool"}),
		speedEvidence: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "skylarkloom_front_speed_evidence", Help: "Recent streams and responses of all nodes by which the speeds of a pool's endpoints are known.",
		}, []string{"pool"}),
		waitMetrics: newWaitMetrics(),
		callersRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_front_callers_refused_total", Help: "Callers that were refused or cut off because of what they sent, by cause.",
		}, []string{"cause"}),
		responsesRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_front_responses_refused_total", Help: "Responses of endpoints that found no room or gave way to others, by cause.",
		}, []string{"cause"}),
	}
}

// observe records a finished request.
func (m *requestMetrics) observe(r gateway.Result) {
	kind := string(r.Kind)
	m.requests.WithLabelValues(kind, strconv.Itoa(r.Status), string(r.Reason)).Inc()
	m.duration.WithLabelValues(kind).Observe(r.Duration.Seconds())
	if r.TimeToFirst > 0 {
		m.timeToFirst.WithLabelValues(kind).Observe(r.TimeToFirst.Seconds())
	}
}

// countCallerLeft counts a request whose caller left.
func (m *requestMetrics) countCallerLeft(stage gateway.LeaveStage) {
	m.callersLeft.WithLabelValues(string(stage)).Inc()
}

// countAnnouncement counts what an endpoint of a pool announced of itself.
func (m *requestMetrics) countAnnouncement(pool fleet.PoolName, what gateway.Announcement) {
	m.announcements.WithLabelValues(string(pool), string(what)).Inc()
}

// countUnread counts a request to a pool that was given up before the endpoint responded.
func (m *requestMetrics) countUnread(pool fleet.PoolName, cause gateway.UnreadCause) {
	m.unread.WithLabelValues(string(pool), string(cause)).Inc()
}

// countRefusedCaller counts a caller that was refused because of what it sent.
func (m *requestMetrics) countRefusedCaller(c intake.Cause) {
	m.callersRefused.WithLabelValues(string(c)).Inc()
}

// countRefusedResponse counts a response of an endpoint that found no room or gave way.
func (m *requestMetrics) countRefusedResponse(c intake.Cause) {
	m.responsesRefused.WithLabelValues(string(c)).Inc()
}

// gauges returns the metrics whose values are read when they are collected.
func (f *Front) gauges() []prometheus.Collector {
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "skylarkloom_front_" + name, Help: help}, read)
	}
	return []prometheus.Collector{
		gauge("config_version", "Version of the configuration in force; 0 is none.", func() float64 {
			if c := f.config.Load(); c != nil {
				return float64(c.Version)
			}
			return 0
		}),
		gauge("config_age_seconds", "Time since the configuration was last confirmed to be the newest.", func() float64 {
			if c := f.config.Load(); c != nil {
				return clock.Now().Sub(c.Confirmed).Seconds()
			}
			return 0
		}),
		gauge("directory_age_seconds", "Time since the endpoint directory was last known to be complete.", func() float64 {
			return clock.Now().Sub(clock.Instant(f.directoryReadAt.Load())).Seconds()
		}),
		gauge("callers_bytes", "Memory charged for the heads and bodies of callers.", func() float64 {
			held, _ := f.intake.callers.Held()
			return float64(held)
		}),
		gauge("callers_connections", "Connections of callers.", func() float64 {
			_, connections := f.intake.callers.Held()
			return float64(connections)
		}),
		gauge("responses_bytes", "Memory charged for the responses of endpoints.", func() float64 {
			held, _ := f.intake.endpoints.Held()
			return float64(held)
		}),
		gauge("endpoints", "Endpoints that have a directory entry.", func() float64 { return float64(len(f.directory.Listed())) }),
		gauge("nodes", "Nodes that share the limits.", func() float64 { return float64(f.peers.Count().Total) }),
		gauge("nodes_silent", "Nodes among them without a recent digest.", func() float64 { return float64(f.peers.Count().Silent) }),
		gauge("quarantined", "Contents and prefix blocks that are refused because they crash endpoints.", func() float64 {
			return float64(f.quarantine.Count(clock.Now()))
		}),
		gauge("rollouts", "Roll-outs ordered by the operator that have no verdict.", func() float64 {
			unfinished, _ := f.canary.Unfinished()
			return float64(len(unfinished))
		}),
		gauge("rollout_passed", "Requests passed on to pools since their last roll-out was ordered.", func() float64 {
			passed, _ := f.canary.Exposed()
			return passed
		}),
		gauge("rollout_exposed", "Attempts among them at endpoints of the new version.", func() float64 {
			_, exposed := f.canary.Exposed()
			return exposed
		}),
		gauge("duties", "1 while the node holds the duties.", func() float64 {
			if f.holdsDuties.Load() {
				return 1
			}
			return 0
		}),
	}
}

// MetricsPortOffset is the offset of the metrics port from the first internal port.
const MetricsPortOffset = 1

// metricsService serves the Prometheus metrics over HTTP.
func (f *Front) metricsService() kernel.Service {
	registry := prometheus.NewRegistry()
	registry.MustRegister(f.metrics.requests, f.metrics.timeToFirst, f.metrics.duration, f.metrics.connectionsOpened, f.metrics.callersLeft, f.metrics.announcements, f.metrics.unread,
		f.metrics.speedSpread, f.metrics.speedEvidence, f.metrics.callersRefused, f.metrics.responsesRefused, f.metrics.waits, f.metrics.returns)
	registry.MustRegister(f.newWaitingCollector())
	registry.MustRegister(f.gauges()...)
	done := make(chan struct{})
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{Timeout: time.Second}))
	server := &http.Server{Handler: mux}
	return kernel.Service{
		Name: ServiceMetrics,
		Done: done,
		Start: func(ctx context.Context) error {
			address := net.JoinHostPort(f.Settings.IP, strconv.Itoa(f.Settings.InternalPorts[0]+MetricsPortOffset))
			_, err := f.serve(ctx, server, otherGuard(&f.intake.metrics), address, done)
			return err
		},
		Stop: func(context.Context) error { return server.Close() },
	}
}
