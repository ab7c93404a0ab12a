package load

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Reply is what came of one request.
type Reply struct {
	// Status is the HTTP status; 0 if there was no whole answer.
	Status  int
	Outcome fleet.Outcome
	// First is when the first token came; zero for an order.
	First  time.Time
	End    time.Time
	Tokens fleet.Tokens
}

// Runner puts a load on. Send must be set.
type Runner struct {
	Plan Plan
	// Send makes one request and returns when its answer has ended.
	Send func(ctx context.Context, a Arrival) Reply
	// Targets are the latency targets.
	Targets Targets
	// Progress is called about once a second.
	Progress func(started, ended, planned int)
}

// progressEvery is how often progress is reported.
const progressEvery = time.Second

// Run puts the load on and returns what was measured. If the context ends, the
// requests not yet started are left out.
func (r *Runner) Run(ctx context.Context, run string) *Result {
	arrivals := r.Plan.Arrivals(run)
	result := newResult(r.Plan, r.Targets)
	start := time.Now()
	var g errgroup.Group
	g.SetLimit(r.Plan.InFlight)
	reported := start
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		if now := time.Now(); r.Progress != nil && now.Sub(reported) >= progressEvery {
			reported = now
			r.Progress(i, result.ended(), len(arrivals))
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

// sleepUntil returns false if the context ends first.
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
