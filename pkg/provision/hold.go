package provision

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// holdTime is how long reclaimable endpoints are kept after the plan last required them.
// It is several times their boot time.
const holdTime = 15 * time.Second

// Hold keeps the reclaimable endpoints that a pool's plan required lately. It answers
// demand that swings within seconds: an engine that is released takes its cached prefix
// blocks along, and the one that is requested next has to boot and prefill them again.
// The zero value is ready to use.
type Hold struct {
	required map[fleet.DataCentreName]heldCount
}

// heldCount is a number of endpoints and when it was required.
type heldCount struct {
	count int
	at    clock.Instant
}

// Apply raises targets to what was required lately, within the bounds of each data
// centre and unless no more endpoints are to be had there.
func (h *Hold) Apply(targets []Target, supplies []Supply, scale serving.Scale, now clock.Instant) {
	if h.required == nil {
		h.required = make(map[fleet.DataCentreName]heldCount)
	}
	for i := range targets {
		t := &targets[i]
		held := h.required[t.DataCentre]
		switch {
		case t.Reclaimable >= held.count || now.Sub(held.at) > holdTime:
			h.required[t.DataCentre] = heldCount{t.Reclaimable, now}
		case !supplies[i].ReclaimableUnavailable:
			t.Reclaimable = max(t.Reclaimable, min(held.count, scale.Max-t.OnDemand))
		}
	}
}
