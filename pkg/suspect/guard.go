package suspect

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

// Limits of Guard.
const (
	// trialWindow is how long the claim for a trial is valid.
	trialWindow = 5 * time.Minute
	// trialStartTimeout is the time after the claim within which a trial must start.
	trialStartTimeout = trialWindow / 2
	// reportTimeout bounds the append of a report to the stream.
	reportTimeout = 5 * time.Second
	// maxConfirmedContents bounds the cache of confirmed contents.
	maxConfirmedContents = 65536
	// casePollInterval is the interval at which a waiting request reads the case of
	// its content if no record is applied. minClaimInterval is the minimum interval
	// between two claims of a node for one content.
	casePollInterval = 100 * time.Millisecond
	minClaimInterval = time.Second
	// maxTrackedClaims bounds the cache of the times at which a node last claimed a
	// trial of a content.
	maxTrackedClaims = 4096
	// lossDelay is how long contents that are not confirmed are delayed after the loss
	// of an endpoint of their pool, so that reports of the loss arrive first.
	lossDelay = time.Second
	// endpointsPerTrial is the number of trial candidates of a pool for each of its
	// concurrent trials. State allows a pool one trial even if it has fewer.
	endpointsPerTrial = 4
)

// QuarantinedError reports a content that has crashed MaxCrashes endpoints and is not
// run again before Until.
type QuarantinedError struct {
	Content fleet.Digest
	Until   time.Time
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("the content crashed %d endpoints and is not run again before %s", MaxCrashes, e.Until.UTC().Format(time.RFC3339))
}

// SuspectedError reports a suspect content that was granted no trial in time, or an
// unconfirmed content whose deadline passed during the delay after a loss.
type SuspectedError struct {
	Content fleet.Digest
	Cause   error
}

// Error implements error.
func (e *SuspectedError) Error() string {
	return fmt.Sprintf("an endpoint crashed while it ran this content, and no trial could be held in time: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *SuspectedError) Unwrap() error { return e.Cause }

// Guard selects the endpoints of generations and limits suspect contents to trials.
type Guard struct {
	Registry *Registry
	Node     fleet.NodeRef
	// Select assigns an endpoint for a content that is not suspect.
	Select func(ctx context.Context, r generation.Request, emitted int, failed []fleet.InstanceRef) (generation.Assignment, error)
	// TrialCandidates returns the endpoints of a pool that can run a trial, the
	// least loaded first.
	TrialCandidates func(pool fleet.PoolName) []fleet.Instance
	// AssignInstance assigns the given endpoint.
	AssignInstance func(ctx context.Context, r generation.Request, i fleet.Instance) (generation.Assignment, error)
	// Reclaimed reports whether the cloud provider terminated the instance. The
	// contents that ran there are then not suspect.
	Reclaimed func(i fleet.Instance) bool
	// MayRunTrialWithoutLog reports whether this node may run the trial of a content
	// while the log accepts no claims; nil means never.
	MayRunTrialWithoutLog func(content fleet.Digest) bool
	// OnReportFailed is called when a report could not be written to the stream.
	OnReportFailed func(content fleet.Digest, err error)

	once sync.Once
	// confirmed holds the contents that have finished on this node and those that
	// ceased to be suspect while a request for them waited here.
	confirmed  *lru.Cache[fleet.Digest, struct{}]
	lastClaims *lru.Cache[fleet.Digest, time.Time]
	mu         sync.Mutex
	suspicions map[fleet.Digest]*suspicion
	lastLosses map[fleet.PoolName]time.Time
}

// suspicion holds the crashes of a content that this node has observed.
type suspicion struct {
	expires time.Time
	crashes []fleet.InstanceRef
	// reported is the number of crashes already written to the stream.
	reported int
}

// ContentDigest returns the digest that identifies the content of a request: its
// pool, model and prompt.
func ContentDigest(r generation.Request) fleet.Digest {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s/%d:%s/", len(r.Pool), r.Pool, len(r.Model), r.Model)
	_, _ = io.WriteString(h, r.Prompt)
	return fleet.Digest(h.Sum(nil))
}

func (g *Guard) init() {
	g.once.Do(func() {
		g.confirmed, _ = lru.New[fleet.Digest, struct{}](maxConfirmedContents)
		g.lastClaims, _ = lru.New[fleet.Digest, time.Time](maxTrackedClaims)
		g.suspicions = make(map[fleet.Digest]*suspicion)
		g.lastLosses = make(map[fleet.PoolName]time.Time)
	})
}

// Pick assigns an endpoint for the next attempt of a generation. For a clear content it
// is chosen by Select; a suspect one waits for a trial. The error is a
// *QuarantinedError or *SuspectedError if the content may not run.
func (g *Guard) Pick(ctx context.Context, r generation.Request, emitted int, failed []fleet.InstanceRef) (a generation.Assignment, err error) {
	g.init()
	content := ContentDigest(r)
	if err := g.waitAfterLoss(ctx, r.Pool, content); err != nil {
		return a, err
	}
	if !g.isSuspect(content) {
		a, err = g.Select(ctx, r, emitted, failed)
		if err != nil {
			return a, err
		}
		return g.withReport(r, content, a), nil
	}
	return g.awaitTrial(ctx, r, emitted, content)
}

// isSuspect reports whether a content may run only on trial. A content whose endpoint
// has crashed is suspect on this node immediately, before the stream records it.
func (g *Guard) isSuspect(content fleet.Digest) bool {
	if g.Registry.Case(content).Verdict != VerdictClear {
		return true
	}
	if g.confirmed.Contains(content) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.suspicions[content]
	if s != nil && time.Now().After(s.expires) {
		delete(g.suspicions, content)
		s = nil
	}
	return s != nil
}

// RecordLoss records that an endpoint of a pool was lost without a reclaim notice.
func (g *Guard) RecordLoss(pool fleet.PoolName) {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastLosses[pool] = time.Now()
}

// waitAfterLoss delays a content that is not confirmed until lossDelay after the last
// loss in its pool.
func (g *Guard) waitAfterLoss(ctx context.Context, pool fleet.PoolName, content fleet.Digest) error {
	if g.confirmed.Contains(content) {
		return nil
	}
	g.mu.Lock()
	lost := g.lastLosses[pool]
	g.mu.Unlock()
	remaining := lossDelay - time.Since(lost)
	if remaining <= 0 {
		return nil
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return &SuspectedError{Content: content, Cause: ctx.Err()}
	}
}

// withReport returns the assignment with a Release that also reports the result of the
// attempt.
func (g *Guard) withReport(r generation.Request, content fleet.Digest, a generation.Assignment) generation.Assignment {
	release := a.Release
	a.Release = func(err error) {
		switch {
		case err == nil:
			g.reportFinished(content)
		case connectionRefused(err) && !g.Reclaimed(a.Engine.Instance):
			g.RecordLoss(r.Pool)
		case mayHaveCrashed(err) && !g.Reclaimed(a.Engine.Instance):
			g.RecordLoss(r.Pool)
			g.reportCrash(r, content, a.Engine.Instance)
		}
		release(err)
	}
	return a
}

// connectionRefused reports whether an error means that the endpoint accepted no
// connection.
func connectionRefused(err error) bool {
	var status *endpoint.StatusError
	return endpoint.NotStarted(err) && !errors.As(err, &status)
}

// mayHaveCrashed reports whether an error may mean that the engine process has
// crashed: the response stream ended early and without a status.
func mayHaveCrashed(err error) bool {
	var notFinished *endpoint.NotFinishedError
	var status *endpoint.StatusError
	return errors.As(err, &notFinished) && !errors.As(err, &status) &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// reportFinished confirms a content, and clears it in the stream if it is suspect.
func (g *Guard) reportFinished(content fleet.Digest) {
	wasSuspect := g.confirm(content)
	if !wasSuspect && g.Registry.Case(content).Verdict == VerdictClear {
		return
	}
	g.writeRecord(content, record.KindClear, record.Clear{Content: content, Reason: record.ClearFinished})
}

// confirm adds a content to the confirmed ones and reports whether it was suspect on
// this node.
func (g *Guard) confirm(content fleet.Digest) (wasSuspect bool) {
	g.confirmed.Add(content, struct{}{})
	g.mu.Lock()
	defer g.mu.Unlock()
	_, wasSuspect = g.suspicions[content]
	delete(g.suspicions, content)
	return wasSuspect
}

// reportCrash makes a content suspect on this node, then reports the crash to the
// stream. A confirmed content does not become suspect.
func (g *Guard) reportCrash(r generation.Request, content fleet.Digest, i fleet.Instance) {
	if g.confirmed.Contains(content) {
		return
	}
	g.mu.Lock()
	s := g.suspicions[content]
	if s == nil {
		s = &suspicion{}
		g.suspicions[content] = s
	}
	s.expires = time.Now().Add(SuspicionWindow)
	if !slices.Contains(s.crashes, i.Ref()) {
		s.crashes = append(s.crashes, i.Ref())
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := g.flushCrashes(ctx, r.Pool, content); err != nil && g.OnReportFailed != nil {
		g.OnReportFailed(content, err)
	}
}

// flushCrashes writes the crashes that are not yet in the stream. A trial is claimed
// only after all of them are written.
func (g *Guard) flushCrashes(ctx context.Context, pool fleet.PoolName, content fleet.Digest) error {
	for {
		g.mu.Lock()
		s := g.suspicions[content]
		if s == nil || s.reported == len(s.crashes) {
			g.mu.Unlock()
			return nil
		}
		next := s.reported
		body := record.Suspect{Content: content, Pool: pool, Instance: s.crashes[next]}
		g.mu.Unlock()
		if _, err := g.Registry.write(ctx, record.KindSuspect, body); err != nil {
			return err
		}
		g.mu.Lock()
		s.reported = max(s.reported, next+1)
		g.mu.Unlock()
	}
}

// crashCount returns the number of endpoints that this node has observed a content
// crash.
func (g *Guard) crashCount(content fleet.Digest) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.suspicions[content]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// writeRecord appends a record to the stream and calls OnReportFailed on an error.
func (g *Guard) writeRecord(content fleet.Digest, kind record.Kind, body any) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if _, err := g.Registry.write(ctx, kind, body); err != nil && g.OnReportFailed != nil {
		g.OnReportFailed(content, err)
	}
}
