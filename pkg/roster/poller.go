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
	List   *platform.List
	Cloud  *platform.Cloud
	// Every is the interval at which the notices are read.
	Interval time.Duration
	// ListEvery is the interval at which the whole list is read; 0 reads it
	// together with the notices. Each read costs in proportion to the fleet.
	ListInterval time.Duration
	// Failed is called when a read failed; the roster keeps what it has.
	Failed func(err error)

	listed time.Time
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	p.Poll(ctx)
	interval.Run(ctx, p.Interval, p.Poll)
	return nil
}

// Poll reads the notices once, and the list if it is due.
func (p *Poller) Poll(ctx context.Context) {
	notices, err := p.Cloud.Notices(ctx)
	p.report(ctx, err)
	for _, n := range notices {
		p.Roster.Report(Report{
			Instance:  fleet.InstanceRef{ID: n.Instance, Incarnation: n.Incarnation},
			Condition: fleet.ConditionLeaving,
			Leaves:    n.Leaves,
			Source:    SourceNotice,
		})
	}
	if time.Since(p.listed) >= p.ListInterval {
		p.readList(ctx)
	}
}

func (p *Poller) readList(ctx context.Context) {
	list, err := p.List.Instances(ctx)
	p.report(ctx, err)
	if err != nil {
		return
	}
	p.listed = time.Now()
	for _, i := range list {
		p.Roster.Add(i)
	}
	p.Roster.RemoveUnlisted(list)
}

func (p *Poller) report(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil && p.Failed != nil {
		p.Failed(err)
	}
}
