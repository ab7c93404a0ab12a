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
	ruleRef   = fleet.KeyRef{Account: "sellers", Key: "k"}
	ruleFirst = fleet.NodeRef{Name: "entry-1", Incarnation: 1}
	ruleOther = fleet.NodeRef{Name: "entry-2", Incarnation: 1}
	ruleStart = time.Date(2026, 12, 4, 5, 50, 0, 0, time.UTC)
)

// ruleAccept names the accept of the rules below; ruleSecond is a later one.
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
	return ruleRecord(id, record.KindAccept, record.Accept{Ref: ruleRef, Owner: ruleFirst, Window: keyWindow, Repeatable: repeatable})
}

func dispatch(owner fleet.NodeRef, term int) record.Envelope {
	return ruleRecord(record.ID{}, record.KindDispatch, record.Dispatch{Ref: ruleRef, Accept: ruleAccept, Term: term, Owner: owner})
}

func takeover(term int) record.Envelope {
	return ruleRecord(record.ID{}, record.KindTakeover, record.Takeover{Ref: ruleRef, Accept: ruleAccept, Term: term, Owner: ruleOther})
}

func settle(outcome fleet.Outcome) record.Envelope {
	return ruleRecord(record.ID{}, record.KindSettle, record.Settle{Ref: ruleRef, Accept: ruleAccept, Term: 1, Owner: ruleFirst, Outcome: outcome})
}

func cancel() record.Envelope {
	return ruleRecord(record.ID{}, record.KindCancel, record.Cancel{Ref: ruleRef, Accept: ruleAccept, Window: keyWindow})
}

var _ = DescribeTable("The fold holds each rule",
	func(status order.Status, owner fleet.NodeRef, records ...record.Envelope) {
		f := &order.State{}
		for i, e := range records {
			Expect(f.Apply(record.Position{Offset: fleet.Offset(i), Time: ruleStart}, e)).To(Succeed())
		}
		o, _ := f.Get(ruleRef)
		Expect(o.Status).To(Equal(status))
		Expect(o.Owner).To(Equal(owner))
	},
	Entry("an accept belongs to its owner", order.StatusAccepted, ruleFirst, accept(ruleAccept, false)),
	Entry("the first accept holds the key", order.StatusSettled, ruleFirst, accept(ruleAccept, false), accept(ruleSecond, false), dispatch(ruleFirst, 1), settle(fleet.OutcomeDone)),
	Entry("a takeover before the dispatch moves the order", order.StatusAccepted, ruleOther, accept(ruleAccept, false), takeover(1)),
	Entry("of several takeovers the first counts", order.StatusAccepted, ruleOther, accept(ruleAccept, false), takeover(1), takeover(1), dispatch(ruleOther, 3)),
	Entry("the earlier owner's dispatch does not count", order.StatusAccepted, ruleOther, accept(ruleAccept, false), takeover(1), dispatch(ruleFirst, 1)),
	Entry("a takeover after the dispatch leaves it unknown", order.StatusUnknown, ruleFirst, accept(ruleAccept, false), dispatch(ruleFirst, 1), takeover(1)),
	Entry("the holder's answer replaces that", order.StatusSettled, ruleFirst, accept(ruleAccept, false), dispatch(ruleFirst, 1), takeover(1), settle(fleet.OutcomeDone)),
	Entry("the holder's own unknown is final", order.StatusUnknown, ruleFirst, accept(ruleAccept, false), dispatch(ruleFirst, 1), settle(fleet.OutcomeUnknown), settle(fleet.OutcomeDone)),
	Entry("a settle without dispatch does not count", order.StatusAccepted, ruleFirst, accept(ruleAccept, false), settle(fleet.OutcomeDone)),
	Entry("a cancel before the dispatch ends it", order.StatusNotRun, ruleFirst, accept(ruleAccept, false), cancel(), dispatch(ruleFirst, 1)),
	Entry("a cancel after the dispatch does not", order.StatusDispatched, ruleFirst, accept(ruleAccept, false), dispatch(ruleFirst, 1), cancel()),
	Entry("a cancel before the accept holds", order.Status(""), fleet.NodeRef{}, cancel(), accept(ruleAccept, false), dispatch(ruleFirst, 1)),
	Entry("a key that was not run can be used again", order.StatusAccepted, ruleFirst, accept(ruleAccept, false), cancel(), accept(ruleSecond, false), accept(ruleAccept, false)),
	Entry("repeatable work is handed on", order.StatusAccepted, ruleOther, accept(ruleAccept, true), dispatch(ruleFirst, 1), takeover(1), settle(fleet.OutcomeDone)),
	Entry("and ends as failed, since it may have run", order.StatusSettled, ruleOther, accept(ruleAccept, true), dispatch(ruleFirst, 1), takeover(1), cancel()),
)

var _ = Describe("A snapshot of orders", func() {
	It("gives the same state, to the nanosecond of a key window's end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := &order.State{}
			at := ruleStart.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "time")))
			r := record.Accept{Ref: ruleRef, Owner: ruleFirst, Window: keyWindow, Deadline: at}
			Expect(f.Apply(record.Position{Time: at}, ruleRecord(ruleAccept, record.KindAccept, r))).To(Succeed())
			first, err := f.Save()
			Expect(err).NotTo(HaveOccurred())
			loaded := &order.State{}
			Expect(loaded.Load(first)).To(Succeed())
			saved, _ := f.Get(ruleRef)
			got, _ := loaded.Get(ruleRef)
			if !got.Expires.Equal(saved.Expires) {
				t.Fatalf("broken: a loaded order expires at %s, not %s", got.Expires, saved.Expires)
			}
		})
	})
})
