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

// suspectService returns the service that protects the endpoints against contents
// that crash them.
func (d *Daemon) suspectService() (kernel.Service, error) {
	r, err := kernel.Find[*router.Router](&d.kernel, ServiceRouter)
	if err != nil {
		return kernel.Service{}, err
	}
	instanceRoster, err := kernel.Find[*roster.Roster](&d.kernel, ServiceRoster)
	if err != nil {
		return kernel.Service{}, err
	}
	leases, err := kernel.Find[*lease.Registry](&d.kernel, ServiceLease)
	if err != nil {
		return kernel.Service{}, err
	}
	registry := &suspect.Registry{Stream: d.newStream(platform.StreamSuspect), OnVerdictChange: d.logVerdict}
	registry.Stream.Apply, registry.Stream.Save, registry.Stream.Load = registry.Apply, registry.Save, registry.Load
	r.Excluded = func(ref fleet.InstanceRef) bool { return registry.Reserved(ref) || leases.OnHold(ref) }
	losses := &suspect.RecentLosses{}
	guard := &suspect.Guard{
		Registry:        registry,
		Node:            d.node,
		Select:          r.AssignEngine,
		TrialCandidates: r.LeastLoaded,
		AssignInstance:  r.AssignInstance,
		Reclaimed: func(i fleet.Instance) bool {
			losses.Add(i, time.Now())
			return instanceRoster.Announced(i.Ref()) || losses.ZoneLost(i.Zone, time.Now())
		},
		MayRunTrialWithoutLog: func(content fleet.Digest) bool { return d.peers.Chosen(dutyTrial + content.String()) },
		OnReportFailed: func(content fleet.Digest, err error) {
			d.Logs.Emit(event.SuspectNotReported, zap.Stringer("content", content), zap.Error(err))
		},
	}
	return backgroundService(ServiceSuspect, guard, registry.Stream.Run), nil
}

// logVerdict logs a change of the verdict on a content.
func (d *Daemon) logVerdict(c suspect.Case) {
	id := event.ContentSuspect
	if c.Verdict == suspect.VerdictQuarantined {
		id = event.ContentQuarantined
	}
	d.Logs.Emit(id, zap.Stringer("content", c.Digest), zap.String("pool", string(c.Pool)), zap.Int("crashes", len(c.Crashes)))
}
