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

func group(g Gomega) (data []byte, id record.ID) {
	e, err := record.New(record.KindSettle, time.Now(), "body")
	g.Expect(err).NotTo(HaveOccurred())
	data, err = record.EncodeGroup([]record.Envelope{e})
	g.Expect(err).NotTo(HaveOccurred())
	return data, e.ID
}

// stand counts how often each record stands in a stream.
func stand(g Gomega, log *platform.Log) map[record.ID]int {
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
	It("put the records of many nodes into few appends, each once", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			log := &standin.Log{Delay: 5 * time.Millisecond}
			gather := &peer.LogWriter{Log: log.Client()}
			var running errgroup.Group
			want := map[record.ID]int{}
			for range 50 {
				data, id := group(g)
				want[id] = 1
				running.Go(func() error { _, err := gather.Append(t.Context(), "s", data); return err })
			}
			g.Expect(running.Wait()).To(Succeed())
			g.Expect(stand(g, log.Client())).To(Equal(want))
			g.Expect(log.Appends()).To(BeNumerically("<=", 3))
		})
	})

	It("keep their appends apart, but for the first after a pause", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			log := &standin.Log{}
			gather := &peer.LogWriter{Log: log.Client(), MinInterval: 100 * time.Millisecond}
			begin := time.Now()
			data, _ := group(g)
			_, err := gather.Append(t.Context(), "s", data)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Since(begin)).To(BeZero())
			var running errgroup.Group
			for range 20 {
				more, _ := group(g)
				running.Go(func() error { _, err := gather.Append(t.Context(), "s", more); return err })
			}
			g.Expect(running.Wait()).To(Succeed())
			g.Expect(time.Since(begin)).To(Equal(gather.MinInterval))
			g.Expect(log.Appends()).To(Equal(2))
		})
	})

	It("take back what has not begun, and nothing else", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			log := &standin.Log{Delay: 5 * time.Millisecond}
			gather := &peer.LogWriter{Log: log.Client()}
			var running errgroup.Group
			first, begun := group(g)
			second, _ := group(g)
			running.Go(func() error { _, err := gather.Append(t.Context(), "s", first); return err })
			synctest.Wait()
			short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_, err := gather.Append(short, "s", second)
			g.Expect(err).To(HaveOccurred())
			g.Expect(platform.MayHaveExecuted(err)).To(BeFalse())
			g.Expect(running.Wait()).To(Succeed())
			g.Expect(stand(g, log.Client())).To(Equal(map[record.ID]int{begun: 1}))
		})
	})

	DescribeTable("fall back to the node's own append, and say what may have been appended",
		func(writer error, state standin.State, works, sent bool) {
			synctest.Test(suite, func(t *testing.T) {
				g := NewWithT(t)
				log := &standin.Log{}
				log.Set(state)
				calls := 0
				f := &peer.Forwarder{
					Local:  &peer.LogWriter{Log: log.Client()},
					Writer: func(platform.StreamName) (peer.Peer, bool) { return peer.Peer{Name: "writer"}, true },
					RemoteAppend: func(context.Context, peer.Peer, platform.StreamName, []byte) (fleet.Offset, error) {
						calls++
						return 0, writer
					},
				}
				data, _ := group(g)
				_, err := f.Append(t.Context(), "s", data)
				g.Expect(err == nil).To(Equal(works))
				g.Expect(platform.MayHaveExecuted(err)).To(Equal(sent))
				_, _ = f.Append(t.Context(), "s", data)
				if writer != nil {
					g.Expect(calls).To(Equal(1), "a writer that failed is left alone for a while")
				}
			})
		},
		Entry("the writer answers", nil, standin.StateDown, true, false),
		Entry("the writer refused, the log answers", &platform.NotExecutedError{Cause: errors.New("refused")}, standin.StateUp, true, false),
		Entry("the writer refused, the log is down", &platform.NotExecutedError{Cause: errors.New("refused")}, standin.StateDown, false, false),
		Entry("the writer gave no answer, the log answers", &platform.UnknownOutcomeError{Cause: errors.New("silent")}, standin.StateUp, true, false),
		Entry("the writer gave no answer, the log is down", &platform.UnknownOutcomeError{Cause: errors.New("silent")}, standin.StateDown, false, true),
		Entry("the writer refused, the log's answer is lost", &platform.NotExecutedError{Cause: errors.New("refused")}, standin.StateLost, false, true),
	)

	It("are agreed on by the nodes of a data centre", func() {
		bubble(6, 2, 0, func(g Gomega, w *network) {
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
			g.Expect(chosen[centreOf(0)]).To(HaveLen(1))
			g.Expect(chosen[centreOf(1)]).To(HaveLen(1))
		})
	})
})
