package roster_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
)

// TestPollerReadsTheListLessOften is not a spec, because a synctest bubble needs a
// plain test.
func TestPollerReadsTheListLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		lists, notices, failing := 0, 0, false
		p := &roster.Poller{
			Roster:       &roster.Roster{},
			Interval:     500 * time.Millisecond,
			ListInterval: 5 * time.Second,
			List: &platform.InstanceList{ListFunc: func(context.Context) ([]fleet.Instance, error) {
				lists++
				if failing {
					return nil, context.DeadlineExceeded
				}
				return nil, nil
			}},
			Cloud: &platform.Cloud{NoticesFunc: func(context.Context) ([]platform.ReclaimNotice, error) {
				notices++
				return nil, nil
			}},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second+time.Millisecond)
		defer cancel()
		g.Expect(p.Run(ctx)).To(Succeed())
		g.Expect(notices).To(Equal(41))
		g.Expect(lists).To(Equal(5))
		failing = true
		time.Sleep(5 * time.Second)
		p.Poll(t.Context())
		p.Poll(t.Context())
		g.Expect(lists).To(Equal(7), "a failed read is repeated at the next poll")
	})
}
