package gossip

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/returning"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
)

var _ = DescribeTable("What nodes report of a shortage",
	func(dataCentres, nodesPerDataCentre int) {
		f := newFleet(dataCentres, nodesPerDataCentre)
		var visitors returning.Visitors
		due := time.Unix(1_800_000_000, 0)
		visitors.Record(7, due)
		for i, n := range f.nodes {
			describe := n.Describe
			n.Describe = func() Digest {
				d := describe()
				d.Shortage = &Shortage{
					Waiting:  waiting.Report{"pool": {Wanted: map[waiting.Rank]float64{1: 2}, Received: map[fleet.AccountName]float64{"acc": 3}}},
					Promises: map[fleet.PoolName]returning.Promises{"pool": {40: 5}},
				}
				if i == 0 {
					d.Shortage.Visitors = visitors.Report(due)
				}
				return d
			}
		}
		f.run(3 * time.Second)
		others := float64(len(f.nodes) - 1)
		for i, n := range f.nodes {
			s := n.table.Shortage()
			Expect(s.Waiting["pool"].Wanted[1]).To(Equal(2*others), "node %d", i)
			Expect(s.Waiting["pool"].Received["acc"]).To(Equal(3*others), "node %d", i)
			Expect(s.Promises["pool"][40]).To(Equal(5*others), "node %d", i)
			if i > 0 {
				var known returning.Visitors
				known.SetPeers(s.Visitors)
				Expect(known.Standing(7, due)).To(Equal(returning.StandingKept), "node %d", i)
			}
		}
		for _, n := range f.nodes {
			n.Describe = func() Digest {
				return Digest{Node: fleet.NodeRef{Name: n.name(), Incarnation: 1}, DataCentre: n.dataCentre, Address: n.address.String()}
			}
		}
		f.run(3 * time.Second)
		Expect(f.nodes[len(f.nodes)-1].table.Shortage().Waiting).To(BeEmpty())
	},
	Entry("reaches all nodes of a small fleet once", 3, 3),
	Entry("reaches all nodes of a large fleet once", 3, 20),
)
