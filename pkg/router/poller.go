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

// Bounds of the polling.
const (
	// DefaultPollEvery is the interval of the load reports.
	DefaultPollInterval = 250 * time.Millisecond
	pollTimeout         = time.Second
	pollers             = 16
)

// Poller reads the load and the cache events of endpoints into a router.
type Poller struct {
	Router *Router
	// Engine reports whether the endpoints of a pool are model engines.
	IsEngine func(pool fleet.PoolName) bool
	// Mine reports whether this node polls an instance; nil polls all. What
	// other nodes poll comes in by the router's Merge.
	Assigned func(id fleet.InstanceID) bool
	// Read is told of each report that was read; nil tells nobody.
	OnReport func(m Report)
	// Dial returns the client of an engine; nil dials over HTTP.
	Dial func(i fleet.Instance) *endpoint.Engine
	// Every is the interval; 0 takes DefaultPollEvery.
	Interval time.Duration
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	p.Poll(ctx)
	interval.Run(ctx, cmp.Or(p.Interval, DefaultPollInterval), p.Poll)
	return nil
}

// Poll reads each of the endpoints once.
func (p *Poller) Poll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(pollers)
	for _, i := range p.Router.Roster.Instances() {
		if i.Condition.Rank() > 0 || (p.IsEngine != nil && !p.IsEngine(i.Pool)) || (p.Assigned != nil && !p.Assigned(i.ID)) {
			continue
		}
		g.Go(func() error {
			p.read(ctx, i)
			return nil
		})
	}
	_ = g.Wait()
}

// read polls one endpoint. The report counts as of before the call, because
// the engine may have read its load at any moment since.
func (p *Poller) read(ctx context.Context, i fleet.Instance) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	e := p.dial(i)
	at := p.Router.now()
	load, err := e.LoadFunc(ctx)
	if refused(err) {
		p.Router.RecordRefusal(i, p.Router.now())
	}
	if err != nil {
		return
	}
	m := Report{Instance: i.Ref(), Load: load, At: at}
	p.Router.MergeReport(m)
	if p.OnReport != nil {
		p.OnReport(m)
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
