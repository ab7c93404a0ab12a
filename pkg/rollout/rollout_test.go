package rollout_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/rollout"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "rollout")
}

var _ = Describe("A rollout", func() {
	It("ends with every engine changed, never with two zones or more than a quarter at once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count, zones := rapid.IntRange(1, 24).Draw(t, "engines"), rapid.IntRange(1, 3).Draw(t, "zones")
			v := rollout.PoolState{Pool: fleet.Pool{Name: "plume", Version: "2"}, Now: time.Unix(1_800_000_000, 0)}
			for n := range count {
				v.Endpoints = append(v.Endpoints, rollout.Endpoint{
					Instance: fleet.Instance{ID: fleet.InstanceID(fmt.Sprint("plume-", n)), Zone: fleet.ZoneName(fmt.Sprint("z", n%zones))},
					Version:  "1",
				})
			}
			for range 40 * count {
				v.Now = v.Now.Add(2 * time.Second)
				apply(t, &v, rollout.Decide(v))
				held := map[fleet.ZoneName]int{}
				for _, e := range v.Endpoints {
					if e.OnHold && rollout.Outdated(v.Pool, e) {
						held[e.Instance.Zone]++
					}
				}
				Expect(len(held)).To(BeNumerically("<=", 1))
				for _, n := range held {
					Expect(n).To(BeNumerically("<=", max(1, count/4)))
				}
			}
			for _, e := range v.Endpoints {
				Expect(rollout.Outdated(v.Pool, e)).To(BeFalse())
				Expect(e.OnHold).To(BeFalse())
			}
		})
	})
})

// apply carries the steps out, as engines that finish their work and their
// loads at some time would; no engine is loaded while it works.
func apply(t *rapid.T, v *rollout.PoolState, steps []rollout.Step) {
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		e.Idle = e.OnHold && (e.Idle || rapid.Bool().Draw(t, "idle"))
		for _, s := range steps {
			if s.Instance.ID != e.Instance.ID {
				continue
			}
			switch s.Action {
			case rollout.ActionHold:
				e.OnHold = true
			case rollout.ActionRelease:
				e.OnHold = false
			case rollout.ActionLoad:
				Expect(e.Idle).To(BeTrue())
				e.LastCommand, v.LastLoad = v.Now, v.Now
				e.Version = v.Pool.Version
			}
		}
	}
}
