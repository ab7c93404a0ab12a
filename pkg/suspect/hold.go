package suspect

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
)

// hold waits for the right to run a suspect content alone, or for a verdict.
func (g *Guard) hold(ctx context.Context, r generation.Request, emitted int, content fleet.Digest) (l generation.Lease, err error) {
	retry := time.NewTicker(holdLook)
	defer retry.Stop()
	known := false
	for {
		moved := g.Registry.next()
		c := g.Registry.Case(content)
		switch {
		case c.Verdict == VerdictQuarantined:
			return l, &QuarantinedError{Content: content, Until: c.Expires}
		case g.crashes(content) >= MaxCrashes:
			return l, &QuarantinedError{Content: content, Until: time.Now().Add(SuspicionWindow)}
		case c.Verdict == VerdictClear && known:
			g.vouch(content)
			return g.Pick(ctx, r, emitted, nil)
		case (c.Trial == nil || c.Trial.Until.Before(time.Now())) && g.mayClaim(c):
			l, granted, err := g.claim(ctx, r, content)
			if granted || err != nil {
				return l, err
			}
		}
		known = known || c.Verdict == VerdictSuspect
		select {
		case <-moved:
		case <-retry.C:
		case <-ctx.Done():
			return l, &SuspectedError{Content: content, Cause: ctx.Err()}
		}
	}
}

// mayClaim reports whether a claim has a chance now, and counts it. A wrong
// guess of the log's time costs a claim that is not granted.
func (g *Guard) mayClaim(c Case) bool {
	now := time.Now()
	if now.Sub(c.LastReport) < TrialDelay {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if last, ok := g.claims.Get(c.Content); ok && now.Sub(last) < holdRetry {
		return false
	}
	g.claims.Add(c.Content, now)
	return true
}

// claim appends a claim for a trial and reports whether the fold granted it.
func (g *Guard) claim(ctx context.Context, r generation.Request, content fleet.Digest) (l generation.Lease, granted bool, err error) {
	quiet := g.TrialCandidates(r.Pool)
	if len(quiet) == 0 {
		return l, false, nil
	}
	start := time.Now()
	id, err := g.appendClaim(ctx, r, content, quiet)
	var down *journal.UnavailableError
	if errors.As(err, &down) && g.MayTryWithoutLog != nil && g.MayTryWithoutLog(content) {
		return g.try(ctx, r, content, quiet[0])
	}
	if err != nil {
		return l, false, &SuspectedError{Content: content, Cause: err}
	}
	c := g.Registry.Case(content)
	if c.Trial == nil || c.Trial.ID != id || time.Since(start) > claimMargin {
		return l, false, nil
	}
	return g.try(ctx, r, content, quiet[0])
}

// appendClaim opens a case if there is none and claims the first endpoint.
func (g *Guard) appendClaim(ctx context.Context, r generation.Request, content fleet.Digest, quiet []fleet.Instance) (id record.ID, err error) {
	if err := g.flush(ctx, r.Pool, content); err != nil {
		return id, err
	}
	if g.Registry.Case(content).Verdict == VerdictClear {
		body := record.Suspect{Content: content, Pool: r.Pool}
		if _, err := g.Registry.write(ctx, record.KindSuspect, body); err != nil {
			return id, err
		}
	}
	return g.Registry.write(ctx, record.KindTrial, record.Trial{
		Content:  content,
		Instance: quiet[0].Ref(),
		Node:     g.Node,
		Window:   trialWindow,
		Limit:    len(quiet) / trialShare,
	})
}

// try leases an endpoint for a trial and adds its result to the lease.
func (g *Guard) try(ctx context.Context, r generation.Request, content fleet.Digest, i fleet.Instance) (l generation.Lease, granted bool, err error) {
	l, err = g.LeaseInstance(ctx, r, i)
	if err != nil {
		return l, false, err
	}
	release := l.Release
	l.Release = func(err error) {
		release(err)
		switch {
		case err == nil:
			g.finished(content)
		case crashed(err) && !g.Reclaimed(i):
			g.report(r, content, i)
		default:
			g.write(content, record.KindClear, record.Clear{Content: content, Reason: record.ClearAbandoned})
		}
	}
	return l, true, nil
}
