package lease_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/lease"
)

const window = 30 * time.Second

var _ = Describe("The state of the lease stream", func() {
	It("grants a duty to one node at a time and ignores intents under an expired lease", func() {
		takeovers := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var (
				state  lease.State
				now    = time.Unix(1_800_000_000, 0)
				offset fleet.Offset
				holder fleet.NodeRef
				fence  fleet.Fence
				until  time.Time
				fences = map[fleet.NodeRef]fleet.Fence{}
				tags   int
			)
			apply := func(e record.Envelope) {
				offset++
				Expect(state.Apply(record.Position{Offset: offset, Time: now}, e)).To(Succeed())
			}
			write := func(kind record.Kind, body any) {
				e, err := record.New(kind, now, body)
				Expect(err).NotTo(HaveOccurred())
				apply(e)
			}
			node := func(t *rapid.T) fleet.NodeRef {
				return fleet.NodeRef{Name: fleet.NodeName(rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "node"))}
			}
			t.Repeat(map[string]func(*rapid.T){
				"claim": func(t *rapid.T) {
					n := node(t)
					write(record.KindClaim, record.Claim{Name: "duty", Node: n, Window: window})
					if until.Before(now) {
						if holder.Name != "" && holder != n {
							takeovers++
						}
						holder, fence = n, fleet.Fence(offset)+1
						fences[n] = fence
					}
					if holder == n {
						until = now.Add(window)
					}
				},
				"intent": func(t *rapid.T) {
					n := node(t)
					tags++
					tag := fmt.Sprint(tags)
					write(record.KindIntent, record.Intent{Lease: "duty", Fence: fences[n], Tag: tag})
					accepted := n == holder && fences[n] == fence && fence != 0 && !until.Before(now)
					Expect(state.IntentOpen(tag)).To(Equal(accepted))
				},
				"close": func(t *rapid.T) {
					if open := state.Intents(); len(open) > 0 {
						tag := rapid.SampledFrom(open).Draw(t, "intent").Tag
						write(record.KindClosed, record.Closed{Tag: tag, Result: record.StartRunning})
						Expect(state.IntentOpen(tag)).To(BeFalse())
					}
				},
				"pass": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
				},
				"restart": func(*rapid.T) {
					data, err := state.Save()
					Expect(err).NotTo(HaveOccurred())
					var loaded lease.State
					Expect(loaded.Load(data)).To(Succeed())
					state = loaded
				},
				"": func(*rapid.T) {
					l, ok := state.Get("duty")
					if ok && !until.Before(now) {
						Expect(l.Node).To(Equal(holder))
						Expect(l.Fence).To(Equal(fence))
					}
				},
			})
		})
		Expect(takeovers).To(BeNumerically(">", 0))
	})
})
