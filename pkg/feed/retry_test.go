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

// readsInOutage returns how many reads a follower makes in an outage of the store.
func readsInOutage(t *testing.T, served bool, outage time.Duration) (reads int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := feed.Follower{
			Topic:        platform.TopicOperator,
			ServedByPeer: func() bool { return served },
			OnFullRead:   func(platform.Batch, clock.Instant) {},
			OnNewRecords: func(fleet.Offset, []platform.Record, clock.Instant) {},
			Source: feed.Source{
				Newest: func(context.Context, platform.Topic) (platform.Batch, error) { return platform.Batch{}, nil },
				Read: func(context.Context, platform.Topic, fleet.Offset, time.Duration) (platform.Batch, error) {
					reads++
					return platform.Batch{}, errors.New("the store is away")
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

// The store turns away a large fleet, all nodes of which read again at once.
func TestReadsInOutage(t *testing.T) {
	const outage = 9 * time.Second
	g := NewWithT(t)
	// A node that others rely on notices the end of the outage within 0.2 s; the
	// rest makes two tries within the age at which keys are refused, not more.
	g.Expect(readsInOutage(t, false, outage)).To(BeNumerically(">=", 45))
	g.Expect(readsInOutage(t, true, outage)).To(And(BeNumerically(">=", 9), BeNumerically("<=", 23)))
}
