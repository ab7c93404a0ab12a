package duty

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// stepInterval is the interval between steps of the runner.
	stepInterval = 200 * time.Millisecond
	// readInterval is the interval between reads of the record while no node is
	// known to hold the duties.
	readInterval = 700 * time.Millisecond
	// collectDelay is how long after its end a window's counts are awaited from
	// peers; four exchanges.
	collectDelay = 1300 * time.Millisecond
	// handoverDelay is how long a new holder waits for the counts that nodes
	// reported only to its predecessor: until all nodes know the new holder, and
	// then one report.
	handoverDelay = 2 * time.Second
	// cloudTimeout bounds a call to the platform's API.
	cloudTimeout = 900 * time.Millisecond
	// scaleRetryInterval is the wait before a scale request without visible effect
	// is repeated.
	scaleRetryInterval = 3 * time.Second
	// scaleDownDelay is how long the desired count must stay lower before
	// endpoints are given up, so that a short drop in load does not discard their
	// caches.
	scaleDownDelay = 2500 * time.Millisecond
	// refusalBackoff is how long no more endpoints are requested from a market
	// that had none available.
	refusalBackoff = 2 * time.Second
)

// Cloud is the platform's API for duties.
type Cloud struct {
	ReportUsage func(ctx context.Context, holder platform.DutyHolder, window int64, counts map[fleet.AccountName]int64) error
	Scale       func(ctx context.Context, holder platform.DutyHolder, request platform.ScaleRequest) error
}

// Runner performs the duties while this node holds them. All function fields must
// be set; they are called from the goroutine of Run.
type Runner struct {
	Lease Lease
	Cloud Cloud
	// HeldByPeer reports whether a peer that is not silent holds the duties.
	HeldByPeer func() bool
	// Rank returns this node's rank among those that may acquire the duties.
	Rank func() int
	// WallClock returns the time of day, without jumps.
	WallClock func() time.Time
	// SumUsage returns the usage counts of a window over all nodes.
	SumUsage func(usage.Window) map[fleet.AccountName]int64
	// DesiredScales returns the desired counts and the existing endpoints. The
	// function that it is given reports whether a request was recently refused.
	DesiredScales func(refused func(platform.ScaleRequest) bool) []DesiredScale
	// Window is the length of a usage window; 0 disables usage reports.
	// ReportDeadline is how long after its end a window must be reported.
	Window, ReportDeadline time.Duration
	Logs                   *event.Logs

	lastRead clock.Instant
	// acquiredAt is when this node acquired the duties.
	acquiredAt clock.Instant
	// vacantSince is since when no peer is known to hold the duties.
	vacantSince  clock.Instant
	lastRequests map[scaleKey]timedCount
	refusedAt    map[scaleKey]clock.Instant
	// recentCounts holds the desired counts of the last scaleDownDelay, in
	// decreasing order.
	recentCounts map[scaleKey][]timedCount
	// notify is the function that was passed to Run.
	notify func(bool)
}

// DesiredScale is a scale request with the number of matching endpoints that exist.
type DesiredScale struct {
	platform.ScaleRequest
	// Present is the number of endpoints that are not draining.
	Present int
}

// scaleKey identifies the kind of endpoint that a scale request is for.
type scaleKey struct {
	pool   fleet.PoolName
	centre fleet.DataCentreName
	market fleet.Market
}

// timedCount is a number of endpoints that was desired or requested at an instant.
type timedCount struct {
	count int
	at    clock.Instant
}

func scaleKeyOf(s platform.ScaleRequest) scaleKey { return scaleKey{s.Pool, s.DataCentre, s.Market} }

// Run acquires and performs the duties until the context ends, then releases them.
// It calls notify with true after it acquires the duties, and with false after it
// releases or loses them.
func (r *Runner) Run(ctx context.Context, notify func(bool)) {
	r.notify = notify
	r.lastRequests = make(map[scaleKey]timedCount)
	r.recentCounts = make(map[scaleKey][]timedCount)
	r.refusedAt = make(map[scaleKey]clock.Instant)
	interval.Run(ctx, stepInterval, r.step)
	if r.Lease.Held() {
		err := r.Lease.Renew(context.WithoutCancel(ctx), func(record *LeaseRecord) { record.Released = true })
		r.Logs.Emit(event.DutiesEnded, zap.String("why", "stop"), zap.Error(err))
		notify(false)
	}
}

func (r *Runner) step(ctx context.Context) {
	now := clock.Now()
	if !r.Lease.Held() {
		r.tryAcquire(ctx, now)
		return
	}
	if r.Lease.RenewalDue(now) || r.hasUnfixedWindow(r.WallClock()) {
		if !r.renew(ctx) {
			return
		}
	}
	if now.Sub(r.Lease.renewedAt) > r.Lease.TTL {
		r.Lease.MarkLost()
		r.notify(false)
		r.Logs.Emit(event.DutiesEnded, zap.String("why", "lease expired"))
		return
	}
	r.reportUsage(ctx)
	r.sendScaleRequests(ctx)
}

// tryAcquire acquires the duties if no node holds them.
func (r *Runner) tryAcquire(ctx context.Context, now clock.Instant) {
	if r.HeldByPeer() {
		r.vacantSince = 0
		return
	}
	if r.vacantSince == 0 {
		r.vacantSince = now
	}
	// Nodes wait in the order of their rank, so that not all read and write at the same time.
	if now.Sub(r.vacantSince) < time.Duration(r.Rank())*readInterval || now.Sub(r.lastRead) < readInterval {
		return
	}
	r.lastRead = now
	if err := r.Lease.Read(ctx); err != nil {
		return
	}
	if !r.Lease.MayAcquire(clock.Now()) {
		return
	}
	if err := r.Lease.Acquire(ctx); err != nil {
		r.Logs.Emit(event.DutiesEnded, zap.String("why", "not acquired"), zap.Error(err))
		return
	}
	r.acquiredAt = clock.Now()
	r.notify(true)
	clear(r.lastRequests)
	clear(r.recentCounts)
	r.Logs.Emit(event.DutiesAcquired, zap.Uint64("fence", uint64(r.Lease.Record().Fence)))
}

// hasUnfixedWindow reports whether a window's counts are ready to be fixed.
func (r *Runner) hasUnfixedWindow(now time.Time) bool {
	return r.Window > 0 && r.Lease.Record().LastFixed < r.lastCompleteWindow(now)
}

// lastCompleteWindow returns the last window for which the counts of all nodes
// should have arrived.
func (r *Runner) lastCompleteWindow(now time.Time) usage.Window {
	if clock.Now().Sub(r.acquiredAt) < handoverDelay {
		return r.Lease.Record().LastFixed
	}
	return usage.WindowAt(now.Add(-collectDelay), r.Window) - 1
}

// renew renews the lease and fixes the counts of complete windows in its record.
// It reports whether this node still holds the duties. Counts are fixed before
// they are reported, so that a successor reports the same counts.
func (r *Runner) renew(ctx context.Context) bool {
	err := r.Lease.Renew(ctx, func(record *LeaseRecord) { r.fixCounts(record, r.WallClock()) })
	if err == nil {
		return true
	}
	if !r.Lease.Held() {
		r.notify(false)
		r.Logs.Emit(event.DutiesEnded, zap.String("why", "acquired by another node"), zap.Error(err))
	}
	return r.Lease.Held()
}

// fixCounts sets the fixed counts in a record: it drops windows whose deadline
// passed at least one window length ago, and adds the windows that are now complete.
func (r *Runner) fixCounts(record *LeaseRecord, now time.Time) {
	if r.Window <= 0 {
		return
	}
	last := r.lastCompleteWindow(now)
	if record.CountsUnknown {
		if last > record.LastFixed {
			// A second report of a window must not differ from the first, so the windows up
			// to now are not reported.
			record.LastFixed, record.CountsUnknown = last, false
		}
		return
	}
	oldest := usage.WindowAt(now.Add(-r.ReportDeadline), r.Window)
	unreported := make(usage.Counts)
	for w, counts := range record.Unreported {
		if w >= oldest-1 {
			unreported[w] = counts
		}
	}
	for w := max(record.LastFixed+1, oldest); w <= last; w++ {
		unreported[w] = r.SumUsage(w)
	}
	record.LastFixed, record.Unreported = max(record.LastFixed, last), unreported
}

// reportUsage reports the fixed counts that are not yet reported.
func (r *Runner) reportUsage(ctx context.Context) {
	record := r.Lease.Record()
	windows := make([]usage.Window, 0, len(record.Unreported))
	for w := range record.Unreported {
		windows = append(windows, w)
	}
	slices.Sort(windows)
	for _, w := range windows {
		if !r.Lease.MayAct(clock.Now()) {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, cloudTimeout)
		err := r.Cloud.ReportUsage(callCtx, r.holder(), int64(w), record.Unreported[w])
		cancel()
		if err != nil {
			r.Logs.Emit(event.UsageReportFailed, zap.Int64("window", int64(w)), zap.Error(err))
			return
		}
		delete(record.Unreported, w)
		r.Logs.Emit(event.UsageReported, zap.Int64("window", int64(w)), zap.Uint64("fence", uint64(record.Fence)))
	}
}

// holder identifies this node and its lease in calls to the platform.
func (r *Runner) holder() platform.DutyHolder {
	return platform.DutyHolder{Node: r.Lease.Self.Name, Fence: r.Lease.Record().Fence}
}

// sendScaleRequests requests the desired counts that differ from the existing ones.
func (r *Runner) sendScaleRequests(ctx context.Context) {
	now := clock.Now()
	desired := r.DesiredScales(func(s platform.ScaleRequest) bool { return r.isRefused(scaleKeyOf(s), now) })
	for _, d := range desired {
		key := scaleKeyOf(d.ScaleRequest)
		d.Count = r.delayScaleDown(key, d.Count, now)
		if d.Count > d.Present && r.isRefused(key, now) {
			continue
		}
		last, requested := r.lastRequests[key]
		if requested && last.count == d.Count && (d.Present == d.Count || now.Sub(last.at) < scaleRetryInterval) {
			continue
		}
		if !requested && d.Present == d.Count {
			continue
		}
		if !r.Lease.MayAct(clock.Now()) {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, cloudTimeout)
		err := r.Cloud.Scale(callCtx, r.holder(), d.ScaleRequest)
		cancel()
		fields := []zap.Field{
			zap.String("pool", string(d.Pool)), zap.String("datacentre", string(d.DataCentre)),
			zap.String("market", string(d.Market)), zap.Int("count", d.Count), zap.Int("present", d.Present),
		}
		switch {
		case errors.Is(err, platform.ErrNoCapacity):
			r.refusedAt[key] = clock.Now()
			r.Logs.Emit(event.ScaleRequestFailed, append(fields, zap.Error(err))...)
		case err != nil:
			r.Logs.Emit(event.ScaleRequestFailed, append(fields, zap.Error(err))...)
			return
		default:
			r.lastRequests[key] = timedCount{count: d.Count, at: clock.Now()}
			r.Logs.Emit(event.ScaleRequested, fields...)
		}
	}
}

// isRefused reports whether a request of this kind was recently refused.
func (r *Runner) isRefused(key scaleKey, now clock.Instant) bool {
	at, ok := r.refusedAt[key]
	return ok && now.Sub(at) < refusalBackoff
}

// delayScaleDown returns the maximum count that was desired in the last
// scaleDownDelay.
func (r *Runner) delayScaleDown(key scaleKey, count int, now clock.Instant) int {
	recent := slices.DeleteFunc(r.recentCounts[key], func(c timedCount) bool { return now.Sub(c.at) > scaleDownDelay || c.count <= count })
	recent = append(recent, timedCount{count: count, at: now})
	r.recentCounts[key] = recent
	return recent[0].count
}
