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
	leases, err := kernel.Find[*lease.Registry](&d.kernel, ServiceLease)
	if err != nil {
		return kernel.Service{}, err
	}
	b := &suspect.Registry{Stream: d.newStream(platform.StreamSuspect), OnVerdictChange: d.suspectChanged}
	b.Stream.Apply, b.Stream.Save, b.Stream.Load = b.Apply, b.Save, b.Load
	r.Avoid = func(ref fleet.InstanceRef) bool { return b.Reserved(ref) || leases.OnHold(ref) }
	losses := &suspect.RecentLosses{}
	g := &suspect.Guard{
		Registry:        b,
		Node:            d.node,
		Select:          r.LeaseEngine,
		TrialCandidates: r.LeastLoaded,
		LeaseInstance:   r.LeaseInstance,
		Reclaimed: func(i fleet.Instance) bool {
			losses.Add(i, time.Now())
			return known.Announced(i.Ref()) || losses.ZoneLost(i.Zone, time.Now())
		},
		MayTryWithoutLog: func(content fleet.Digest) bool { return d.peers.Chosen(dutyTrial + content.String()) },
		OnReportFailed: func(content fleet.Digest, err error) {
			d.Logs.Emit(event.SuspectNotReported, zap.Stringer("content", content), zap.Error(err))
		},
	}
	return running(ServiceSuspect, g, b.Stream.Run), nil
}

func (d *Daemon) suspectChanged(c suspect.Case) {
	id := event.ContentSuspect
	if c.Verdict == suspect.VerdictQuarantined {
		id = event.ContentQuarantined
	}
	d.Logs.Emit(id, zap.Stringer("content", c.Content), zap.String("pool", string(c.Pool)), zap.Int("crashes", len(c.Crashes)))
}
