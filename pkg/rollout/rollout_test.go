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
	It("updates every engine, and never more than one zone or a quarter of the pool at once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count, zones := rapid.IntRange(1, 24).Draw(t, "engines"), rapid.IntRange(1, 3).Draw(t, "zones")
			state := rollout.PoolState{Pool: fleet.Pool{Name: "plume", Version: "2"}, Now: time.Unix(1_800_000_000, 0)}
			for n := range count {
				state.Endpoints = append(state.Endpoints, rollout.Endpoint{
					Instance: fleet.Instance{ID: fleet.InstanceID(fmt.Sprint("plume-", n)), Zone: fleet.ZoneName(fmt.Sprint("z", n%zones))},
					Version:  "1",
				})
			}
			for range 40 * count {
				state.Now = state.Now.Add(2 * time.Second)
				apply(t, &state, rollout.Decide(state))
				onHold := map[fleet.ZoneName]int{}
				for _, e := range state.Endpoints {
					if e.OnHold && rollout.Outdated(state.Pool, e) {
						onHold[e.Instance.Zone]++
					}
				}
				Expect(len(onHold)).To(BeNumerically("<=", 1))
				for _, n := range onHold {
					Expect(n).To(BeNumerically("<=", max(1, count/4)))
				}
			}
			for _, e := range state.Endpoints {
				Expect(rollout.Outdated(state.Pool, e)).To(BeFalse())
				Expect(e.OnHold).To(BeFalse())
			}
		})
	})
})

// apply executes the steps on simulated engines that become idle at random times and
// load immediately. It checks that only idle engines are loaded.
func apply(t *rapid.T, state *rollout.PoolState, steps []rollout.Step) {
	for i := range state.Endpoints {
		e := &state.Endpoints[i]
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
			case rollout.ActionCommand:
				Expect(e.Idle).To(BeTrue())
				e.LastCommand, state.LastCommand = state.Now, state.Now
				e.Version = state.Pool.Version
			}
		}
	}
}
