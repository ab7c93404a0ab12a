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

var suiteT *testing.T

func TestLedger(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

var startTime = time.Date(2026, 12, 4, 23, 59, 0, 0, time.UTC)

func chargeBatch(writer fleet.NodeName, sequence uint64, items ...record.Charge) record.Envelope {
	e, err := record.New(record.KindCharge, startTime, record.Charges{Writer: fleet.NodeRef{Name: writer, Incarnation: 1}, Sequence: sequence, Items: items})
	Expect(err).NotTo(HaveOccurred())
	return e
}

func sumTotals(s *ledger.State) (sum ledger.Total) {
	s.Each(func(_ ledger.Line, t ledger.Total) { sum.Add(t) })
	return sum
}

var _ = Describe("The ledger", func() {
	It("counts each batch once in any order of repeated batches", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := &ledger.State{}
			highest := uint64(0)
			for i := range rapid.IntRange(1, 30).Draw(t, "records") {
				sequence := rapid.Uint64Range(1, highest+1).Draw(t, "sequence")
				highest = max(highest, sequence)
				e := chargeBatch("entry-1", sequence, record.Charge{Request: fleet.RequestID(fmt.Sprint(sequence)), Account: "a", Pool: "p", Generated: 2})
				Expect(s.Apply(record.Position{Offset: fleet.Offset(i), Time: startTime}, e)).To(Succeed())
				if rapid.Bool().Draw(t, "restart") {
					s = reload(s)
				}
			}
			if got := sumTotals(s); got.Requests != int(highest) || got.Generated != fleet.Tokens(2*highest) {
				t.Fatalf("broken: %d batches counted as %+v", highest, got)
			}
		})
	})

	It("counts a keyed request of two nodes once, with its recomputed tokens", func() {
		s := &ledger.State{}
		item := record.Charge{Request: "r", Account: "a", Pool: "p", Generated: 5, Recomputed: 3, Keyed: true}
		for i, node := range []fleet.NodeName{"entry-1", "entry-2"} {
			Expect(s.Apply(record.Position{Offset: fleet.Offset(i), Time: startTime}, chargeBatch(node, 1, item))).To(Succeed())
		}
		Expect(sumTotals(s)).To(Equal(ledger.Total{Requests: 1, Generated: 5, Recomputed: 3}))
	})

	It("keeps a total per day and removes expired days", func() {
		s := &ledger.State{}
		days := make(map[ledger.Day]bool)
		for i := range 100 {
			appendedAt := startTime.AddDate(0, 0, i)
			Expect(s.Apply(record.Position{Offset: fleet.Offset(i), Time: appendedAt}, chargeBatch("entry-1", uint64(i+1), record.Charge{Account: "a", Pool: "p"}))).To(Succeed())
		}
		s.Each(func(l ledger.Line, _ ledger.Total) { days[l.Day] = true })
		Expect(days).To(HaveLen(63))
	})
})

func reload(s *ledger.State) *ledger.State {
	data, err := s.Save()
	Expect(err).NotTo(HaveOccurred())
	loaded := &ledger.State{}
	Expect(loaded.Load(data)).To(Succeed())
	return loaded
}

var _ = DescribeTable("A writer charges each request once in each state of the log",
	func(states ...standin.State) {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			log := &standin.Log{}
			ctx, cancel := context.WithCancel(context.Background())
			w := &ledger.Writer{Log: log.Client(), Node: fleet.NodeRef{Name: "entry-1", Incarnation: 1}, QueueLength: 100}
			var g errgroup.Group
			g.Go(func() error { return w.Run(ctx) })
			queued := 0
			for i, state := range states {
				log.Set(state)
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
			s := &ledger.State{}
			page, err := log.Client().Read(context.Background(), platform.StreamCharge, 0, 1000, 0)
			Expect(err).NotTo(HaveOccurred())
			for _, e := range page.Entries {
				group, err := record.DecodeGroup(e.Data)
				Expect(err).NotTo(HaveOccurred())
				Expect(s.Apply(record.Position{Offset: e.Offset, Time: e.Time}, group[0])).To(Succeed())
			}
			Expect(sumTotals(s).Requests).To(Equal(queued))
			Expect(queued + w.Dropped()).To(Equal(40 * len(states)))
		})
	},
	Entry("up", standin.StateUp, standin.StateUp),
	Entry("responses lost", standin.StateLost, standin.StateUp),
	Entry("responses lost until shutdown", standin.StateUp, standin.StateLost),
	Entry("down, with more charges than the queue holds", standin.StateDown, standin.StateDown, standin.StateDown),
)
