package directory_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

func put(id fleet.InstanceID, state serving.State) directory.Change {
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

	It("lists endpoints by id and drops those whose entry is gone", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("b", serving.StateReady), put("a", serving.StateReady)}, now)
		Expect(ids(&d)).To(Equal([]fleet.InstanceID{"a", "b"}))
		d.Apply([]directory.Change{{ID: "a"}}, now)
		Expect(ids(&d)).To(Equal([]fleet.InstanceID{"b"}))
	})

	It("drops what a complete list lacks", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("a", serving.StateReady), put("b", serving.StateReady)}, now)
		d.Replace([]directory.Change{put("b", serving.StateDraining)}, now)
		Expect(ids(&d)).To(Equal([]fleet.InstanceID{"b"}))
		e, ok := d.Find("b")
		Expect(ok).To(BeTrue())
		Expect(e.State).To(Equal(serving.StateDraining))
	})

	It("keeps an endpoint whose entry lapsed in an outage until it had time to renew it", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("a", serving.StateReady), put("b", serving.StateReady)}, now)
		d.MarkStoreRestored(now)
		d.Replace(nil, now)
		Expect(ids(&d)).To(HaveLen(2))
		// Found by a hunt: a node passed on an endpoint that it only kept for itself,
		// and others that knew better took it back.
		Expect(d.Listed()).To(BeEmpty(), "what only waits for its renewal is not passed on")
		d.Apply([]directory.Change{put("a", serving.StateReady)}, now.Add(time.Second))
		d.Expire(now.Add(directory.RenewalGrace))
		Expect(ids(&d)).To(Equal([]fleet.InstanceID{"a"}))
	})

	// Found by a hunt: only this node had been cut off from the store, and requests
	// went on to an endpoint that had left meanwhile.
	It("does not keep the few that are gone while most are listed", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("a", serving.StateReady), put("b", serving.StateReady), put("c", serving.StateReady)}, now)
		d.MarkStoreRestored(now)
		d.Apply([]directory.Change{{ID: "c"}}, now)
		Expect(ids(&d)).To(Equal([]fleet.InstanceID{"a", "b"}))
	})

	It("does not keep one that was draining when the outage came", func() {
		var d directory.Directory
		d.Apply([]directory.Change{put("a", serving.StateDraining)}, now)
		d.MarkStoreRestored(now)
		d.Replace(nil, now)
		Expect(ids(&d)).To(BeEmpty())
	})
})
