package front

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/gossip"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
)

// The report of nodes that died in a shortage stayed in force as long as no digest came, so
// that a node cut off went on to hold and refuse requests.
var _ = It("A shortage of other nodes ends with their silence", func() {
	f := &Front{}
	now := clock.Now()
	f.peers.Apply(gossip.Digest{
		Node:     fleet.NodeRef{Name: "other", Incarnation: 1},
		Address:  "127.0.0.1:9",
		Shortage: &gossip.Shortage{Waiting: waiting.Report{"pool": {Wanted: map[waiting.Rank]float64{0: 1000}}}},
	}, gossip.ScopeNode, now)
	f.applyShortage()
	Expect(f.waiting.Of("pool").Short(1, now)).To(BeTrue())
	f.peers.Expire(now.Add(time.Minute))
	f.housekeep(context.Background())
	Expect(f.waiting.Of("pool").Short(1, now)).To(BeFalse())
})
