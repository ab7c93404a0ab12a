package overflow_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/overflow"
)

var _ = It("measures the offered work by data centre, and forgets it", func() {
	var m overflow.Meter
	now := clock.Instant(time.Hour)
	play := func(rounds int, add func()) {
		for range rounds {
			add()
			now = now.Add(300 * time.Millisecond)
			m.Update(now)
		}
	}
	play(100, func() {
		// Ten requests of 60 ms in 300 ms keep two engines busy.
		for range 10 {
			m.Add("p", "here", false, overflow.Costs{Work: 60 * time.Millisecond, Transfer: 4 * time.Millisecond})
		}
		m.Add("p", "there", true, overflow.Costs{Work: 300 * time.Millisecond})
	})
	Expect(m.Offered()["here"]["p"].Free).To(BeNumerically("~", 2, 0.05))
	Expect(m.Offered()["there"]["p"].Bound).To(BeNumerically("~", 1, 0.05))
	Expect(m.Costs("p")).To(Equal(overflow.Costs{Work: 60 * time.Millisecond, Transfer: 4 * time.Millisecond}))
	play(300, func() {})
	Expect(m.Offered()).To(BeEmpty())
})

var _ = It("keeps the entries with the most work", func() {
	offered := make(overflow.Offered)
	for i := range 150 {
		offered.Add(overflow.Offered{"dc": {fleet.PoolName(fmt.Sprint(i)): {Free: float64(i)}}})
	}
	Expect(offered.Trim()["dc"]).To(HaveLen(96))
	Expect(offered.Trim()["dc"]).To(HaveKey(fleet.PoolName("149")))
	Expect(offered.Trim()["dc"]).NotTo(HaveKey(fleet.PoolName("53")))
})

var _ = It("makes no plan for a pool in one data centre", func() {
	var c overflow.Controller
	list := sites(45, 10)
	_, _ = c.Renew("p", list)
	_, ok := c.Plan("p")
	Expect(ok).To(BeFalse(), "nothing measured")
	c.Meter.Add("p", "dc0", false, costs)
	_, renewed := c.Renew("p", list)
	Expect(renewed.Leaving("dc0")).To(BeNumerically(">", 0))
	list[1].Capacity = 0
	_, _ = c.Renew("p", list)
	_, ok = c.Plan("p")
	Expect(ok).To(BeFalse())
})
