package order_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/order"
)

var (
	ruleRef       = fleet.KeyRef{Account: "sellers", Key: "k"}
	ruleOwner     = fleet.NodeRef{Name: "entry-1", Incarnation: 1}
	ruleSuccessor = fleet.NodeRef{Name: "entry-2", Incarnation: 1}
	ruleStart     = time.Date(2026, 12, 4, 5, 50, 0, 0, time.UTC)
)

// ruleAccept is the ID of the accept in the rules below; ruleSecond is that of a later
// accept.
var ruleAccept, ruleSecond = record.ID{1}, record.ID{2}

func ruleRecord(id record.ID, kind record.Kind, body any) record.Envelope {
	e, err := record.New(kind, ruleStart, body)
	if err != nil {
		panic(err)
	}
	if id != (record.ID{}) {
		e.ID = id
	}
	return e
}

func accept(id record.ID, repeatable bool) record.Envelope {
	return ruleRecord(id, record.KindAccept, record.Accept{Ref: ruleRef, Owner: ruleOwner, Window: keyWindow, Repeatable: repeatable})
}

func dispatch(owner fleet.NodeRef, term int) record.Envelope {
	return ruleRecord(record.ID{}, record.KindDispatch, record.Dispatch{Ref: ruleRef, Accept: ruleAccept, Term: term, Owner: owner})
}

func takeover(term int) record.Envelope {
	return ruleRecord(record.ID{}, record.KindTakeover, record.Takeover{Ref: ruleRef, Accept: ruleAccept, Term: term, Owner: ruleSuccessor})
}

func settle(outcome fleet.Outcome) record.Envelope {
	return ruleRecord(record.ID{}, record.KindSettle, record.Settle{Ref: ruleRef, Accept: ruleAccept, Term: 1, Owner: ruleOwner, Outcome: outcome})
}

func cancel() record.Envelope {
	return ruleRecord(record.ID{}, record.KindCancel, record.Cancel{Ref: ruleRef, Accept: ruleAccept, Window: keyWindow})
}

var _ = DescribeTable("The state follows each rule",
	func(status order.Status, owner fleet.NodeRef, records ...record.Envelope) {
		s := &order.State{}
		for i, e := range records {
			Expect(s.Apply(record.Position{Offset: fleet.Offset(i), Time: ruleStart}, e)).To(Succeed())
		}
		o, _ := s.Get(ruleRef)
		Expect(o.Status).To(Equal(status))
		Expect(o.Owner).To(Equal(owner))
	},
	Entry("an accept belongs to its owner", order.StatusAccepted, ruleOwner, accept(ruleAccept, false)),
	Entry("the first accept holds the key", order.StatusSettled, ruleOwner, accept(ruleAccept, false), accept(ruleSecond, false), dispatch(ruleOwner, 1), settle(fleet.OutcomeDone)),
	Entry("a takeover before the dispatch moves the order", order.StatusAccepted, ruleSuccessor, accept(ruleAccept, false), takeover(1)),
	Entry("only the first of several takeovers takes effect", order.StatusAccepted, ruleSuccessor, accept(ruleAccept, false), takeover(1), takeover(1), dispatch(ruleSuccessor, 3)),
	Entry("the dispatch of an earlier owner has no effect", order.StatusAccepted, ruleSuccessor, accept(ruleAccept, false), takeover(1), dispatch(ruleOwner, 1)),
	Entry("a takeover after the dispatch settles the order as unknown", order.StatusUnknown, ruleOwner, accept(ruleAccept, false), dispatch(ruleOwner, 1), takeover(1)),
	Entry("the holder's settle replaces the unknown outcome of a takeover", order.StatusSettled, ruleOwner, accept(ruleAccept, false), dispatch(ruleOwner, 1), takeover(1), settle(fleet.OutcomeDone)),
	Entry("an unknown outcome recorded by the holder is final", order.StatusUnknown, ruleOwner, accept(ruleAccept, false), dispatch(ruleOwner, 1), settle(fleet.OutcomeUnknown), settle(fleet.OutcomeDone)),
	Entry("a settle without a dispatch has no effect", order.StatusAccepted, ruleOwner, accept(ruleAccept, false), settle(fleet.OutcomeDone)),
	Entry("a cancel before the dispatch settles the order as not run", order.StatusNotRun, ruleOwner, accept(ruleAccept, false), cancel(), dispatch(ruleOwner, 1)),
	Entry("a cancel after the dispatch has no effect", order.StatusDispatched, ruleOwner, accept(ruleAccept, false), dispatch(ruleOwner, 1), cancel()),
	Entry("a cancel before the accept rejects the accept", order.Status(""), fleet.NodeRef{}, cancel(), accept(ruleAccept, false), dispatch(ruleOwner, 1)),
	Entry("a key whose order was not run can be used again", order.StatusAccepted, ruleOwner, accept(ruleAccept, false), cancel(), accept(ruleSecond, false), accept(ruleAccept, false)),
	Entry("a takeover after the dispatch reassigns repeatable work", order.StatusAccepted, ruleSuccessor, accept(ruleAccept, true), dispatch(ruleOwner, 1), takeover(1), settle(fleet.OutcomeDone)),
	Entry("repeatable work that may have run ends as failed", order.StatusSettled, ruleSuccessor, accept(ruleAccept, true), dispatch(ruleOwner, 1), takeover(1), cancel()),
)

var _ = Describe("A snapshot of orders", func() {
	It("restores the state, with the end of the key window to the nanosecond", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := &order.State{}
			at := ruleStart.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "time")))
			r := record.Accept{Ref: ruleRef, Owner: ruleOwner, Window: keyWindow, Deadline: at}
			Expect(s.Apply(record.Position{Time: at}, ruleRecord(ruleAccept, record.KindAccept, r))).To(Succeed())
			first, err := s.Save()
			Expect(err).NotTo(HaveOccurred())
			loaded := &order.State{}
			Expect(loaded.Load(first)).To(Succeed())
			saved, _ := s.Get(ruleRef)
			got, _ := loaded.Get(ruleRef)
			if !got.Expires.Equal(saved.Expires) {
				t.Fatalf("broken: a loaded order expires at %s instead of %s", got.Expires, saved.Expires)
			}
		})
	})
})
