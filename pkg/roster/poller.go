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
	// Every is the interval of the reads.
	Every time.Duration
	// Failed is called when a read failed; the roster keeps what it has.
	Failed func(err error)
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	p.Poll(ctx)
	interval.Run(ctx, p.Every, p.Poll)
	return nil
}

// Poll reads once.
func (p *Poller) Poll(ctx context.Context) {
	notices, err := p.Cloud.Notices(ctx)
	p.report(ctx, err)
	for _, n := range notices {
		p.Roster.Mark(Mark{
			Instance:  fleet.InstanceRef{ID: n.Instance, Incarnation: n.Incarnation},
			Condition: fleet.ConditionLeaving,
			Leaves:    n.Leaves,
			Source:    SourceNotice,
		})
	}
	list, err := p.List.Instances(ctx)
	p.report(ctx, err)
	if err != nil {
		return
	}
	for _, i := range list {
		p.Roster.Add(i)
	}
	p.Roster.Keep(list)
}

func (p *Poller) report(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil && p.Failed != nil {
		p.Failed(err)
	}
}
