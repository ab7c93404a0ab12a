package router_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

var _ = Describe("A reclaim notice", func() {
	It("directs all new requests to other zones after one poll, although a lagging instance list still has the instances as live", func(ctx context.Context) {
		cloud := &standin.Cloud{Lag: time.Hour, Kinds: map[fleet.PoolName]fleet.Kind{pool: fleet.KindModel}}
		DeferCleanup(cloud.Close)
		r := newTestRouter(0)
		for n := range 6 {
			zone := fleet.ZoneName(fmt.Sprint("zone-", n%2))
			i, err := cloud.Start(platform.StartRequest{Pool: pool, Zone: zone, Market: fleet.MarketReclaimable, HourlyPrice: 90})
			Expect(err).NotTo(HaveOccurred())
			r.Roster.Add(i)
		}
		s, err := standin.Serve(cloud.Handler())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		p := &roster.Poller{
			Roster: r.Roster,
			Cloud:  platform.DialCloud(s.URL(), "", http.DefaultClient),
			List:   platform.DialInstanceList(s.URL(), "", http.DefaultClient),
		}
		zones := func() map[fleet.ZoneName]bool {
			seen := map[fleet.ZoneName]bool{}
			for n := range 50 {
				seen[r.assignFor(fmt.Sprint(n)).Engine.Instance.Zone] = true
			}
			return seen
		}
		Expect(zones()).To(HaveLen(2))
		live := r.Roster.Instances()
		Expect(cloud.Reclaim("zone-0", 50*time.Millisecond)).To(Equal(3))
		p.Poll(ctx)
		for _, i := range live {
			r.Roster.Add(i)
		}
		Expect(zones()).To(Equal(map[fleet.ZoneName]bool{"zone-1": true}))
	})
})
