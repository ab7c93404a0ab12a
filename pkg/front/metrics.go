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
	"github.com/skylarkloom/skylarkloom/pkg/gateway"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
)

// The buckets of the histograms, in seconds; the objectives of the deployments
// lie between 0.1 and 2 s.
var (
	firstBuckets = []float64{.025, .05, .1, .15, .2, .3, .46, .7, 1, 1.5, 2, 4, 8}
	tookBuckets  = []float64{.025, .05, .1, .15, .3, .8, 1.5, 4, 8, 15}
)

// counters are the metrics of a node. Their labels have few values: kinds of
// route, statuses and reasons, but no names that operators choose.
type counters struct {
	requests *prometheus.CounterVec
	first    *prometheus.HistogramVec
	took     *prometheus.HistogramVec
	opened   prometheus.Counter
}

func newCounters() *counters {
	return &counters{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_front_requests_total", Help: "Requests that have ended, by kind of route, status (0: cut) and reason.",
		}, []string{"kind", "status", "reason"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "skylarkloom_front_first_seconds", Help: "Time from a request to its first event or its answer.", Buckets: firstBuckets,
		}, []string{"kind"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "skylarkloom_front_took_seconds", Help: "Time from a request to its end.", Buckets: tookBuckets,
		}, []string{"kind"}),
		opened: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkloom_front_connections_total", Help: "Connections opened to endpoints.",
		}),
	}
}

// finished counts a request that has ended.
func (c *counters) finished(r gateway.Result) {
	kind := string(r.Kind)
	c.requests.WithLabelValues(kind, strconv.Itoa(r.Status), string(r.Reason)).Inc()
	c.took.WithLabelValues(kind).Observe(r.Duration.Seconds())
	if r.TimeToFirst > 0 {
		c.first.WithLabelValues(kind).Observe(r.TimeToFirst.Seconds())
	}
}

// gauges returns what is read when metrics are collected.
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
		gauge("config_age_seconds", "Time since the configuration was known to be the newest.", func() float64 {
			if c := f.config.Load(); c != nil {
				return clock.Now().Sub(c.Confirmed).Seconds()
			}
			return 0
		}),
		gauge("directory_age_seconds", "Time since the endpoints' entries were known to be complete.", func() float64 {
			return clock.Now().Sub(clock.Instant(f.directoryRead.Load())).Seconds()
		}),
		gauge("endpoints", "Endpoints that have an entry.", func() float64 { return float64(len(f.directory.Listed())) }),
		gauge("nodes", "Nodes that share the limits.", func() float64 { return float64(f.fellows.Count().Total) }),
		gauge("nodes_silent", "Nodes among them that are not heard of.", func() float64 { return float64(f.fellows.Count().Silent) }),
		gauge("duties", "1 while the node holds the duties.", func() float64 {
			if f.holds.Load() {
				return 1
			}
			return 0
		}),
	}
}

// MetricsOffset is the place of the metrics' port in the range of the nodes' ports.
const MetricsPortOffset = 1

// metricsService serves the metrics to the platform.
func (f *Front) metricsService() kernel.Service {
	registry := prometheus.NewRegistry()
	registry.MustRegister(f.counters.requests, f.counters.first, f.counters.took, f.counters.opened)
	registry.MustRegister(f.gauges()...)
	done := make(chan struct{})
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{Timeout: time.Second}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return kernel.Service{
		Name: ServiceMetrics,
		Done: done,
		Start: func(ctx context.Context) error {
			address := net.JoinHostPort(f.Settings.IP, strconv.Itoa(f.Settings.InternalPorts[0]+MetricsPortOffset))
			return f.serve(ctx, server, address, done)
		},
		Stop: func(context.Context) error { return server.Close() },
	}
}
