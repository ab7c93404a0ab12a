package front

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

const (
	// intakeInterval is the pause between two looks at the progress of callers.
	intakeInterval = 250 * time.Millisecond
	// intakeReportInterval is the least time between two log lines about refused callers.
	intakeReportInterval = time.Second
	// otherMaxHeadBytes is the limit of a head at the other addresses, whose callers are the
	// load balancer, other nodes and the collector of metrics.
	otherMaxHeadBytes intake.Bytes = 16 << 10
)

// nodeIntake bounds what others make a node hold.
type nodeIntake struct {
	// callers, probe, metrics and snapshots are for the callers of the node's addresses.
	callers, probe, metrics, snapshots intake.Budget
	// endpoints is for the responses of endpoints, services for those of the platform and of
	// other nodes.
	endpoints, services intake.Budget

	mu sync.Mutex
	// refused counts the refused callers by cause since reportedAt.
	refused    map[intake.Cause]int
	reportedAt clock.Instant
}

// budgets returns all budgets.
func (n *nodeIntake) budgets() []*intake.Budget {
	return []*intake.Budget{&n.callers, &n.probe, &n.metrics, &n.snapshots, &n.endpoints, &n.services}
}

// setLimits sets the limits of a node with an amount of memory and a number of sockets.
func (n *nodeIntake) setLimits(memory intake.Bytes, sockets int, onRefused func(intake.Cause)) {
	n.refused = make(map[intake.Cause]int)
	n.callers.Limits = intake.LimitsOf(memory, sockets)
	for _, b := range []*intake.Budget{&n.probe, &n.metrics, &n.snapshots} {
		b.Limits, b.IdleGivesWay = intake.OtherLimitsOf(memory, sockets), true
	}
	n.endpoints.Limits, n.services.Limits = intake.ResponseLimitsOf(memory), intake.ResponseLimitsOf(memory)
	n.callers.OnRefused = func(c intake.Cause) {
		onRefused(c)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.refused[c]++
	}
}

// takeRefused returns the refused callers since the last report, nil if no report is due.
func (n *nodeIntake) takeRefused(now clock.Instant) (refused map[intake.Cause]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.refused) == 0 || now.Sub(n.reportedAt) < intakeReportInterval {
		return nil
	}
	refused, n.refused, n.reportedAt = n.refused, make(map[intake.Cause]int), now
	return refused
}

// sweepIntake lets what stalls give way, and logs how many callers were refused.
func (f *Front) sweepIntake(context.Context) {
	now, n := clock.Now(), &f.intake
	for _, b := range n.budgets() {
		b.Sweep(now)
	}
	refused := n.takeRefused(now)
	if refused == nil {
		return
	}
	held, connections := n.callers.Held()
	fields := []zap.Field{zap.Int64("bytes", int64(held)), zap.Int("connections", connections)}
	for _, c := range slices.Sorted(maps.Keys(refused)) {
		fields = append(fields, zap.Int(string(c), refused[c]))
	}
	f.Logs.Emit(event.CallersRefused, fields...)
}

// headLimits returns the limits of the configuration in force.
func (f *Front) headLimits() (l intake.HeadLimits) {
	if c := f.config.Load(); c != nil && c.Config != nil {
		l = intake.HeadLimits{MaxBytes: intake.Bytes(c.Limits.MaxHeadBytes), HeadTimeout: c.Limits.HeadTimeout, IdleTimeout: c.Limits.IdleTimeout}
	}
	return l
}

// otherGuard returns the guard of an address that is not for callers.
func otherGuard(b *intake.Budget) *connection.Guard {
	return &connection.Guard{Budget: b, Limits: func() intake.HeadLimits { return intake.HeadLimits{MaxBytes: otherMaxHeadBytes} }}
}

// guardServer makes a server accept connections through a guard.
func guardServer(server *http.Server, guard *connection.Guard, l net.Listener) net.Listener {
	guard.Listener = l
	server.ReadHeaderTimeout, server.IdleTimeout = connection.HeadTimeout, connection.IdleTimeout
	onState := server.ConnState
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if onState != nil {
			onState(c, s)
		}
		guard.SetState(c, s)
	}
	return guard
}
