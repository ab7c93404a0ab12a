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

// readsInOutage returns the number of reads that a follower makes during an outage
// of the store.
func readsInOutage(t *testing.T, served bool, outage time.Duration) (reads int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := feed.Follower{
			Topic:        platform.TopicOperator,
			ServedByPeer: func() bool { return served },
			OnFullRead:   func(platform.Batch, clock.Instant) {},
			OnNewRecords: func(fleet.Offset, []platform.Record, clock.Instant) {},
			Source: feed.Source{
				NewestPage: func(context.Context, platform.Topic, string) (platform.Batch, bool, error) {
					return platform.Batch{}, false, nil
				},
				Read: func(context.Context, platform.Topic, fleet.Offset, time.Duration) (platform.Batch, error) {
					reads++
					return platform.Batch{}, errors.New("store unavailable")
				},
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), outage)
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
	// A node that reads for its peers detects the end of the outage within 0.2 s. A
	// node that a peer reads for makes two tries, not more, within the age of the
	// configuration at which keys are refused.
	g.Expect(readsInOutage(t, false, outage)).To(BeNumerically(">=", 45))
	g.Expect(readsInOutage(t, true, outage)).To(And(BeNumerically(">=", 9), BeNumerically("<=", 23)))
}
