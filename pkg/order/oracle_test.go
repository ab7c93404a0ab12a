package order_test

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/ledger"
	"github.com/skylarkloom/skylarkloom/pkg/order"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// checkRules checks the outcome of a case against every rule.
func (c *cluster) checkRules() {
	state, accepts := c.replay()
	c.checkRuns(accepts)
	c.checkOutcomes(state, accepts)
	c.checkResponses(state)
	c.checkAgreement(state)
	c.checkConfig()
	c.checkCharges()
}

// orderRef identifies the order of a record.
type orderRef struct {
	ref    fleet.KeyRef
	accept record.ID
}

func orderRefOf(e record.Envelope) (ref orderRef) {
	switch e.Kind {
	case record.KindAccept:
		r, _ := record.Decode[record.Accept](e)
		return orderRef{r.Ref, e.ID}
	case record.KindDispatch:
		r, _ := record.Decode[record.Dispatch](e)
		return orderRef{r.Ref, r.Accept}
	case record.KindSettle:
		r, _ := record.Decode[record.Settle](e)
		return orderRef{r.Ref, r.Accept}
	case record.KindCancel:
		r, _ := record.Decode[record.Cancel](e)
		return orderRef{r.Ref, r.Accept}
	case record.KindTakeover:
		r, _ := record.Decode[record.Takeover](e)
		return orderRef{r.Ref, r.Accept}
	default:
		return ref
	}
}

// replay applies all records ever appended, counts the transitions and returns the
// accepts by ID.
func (c *cluster) replay() (state *order.State, accepts map[record.ID]record.Accept) {
	state, accepts = &order.State{}, make(map[record.ID]record.Accept)
	seen := make(map[record.ID]bool)
	c.eachRecord(platform.OrderStream(0), func(pos record.Position, e record.Envelope) {
		if e.Kind == record.KindSnapshot {
			return
		}
		ref := orderRefOf(e)
		if e.Kind == record.KindAccept {
			accepts[e.ID], _ = record.Decode[record.Accept](e)
		}
		before, _ := state.Get(ref.ref)
		if err := state.Apply(pos, e); err != nil {
			c.violation("%s record cannot be applied: %v", e.Kind, err)
		}
		after, _ := state.Get(ref.ref)
		if seen[e.ID] {
			c.count("duplicate record")
		} else {
			c.count(transition(e, ref, before, after))
		}
		seen[e.ID] = true
	})
	return state, accepts
}

// transition returns the name of the effect of a record.
func transition(e record.Envelope, ref orderRef, before, after order.Order) string {
	sameAccept := before.Accept == ref.accept
	changed := before.Status != after.Status || before.Term != after.Term || before.Accept != after.Accept
	switch e.Kind {
	case record.KindAccept:
		return choose(after.Accept == e.ID, "accepted", choose(before.Status == "", "accept after its cancel", "accept lost to an earlier one"))
	case record.KindDispatch:
		return choose(sameAccept && !changed && before.Term > 1, "dispatch after takeover", "dispatch")
	case record.KindCancel:
		return choose(!sameAccept, "cancel before accept", choose(changed, "cancel in time", "cancel too late"))
	case record.KindTakeover:
		switch {
		case before.Status == order.StatusAccepted && changed:
			return "takeover before dispatch"
		case before.Status == order.StatusDispatched && after.Status == order.StatusUnknown:
			return "takeover after dispatch"
		case before.Status == order.StatusDispatched && changed:
			return "repeatable work reassigned"
		}
		return "takeover too late"
	default:
		return choose(before.Status == order.StatusUnknown && changed, "settle after takeover", choose(changed, "settle", "settle without effect"))
	}
}

func choose(first bool, a, b string) string {
	if first {
		return a
	}
	return b
}

// checkRuns checks that no order runs twice, under any accept of its key.
func (c *cluster) checkRuns(accepts map[record.ID]record.Accept) {
	byKey := make(map[fleet.KeyRef]int)
	for id, n := range c.runs {
		a := accepts[id]
		if !a.Repeatable {
			byKey[a.Ref] += n
		}
	}
	for ref, n := range byKey {
		if n > 1 {
			c.violation("order %s ran %d times", ref.Key, n)
		}
	}
}

// checkOutcomes checks that after the faults end every accepted request has an
// outcome, that a request recorded as not run never ran, and that each order that
// ended as done is charged, except repeatable work.
func (c *cluster) checkOutcomes(state *order.State, accepts map[record.ID]record.Accept) {
	done := 0
	refs := make(map[fleet.KeyRef]bool)
	for _, a := range accepts {
		refs[a.Ref] = true
	}
	for ref := range refs {
		o, ok := state.Get(ref)
		if !ok {
			continue
		}
		c.count(finalState(o))
		if o.Open() {
			c.violation("order %s is still %s", ref.Key, o.Status)
		}
		if o.Status == order.StatusNotRun && c.runs[o.Accept] > 0 {
			c.violation("order %s is recorded as not run but ran", ref.Key)
		}
		if o.Outcome == fleet.OutcomeDone && !o.Request.Repeatable {
			done++
		}
	}
	charged := 0
	for _, pools := range state.Bill {
		for _, t := range pools {
			charged += t.Orders
		}
	}
	if charged != done {
		c.violation("%d orders were charged and %d were done", charged, done)
	}
}

// checkResponses checks that the results reported to callers agree with the log.
func (c *cluster) checkResponses(state *order.State) {
	for _, got := range c.calls {
		final, exists := state.Get(got.ref)
		var notRun *order.NotRunError
		var conflict *order.ConflictError
		switch {
		case errors.As(got.err, &notRun):
			c.coverage["reported not run"]++
			if c.runs[got.order.Accept] > 0 {
				c.violation("order %s was reported as not run but ran", got.ref.Key)
			}
		case errors.As(got.err, &conflict):
			c.coverage["conflict reported"]++
		case got.err != nil:
			c.coverage["reported unknown"]++
		case got.async:
			c.coverage["reported accepted"]++
			if !exists {
				c.violation("accepted request %s is missing from the log", got.ref.Key)
			}
		default:
			c.coverage["reported done"]++
			c.checkResponse(got, final)
		}
	}
}

func (c *cluster) checkResponse(got call, final order.Order) {
	if !bytes.Equal(got.order.Result.Response, got.body) {
		c.violation("the caller of %s got the response to another request", got.ref.Key)
	}
	if final.Accept != got.order.Accept || final.Status == order.StatusNotRun {
		c.violation("order %s was reported as done but the log has %s", got.ref.Key, final.Status)
	}
}

// checkAgreement checks that all nodes hold the same state, whether they replayed the
// stream or started from a snapshot.
func (c *cluster) checkAgreement(state *order.State) {
	want, err := state.Save()
	if err != nil {
		c.violation("save the replayed state: %v", err)
	}
	for _, n := range c.nodes {
		got, err := n.partition.Save()
		if err != nil || !bytes.Equal(got, want) {
			c.violation("the state of %s differs from a replay of the log", n.name)
		}
	}
}

// published is a publish that was reported to its operator as in force.
type published struct {
	id       record.ID
	revision fleet.Revision
}

// checkConfig checks that accepted publishes stay, in the same order, on all nodes.
func (c *cluster) checkConfig() {
	state := &config.State{}
	c.eachRecord(platform.StreamConfig, func(pos record.Position, e record.Envelope) {
		if e.Kind != record.KindPublish {
			return
		}
		before := state.Current().Revision
		if err := state.Apply(pos, e); err != nil {
			c.violation("publish cannot be applied: %v", err)
		}
		r, _ := record.Decode[record.Publish](e)
		if state.Current().ID == e.ID && state.Current().Revision > before && r.Base != before {
			c.violation("a change based on revision %d replaced revision %d", r.Base, before)
		}
		c.count(choose(state.Current().Revision > before, "publish in force", "publish conflict"))
	})
	ids := make(map[fleet.Revision]record.ID)
	for _, ch := range state.History() {
		ids[ch.Revision] = ch.ID
	}
	for _, p := range c.published {
		if ids[p.revision] != p.id {
			c.violation("revision %d is not the change that was reported to its operator", p.revision)
		}
	}
	for _, n := range c.nodes {
		if n.configStore.Revision() != state.Current().Revision {
			c.violation("%s uses revision %d instead of %d", n.name, n.configStore.Revision(), state.Current().Revision)
		}
	}
}

// checkCharges checks that each request is charged at most once, and exactly once if
// no node crashed.
func (c *cluster) checkCharges() {
	state := &ledger.State{}
	seen, keyed := make(map[record.ID]bool), make(map[fleet.RequestID]bool)
	c.eachRecord(platform.StreamCharge, func(pos record.Position, e record.Envelope) {
		r, _ := record.Decode[record.Charges](e)
		if seen[e.ID] {
			c.count("duplicate charge batch")
		}
		for _, item := range r.Items {
			if item.Keyed && keyed[item.Request] && !seen[e.ID] {
				c.count("duplicate keyed charge")
			}
			keyed[item.Request] = item.Keyed
		}
		seen[e.ID] = true
		if err := state.Apply(pos, e); err != nil {
			c.violation("charge cannot be applied: %v", err)
		}
	})
	charged := 0
	state.Each(func(_ ledger.Line, t ledger.Total) { charged += t.Requests })
	if charged > len(c.chargedRequests) {
		c.violation("%d charges for %d requests", charged, len(c.chargedRequests))
	}
	if charged < len(c.chargedRequests) && int(c.lastIncarnation) == len(c.nodes) {
		c.violation("%d charges for %d requests although no node crashed", charged, len(c.chargedRequests))
	}
}
