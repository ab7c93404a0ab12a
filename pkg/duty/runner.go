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
	// tick is the pause between steps of the keeper.
	tick = 200 * time.Millisecond
	// lookEvery is the pause between reads of the record while nobody is known
	// to hold the duties.
	lookEvery = 700 * time.Millisecond
	// settleTime is how long after its end a window's counts are awaited from the
	// other nodes; four exchanges.
	settleTime = 1300 * time.Millisecond
	// gatherTime is how long a new holder waits for the counts of nodes that only
	// told its predecessor: until all know it, and then one telling.
	gatherTime = 2 * time.Second
	// cloudTimeout bounds a call to the platform's API.
	cloudTimeout = 900 * time.Millisecond
	// orderAgain is the pause before an order is repeated that had no effect yet.
	orderAgain = 3 * time.Second
	// holdTime is how long fewer endpoints must be wanted before they are given
	// back; so that a brief lull costs no cache.
	holdTime = 2500 * time.Millisecond
	// refusedFor is how long no more endpoints are asked of a market that had none.
	refusedFor = 2 * time.Second
)

// Cloud is the platform's API for duties.
type Cloud struct {
	ReportUsage func(ctx context.Context, right platform.Right, window int64, counts map[fleet.AccountName]int64) error
	Scale       func(ctx context.Context, right platform.Right, o platform.Order) error
}

// Keeper does the duties while this node holds them. Its functions must be set;
// it is used by the goroutine of Run.
type Runner struct {
	Lease Lease
	Cloud Cloud
	// Held tells whether another node that is heard of holds the duties.
	HeldByPeer func() bool
	// Rank is this node's place among those that may take the duties.
	Rank func() int
	// Time is the time of day, free of jumps.
	WallClock func() time.Time
	// Sum returns the counts of a window over all nodes.
	SumUsage func(usage.Window) map[fleet.AccountName]int64
	// Orders returns the orders that should be in force, and what there is.
	Orders func(refused func(platform.Order) bool) []DesiredOrder
	// Window is the length of a window, Late how long after its end it is due.
	Window, ReportDeadline time.Duration
	Logs                   *event.Logs

	looked clock.Instant
	// taken is when this node took the duties.
	taken   clock.Instant
	vacant  clock.Instant
	given   map[subject]quantity
	refused map[subject]clock.Instant
	wanted  map[subject][]quantity
	// notify is told whether the node holds the duties.
	notify func(bool)
}

// Want is an order with the number of endpoints that exist of its kind.
type DesiredOrder struct {
	platform.Order
	// Present counts those that are not leaving.
	Present int
}

type subject struct {
	pool   fleet.PoolName
	centre fleet.DataCentreName
	market fleet.Market
}

// quantity is a number of endpoints that was wanted or ordered at an instant.
type quantity struct {
	count int
	at    clock.Instant
}

func subjectOf(o platform.Order) subject { return subject{o.Pool, o.DataCentre, o.Market} }

// Run keeps the duties until the context ends, and gives them up then. Notify is
// called with whether the node holds them.
func (k *Runner) Run(ctx context.Context, notify func(bool)) {
	k.notify = notify
	k.given = make(map[subject]quantity)
	k.wanted = make(map[subject][]quantity)
	k.refused = make(map[subject]clock.Instant)
	interval.Run(ctx, tick, k.step)
	if k.Lease.Held() {
		err := k.Lease.Renew(context.WithoutCancel(ctx), func(t *LeaseRecord) { t.Released = true })
		k.Logs.Emit(event.DutyLost, zap.String("why", "stop"), zap.Error(err))
		notify(false)
	}
}

func (k *Runner) step(ctx context.Context) {
	now := clock.Now()
	if !k.Lease.Held() {
		k.seek(ctx, now)
		return
	}
	if k.Lease.RenewalDue(now) || k.unfixed(k.WallClock()) {
		if !k.renew(ctx) {
			return
		}
	}
	if now.Sub(k.Lease.renewed) > k.Lease.TTL {
		k.Lease.MarkLost()
		k.notify(false)
		k.Logs.Emit(event.DutyLost, zap.String("why", "lease over"))
		return
	}
	k.report(ctx)
	k.order(ctx)
}

// seek takes the duties if nobody has them.
func (k *Runner) seek(ctx context.Context, now clock.Instant) {
	if k.HeldByPeer() {
		k.vacant = 0
		return
	}
	if k.vacant == 0 {
		k.vacant = now
	}
	// Nodes take their turn, so that not all read and write at once.
	if now.Sub(k.vacant) < time.Duration(k.Rank())*lookEvery || now.Sub(k.looked) < lookEvery {
		return
	}
	k.looked = now
	if err := k.Lease.Read(ctx); err != nil {
		return
	}
	if !k.Lease.MayAcquire(clock.Now()) {
		return
	}
	if err := k.Lease.Acquire(ctx); err != nil {
		k.Logs.Emit(event.DutyLost, zap.String("why", "not taken"), zap.Error(err))
		return
	}
	k.taken = clock.Now()
	k.notify(true)
	clear(k.given)
	clear(k.wanted)
	k.Logs.Emit(event.DutyTaken, zap.Uint64("fence", uint64(k.Lease.Record().Fence)))
}

// unfixed tells whether a window's counts are ready to be fixed.
func (k *Runner) unfixed(now time.Time) bool {
	return k.Window > 0 && k.Lease.Record().LastFixed < k.settled(now)
}

// settled returns the last window whose counts have come from all nodes.
func (k *Runner) settled(now time.Time) usage.Window {
	if clock.Now().Sub(k.taken) < gatherTime {
		return k.Lease.Record().LastFixed
	}
	return usage.WindowAt(now.Add(-settleTime), k.Window) - 1
}

// renew writes the record, with the counts of the windows that are settled. The
// counts are fixed before they are reported, so that a successor repeats them.
func (k *Runner) renew(ctx context.Context) bool {
	err := k.Lease.Renew(ctx, func(t *LeaseRecord) { k.fix(t, k.WallClock()) })
	if err == nil {
		return true
	}
	if !k.Lease.Held() {
		k.notify(false)
		k.Logs.Emit(event.DutyLost, zap.String("why", "taken over"), zap.Error(err))
	}
	return k.Lease.Held()
}

func (k *Runner) fix(t *LeaseRecord, now time.Time) {
	if k.Window <= 0 {
		return
	}
	settled := k.settled(now)
	oldest := usage.WindowAt(now.Add(-k.ReportDeadline), k.Window)
	open := make(usage.Counts)
	for w, counts := range t.Unreported {
		if w >= oldest-1 {
			open[w] = counts
		}
	}
	for w := max(t.LastFixed+1, oldest); w <= settled; w++ {
		open[w] = k.SumUsage(w)
	}
	t.LastFixed, t.Unreported = max(t.LastFixed, settled), open
}

// report reports the fixed windows.
func (k *Runner) report(ctx context.Context) {
	term := k.Lease.Record()
	windows := make([]usage.Window, 0, len(term.Unreported))
	for w := range term.Unreported {
		windows = append(windows, w)
	}
	slices.Sort(windows)
	for _, w := range windows {
		if !k.Lease.MayAct(clock.Now()) {
			return
		}
		call, cancel := context.WithTimeout(ctx, cloudTimeout)
		err := k.Cloud.ReportUsage(call, k.right(), int64(w), term.Unreported[w])
		cancel()
		if err != nil {
			k.Logs.Emit(event.UsageFailed, zap.Int64("window", int64(w)), zap.Error(err))
			return
		}
		delete(term.Unreported, w)
		k.Logs.Emit(event.UsageReported, zap.Int64("window", int64(w)), zap.Uint64("fence", uint64(term.Fence)))
	}
}

func (k *Runner) right() platform.Right {
	return platform.Right{Holder: k.Lease.Self.Name, Fence: k.Lease.Record().Fence}
}

// order gives the orders that differ from what there is.
func (k *Runner) order(ctx context.Context) {
	now := clock.Now()
	wants := k.Orders(func(o platform.Order) bool { return k.isRefused(subjectOf(o), now) })
	for _, w := range wants {
		s := subjectOf(w.Order)
		w.Count = k.hold(s, w.Count, now)
		if w.Count > w.Present && k.isRefused(s, now) {
			continue
		}
		last, given := k.given[s]
		if given && last.count == w.Count && (w.Present == w.Count || now.Sub(last.at) < orderAgain) {
			continue
		}
		if !given && w.Present == w.Count {
			continue
		}
		if !k.Lease.MayAct(clock.Now()) {
			return
		}
		call, cancel := context.WithTimeout(ctx, cloudTimeout)
		err := k.Cloud.Scale(call, k.right(), w.Order)
		cancel()
		fields := []zap.Field{
			zap.String("pool", string(w.Pool)), zap.String("datacentre", string(w.DataCentre)),
			zap.String("market", string(w.Market)), zap.Int("count", w.Count), zap.Int("present", w.Present),
		}
		switch {
		case errors.Is(err, platform.ErrNoneToBeHad):
			k.refused[s] = clock.Now()
			k.Logs.Emit(event.ScaleFailed, append(fields, zap.Error(err))...)
		case err != nil:
			k.Logs.Emit(event.ScaleFailed, append(fields, zap.Error(err))...)
			return
		default:
			k.given[s] = quantity{count: w.Count, at: clock.Now()}
			k.Logs.Emit(event.ScaleOrdered, fields...)
		}
	}
}

// isRefused tells whether there was lately none to be had of a subject.
func (k *Runner) isRefused(s subject, now clock.Instant) bool {
	at, ok := k.refused[s]
	return ok && now.Sub(at) < refusedFor
}

// hold returns the most endpoints that were wanted of a subject lately.
func (k *Runner) hold(s subject, count int, now clock.Instant) int {
	recent := slices.DeleteFunc(k.wanted[s], func(q quantity) bool { return now.Sub(q.at) > holdTime || q.count <= count })
	recent = append(recent, quantity{count: count, at: now})
	k.wanted[s] = recent
	return recent[0].count
}
