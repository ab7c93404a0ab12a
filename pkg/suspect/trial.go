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

// awaitTrial waits until this node is granted a trial of a suspect content, or until
// the content is cleared or quarantined.
func (g *Guard) awaitTrial(ctx context.Context, r generation.Request, emitted int, content fleet.Digest) (a generation.Assignment, err error) {
	poll := time.NewTicker(casePollInterval)
	defer poll.Stop()
	wasSuspect := false
	for {
		changed := g.Registry.nextChange()
		c := g.Registry.Case(content)
		switch {
		case c.Verdict == VerdictQuarantined:
			return a, &QuarantinedError{Content: content, Until: c.Expires}
		case g.crashCount(content) >= MaxCrashes:
			return a, &QuarantinedError{Content: content, Until: time.Now().Add(SuspicionWindow)}
		case c.Verdict == VerdictClear && wasSuspect:
			g.confirm(content)
			return g.Pick(ctx, r, emitted, nil)
		case (c.Trial == nil || c.Trial.Until.Before(time.Now())) && g.allowClaim(c):
			a, granted, err := g.claim(ctx, r, content)
			if granted || err != nil {
				return a, err
			}
		}
		wasSuspect = wasSuspect || c.Verdict == VerdictSuspect
		select {
		case <-changed:
		case <-poll.C:
		case <-ctx.Done():
			return a, &SuspectedError{Content: content, Cause: ctx.Err()}
		}
	}
}

// allowClaim reports whether this node may write a claim now. If so, it records the
// time of the claim. It compares the log's times with the local clock; if the clocks
// differ, a claim may be written that is not granted.
func (g *Guard) allowClaim(c Case) bool {
	now := time.Now()
	if now.Sub(c.LastReport) < TrialDelay {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if last, ok := g.lastClaims.Get(c.Digest); ok && now.Sub(last) < minClaimInterval {
		return false
	}
	g.lastClaims.Add(c.Digest, now)
	return true
}

// claim claims a trial and starts it if the claim is granted. While the log is
// unavailable, the node chosen by MayRunTrialWithoutLog starts the trial without a
// claim.
func (g *Guard) claim(ctx context.Context, r generation.Request, content fleet.Digest) (a generation.Assignment, granted bool, err error) {
	candidates := g.TrialCandidates(r.Pool)
	if len(candidates) == 0 {
		return a, false, nil
	}
	start := time.Now()
	id, err := g.appendClaim(ctx, r, content, candidates)
	var unavailable *journal.UnavailableError
	if errors.As(err, &unavailable) && g.MayRunTrialWithoutLog != nil && g.MayRunTrialWithoutLog(content) {
		return g.startTrial(ctx, r, content, candidates[0])
	}
	if err != nil {
		return a, false, &SuspectedError{Content: content, Cause: err}
	}
	c := g.Registry.Case(content)
	if c.Trial == nil || c.Trial.ID != id || time.Since(start) > trialStartTimeout {
		return a, false, nil
	}
	return g.startTrial(ctx, r, content, candidates[0])
}

// appendClaim writes the crashes that are not yet in the stream, opens a case if there
// is none, and claims the first candidate.
func (g *Guard) appendClaim(ctx context.Context, r generation.Request, content fleet.Digest, candidates []fleet.Instance) (id record.ID, err error) {
	if err := g.flushCrashes(ctx, r.Pool, content); err != nil {
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
		Instance: candidates[0].Ref(),
		Node:     g.Node,
		Window:   trialWindow,
		Limit:    len(candidates) / endpointsPerTrial,
	})
}

// startTrial assigns an endpoint for a trial. The Release of the assignment also reports
// the result of the trial.
func (g *Guard) startTrial(ctx context.Context, r generation.Request, content fleet.Digest, i fleet.Instance) (a generation.Assignment, granted bool, err error) {
	a, err = g.AssignInstance(ctx, r, i)
	if err != nil {
		return a, false, err
	}
	release := a.Release
	a.Release = func(err error) {
		release(err)
		switch {
		case err == nil:
			g.reportFinished(content)
		case mayHaveCrashed(err) && !g.Reclaimed(i):
			g.reportCrash(r, content, i)
		default:
			g.writeRecord(content, record.KindClear, record.Clear{Content: content, Reason: record.ClearAbandoned})
		}
	}
	return a, true, nil
}
