package journal_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

const streamName platform.StreamName = "test"

// recordCounter counts the records that were applied; its state is the count.
type recordCounter struct{ atomic.Int64 }

func (c *recordCounter) apply(record.Position, record.Envelope) error { c.Add(1); return nil }
func (c *recordCounter) save() ([]byte, error)                        { return strconv.AppendInt(nil, c.Load(), 10), nil }

func (c *recordCounter) load(state []byte) error {
	n, err := strconv.ParseInt(string(state), 10, 64)
	c.Store(n)
	return err
}

// harness is a log with streams that read and append to it, in virtual time.
type harness struct {
	log   standin.Log
	group errgroup.Group
	ctx   context.Context
	// appendCalls counts the calls of Append, including failed ones.
	appendCalls atomic.Int64
}

func (h *harness) newStream(c *recordCounter) *journal.Stream {
	client := h.log.Client()
	s := &journal.Stream{
		Log: &platform.Log{
			AppendFunc: func(ctx context.Context, name platform.StreamName, data []byte) (fleet.Offset, error) {
				h.appendCalls.Add(1)
				return client.Append(ctx, name, data)
			},
			ReadFunc: client.ReadFunc,
		},
		Name: streamName, Apply: c.apply, Save: c.save, Load: c.load,
	}
	return s
}

func (h *harness) start(s *journal.Stream) {
	h.group.Go(func() error { return s.Run(h.ctx) })
	Expect(s.WaitReady(h.ctx)).To(Succeed())
}

// inVirtualTime runs a test in virtual time and stops its streams at the end.
func inVirtualTime(f func(h *harness)) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			h := &harness{ctx: ctx}
			defer func() {
				cancel()
				_ = h.group.Wait()
			}()
			defer GinkgoRecover()
			f(h)
		})
	}
}

func newRecord() record.Envelope {
	e, err := record.New(record.KindIntent, time.Now(), 1)
	Expect(err).NotTo(HaveOccurred())
	return e
}

var _ = Describe("A stream", func() {
	It("reads back after a lost response and does not append again", inVirtualTime(func(h *harness) {
		c := &recordCounter{}
		s := h.newStream(c)
		h.start(s)
		h.log.Set(standin.StateLost)
		_, err := s.Write(h.ctx, newRecord())
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Minute)
		Expect(h.log.Appends()).To(Equal(1))
		Expect(c.Load()).To(BeEquivalentTo(1))
	}))

	It("groups what waits while an append is in flight", inVirtualTime(func(h *harness) {
		s := h.newStream(&recordCounter{})
		h.start(s)
		h.log.Delay = 50 * time.Millisecond
		for range 100 {
			_, err := s.Submit(newRecord())
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.Flush(h.ctx)).To(Succeed())
		Expect(h.log.Appends()).To(BeNumerically("<=", 2))
		Expect(s.Stats().Records).To(Equal(100))
	}))

	It("flushes until the append that wrote the last record has returned", inVirtualTime(func(h *harness) {
		s := h.newStream(&recordCounter{})
		appendNow := s.Log.AppendFunc
		s.Log.AppendFunc = func(ctx context.Context, name platform.StreamName, data []byte) (fleet.Offset, error) {
			offset, err := appendNow(ctx, name, data)
			// The record can be read before the response arrives.
			time.Sleep(20 * time.Millisecond)
			return offset, err
		}
		h.start(s)
		_, err := s.Submit(newRecord())
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Flush(h.ctx)).To(Succeed())
		Expect(s.Stats().Records).To(Equal(1))
	}))

	It("never appends a record that was withdrawn", inVirtualTime(func(h *harness) {
		s := h.newStream(&recordCounter{})
		h.start(s)
		h.log.Set(standin.StateDown)
		sb, err := s.Submit(newRecord())
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Millisecond)
		Expect(sb.Withdraw()).To(BeTrue())
		Expect(s.Flush(h.ctx)).To(Succeed())
		h.log.Set(standin.StateUp)
		time.Sleep(time.Minute)
		Expect(h.log.Appends()).To(BeZero())
	}))

	It("rejects records during an outage or with a full queue, except required ones", inVirtualTime(func(h *harness) {
		c := &recordCounter{}
		s := h.newStream(c)
		s.QueueLength = 2
		h.start(s)
		h.log.Set(standin.StateDown)
		var unavailable *journal.UnavailableError
		var queued []*journal.Submission
		for range 2 {
			sb, err := s.Submit(newRecord())
			Expect(err).NotTo(HaveOccurred())
			queued = append(queued, sb)
		}
		_, err := s.Submit(newRecord())
		Expect(err).To(BeAssignableToTypeOf(unavailable))
		_, err = s.SubmitRequired(newRecord())
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Minute)
		Expect(s.Healthy()).To(BeFalse())
		for _, sb := range queued {
			Expect(sb.Wait(h.ctx)).To(BeAssignableToTypeOf(unavailable))
			Expect(sb.Withdraw()).To(BeTrue())
		}
		h.log.Set(standin.StateUp)
		Expect(s.Flush(h.ctx)).To(Succeed())
		Expect(c.Load()).To(BeEquivalentTo(1))
	}))

	It("spreads the appends of many streams during and after a long outage", inVirtualTime(func(h *harness) {
		const streamCount = 50
		var streams []*journal.Stream
		for range streamCount {
			s := h.newStream(&recordCounter{})
			h.start(s)
			streams = append(streams, s)
		}
		h.log.Set(standin.StateDown)
		for _, s := range streams {
			_, err := s.SubmitRequired(newRecord())
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(time.Hour)
		callsBefore := h.appendCalls.Load()
		time.Sleep(time.Minute)
		Expect(h.appendCalls.Load()-callsBefore).To(BeNumerically("<", streamCount*60), "fewer than one append per second and stream")
		h.log.Set(standin.StateUp)
		callsBefore = h.appendCalls.Load()
		time.Sleep(time.Second)
		Expect(h.appendCalls.Load()-callsBefore).To(BeNumerically("<", streamCount), "not all streams append in the first second")
		for _, s := range streams {
			Expect(s.Flush(h.ctx)).To(Succeed())
		}
	}))

	It("renews the snapshot of an idle stream and reports a recovery from it", inVirtualTime(func(h *harness) {
		h.log.Retention = 12 * time.Hour
		c := &recordCounter{}
		s := h.newStream(c)
		s.ShouldSnapshot = func() bool { return false }
		h.start(s)
		for range 5 {
			_, err := s.Write(h.ctx, newRecord())
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(48 * time.Hour)
		restored, recoveries := &recordCounter{}, 0
		r := h.newStream(restored)
		r.Recovered = func(from, nextOffset fleet.Offset) {
			Expect(nextOffset).To(BeNumerically(">", from))
			recoveries++
		}
		h.start(r)
		Expect(recoveries).To(Equal(1))
		Expect(restored.Load()).To(BeEquivalentTo(5))
		Expect(r.Next()).To(Equal(s.Next()))
	}))

	It("continues from a snapshot when the entries at its offset expire", inVirtualTime(func(h *harness) {
		c := &recordCounter{}
		s := h.newStream(c)
		h.start(s)
		readFunc := s.Log.ReadFunc
		var partitioned atomic.Bool
		partitioned.Store(true)
		restored := &recordCounter{}
		r := h.newStream(restored)
		r.Log.ReadFunc = func(ctx context.Context, name platform.StreamName, from fleet.Offset, limit int, wait time.Duration) (platform.Page, error) {
			if partitioned.Load() && from > 0 {
				return platform.Page{}, &platform.NotExecutedError{Service: "log"}
			}
			return readFunc(ctx, name, from, limit, wait)
		}
		_, err := s.Write(h.ctx, newRecord())
		Expect(err).NotTo(HaveOccurred())
		h.start(r)
		sb, err := r.Submit(newRecord())
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			_, err := s.Write(h.ctx, newRecord())
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.Snapshot(h.ctx)).To(Succeed())
		h.log.DropBefore(streamName, s.Next()-1)
		partitioned.Store(false)
		Expect(sb.Wait(h.ctx)).To(Succeed(), "the entry of its record expired unread")
		Expect(r.Stats().Lapsed).To(Equal(1))
		synctest.Wait()
		Expect(restored.Load()).To(Equal(c.Load()))
	}))
})
