package roster

import (
	"context"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// Poller reads the instance list and the reclaim notices into a roster.
type Poller struct {
	Roster *Roster
	List   *platform.InstanceList
	Cloud  *platform.Cloud
	// Interval is the interval at which the notices are read.
	Interval time.Duration
	// ListInterval is the interval at which the full list is read; 0 reads it
	// together with the notices. The cost of each read grows with the fleet.
	ListInterval time.Duration
	// Failed, if set, is called when a read failed. The roster stays unchanged.
	Failed func(err error)

	lastListRead time.Time
}

// Run polls until the context is done.
func (p *Poller) Run(ctx context.Context) error {
	p.Poll(ctx)
	interval.Run(ctx, p.Interval, p.Poll)
	return nil
}

// Poll reads the notices once, and the list if ListInterval has passed.
func (p *Poller) Poll(ctx context.Context) {
	notices, err := p.Cloud.Notices(ctx)
	p.reportError(ctx, err)
	for _, n := range notices {
		p.Roster.Report(ConditionReport{
			Instance:  fleet.InstanceRef{ID: n.Instance, Incarnation: n.Incarnation},
			Condition: fleet.ConditionLeaving,
			Leaves:    n.Leaves,
			Source:    SourceNotice,
		})
	}
	if time.Since(p.lastListRead) >= p.ListInterval {
		p.readList(ctx)
	}
}

func (p *Poller) readList(ctx context.Context) {
	list, err := p.List.Instances(ctx)
	p.reportError(ctx, err)
	if err != nil {
		return
	}
	p.lastListRead = time.Now()
	for _, i := range list {
		p.Roster.Add(i)
	}
	p.Roster.RemoveUnlisted(list)
}

func (p *Poller) reportError(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil && p.Failed != nil {
		p.Failed(err)
	}
}
