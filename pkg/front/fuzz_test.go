package front

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/pace"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
	"github.com/skylarkloom/skylarkloom/platform"
)

// fuzzedFront returns a node that is not started, with a configuration.
func fuzzedFront() *Front {
	f := &Front{}
	f.Settings.Bounds.UsageWindow = 5 * time.Second
	f.peers.Self, f.peers.DataCentre = "self", "x"
	f.peers.OnConsumed, f.peers.OnFirstReport = f.quotas.AddPeerUsage, f.quotas.Adopt
	f.tracker.Pace = &f.pace
	f.metrics = newRequestMetrics()
	f.startTime, f.startInstant = time.Now(), clock.Now()
	f.applyConfig([]platform.Record{{Key: platform.KeyConfig, Value: []byte(`{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","kind":"safe","timeoutMs":1000,"service":"p","attempts":2}],"services":[{"name":"p"}],"tenants":[{"name":"a","apiKeys":["k"],"ratePerS":1,"burst":1}]}`)}}, clock.Now())
	return f
}

// exercise does what a node does with the state that it has.
func (f *Front) exercise() {
	now := clock.Now()
	f.peers.Expire(now)
	f.peers.Count()
	f.totalDemand()
	f.expireGossipState()
	f.updatePace()
	f.applyShortage()
	f.quarantine.Quarantined([]quarantine.Subject{1}, now.Add(time.Minute))
	f.quarantine.Unstored(now)
	f.quarantine.FullReport(now)
	f.Describe()
	f.peers.Summarise(f.Describe(), gossip.ScopeFleet, "b", now)
	if c := f.config.Load(); c != nil {
		f.quotas.Track(c.Accounts, f.nodes(), now)
	}
	for _, pool := range []fleet.PoolName{"p", ""} {
		f.directory.Endpoints(pool)
		f.engines.Speeds(pool)
		f.waiting.Of(pool).Short(1, now)
	}
}

// FuzzDigest checks that no digest of a peer ends the process.
func FuzzDigest(f *testing.F) {
	for _, d := range []gossip.Digest{
		{Node: fleet.NodeRef{Name: "n", Incarnation: 1}, DataCentre: "x", Address: "127.0.0.1:1", Clock: time.Now(), Usage: usage.Counts{1: nil}},
		{
			Node: fleet.NodeRef{Name: "n", Incarnation: 2}, DataCentre: "y", Work: map[fleet.InstanceID]placement.Work{"i": {Running: 1, Backlog: 2}},
			Consumed: map[fleet.AccountName]float64{"a": 1}, Demand: map[fleet.PoolName]float64{"p": 1}, OtherNodes: 3, SilentNodes: 1,
			Speeds: map[fleet.PoolName]provision.Speeds{"p": {}}, Leaving: map[fleet.InstanceID]int64{"i": 1}, Rollouts: []canary.Report{{}},
			Pace: pace.Evidence{}, Shortage: &gossip.Shortage{Waiting: waiting.Report{"p": {Wanted: map[waiting.Rank]float64{0: 1}}}}, Quotas: allotment.Report{Young: true},
			Quarantine: quarantine.Report{
				Suspicions:  []quarantine.Suspicion{{Instance: "i", Subjects: []quarantine.Subject{1, 2}, Age: time.Second, Ran: time.Second, ID: 1, Answered: true}, {}},
				Successes:   []quarantine.Success{{Subject: 1, Age: time.Second}},
				Quarantines: []quarantine.Quarantine{{Subject: 1, Remaining: time.Second, Count: 1}},
			},
		},
		{Node: fleet.NodeRef{Name: "n", Incarnation: 1}, DataCentre: "x", OtherNodes: -2, SilentNodes: 1 << 60},
	} {
		data, err := cbor.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var d gossip.Digest
		if cbor.Unmarshal(data, &d) != nil {
			return
		}
		n := fuzzedFront()
		for _, scope := range []gossip.Scope{gossip.ScopeNode, gossip.ScopeRelayGroup, gossip.ScopeFleet} {
			n.peers.Apply(d, scope, clock.Now())
			n.peers.SetClockOffset(d.Node.Name, d.Clock.Sub(n.wallClock()))
			n.applyDigest(d)
			n.reunited(&d, clock.Now())
			n.exercise()
		}
	})
}

// FuzzPeerState checks that nothing that a peer serves over HTTP ends the process.
func FuzzPeerState(f *testing.F) {
	s := snapshot{Document: []byte(`{"version":2}`), Endpoints: []serving.Endpoint{{ID: "i", Pool: "p"}}}
	report := quarantine.Report{Suspicions: []quarantine.Suspicion{{Instance: "i", Subjects: []quarantine.Subject{1}, ID: 1}}}
	for _, v := range []any{s, report} {
		data, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		n := fuzzedFront()
		var s snapshot
		if cbor.Unmarshal(data, &s) == nil {
			n.applySnapshot(s, clock.Now(), true)
			n.exercise()
		}
		var r quarantine.Report
		if cbor.Unmarshal(data, &r) == nil {
			n.quarantine.Merge(r, clock.Now())
			n.exercise()
		}
	})
}

// FuzzStoreRecord checks that no record of the store's topics ends the process.
func FuzzStoreRecord(f *testing.F) {
	crash, err := json.Marshal(crashRecord{Endpoint: "i", Subjects: []string{"0000000000000001"}, At: time.Now(), Ran: time.Second})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("0000000000000001-0000000000000002", crash)
	f.Add("0000000000000001", []byte(`{"until":"2100-01-01T00:00:00Z","count":3}`))
	f.Add("p", []byte(`{"service":"p","to":"v2","durationS":30}`))
	f.Add("i", []byte(`{"service":"p","address":"127.0.0.1:1","zone":"x","slots":4,"state":"ready","version":"v1","seqNo":1,"born":1}`))
	f.Add("n", []byte(`{"Address":"127.0.0.1:1","DataCentre":"x","Incarnation":1,"Cores":1}`))
	f.Add("config", []byte(`{"version":2,"routes":[],"services":[]}`))
	f.Add("rollout/p", []byte(`{"service":"p","to":"v2","durationS":30}`))
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		n := fuzzedFront()
		records := []platform.Record{{Key: key, Value: value}}
		n.applyQuarantines(records)
		n.applyOperator(records, clock.Now())
		n.applyChanges(0, 1, n.parseChanges(records))
		n.applyNodes(records)
		n.exercise()
	})
}
