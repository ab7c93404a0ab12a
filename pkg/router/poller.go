package router

import (
	"cmp"
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
)

// Intervals and limits of polling.
const (
	// DefaultPollInterval is the default interval between polls.
	DefaultPollInterval = 250 * time.Millisecond
	// pollTimeout bounds the poll of one endpoint.
	pollTimeout = time.Second
	// maxConcurrentPolls is the number of endpoints polled concurrently.
	maxConcurrentPolls = 16
)

// Poller reads the load and cache events of endpoints and merges them into a
// router.
type Poller struct {
	Router *Router
	// IsEngine reports whether the endpoints of a pool are model engines; only these
	// are polled. Nil polls all pools.
	IsEngine func(pool fleet.PoolName) bool
	// Assigned reports whether this node polls an instance; nil polls all. Reports
	// from other nodes are merged by Router.MergeReport.
	Assigned func(id fleet.InstanceID) bool
	// OnReport, if set, is called with each report read.
	OnReport func(rep EngineLoad)
	// Dial returns a client for an engine; nil dials over HTTP.
	Dial func(i fleet.Instance) *endpoint.Engine
	// Interval is the time between polls; 0 means DefaultPollInterval.
	Interval time.Duration
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	p.Poll(ctx)
	interval.Run(ctx, cmp.Or(p.Interval, DefaultPollInterval), p.Poll)
	return nil
}

// Poll polls each assigned endpoint once.
func (p *Poller) Poll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, i := range p.Router.Roster.Instances() {
		if i.Condition.Rank() > 0 || (p.IsEngine != nil && !p.IsEngine(i.Pool)) || (p.Assigned != nil && !p.Assigned(i.ID)) {
			continue
		}
		g.Go(func() error {
			p.pollEndpoint(ctx, i)
			return nil
		})
	}
	_ = g.Wait()
}

// pollEndpoint polls one endpoint. The report is dated before the call, because the
// engine may have read its load at any time since.
func (p *Poller) pollEndpoint(ctx context.Context, i fleet.Instance) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	e := p.dial(i)
	readAt := p.Router.now()
	load, err := e.LoadFunc(ctx)
	if connectionRefused(err) {
		p.Router.RecordRefusal(i, p.Router.now())
	}
	if err != nil {
		return
	}
	rep := EngineLoad{Instance: i.Ref(), Load: load, At: readAt}
	p.Router.MergeReport(rep)
	if p.OnReport != nil {
		p.OnReport(rep)
	}
	events, err := e.EventsFunc(ctx, p.Router.NextEvent(i.Ref()))
	if err == nil {
		p.Router.MergeEvents(i.Ref(), events, p.Router.now())
	}
}

func (p *Poller) dial(i fleet.Instance) *endpoint.Engine {
	if p.Dial != nil {
		return p.Dial(i)
	}
	return endpoint.DialEngine(i, p.Router.Client)
}
