package directory_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// applyStates applies changes to the state of each endpoint.
func applyStates(states map[fleet.InstanceID]serving.EndpointState, changes []directory.Change) {
	for _, c := range changes {
		if c.Endpoint == nil {
			delete(states, c.ID)
		} else {
			states[c.ID] = c.Endpoint.State
		}
	}
}

var _ = Describe("The history", func() {
	entry := func(id fleet.InstanceID, state serving.EndpointState) directory.Change {
		return directory.Change{ID: id, Endpoint: &serving.Endpoint{ID: id, State: state}}
	}

	It("omits renewals that change nothing", func() {
		var h directory.History
		h.Reset(10, []directory.Change{entry("a", serving.StateReady)})
		h.Add(10, 12, []directory.Change{entry("a", serving.StateReady), entry("b", serving.StateReady)})
		changes, to, ok := h.Since(10, 100)
		Expect(ok).To(BeTrue())
		Expect(to).To(Equal(fleet.Offset(12)))
		Expect(changes).To(Equal([]directory.Change{entry("b", serving.StateReady)}))
	})

	It("omits renewals that change only the time until an endpoint is warm or gone", func() {
		var h directory.History
		renewal := func(cold, leaves time.Duration) directory.Change {
			c := entry("a", serving.StateReady)
			c.Endpoint.Cold, c.Endpoint.Leaves = cold, leaves
			return c
		}
		h.Reset(10, []directory.Change{renewal(3*time.Second, 0)})
		h.Add(10, 14, []directory.Change{renewal(2*time.Second, 0), renewal(0, 0), renewal(0, 2*time.Second), renewal(0, time.Second)})
		changes, to, ok := h.Since(10, 100)
		Expect(ok).To(BeTrue())
		Expect(to).To(Equal(fleet.Offset(14)))
		Expect(changes).To(Equal([]directory.Change{renewal(0, 0), renewal(0, 2*time.Second)}))
	})

	It("refuses offsets before its start, after its end and before a gap", func() {
		var h directory.History
		h.Reset(10, nil)
		_, _, ok := h.Since(9, 100)
		Expect(ok).To(BeFalse())
		_, _, ok = h.Since(11, 100)
		Expect(ok).To(BeFalse())
		h.Add(20, 21, []directory.Change{entry("a", serving.StateReady)})
		_, _, ok = h.Since(10, 100)
		Expect(ok).To(BeFalse(), "the records between 10 and 20 were not read")
	})

	It("brings every reader to the current state of the topic", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var h directory.History
			h.Reset(0, nil)
			want, reader := map[fleet.InstanceID]serving.EndpointState{}, map[fleet.InstanceID]serving.EndpointState{}
			var end, read fleet.Offset
			for range rapid.IntRange(1, 60).Draw(t, "reads") {
				batch := make([]directory.Change, rapid.IntRange(1, 12).Draw(t, "records"))
				for i := range batch {
					id := fleet.InstanceID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")))
					batch[i] = entry(id, rapid.SampledFrom([]serving.EndpointState{serving.StateReady, serving.StateDraining}).Draw(t, "state"))
					if rapid.IntRange(0, 4).Draw(t, "removed") == 0 {
						batch[i].Endpoint = nil
					}
				}
				h.Add(end, end+fleet.Offset(len(batch)), batch)
				end += fleet.Offset(len(batch))
				applyStates(want, batch)
				if rapid.Bool().Draw(t, "skips read") {
					continue
				}
				limit := rapid.IntRange(1, 20).Draw(t, "limit")
				changes, to, ok := h.Since(read, limit)
				for ok && to < end {
					if len(changes) > limit {
						t.Fatalf("got %d changes, want at most %d", len(changes), limit)
					}
					applyStates(reader, changes)
					read = to
					changes, to, ok = h.Since(read, limit)
				}
				if !ok {
					// The reader lags too far behind and reads the complete list instead.
					changes, to = nil, end
					clear(reader)
					for id, state := range want {
						reader[id] = state
					}
				}
				applyStates(reader, changes)
				read = to
				if fmt.Sprint(reader) != fmt.Sprint(want) {
					t.Fatalf("reader has %v, want %v", reader, want)
				}
			}
		})
	})

	It("is independent of a directory state fetched from another node", func() {
		var d directory.Directory
		var h directory.History
		h.Reset(5, []directory.Change{entry("a", serving.StateReady)})
		// A snapshot from another node already has the endpoint as draining.
		d.Replace([]directory.Change{entry("a", serving.StateDraining)}, clock.Instant(1))
		h.Add(5, 6, []directory.Change{entry("a", serving.StateDraining)})
		changes, _, _ := h.Since(5, 100)
		Expect(changes).To(HaveLen(1))
	})
})
