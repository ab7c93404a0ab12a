package peer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/peer"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

func newGroup(g Gomega) (data []byte, id record.ID) {
	e, err := record.New(record.KindSettle, time.Now(), "body")
	g.Expect(err).NotTo(HaveOccurred())
	data, err = record.EncodeGroup([]record.Envelope{e})
	g.Expect(err).NotTo(HaveOccurred())
	return data, e.ID
}

// countRecords counts how often each record occurs in a stream.
func countRecords(g Gomega, log *platform.Log) map[record.ID]int {
	page, err := log.Read(context.Background(), "s", 0, 10000, 0)
	g.Expect(err).NotTo(HaveOccurred())
	count := map[record.ID]int{}
	for _, e := range page.Entries {
		records, err := record.DecodeGroup(e.Data)
		g.Expect(err).NotTo(HaveOccurred())
		for _, r := range records {
			count[r.ID]++
		}
	}
	return count
}

var _ = Describe("Log writers", func() {
	It("combine the records of many nodes into few appends, each record once", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			log := &standin.Log{Delay: 5 * time.Millisecond}
			writer := &peer.LogWriter{Log: log.Client()}
			var running errgroup.Group
			want := map[record.ID]int{}
			for range 50 {
				data, id := newGroup(g)
				want[id] = 1
				running.Go(func() error { _, err := writer.Append(t.Context(), "s", data); return err })
			}
			g.Expect(running.Wait()).To(Succeed())
			g.Expect(countRecords(g, log.Client())).To(Equal(want))
			g.Expect(log.Appends()).To(BeNumerically("<=", 3))
		})
	})

	It("keep an interval between appends, except for the first after a pause", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			log := &standin.Log{}
			writer := &peer.LogWriter{Log: log.Client(), MinInterval: 100 * time.Millisecond}
			begin := time.Now()
			data, _ := newGroup(g)
			_, err := writer.Append(t.Context(), "s", data)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Since(begin)).To(BeZero())
			var running errgroup.Group
			for range 20 {
				more, _ := newGroup(g)
				running.Go(func() error { _, err := writer.Append(t.Context(), "s", more); return err })
			}
			g.Expect(running.Wait()).To(Succeed())
			g.Expect(time.Since(begin)).To(Equal(writer.MinInterval))
			g.Expect(log.Appends()).To(Equal(2))
		})
	})

	It("withdraw only the records whose append has not started", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			log := &standin.Log{Delay: 5 * time.Millisecond}
			writer := &peer.LogWriter{Log: log.Client()}
			var running errgroup.Group
			first, firstID := newGroup(g)
			second, _ := newGroup(g)
			running.Go(func() error { _, err := writer.Append(t.Context(), "s", first); return err })
			synctest.Wait()
			short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_, err := writer.Append(short, "s", second)
			g.Expect(err).To(HaveOccurred())
			g.Expect(platform.MayHaveExecuted(err)).To(BeFalse())
			g.Expect(running.Wait()).To(Succeed())
			g.Expect(countRecords(g, log.Client())).To(Equal(map[record.ID]int{firstID: 1}))
		})
	})

	DescribeTable("fall back to a direct append, and report whether records may have been appended",
		func(writerErr error, state standin.State, succeeds, mayHaveAppended bool) {
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				log := &standin.Log{}
				log.Set(state)
				calls := 0
				f := &peer.Forwarder{
					Local:  &peer.LogWriter{Log: log.Client()},
					Writer: func(platform.StreamName) (peer.Peer, bool) { return peer.Peer{Name: "writer"}, true },
					RemoteAppend: func(context.Context, peer.Peer, platform.StreamName, []byte) (fleet.Offset, error) {
						calls++
						return 0, writerErr
					},
				}
				data, _ := newGroup(g)
				_, err := f.Append(t.Context(), "s", data)
				g.Expect(err == nil).To(Equal(succeeds))
				g.Expect(platform.MayHaveExecuted(err)).To(Equal(mayHaveAppended))
				_, _ = f.Append(t.Context(), "s", data)
				if writerErr != nil {
					g.Expect(calls).To(Equal(1), "a failed writer is not used for writerBackoff")
				}
			})
		},
		Entry("the writer responds", nil, standin.StateDown, true, false),
		Entry("the writer refuses, the log responds", &platform.NotExecutedError{Cause: errors.New("refused")}, standin.StateUp, true, false),
		Entry("the writer refuses, the log is down", &platform.NotExecutedError{Cause: errors.New("refused")}, standin.StateDown, false, false),
		Entry("the writer does not respond, the log responds", &platform.UnknownOutcomeError{Cause: errors.New("silent")}, standin.StateUp, true, false),
		Entry("the writer does not respond, the log is down", &platform.UnknownOutcomeError{Cause: errors.New("silent")}, standin.StateDown, false, true),
		Entry("the writer refuses, the response of the log is lost", &platform.NotExecutedError{Cause: errors.New("refused")}, standin.StateLost, false, true),
	)

	It("are the same for all nodes of a data centre", func() {
		runNetwork(6, 2, 0, func(g Gomega, w *network) {
			time.Sleep(15 * time.Second)
			chosen := map[fleet.DataCentreName]map[fleet.NodeName]bool{}
			for _, n := range w.list {
				p, other := n.Writer("order.0")
				if !other {
					p.Name = n.Self.Ref.Name
				}
				if chosen[n.Self.DataCentre] == nil {
					chosen[n.Self.DataCentre] = map[fleet.NodeName]bool{}
				}
				chosen[n.Self.DataCentre][p.Name] = true
			}
			g.Expect(chosen[dataCentreName(0)]).To(HaveLen(1))
			g.Expect(chosen[dataCentreName(1)]).To(HaveLen(1))
		})
	})
})
