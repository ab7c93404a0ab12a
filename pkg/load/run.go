package load

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Response is the result of one request.
type Response struct {
	// Status is the HTTP status, 0 without a complete response.
	Status  int
	Outcome fleet.Outcome
	// FirstToken is when the first token was received, zero for an order.
	FirstToken time.Time
	End        time.Time
	Tokens     fleet.Tokens
}

// Runner runs a load. Send must be set.
type Runner struct {
	Plan Plan
	// Send sends one request and returns once its response has ended.
	Send    func(ctx context.Context, a Arrival) Response
	Targets Targets
	// Progress, if set, is called about once per second while requests start.
	Progress func(started, ended, planned int)
}

// progressInterval is the interval between progress reports.
const progressInterval = time.Second

// Run runs the load and returns its measurements. If the context ends, requests
// that have not started are omitted. The loadID distinguishes the idempotency keys
// of loads.
func (r *Runner) Run(ctx context.Context, loadID string) *Result {
	arrivals := r.Plan.Arrivals(loadID)
	result := newResult(r.Plan, r.Targets)
	start := time.Now()
	var g errgroup.Group
	g.SetLimit(r.Plan.MaxInFlight)
	reported := start
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		if now := time.Now(); r.Progress != nil && now.Sub(reported) >= progressInterval {
			reported = now
			r.Progress(i, result.requests(), len(arrivals))
		}
		g.Go(func() error {
			result.add(start.Add(a.At), a.Kind, r.Send(ctx, a))
			return nil
		})
	}
	_ = g.Wait()
	result.Took = time.Since(start)
	return result
}

// sleepUntil waits until a time. It reports false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
