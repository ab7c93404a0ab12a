package feed_test

import (
	"context"
	"fmt"
	"slices"
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
	"github.com/skylarkloom/skylarkloom/pkg/intake"
	serviceclient "github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/platform"
)

func TestFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "feed")
}

// topicStub stands in for a topic whose reads can fail.
type topicStub struct {
	mu      sync.Mutex
	records []platform.Record
	first   fleet.Offset
	readErr error
	reads   int
}

func (t *topicStub) addRecord(key, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, platform.Record{Key: key, Value: []byte(value), Offset: t.first + fleet.Offset(len(t.records))})
}

func (t *topicStub) update(change func(*topicStub)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

func (t *topicStub) source() feed.Source {
	end := func() fleet.Offset { return t.first + fleet.Offset(len(t.records)) }
	return feed.Source{
		NewestPage: func(context.Context, platform.Topic, string) (platform.Batch, bool, error) {
			t.mu.Lock()
			defer t.mu.Unlock()
			return platform.Batch{End: end(), Records: append([]platform.Record(nil), t.records...)}, false, t.readErr
		},
		Read: func(_ context.Context, name platform.Topic, from fleet.Offset, _ time.Duration) (platform.Batch, error) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.reads++
			if t.readErr != nil {
				return platform.Batch{}, t.readErr
			}
			if from < t.first {
				return platform.Batch{}, &serviceclient.OffsetExpiredError{Stream: serviceclient.StreamName(name), From: from, Oldest: t.first}
			}
			b := platform.Batch{End: end(), First: t.first}
			if from < end() {
				b.Records = append(b.Records, t.records[from-t.first:]...)
			}
			return b, nil
		},
	}
}

// received collects what a follower passes to its callbacks.
type received struct {
	mu        sync.Mutex
	values    []string
	fullReads int
	restored  int
	lastSent  clock.Instant
}

func (r *received) add(records []platform.Record, sentAt clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.values = append(r.values, string(record.Value))
	}
	r.lastSent = max(r.lastSent, sentAt)
}

func (r *received) increment(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

func (r *received) count(n *int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *n
}

func (r *received) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.values...)
}

var _ = Describe("A follower of a topic", func() {
	var (
		t   *topicStub
		got *received
		f   *feed.Follower
	)

	BeforeEach(func() {
		t, got = &topicStub{}, &received{}
		f = &feed.Follower{
			Source: t.source(), Topic: "x", Pause: time.Millisecond,
			OnFullRead: func(b platform.Batch, sent clock.Instant) {
				got.increment(&got.fullReads)
				got.add(b.Records, sent)
			},
			OnNewRecords: func(_ fleet.Offset, r []platform.Record, sent clock.Instant) { got.add(r, sent) },
			OnRestored:   func() { got.increment(&got.restored) },
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

	It("passes on each record once, in order", func() {
		t.addRecord("a", "1")
		start()
		Eventually(got.list).Should(Equal([]string{"1"}))
		t.addRecord("a", "2")
		t.addRecord("b", "3")
		Eventually(got.list).Should(Equal([]string{"1", "2", "3"}))
		Consistently(got.list).Should(HaveLen(3))
	})

	// Found by a sweep to 300 nodes and 3,000 endpoints: all nodes read six pages at the
	// same time, none finished within the time for one call, and all began again.
	It("continues a full read after a page that failed, with more time for the next try", func() {
		const pages = 4
		var mu sync.Mutex
		var times []time.Duration
		var asked []string
		read := f.Source.Read
		f.Source = feed.Source{Read: read, NewestPage: func(ctx context.Context, _ platform.Topic, after string) (platform.Batch, bool, error) {
			deadline, _ := ctx.Deadline()
			mu.Lock()
			defer mu.Unlock()
			times, asked = append(times, time.Until(deadline)), append(asked, after)
			if len(asked)%2 == 1 {
				return platform.Batch{}, false, errors.New("too slow")
			}
			page := len(asked) / 2
			return platform.Batch{Records: []platform.Record{{Key: fmt.Sprint(page), Value: fmt.Append(nil, page)}}}, page < pages, nil
		}}
		start()
		Eventually(got.list).Should(Equal([]string{"1", "2", "3", "4"}))
		mu.Lock()
		defer mu.Unlock()
		Expect(asked).To(Equal([]string{"", "", "1", "1", "2", "2", "3", "3"}))
		Expect(times[1]).To(BeNumerically(">", 1.9*float64(times[0])))
		Expect(times[2]).To(BeNumerically("~", times[0], 20*time.Millisecond))
	})

	// Memory: the pages of a full read were kept until the last one, however many there were.
	It("begins a full read again when there is no room for its pages, and drops those that it kept", func() {
		const pages = 20
		var mu sync.Mutex
		var kept []int
		endless := true
		budget := &intake.Budget{Limits: intake.Limits{Memory: pages << 10}}
		f.Held.Budget = budget
		f.OnPage = func(records []platform.Record, first bool) intake.Bytes {
			mu.Lock()
			defer mu.Unlock()
			if first {
				kept = append(kept, 0)
			}
			kept[len(kept)-1] += len(records)
			return intake.Bytes(len(records)) << 10
		}
		f.Source.NewestPage = func(_ context.Context, _ platform.Topic, after string) (platform.Batch, bool, error) {
			mu.Lock()
			defer mu.Unlock()
			return platform.Batch{Records: []platform.Record{{Key: after + "a", Value: []byte("1")}}}, endless || len(after) < 2, nil
		}
		start()
		Eventually(func() []int {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(kept)
		}).Should(ContainElements(pages+1, 0))
		Expect(got.count(&got.fullReads)).To(BeZero())
		mu.Lock()
		endless = false
		mu.Unlock()
		Eventually(func() int { return got.count(&got.fullReads) }).Should(Equal(1))
		mu.Lock()
		defer mu.Unlock()
		Expect(kept[len(kept)-1]).To(Equal(3))
		held, _ := budget.Held()
		Expect(held).To(BeZero())
	})

	It("makes a full read when the next records are no longer kept", func() {
		t.addRecord("a", "1")
		start()
		Eventually(got.list).Should(HaveLen(1))
		t.update(func(t *topicStub) {
			t.first += 5
			t.records = nil
		})
		t.addRecord("a", "9")
		Eventually(got.list).Should(ContainElement("9"))
		Expect(got.count(&got.fullReads)).To(BeNumerically(">=", 2))
	})

	It("confirms nothing while reads fail, and reports when they succeed again", func() {
		start()
		Eventually(func() int { return got.count(&got.fullReads) }).Should(Equal(1))
		t.update(func(t *topicStub) { t.readErr = errors.New("down") })
		t.update(func(t *topicStub) { t.reads = 0 })
		Eventually(func() (n int) { t.update(func(t *topicStub) { n = t.reads }); return n }).Should(BeNumerically(">", 1))
		got.mu.Lock()
		last := got.lastSent
		got.mu.Unlock()
		Consistently(func() clock.Instant { got.mu.Lock(); defer got.mu.Unlock(); return got.lastSent }).Should(Equal(last))
		t.update(func(t *topicStub) { t.readErr = nil })
		Eventually(func() int { return got.count(&got.restored) }).Should(Equal(1))
	})

	It("does not accept an answer from an older state", func() {
		t.addRecord("a", "1")
		t.addRecord("a", "2")
		start()
		Eventually(got.list).Should(HaveLen(2))
		t.update(func(t *topicStub) { t.records = t.records[:1] })
		t.update(func(t *topicStub) { t.reads = 0 })
		Eventually(func() (n int) { t.update(func(t *topicStub) { n = t.reads }); return n }).Should(BeNumerically(">", 1))
		got.mu.Lock()
		last := got.lastSent
		got.mu.Unlock()
		Consistently(func() clock.Instant { got.mu.Lock(); defer got.mu.Unlock(); return got.lastSent }).Should(Equal(last))
	})

	It("skips reads while the reads of a peer are recent enough", func() {
		var skipChecks atomic.Int64
		f.Skip = func() bool {
			skipChecks.Add(1)
			return true
		}
		t.addRecord("a", "1")
		start()
		Eventually(got.list).Should(HaveLen(1))
		t.addRecord("a", "2")
		Eventually(skipChecks.Load).Should(BeNumerically(">", 2))
		Expect(got.list()).To(HaveLen(1))
		next, confirmedAt := f.Position()
		Expect(next).To(Equal(fleet.Offset(1)))
		applied := 0
		apply := func() { applied++ }
		Expect(f.ApplyPeerRead(2, 3, confirmedAt.Add(time.Second), apply)).To(BeFalse(), "this node has not read up to there")
		Expect(f.ApplyPeerRead(1, 1, confirmedAt.Add(time.Second), apply)).To(BeTrue())
		Expect(applied).To(BeZero(), "there were no records")
		_, newConfirmedAt := f.Position()
		Expect(newConfirmedAt).To(Equal(confirmedAt.Add(time.Second)))
		Expect(f.ApplyPeerRead(1, 2, confirmedAt.Add(2*time.Second), apply)).To(BeTrue())
		Expect(applied).To(Equal(1))
		next, _ = f.Position()
		Expect(next).To(Equal(fleet.Offset(2)))
	})

	It("drops a read during which a peer's read was applied", func() {
		release, blocked := make(chan struct{}), make(chan struct{})
		var once sync.Once
		read := f.Source.Read
		f.Source.Read = func(ctx context.Context, topic platform.Topic, from fleet.Offset, wait time.Duration) (platform.Batch, error) {
			b, err := read(ctx, topic, from, wait)
			if from == 1 && len(b.Records) > 0 {
				once.Do(func() {
					close(blocked)
					<-release
				})
			}
			return b, err
		}
		t.addRecord("a", "1")
		start()
		Eventually(got.list).Should(HaveLen(1))
		t.addRecord("a", "old")
		Eventually(blocked).Should(BeClosed())
		t.addRecord("a", "new")
		Expect(f.ApplyPeerRead(1, 3, clock.Now(), func() { got.add([]platform.Record{{Value: []byte("new")}}, clock.Now()) })).To(BeTrue())
		close(release)
		t.addRecord("a", "newer")
		Eventually(got.list).Should(ContainElement("newer"))
		Expect(got.list()).To(Equal([]string{"1", "new", "newer"}))
	})
})
