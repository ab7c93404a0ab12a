package front

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gateway"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
)

// shortage returns what this node reports of too little room; nil while there is enough.
func (f *Front) shortage() *gossip.Shortage {
	report := f.waiting.Report(clock.Now())
	if report == nil {
		return nil
	}
	return &gossip.Shortage{Waiting: report}
}

// applyShortage takes over what the other nodes report of too little room.
func (f *Front) applyShortage() {
	s := f.peers.Shortage()
	f.waiting.SetPeers(s.Waiting, clock.Now())
}

// waitMetrics are the metrics of requests that wait for room.
type waitMetrics struct{ waits *prometheus.HistogramVec }

func newWaitMetrics() waitMetrics {
	return waitMetrics{waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "skylarkloom_front_wait_seconds", Help: "Time that a request waited for room at the engines, by pool, rank and result (sent, refused, stopped, caller left).",
		Buckets: timeToFirstBuckets,
	}, []string{"pool", "rank", "result"})}
}

// observeWait records a wait for room at the engines of a pool.
func (m *waitMetrics) observeWait(pool fleet.PoolName, w gateway.Wait) {
	m.waits.WithLabelValues(string(pool), strconv.Itoa(int(w.Rank)), string(w.Result)).Observe(w.Duration.Seconds())
}

// waitingCollector reports the number of waiting requests by rank.
type waitingCollector struct {
	front       *Front
	description *prometheus.Desc
}

func (f *Front) newWaitingCollector() waitingCollector {
	return waitingCollector{f, prometheus.NewDesc("skylarkloom_front_waiting", "Requests that wait for room at the engines, by rank.", []string{"rank"}, nil)}
}

// Describe implements prometheus.Collector.
func (c waitingCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.description }

// Collect implements prometheus.Collector.
func (c waitingCollector) Collect(ch chan<- prometheus.Metric) {
	for rank, n := range c.front.waiting.Waiting() {
		ch <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, float64(n), strconv.Itoa(int(rank)))
	}
}
