package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

var (
	descInFlight = describe("skylarkloom_requests_in_flight", "Requests that this node serves now.")
	descReady    = describe("skylarkloom_ready", "1 if the node serves callers.")
	descRevision = describe("skylarkloom_config_revision", "Revision of the configuration that this node works by.")
	descDegraded = describe("skylarkloom_degraded", "Number of things that do not work now; see skylarkctl status.")

	descInstances = describe("skylarkloom_instances", "Instances as this node sees them.", "pool", "zone", "condition")

	descAppends    = describe("skylarkloom_log_appends_total", "Appends to the log.", "stream")
	descFailed     = describe("skylarkloom_log_append_failures_total", "Appends that failed or whose answer was lost.", "stream")
	descBytes      = describe("skylarkloom_log_appended_bytes_total", "Bytes appended to the log.", "stream")
	descFolded     = describe("skylarkloom_log_folded_total", "Records read from the log.", "stream")
	descUnreadable = describe("skylarkloom_log_unreadable_total", "Records that could not be read.", "stream")
	descSnapshots  = describe("skylarkloom_log_snapshots_total", "Snapshots appended to the log.", "stream")
	descHealthy    = describe("skylarkloom_log_healthy", "0 if the last appends failed, within 15 s.", "stream")
	descLag        = describe("skylarkloom_log_lag_seconds", "Time since the log last answered a read.", "stream")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (s *Set) Describe(ch chan<- *prometheus.Desc) {
	s.init()
	for _, c := range s.vectors() {
		c.Describe(ch)
	}
	for _, d := range []*prometheus.Desc{
		descInFlight, descReady, descRevision, descDegraded, descInstances, descAppends, descFailed,
		descBytes, descFolded, descUnreadable, descSnapshots, descHealthy, descLag,
	} {
		ch <- d
	}
}

func (s *Set) vectors() []prometheus.Collector {
	return []prometheus.Collector{s.requests, s.tokens, s.recomputed, s.judged, s.objective, s.first, s.between, s.total}
}

// Collect implements prometheus.Collector.
func (s *Set) Collect(ch chan<- prometheus.Metric) {
	s.init()
	for _, c := range s.vectors() {
		c.Collect(ch)
	}
	if s.Read == nil {
		return
	}
	r := s.Read()
	gauge(ch, descInFlight, float64(r.InFlight))
	gauge(ch, descReady, truth(r.Ready))
	gauge(ch, descRevision, float64(r.Revision))
	gauge(ch, descDegraded, float64(len(r.Degraded)))
	collectInstances(ch, r.Instances)
	for _, t := range r.Streams {
		t.collect(ch)
	}
}

func (t Stream) collect(ch chan<- prometheus.Metric) {
	name := string(t.Name)
	counter(ch, descAppends, t.Stats.Appends, name)
	counter(ch, descFailed, t.Stats.FailedWrites, name)
	counter(ch, descBytes, t.Stats.Bytes, name)
	counter(ch, descFolded, t.Stats.Folded, name)
	counter(ch, descUnreadable, t.Stats.Unreadable, name)
	counter(ch, descSnapshots, t.Stats.Snapshots, name)
	gauge(ch, descHealthy, truth(t.Healthy), name)
	if t.Lag > 0 {
		gauge(ch, descLag, t.Lag.Seconds(), name)
	}
}

// group is a set of instances that are counted together.
type group struct {
	pool      fleet.PoolName
	zone      fleet.ZoneName
	condition fleet.Condition
}

func collectInstances(ch chan<- prometheus.Metric, instances []fleet.Instance) {
	counts := map[group]int{}
	for _, i := range instances {
		counts[group{i.Pool, i.Zone, i.Condition}]++
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

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
