package feed_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/feed"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	base "github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/platform"
)

func TestFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "feed")
}

// topic is a topic whose reads can fail.
type topic struct {
	mu      sync.Mutex
	records []platform.Record
	first   fleet.Offset
	fail    error
	reads   int
}

func (t *topic) put(key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, platform.Record{Key: key, Value: []byte(value), Offset: t.first + fleet.Offset(len(t.records))})
}

func (t *topic) set(change func(*topic)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

func (t *topic) source() feed.Source {
	end := func() fleet.Offset { return t.first + fleet.Offset(len(t.records)) }
	return feed.Source{
		Newest: func(context.Context, platform.Topic) (platform.Batch, error) {
			t.mu.Lock()
			defer t.mu.Unlock()
			return platform.Batch{End: end(), Records: append([]platform.Record(nil), t.records...)}, t.fail
		},
		Read: func(_ context.Context, name platform.Topic, from fleet.Offset, _ time.Duration) (platform.Batch, error) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.reads++
			if t.fail != nil {
				return platform.Batch{}, t.fail
			}
			if from < t.first {
				return platform.Batch{}, &base.LapsedError{Stream: base.StreamName(name), From: from, Oldest: t.first}
			}
			b := platform.Batch{End: end(), First: t.first}
			if from < end() {
				b.Records = append(b.Records, t.records[from-t.first:]...)
			}
			return b, nil
		},
	}
}

// seen collects what a follower passes on.
type seen struct {
	mu       sync.Mutex
	values   []string
	whole    int
	restored int
	sent     clock.Instant
}

func (s *seen) add(records []platform.Record, sent clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.values = append(s.values, string(r.Value))
	}
	s.sent = max(s.sent, sent)
}

func (s *seen) raise(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (s *seen) count(n *int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *n
}

func (s *seen) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.values...)
}

var _ = Describe("Following a topic", func() {
	var (
		t *topic
		s *seen
		f *feed.Follower
	)

	BeforeEach(func() {
		t, s = &topic{}, &seen{}
		f = &feed.Follower{
			Source: t.source(), Topic: "x", Interval: time.Millisecond,
			OnFullRead: func(b platform.Batch, sent clock.Instant) {
				s.raise(&s.whole)
				s.add(b.Records, sent)
			},
			OnNewRecords: func(_ fleet.Offset, r []platform.Record, sent clock.Instant) { s.add(r, sent) },
			OnRestored:   func() { s.raise(&s.restored) },
		}
	})

	start := func() {
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error {
			f.Run(ctx)
			return nil
		})
		DeferCleanup(func() {
			cancel()
			Expect(group.Wait()).To(Succeed())
		})
	}

	It("passes each record on once, in order", func() {
		t.put("a", "1")
		start()
		Eventually(s.list).Should(Equal([]string{"1"}))
		t.put("a", "2")
		t.put("b", "3")
		Eventually(s.list).Should(Equal([]string{"1", "2", "3"}))
		Consistently(s.list).Should(HaveLen(3))
	})

	It("reads the newest records when the history was dropped", func() {
		t.put("a", "1")
		start()
		Eventually(s.list).Should(HaveLen(1))
		t.set(func(t *topic) {
			t.first += 5
			t.records = nil
		})
		t.put("a", "9")
		Eventually(s.list).Should(ContainElement("9"))
		Expect(s.count(&s.whole)).To(BeNumerically(">=", 2))
	})

	It("confirms nothing while reads fail, and says when they succeed again", func() {
		start()
		Eventually(func() int { return s.count(&s.whole) }).Should(Equal(1))
		t.set(func(t *topic) { t.fail = errors.New("down") })
		t.set(func(t *topic) { t.reads = 0 })
		Eventually(func() (n int) { t.set(func(t *topic) { n = t.reads }); return n }).Should(BeNumerically(">", 1))
		s.mu.Lock()
		last := s.sent
		s.mu.Unlock()
		Consistently(func() clock.Instant { s.mu.Lock(); defer s.mu.Unlock(); return s.sent }).Should(Equal(last))
		t.set(func(t *topic) { t.fail = nil })
		Eventually(func() int { return s.count(&s.restored) }).Should(Equal(1))
	})

	It("does not believe an answer from an older state", func() {
		t.put("a", "1")
		t.put("a", "2")
		start()
		Eventually(s.list).Should(HaveLen(2))
		t.set(func(t *topic) { t.records = t.records[:1] })
		t.set(func(t *topic) { t.reads = 0 })
		Eventually(func() (n int) { t.set(func(t *topic) { n = t.reads }); return n }).Should(BeNumerically(">", 1))
		s.mu.Lock()
		last := s.sent
		s.mu.Unlock()
		Consistently(func() clock.Instant { s.mu.Lock(); defer s.mu.Unlock(); return s.sent }).Should(Equal(last))
	})

	It("leaves reads out while another node's reading serves", func() {
		var asked atomic.Int64
		f.Skip = func() bool {
			asked.Add(1)
			return true
		}
		t.put("a", "1")
		start()
		Eventually(s.list).Should(HaveLen(1))
		t.put("a", "2")
		Eventually(asked.Load).Should(BeNumerically(">", 2))
		Expect(s.list()).To(HaveLen(1))
		next, at := f.Position()
		Expect(next).To(Equal(fleet.Offset(1)))
		folded := 0
		fold := func() { folded++ }
		Expect(f.ApplyPeerRead(2, 3, at.Add(time.Second), fold)).To(BeFalse(), "this node has not read so far")
		Expect(f.ApplyPeerRead(1, 1, at.Add(time.Second), fold)).To(BeTrue())
		Expect(folded).To(BeZero(), "nothing was read")
		_, confirmed := f.Position()
		Expect(confirmed).To(Equal(at.Add(time.Second)))
		Expect(f.ApplyPeerRead(1, 2, at.Add(2*time.Second), fold)).To(BeTrue())
		Expect(folded).To(Equal(1))
		next, _ = f.Position()
		Expect(next).To(Equal(fleet.Offset(2)))
	})

	It("drops a read during which another node's reading was adopted", func() {
		hold, held := make(chan struct{}), make(chan struct{})
		var once sync.Once
		read := f.Source.Read
		f.Source.Read = func(ctx context.Context, topic platform.Topic, from fleet.Offset, wait time.Duration) (platform.Batch, error) {
			b, err := read(ctx, topic, from, wait)
			if from == 1 && len(b.Records) > 0 {
				once.Do(func() {
					close(held)
					<-hold
				})
			}
			return b, err
		}
		t.put("a", "1")
		start()
		Eventually(s.list).Should(HaveLen(1))
		t.put("a", "old")
		Eventually(held).Should(BeClosed())
		t.put("a", "new")
		Expect(f.ApplyPeerRead(1, 3, clock.Now(), func() { s.add([]platform.Record{{Value: []byte("new")}}, clock.Now()) })).To(BeTrue())
		close(hold)
		t.put("a", "newer")
		Eventually(s.list).Should(ContainElement("newer"))
		Expect(s.list()).To(Equal([]string{"1", "new", "newer"}))
	})
})
