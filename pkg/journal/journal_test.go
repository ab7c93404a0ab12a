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

const name platform.StreamName = "test"

// counter is a fold that counts records; its state is the count.
type counter struct{ atomic.Int64 }

func (c *counter) apply(record.Position, record.Envelope) error { c.Add(1); return nil }
func (c *counter) save() ([]byte, error)                        { return strconv.AppendInt(nil, c.Load(), 10), nil }

func (c *counter) load(state []byte) error {
	n, err := strconv.ParseInt(string(state), 10, 64)
	c.Store(n)
	return err
}

// bench is a log with streams over it, in virtual time.
type bench struct {
	log   standin.Log
	group errgroup.Group
	ctx   context.Context
	// calls counts what reached the log's interface.
	calls atomic.Int64
}

func (b *bench) stream(c *counter) *journal.Stream {
	client := b.log.Client()
	s := &journal.Stream{
		Log: &platform.Log{
			AppendFunc: func(ctx context.Context, name platform.StreamName, data []byte) (fleet.Offset, error) {
				b.calls.Add(1)
				return client.Append(ctx, name, data)
			},
			ReadFunc: client.ReadFunc,
		},
		Name: name, Apply: c.apply, Save: c.save, Load: c.load,
	}
	return s
}

func (b *bench) run(s *journal.Stream) {
	b.group.Go(func() error { return s.Run(b.ctx) })
	Expect(s.WaitReady(b.ctx)).To(Succeed())
}

// virtual runs a test in virtual time and ends what it started.
func virtual(f func(b *bench)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			b := &bench{ctx: ctx}
			defer func() {
				cancel()
				_ = b.group.Wait()
			}()
			defer GinkgoRecover()
			f(b)
		})
	}
}

func entry() record.Envelope {
	e, err := record.New(record.KindIntent, time.Now(), 1)
	Expect(err).NotTo(HaveOccurred())
	return e
}

var _ = Describe("A stream", func() {
	It("reads back after a lost answer and appends nothing twice", virtual(func(b *bench) {
		c := &counter{}
		s := b.stream(c)
		b.run(s)
		b.log.Set(standin.StateLost)
		_, err := s.Write(b.ctx, entry())
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Minute)
		Expect(b.log.Appends()).To(Equal(1))
		Expect(c.Load()).To(BeEquivalentTo(1))
	}))

	It("groups what waits while an append is in flight", virtual(func(b *bench) {
		s := b.stream(&counter{})
		b.run(s)
		b.log.Delay = 50 * time.Millisecond
		for range 100 {
			_, err := s.Submit(entry())
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.Flush(b.ctx)).To(Succeed())
		Expect(b.log.Appends()).To(BeNumerically("<=", 2))
		Expect(s.Stats().Records).To(Equal(100))
	}))

	It("keeps nothing of a record that was withdrawn", virtual(func(b *bench) {
		s := b.stream(&counter{})
		b.run(s)
		b.log.Set(standin.StateDown)
		t, err := s.Submit(entry())
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Millisecond)
		Expect(t.Withdraw()).To(BeTrue())
		Expect(s.Flush(b.ctx)).To(Succeed())
		b.log.Set(standin.StateUp)
		time.Sleep(time.Minute)
		Expect(b.log.Appends()).To(BeZero())
	}))

	It("refuses early in an outage and past its bound, but not an outcome", virtual(func(b *bench) {
		c := &counter{}
		s := b.stream(c)
		s.QueueLength = 2
		b.run(s)
		b.log.Set(standin.StateDown)
		var refused *journal.UnavailableError
		var waiting []*journal.Submission
		for range 2 {
			t, err := s.Submit(entry())
			Expect(err).NotTo(HaveOccurred())
			waiting = append(waiting, t)
		}
		_, err := s.Submit(entry())
		Expect(err).To(BeAssignableToTypeOf(refused))
		_, err = s.SubmitRequired(entry())
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Minute)
		Expect(s.Healthy()).To(BeFalse())
		for _, t := range waiting {
			Expect(t.Wait(b.ctx)).To(BeAssignableToTypeOf(refused))
			Expect(t.Withdraw()).To(BeTrue())
		}
		b.log.Set(standin.StateUp)
		Expect(s.Flush(b.ctx)).To(Succeed())
		Expect(c.Load()).To(BeEquivalentTo(1))
	}))

	It("comes back from an outage of hours without a stampede", virtual(func(b *bench) {
		const streams = 50
		var all []*journal.Stream
		for range streams {
			s := b.stream(&counter{})
			b.run(s)
			all = append(all, s)
		}
		b.log.Set(standin.StateDown)
		for _, s := range all {
			_, err := s.SubmitRequired(entry())
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(time.Hour)
		before := b.calls.Load()
		time.Sleep(time.Minute)
		Expect(b.calls.Load()-before).To(BeNumerically("<", streams*60), "an append a second and stream")
		b.log.Set(standin.StateUp)
		before = b.calls.Load()
		time.Sleep(time.Second)
		Expect(b.calls.Load()-before).To(BeNumerically("<", streams), "all of them in the first second")
		for _, s := range all {
			Expect(s.Flush(b.ctx)).To(Succeed())
		}
	}))

	It("renews the snapshot of an idle stream, and says so when it starts from one", virtual(func(b *bench) {
		b.log.Retention = 12 * time.Hour
		c := &counter{}
		s := b.stream(c)
		s.ShouldSnapshot = func() bool { return false }
		b.run(s)
		for range 5 {
			_, err := s.Write(b.ctx, entry())
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(48 * time.Hour)
		late, lapsed := &counter{}, 0
		r := b.stream(late)
		r.Recovered = func(from, asOf fleet.Offset) {
			Expect(asOf).To(BeNumerically(">", from))
			lapsed++
		}
		b.run(r)
		Expect(lapsed).To(Equal(1))
		Expect(late.Load()).To(BeEquivalentTo(5))
		Expect(r.Next()).To(Equal(s.Next()))
	}))

	It("goes on from a snapshot when its entries lapse under it", virtual(func(b *bench) {
		c := &counter{}
		s := b.stream(c)
		b.run(s)
		client := s.Log.ReadFunc
		var cut atomic.Bool
		cut.Store(true)
		late := &counter{}
		r := b.stream(late)
		r.Log.ReadFunc = func(ctx context.Context, name platform.StreamName, from fleet.Offset, limit int, wait time.Duration) (platform.Page, error) {
			if cut.Load() && from > 0 {
				return platform.Page{}, &platform.NotExecutedError{Service: "log"}
			}
			return client(ctx, name, from, limit, wait)
		}
		_, err := s.Write(b.ctx, entry())
		Expect(err).NotTo(HaveOccurred())
		b.run(r)
		t, err := r.Submit(entry())
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			_, err := s.Write(b.ctx, entry())
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.Snapshot(b.ctx)).To(Succeed())
		b.log.Lapse(name, s.Next()-1)
		cut.Store(false)
		Expect(t.Wait(b.ctx)).To(Succeed(), "its record lapsed unread")
		Expect(r.Stats().Lapsed).To(Equal(1))
		synctest.Wait()
		Expect(late.Load()).To(Equal(c.Load()))
	}))
})
