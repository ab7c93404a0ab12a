package front

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gateway"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
)

// shortage returns what this node reports of too little room; nil while there is enough.
func (f *Front) shortage() *gossip.Shortage {
	now := f.correctedTime()
	s := gossip.Shortage{Waiting: f.waiting.Report(clock.Now()), Promises: f.returns.Report(now), Visitors: f.visitors.Report(now)}
	if s.Waiting == nil && s.Promises == nil && s.Visitors == nil {
		return nil
	}
	return &s
}

// applyShortage takes over what the other nodes report of too little room.
func (f *Front) applyShortage() {
	s := f.peers.Shortage()
	f.waiting.SetPeers(s.Waiting, clock.Now())
	f.returns.SetPeers(s.Promises)
	f.visitors.SetPeers(s.Visitors)
}

// logShortage logs the begin and the end of a shortage at this node.
func (f *Front) logShortage() {
	short := f.waiting.Report(clock.Now()) != nil
	if short == f.short {
		return
	}
	f.short = short
	id := event.ShortageEnded
	if short {
		id = event.ShortageBegan
	}
	f.Logs.Emit(id, zap.Any("waiting", f.waiting.Waiting()))
}

// waitMetrics are the metrics of requests that wait for room.
type waitMetrics struct {
	waits   *prometheus.HistogramVec
	returns *prometheus.CounterVec
}

func newWaitMetrics() waitMetrics {
	return waitMetrics{
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "skylarkloom_front_wait_seconds", Help: "Time that a request waited for room at the engines, by pool, rank and result (sent, refused, stopped, caller left).",
			Buckets: timeToFirstBuckets,
		}, []string{"pool", "rank", "result"}),
		returns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkloom_front_returns_total", Help: "Callers that were told when to come back, came back then or came back early, by pool (promised, kept, early).",
		}, []string{"pool", "what"}),
	}
}

// countReturn counts a caller that is told to come back, or comes back.
func (m *waitMetrics) countReturn(pool fleet.PoolName, what gateway.Return) {
	m.returns.WithLabelValues(string(pool), string(what)).Inc()
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
