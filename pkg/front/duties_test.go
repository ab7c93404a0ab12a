package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gateway"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

var _ = It("plans for the demand that was reported before this node got the duties", func() {
	const pool = fleet.PoolName("p")
	p := serving.Pool{Name: pool, Scale: &serving.Scale{Min: 1, Max: 100}}
	var f Front
	f.Settings.Cloud.Scale = true
	f.Settings.DataCentres = []fleet.DataCentreName{"a", "b", "c"}
	f.lastPlans = make(map[fleet.PoolName][]provision.Target)
	f.trends = make(map[fleet.PoolName]*provision.Trend)
	f.reported = make(map[fleet.PoolName]*provision.ReportedDemand)
	f.holds = make(map[fleet.PoolName]*provision.Hold)
	f.config.Store(&gateway.Config{Config: &serving.Config{Pools: map[fleet.PoolName]serving.Pool{pool: p}}})
	now := clock.Now()
	f.demand.Update(now.Add(-20 * time.Second))
	f.demand.Add(pool, 1)
	f.demand.Update(now.Add(-10 * time.Second))
	report := func(demand float64) {
		f.peers.Apply(gossip.Digest{Node: fleet.NodeRef{Name: "peer", Incarnation: 1}, Demand: map[fleet.PoolName]float64{pool: demand}}, gossip.ScopeNode, clock.Now())
	}
	report(48)
	f.observeDemand()
	report(0)
	onDemand := 0
	for _, s := range f.poolScales(p, f.totalDemand()[pool], func(platform.ScaleRequest) bool { return false }) {
		if s.Market == fleet.MarketOnDemand {
			onDemand += s.Count
		}
	}
	Expect(onDemand).To(BeNumerically(">=", 48))
})
