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

// check holds the outcome of a case against every rule.
func (c *cluster) check() {
	fold, accepts := c.replay()
	c.checkRuns(accepts)
	c.checkOutcomes(fold, accepts)
	c.checkAnswers(fold)
	c.checkAgreement(fold)
	c.checkConfig()
	c.checkCharges()
}

// facts is what the oracle needs of any order record.
type facts struct {
	ref    fleet.KeyRef
	accept record.ID
}

func factsOf(e record.Envelope) (f facts) {
	switch e.Kind {
	case record.KindAccept:
		r, _ := record.Decode[record.Accept](e)
		return facts{r.Ref, e.ID}
	case record.KindDispatch:
		r, _ := record.Decode[record.Dispatch](e)
		return facts{r.Ref, r.Accept}
	case record.KindSettle:
		r, _ := record.Decode[record.Settle](e)
		return facts{r.Ref, r.Accept}
	case record.KindCancel:
		r, _ := record.Decode[record.Cancel](e)
		return facts{r.Ref, r.Accept}
	case record.KindTakeover:
		r, _ := record.Decode[record.Takeover](e)
		return facts{r.Ref, r.Accept}
	default:
		return f
	}
}

// replay folds everything that was ever appended, counts the transitions and
// returns the accepts by their IDs.
func (c *cluster) replay() (fold *order.State, accepts map[record.ID]record.Accept) {
	fold, accepts = &order.State{}, make(map[record.ID]record.Accept)
	known := make(map[record.ID]bool)
	c.each(platform.OrderStream(0), func(pos record.Position, e record.Envelope) {
		if e.Kind == record.KindSnapshot {
			return
		}
		f := factsOf(e)
		if e.Kind == record.KindAccept {
			accepts[e.ID], _ = record.Decode[record.Accept](e)
		}
		before, _ := fold.Get(f.ref)
		if err := fold.Apply(pos, e); err != nil {
			c.fault("%s record cannot be folded: %v", e.Kind, err)
		}
		after, _ := fold.Get(f.ref)
		if known[e.ID] {
			c.note("duplicate record")
		} else {
			c.note(transition(e, f, before, after))
		}
		known[e.ID] = true
	})
	return fold, accepts
}

// transition names what a record did.
func transition(e record.Envelope, f facts, before, after order.Order) string {
	held := before.Accept == f.accept
	changed := before.Status != after.Status || before.Term != after.Term || before.Accept != after.Accept
	switch e.Kind {
	case record.KindAccept:
		return pick(after.Accept == e.ID, "accepted", pick(before.Status == "", "accept after its cancel", "accept lost to an earlier one"))
	case record.KindDispatch:
		return pick(held && !changed && before.Term > 1, "dispatch after takeover", "dispatch")
	case record.KindCancel:
		return pick(!held, "cancel before accept", pick(changed, "cancel in time", "cancel too late"))
	case record.KindTakeover:
		switch {
		case before.Status == order.StatusAccepted && changed:
			return "takeover before dispatch"
		case before.Status == order.StatusDispatched && after.Status == order.StatusUnknown:
			return "takeover after dispatch"
		case before.Status == order.StatusDispatched && changed:
			return "repeatable work handed on"
		}
		return "takeover too late"
	default:
		return pick(before.Status == order.StatusUnknown && changed, "settle after takeover", pick(changed, "settle", "settle without effect"))
	}
}

func pick(first bool, a, b string) string {
	if first {
		return a
	}
	return b
}

// checkRuns: no order runs twice, under any accept of its key.
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
			c.fault("order %s ran %d times", ref.Key, n)
		}
	}
}

// checkOutcomes: once faults end every accepted request has its outcome, and
// one that is recorded as not run never ran.
func (c *cluster) checkOutcomes(fold *order.State, accepts map[record.ID]record.Accept) {
	done := 0
	refs := make(map[fleet.KeyRef]bool)
	for _, a := range accepts {
		refs[a.Ref] = true
	}
	for ref := range refs {
		o, ok := fold.Get(ref)
		if !ok {
			continue
		}
		c.note(states(o))
		if o.Open() {
			c.fault("order %s is still %s", ref.Key, o.Status)
		}
		if o.Status == order.StatusNotRun && c.runs[o.Accept] > 0 {
			c.fault("order %s is recorded as not run and ran", ref.Key)
		}
		if o.Outcome == fleet.OutcomeDone && !o.Request.Repeatable {
			done++
		}
	}
	charged := 0
	for _, pools := range fold.Bill {
		for _, t := range pools {
			charged += t.Orders
		}
	}
	if charged != done {
		c.fault("%d orders were charged and %d were done", charged, done)
	}
}

// checkAnswers: what callers were told holds.
func (c *cluster) checkAnswers(fold *order.State) {
	for _, k := range c.calls {
		final, held := fold.Get(k.ref)
		var notRun *order.NotRunError
		var conflict *order.ConflictError
		switch {
		case errors.As(k.err, &notRun):
			c.seen["told not run"]++
			if c.runs[k.order.Accept] > 0 {
				c.fault("the caller of %s was told not run and it ran", k.ref.Key)
			}
		case errors.As(k.err, &conflict):
			c.seen["conflict told"]++
		case k.err != nil:
			c.seen["told unknown"]++
		case k.async:
			c.seen["told accepted"]++
			if !held {
				c.fault("accepted request %s is gone", k.ref.Key)
			}
		default:
			c.seen["told done"]++
			c.checkAnswer(k, final)
		}
	}
}

func (c *cluster) checkAnswer(k call, final order.Order) {
	if !bytes.Equal(k.order.Result.Answer, k.body) {
		c.fault("the caller of %s got the answer of another request", k.ref.Key)
	}
	if final.Accept != k.order.Accept || final.Status == order.StatusNotRun {
		c.fault("the caller of %s was told done, and the log says %s", k.ref.Key, final.Status)
	}
}

// checkAgreement: every node holds the same state, whether it replayed the
// stream or started from a snapshot.
func (c *cluster) checkAgreement(fold *order.State) {
	want, err := fold.Save()
	if err != nil {
		c.fault("save: %v", err)
	}
	for _, n := range c.nodes {
		got, err := n.part.Save()
		if err != nil || !bytes.Equal(got, want) {
			c.fault("%s holds another state than a replay of the log gives", n.name)
		}
	}
}

// published is a publish that an operator was told is in force.
type published struct {
	id       record.ID
	revision fleet.Revision
}

// checkConfig: accepted publishes stay, in one order, on every node.
func (c *cluster) checkConfig() {
	fold := &config.Fold{}
	c.each(platform.StreamConfig, func(pos record.Position, e record.Envelope) {
		if e.Kind != record.KindPublish {
			return
		}
		before := fold.Current().Revision
		if err := fold.Apply(pos, e); err != nil {
			c.fault("publish cannot be folded: %v", err)
		}
		r, _ := record.Decode[record.Publish](e)
		if fold.Current().ID == e.ID && fold.Current().Revision > before && r.Base != before {
			c.fault("a change built on revision %d replaced revision %d", r.Base, before)
		}
		c.note(pick(fold.Current().Revision > before, "publish in force", "publish lost the race"))
	})
	ids := make(map[fleet.Revision]record.ID)
	for _, ch := range fold.History() {
		ids[ch.Revision] = ch.ID
	}
	for _, p := range c.published {
		if ids[p.revision] != p.id {
			c.fault("revision %d is not the change that its operator was told of", p.revision)
		}
	}
	for _, n := range c.nodes {
		if n.keeper.Revision() != fold.Current().Revision {
			c.fault("%s works by revision %d, not %d", n.name, n.keeper.Revision(), fold.Current().Revision)
		}
	}
}

// checkCharges: each request is charged at most once, and exactly once if no
// node died.
func (c *cluster) checkCharges() {
	fold := &ledger.Fold{}
	known, keyed := make(map[record.ID]bool), make(map[fleet.RequestID]bool)
	c.each(platform.StreamCharge, func(pos record.Position, e record.Envelope) {
		r, _ := record.Decode[record.Charges](e)
		if known[e.ID] {
			c.note("charge batch twice")
		}
		for _, item := range r.Items {
			if item.Keyed && keyed[item.Request] && !known[e.ID] {
				c.note("keyed charge twice")
			}
			keyed[item.Request] = item.Keyed
		}
		known[e.ID] = true
		if err := fold.Apply(pos, e); err != nil {
			c.fault("charge cannot be folded: %v", err)
		}
	})
	charged := 0
	fold.Each(func(_ ledger.Line, t ledger.Total) { charged += t.Requests })
	if charged > len(c.told) {
		c.fault("%d charges for %d requests", charged, len(c.told))
	}
	if charged < len(c.told) && int(c.lives) == len(c.nodes) {
		c.fault("%d charges for %d requests though no node died", charged, len(c.told))
	}
}
