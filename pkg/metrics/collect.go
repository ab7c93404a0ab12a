package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

var (
	descInFlight = describe("skylarkloom_requests_in_flight", "Requests in flight on this node.")
	descReady    = describe("skylarkloom_ready", "1 if the node is ready to serve callers, 0 otherwise.")
	descRevision = describe("skylarkloom_config_revision", "Revision of the configuration in force on this node.")
	descDegraded = describe("skylarkloom_degraded", "Number of current problems of this node; see skylarkctl status.")

	descInstances = describe("skylarkloom_instances", "Instances known to this node.", "pool", "zone", "condition")

	descAppends        = describe("skylarkloom_log_appends_total", "Appends to the log.", "stream")
	descAppendFailures = describe("skylarkloom_log_append_failures_total", "Appends that failed or whose response was lost.", "stream")
	descBytes          = describe("skylarkloom_log_appended_bytes_total", "Bytes appended to the log.", "stream")
	descApplied        = describe("skylarkloom_log_folded_total", "Records read from the log.", "stream")
	descUnreadable     = describe("skylarkloom_log_unreadable_total", "Records that could not be read.", "stream")
	descSnapshots      = describe("skylarkloom_log_snapshots_total", "Snapshots appended to the log.", "stream")
	descHealthy        = describe("skylarkloom_log_healthy", "0 if the last appends to the log failed and the latest failure is less than 15 s old; 1 otherwise.", "stream")
	descLag            = describe("skylarkloom_log_lag_seconds", "Time since the last successful read of the log.", "stream")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (s *Set) Describe(ch chan<- *prometheus.Desc) {
	s.init()
	for _, c := range s.collectors() {
		c.Describe(ch)
	}
	for _, d := range []*prometheus.Desc{
		descInFlight, descReady, descRevision, descDegraded, descInstances, descAppends, descAppendFailures,
		descBytes, descApplied, descUnreadable, descSnapshots, descHealthy, descLag,
	} {
		ch <- d
	}
}

func (s *Set) collectors() []prometheus.Collector {
	return []prometheus.Collector{s.requests, s.tokens, s.recomputed, s.verdicts, s.objective, s.firstToken, s.betweenTokens, s.duration}
}

// Collect implements prometheus.Collector.
func (s *Set) Collect(ch chan<- prometheus.Metric) {
	s.init()
	for _, c := range s.collectors() {
		c.Collect(ch)
	}
	if s.Read == nil {
		return
	}
	sample := s.Read()
	gauge(ch, descInFlight, float64(sample.InFlight))
	gauge(ch, descReady, boolValue(sample.Ready))
	gauge(ch, descRevision, float64(sample.Revision))
	gauge(ch, descDegraded, float64(len(sample.Degraded)))
	collectInstances(ch, sample.Instances)
	for _, t := range sample.Streams {
		t.collect(ch)
	}
}

func (t Stream) collect(ch chan<- prometheus.Metric) {
	name := string(t.Name)
	counter(ch, descAppends, t.Stats.Appends, name)
	counter(ch, descAppendFailures, t.Stats.FailedWrites, name)
	counter(ch, descBytes, t.Stats.Bytes, name)
	counter(ch, descApplied, t.Stats.Folded, name)
	counter(ch, descUnreadable, t.Stats.Unreadable, name)
	counter(ch, descSnapshots, t.Stats.Snapshots, name)
	gauge(ch, descHealthy, boolValue(t.Healthy), name)
	if t.Lag > 0 {
		gauge(ch, descLag, t.Lag.Seconds(), name)
	}
}

// instanceGroup holds the label values of a count of instances.
type instanceGroup struct {
	pool      fleet.PoolName
	zone      fleet.ZoneName
	condition fleet.Condition
}

func collectInstances(ch chan<- prometheus.Metric, instances []fleet.Instance) {
	counts := map[instanceGroup]int{}
	for _, i := range instances {
		counts[instanceGroup{i.Pool, i.Zone, i.Condition}]++
	}
	for g, n := range counts {
		gauge(ch, descInstances, float64(n), string(g.pool), string(g.zone), string(g.condition))
	}
}

func gauge(ch chan<- prometheus.Metric, d *prometheus.Desc, value float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func counter(ch chan<- prometheus.Metric, d *prometheus.Desc, value int, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
