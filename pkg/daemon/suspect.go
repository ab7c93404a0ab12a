package daemon

import (
	"time"

	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
	"github.com/skylarkloom/skylarkloom/pkg/lease"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
	"github.com/skylarkloom/skylarkloom/pkg/router"
	"github.com/skylarkloom/skylarkloom/pkg/suspect"
)

// suspectService guards the endpoints against contents that crash them.
func (d *Daemon) suspectService() (kernel.Service, error) {
	r, err := kernel.Find[*router.Router](&d.kernel, ServiceRouter)
	if err != nil {
		return kernel.Service{}, err
	}
	known, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return kernel.Service{}, err
	}
	leases, err := kernel.Find[*lease.Book](&d.kernel, ServiceLease)
	if err != nil {
		return kernel.Service{}, err
	}
	b := &suspect.Book{Stream: d.newStream(platform.StreamSuspect), Changed: d.suspectChanged}
	b.Stream.Apply, b.Stream.Save, b.Stream.Load = b.Apply, b.Save, b.Load
	r.Avoid = func(ref fleet.InstanceRef) bool { return b.Reserved(ref) || leases.Held(ref) }
	losses := &suspect.Losses{}
	g := &suspect.Guard{
		Book:  b,
		Node:  d.node,
		Next:  r.Generation,
		Quiet: r.Quiet,
		On:    r.On,
		Reclaimed: func(i fleet.Instance) bool {
			losses.Note(i, time.Now())
			return known.Announced(i.Ref()) || losses.Wave(i.Zone, time.Now())
		},
		Alone: func(content fleet.Digest) bool { return d.peers.Chosen(dutyTrial + content.String()) },
		Failed: func(content fleet.Digest, err error) {
			d.Logs.Emit(event.SuspectNotReported, zap.Stringer("content", content), zap.Error(err))
		},
	}
	return running(ServiceSuspect, g, b.Stream.Run), nil
}

func (d *Daemon) suspectChanged(c suspect.Case) {
	id := event.ContentSuspect
	if c.Verdict == suspect.VerdictConvicted {
		id = event.ContentQuarantined
	}
	d.Logs.Emit(id, zap.Stringer("content", c.Content), zap.String("pool", string(c.Pool)), zap.Int("crashes", len(c.Crashes)))
}
