package directory_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

func put(id fleet.InstanceID, state serving.EndpointState) directory.Change {
	return directory.Change{ID: id, Endpoint: &serving.Endpoint{ID: id, Pool: "p", State: state}}
}

var _ = Describe("The directory", func() {
	now := clock.Instant(time.Hour)
	ids := func(d *directory.Directory) (list []fleet.InstanceID) {
		for _, e := range d.Endpoints("p") {
			list = append(list, e.ID)
		}
		return list
	}

	It("lists endpoints by ID and removes those whose entry is removed", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("b", serving.StateReady), put("a", serving.StateReady)}, now)
		Expect(ids(&d)).To(Equal([]fleet.InstanceID{"a", "b"}))
		d.Apply([]directory.Change{{ID: "a"}}, now)
		Expect(ids(&d)).To(Equal([]fleet.InstanceID{"b"}))
	})

	It("removes endpoints that a complete list lacks", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("a", serving.StateReady), put("b", serving.StateReady)}, now)
		d.Replace([]directory.Change{put("b", serving.StateDraining)}, now)
		Expect(ids(&d)).To(Equal([]fleet.InstanceID{"b"}))
		e, ok := d.Find("b")
		Expect(ok).To(BeTrue())
		Expect(e.State).To(Equal(serving.StateDraining))
	})

	It("keeps an endpoint whose entry lapsed in an outage until RenewalGrace has passed", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("a", serving.StateReady), put("b", serving.StateReady)}, now)
		d.MarkStoreRestored(now)
		d.Replace(nil, now)
		Expect(ids(&d)).To(HaveLen(2))
		// Guards against serving lapsed endpoints to other nodes, which restored
		// endpoints that those nodes had already removed.
		Expect(d.Listed()).To(BeEmpty(), "a lapsed endpoint is not served to other nodes")
		d.Apply([]directory.Change{put("a", serving.StateReady)}, now.Add(time.Second))
		d.Expire(now.Add(directory.RenewalGrace))
		Expect(ids(&d)).To(Equal([]fleet.InstanceID{"a"}))
	})

	// Guards against routing requests to an endpoint that left while only this node
	// was cut off from the store.
	It("does not keep a few lapsed endpoints while most of the pool is listed", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("a", serving.StateReady), put("b", serving.StateReady), put("c", serving.StateReady)}, now)
		d.MarkStoreRestored(now)
		d.Apply([]directory.Change{{ID: "c"}}, now)
		Expect(ids(&d)).To(Equal([]fleet.InstanceID{"a", "b"}))
	})

	It("does not keep an endpoint that was draining before the outage", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("a", serving.StateDraining)}, now)
		d.MarkStoreRestored(now)
		d.Replace(nil, now)
		Expect(ids(&d)).To(BeEmpty())
	})

	It("never accepts requests for an incarnation that announced that it leaves", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var d directory.Directory
			at := now
			// left holds the latest incarnation of each endpoint that announced it.
			left := make(map[fleet.InstanceID]int64)
			entry := func() directory.Change {
				c := put(rapid.SampledFrom([]fleet.InstanceID{"a", "b", "c"}).Draw(t, "id"), rapid.SampledFrom([]serving.EndpointState{serving.StateReady, serving.StateDraining}).Draw(t, "state"))
				c.Endpoint.Born = rapid.Int64Range(1, 3).Draw(t, "born")
				return c
			}
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				at = at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond)
				c := entry()
				switch rapid.IntRange(0, 5).Draw(t, "step") {
				case 0:
					d.MarkLeaving(c.ID, c.Endpoint.Born, at)
					left[c.ID] = max(left[c.ID], c.Endpoint.Born)
				case 1:
					d.Apply([]directory.Change{{ID: c.ID}}, at)
				case 2:
					d.Replace([]directory.Change{c}, at)
				case 3:
					d.MarkStoreRestored(at)
				case 4:
					d.Expire(at)
				default:
					d.Apply([]directory.Change{c}, at)
				}
				for _, e := range d.Endpoints("p") {
					if e.Born <= left[e.ID] && e.State == serving.StateReady {
						t.Fatalf("incarnation %d of %s is ready although it leaves", e.Born, e.ID)
					}
				}
				for id, born := range left {
					for older := range born + 1 {
						if d.Accepts(id, older) {
							t.Fatalf("incarnation %d of %s accepts requests although %d leaves", older, id, born)
						}
					}
				}
			}
		})
	})

	It("passes on a departure that the entry does not show, and the entry as it is", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("a", serving.StateReady), put("b", serving.StateReady)}, now)
		Expect(d.MarkLeaving("a", 0, now)).To(BeTrue())
		Expect(d.MarkLeaving("a", 0, now)).To(BeFalse(), "it is known")
		Expect(d.Announced()).To(Equal(map[fleet.InstanceID]int64{"a": 0}))
		Expect(d.Listed()).To(ConsistOf(HaveField("State", serving.StateReady), HaveField("State", serving.StateReady)))
		d.Apply([]directory.Change{put("a", serving.StateDraining)}, now)
		Expect(d.Announced()).To(BeEmpty())
	})
})
