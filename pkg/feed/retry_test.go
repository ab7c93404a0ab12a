package feed_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/feed"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/platform"
)

// countReads returns the number of reads that a follower makes in a time in which each
// read takes the given time and ends with an error or without records.
func countReads(t *testing.T, served bool, total, took, pause time.Duration, readErr error) (reads int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := feed.Follower{
			Topic:        platform.TopicOperator,
			Pause:        pause,
			ServedByPeer: func() bool { return served },
			OnFullRead:   func(platform.Batch, clock.Instant) {},
			OnNewRecords: func(fleet.Offset, []platform.Record, clock.Instant) {},
			Source: feed.Source{
				NewestPage: func(context.Context, platform.Topic, string) (platform.Batch, bool, error) {
					return platform.Batch{}, false, nil
				},
				Read: func(context.Context, platform.Topic, fleet.Offset, time.Duration) (platform.Batch, error) {
					reads++
					time.Sleep(took)
					return platform.Batch{}, readErr
				},
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), total)
		defer cancel()
		var group errgroup.Group
		group.Go(func() error {
			f.Run(ctx)
			return nil
		})
		NewWithT(t).Expect(group.Wait()).To(Succeed())
	})
	return reads
}

// TestReadsInOutage guards against an overload of the store by a large fleet, when
// all nodes retry failed reads at short intervals.
func TestReadsInOutage(t *testing.T) {
	const outage = 9 * time.Second
	g := NewWithT(t)
	readsInOutage := func(t *testing.T, served bool, outage time.Duration) int {
		t.Helper()
		return countReads(t, served, outage, 0, 0, errors.New("store unavailable"))
	}
	// A node that reads for its peers detects the end of the outage within 0.2 s. A
	// node that a peer reads for makes two tries, not more, within the age of the
	// configuration at which keys are refused.
	g.Expect(readsInOutage(t, false, outage)).To(BeNumerically(">=", 45))
	g.Expect(readsInOutage(t, true, outage)).To(And(BeNumerically(">=", 9), BeNumerically("<=", 23)))
}

// TestSlowReads guards against a fleet that keeps the store's bandwidth used up: reads
// that take a second made the peers' reads late, so that all nodes went on to read.
func TestSlowReads(t *testing.T) {
	const total, pause = time.Minute, 550 * time.Millisecond
	g := NewWithT(t)
	for _, readErr := range []error{nil, errors.New("timeout")} {
		g.Expect(countReads(t, false, total, time.Second, pause, readErr)).To(BeNumerically(">=", 36))
		g.Expect(countReads(t, true, total, time.Second, pause, readErr)).To(BeNumerically("<=", 14))
		g.Expect(countReads(t, true, total, 100*time.Millisecond, pause, readErr)).To(BeNumerically(">=", 60))
	}
}
