package ledger_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/ledger"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

var suite *testing.T

func TestLedger(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

var start = time.Date(2026, 12, 4, 23, 59, 0, 0, time.UTC)

func charges(writer fleet.NodeName, sequence uint64, items ...record.Charge) record.Envelope {
	e, err := record.New(record.KindCharge, start, record.Charges{Writer: fleet.NodeRef{Name: writer, Incarnation: 1}, Sequence: sequence, Items: items})
	Expect(err).NotTo(HaveOccurred())
	return e
}

func total(f *ledger.State) (sum ledger.Total) {
	f.Each(func(_ ledger.Line, t ledger.Total) { sum.Add(t) })
	return sum
}

var _ = Describe("The ledger", func() {
	It("counts each batch once, in whatever order repeats arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := &ledger.State{}
			highest := uint64(0)
			for i := range rapid.IntRange(1, 30).Draw(t, "records") {
				sequence := rapid.Uint64Range(1, highest+1).Draw(t, "sequence")
				highest = max(highest, sequence)
				e := charges("entry-1", sequence, record.Charge{Request: fleet.RequestID(fmt.Sprint(sequence)), Account: "a", Pool: "p", Generated: 2})
				Expect(f.Apply(record.Position{Offset: fleet.Offset(i), Time: start}, e)).To(Succeed())
				if rapid.Bool().Draw(t, "restart") {
					f = reload(f)
				}
			}
			if got := total(f); got.Requests != int(highest) || got.Generated != fleet.Tokens(2*highest) {
				t.Fatalf("broken: %d batches counted as %+v", highest, got)
			}
		})
	})

	It("counts a keyed request of two nodes once and bills no recomputed tokens twice", func() {
		f := &ledger.State{}
		item := record.Charge{Request: "r", Account: "a", Pool: "p", Generated: 5, Recomputed: 3, Keyed: true}
		for i, node := range []fleet.NodeName{"entry-1", "entry-2"} {
			Expect(f.Apply(record.Position{Offset: fleet.Offset(i), Time: start}, charges(node, 1, item))).To(Succeed())
		}
		Expect(total(f)).To(Equal(ledger.Total{Requests: 1, Generated: 5, Recomputed: 3}))
	})

	It("keeps the days apart and lets old ones go", func() {
		f := &ledger.State{}
		days := make(map[ledger.Day]bool)
		for i := range 100 {
			at := start.AddDate(0, 0, i)
			Expect(f.Apply(record.Position{Offset: fleet.Offset(i), Time: at}, charges("entry-1", uint64(i+1), record.Charge{Account: "a", Pool: "p"}))).To(Succeed())
		}
		f.Each(func(l ledger.Line, _ ledger.Total) { days[l.Day] = true })
		Expect(days).To(HaveLen(63))
	})
})

func reload(f *ledger.State) *ledger.State {
	data, err := f.Save()
	Expect(err).NotTo(HaveOccurred())
	loaded := &ledger.State{}
	Expect(loaded.Load(data)).To(Succeed())
	return loaded
}

var _ = DescribeTable("A writer charges each request once, whatever the log answers",
	func(states ...standin.State) {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			log := &standin.Log{}
			ctx, cancel := context.WithCancel(context.Background())
			w := &ledger.Writer{Log: log.Client(), Node: fleet.NodeRef{Name: "entry-1", Incarnation: 1}, QueueLength: 100}
			var g errgroup.Group
			g.Go(func() error { return w.Run(ctx) })
			queued := 0
			for i, s := range states {
				log.Set(s)
				for range 40 {
					if w.Charge(record.Charge{Request: fleet.RequestID(fmt.Sprint(i)), Account: "a", Pool: "p"}) {
						queued++
					}
				}
				time.Sleep(time.Minute)
			}
			log.Set(standin.StateUp)
			cancel()
			_ = g.Wait()
			f := &ledger.State{}
			page, err := log.Client().Read(context.Background(), platform.StreamCharge, 0, 1000, 0)
			Expect(err).NotTo(HaveOccurred())
			for _, e := range page.Entries {
				group, err := record.DecodeGroup(e.Data)
				Expect(err).NotTo(HaveOccurred())
				Expect(f.Apply(record.Position{Offset: e.Offset, Time: e.Time}, group[0])).To(Succeed())
			}
			Expect(total(f).Requests).To(Equal(queued))
			Expect(queued + w.Dropped()).To(Equal(40 * len(states)))
		})
	},
	Entry("up", standin.StateUp, standin.StateUp),
	Entry("lost answers", standin.StateLost, standin.StateUp),
	Entry("lost answers to the end", standin.StateUp, standin.StateLost),
	Entry("down, and more than the queue holds", standin.StateDown, standin.StateDown, standin.StateDown),
)
