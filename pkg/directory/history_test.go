package directory_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// fold returns the state of each endpoint after changes.
func fold(states map[fleet.InstanceID]serving.State, changes []directory.Change) {
	for _, c := range changes {
		if c.Endpoint == nil {
			delete(states, c.ID)
		} else {
			states[c.ID] = c.Endpoint.State
		}
	}
}

var _ = Describe("Passing on what was read", func() {
	entry := func(id fleet.InstanceID, state serving.State) directory.Change {
		return directory.Change{ID: id, Endpoint: &serving.Endpoint{ID: id, State: state}}
	}

	It("leaves out renewals that change nothing", func() {
		var h directory.History
		h.Reset(10, []directory.Change{entry("a", serving.StateReady)})
		h.Add(10, 12, []directory.Change{entry("a", serving.StateReady), entry("b", serving.StateReady)})
		changes, to, ok := h.Since(10, 100)
		Expect(ok).To(BeTrue())
		Expect(to).To(Equal(fleet.Offset(12)))
		Expect(changes).To(Equal([]directory.Change{entry("b", serving.StateReady)}))
	})

	It("tells nothing to a node that read before it began, or further than it", func() {
		var h directory.History
		h.Reset(10, nil)
		_, _, ok := h.Since(9, 100)
		Expect(ok).To(BeFalse())
		_, _, ok = h.Since(11, 100)
		Expect(ok).To(BeFalse())
		h.Add(20, 21, []directory.Change{entry("a", serving.StateReady)})
		_, _, ok = h.Since(10, 100)
		Expect(ok).To(BeFalse(), "what came between was not read")
	})

	It("brings every reader to the state of the topic", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var h directory.History
			h.Reset(0, nil)
			truth, reader := map[fleet.InstanceID]serving.State{}, map[fleet.InstanceID]serving.State{}
			var end, read fleet.Offset
			for range rapid.IntRange(1, 60).Draw(t, "reads") {
				batch := make([]directory.Change, rapid.IntRange(1, 12).Draw(t, "records"))
				for i := range batch {
					id := fleet.InstanceID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")))
					batch[i] = entry(id, rapid.SampledFrom([]serving.State{serving.StateReady, serving.StateDraining}).Draw(t, "state"))
					if rapid.IntRange(0, 4).Draw(t, "dropped") == 0 {
						batch[i].Endpoint = nil
					}
				}
				h.Add(end, end+fleet.Offset(len(batch)), batch)
				end += fleet.Offset(len(batch))
				fold(truth, batch)
				if rapid.Bool().Draw(t, "asks") {
					continue
				}
				most := rapid.IntRange(1, 20).Draw(t, "most")
				changes, to, ok := h.Since(read, most)
				for ok && to < end {
					if len(changes) > most {
						t.Fatalf("%d of at most %d changes", len(changes), most)
					}
					fold(reader, changes)
					read = to
					changes, to, ok = h.Since(read, most)
				}
				if !ok {
					// The reader lagged too far and reads the store.
					changes, to = nil, end
					clear(reader)
					for id, state := range truth {
						reader[id] = state
					}
				}
				fold(reader, changes)
				read = to
				if fmt.Sprint(reader) != fmt.Sprint(truth) {
					t.Fatalf("reader has %v, the topic %v", reader, truth)
				}
			}
		})
	})

	It("keeps what a node passes on apart from what it took over", func() {
		var d directory.Directory
		var h directory.History
		h.Reset(5, []directory.Change{entry("a", serving.StateReady)})
		// The node took another's view over, in which the endpoint leaves.
		d.Replace([]directory.Change{entry("a", serving.StateDraining)}, clock.Instant(1))
		h.Add(5, 6, []directory.Change{entry("a", serving.StateDraining)})
		changes, _, _ := h.Since(5, 100)
		Expect(changes).To(HaveLen(1))
	})
})
