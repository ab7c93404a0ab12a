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

// Limits of the guard.
const (
	// trialWindow is how long a claimed trial may take.
	trialWindow = 5 * time.Minute
	// claimMargin is how long after its claim a trial may still be started.
	claimMargin = trialWindow / 2
	// reportTimeout bounds how long a report to the stream is waited for.
	reportTimeout = 5 * time.Second
	// vouchedContents is how many finished contents a node remembers.
	vouchedContents = 65536
	// holdLook is how often a held content's case is looked at without news, and
	// holdRetry the least time between two claims of a node for one content.
	holdLook  = 100 * time.Millisecond
	holdRetry = time.Second
	// heldContents is how many claims a node remembers.
	heldContents = 4096
	// lossPause is how long contents not seen to finish are kept back after an
	// endpoint of their pool was lost, so that reports of the loss come first.
	lossPause = time.Second
	// trialShare is the part of a pool's endpoints that trials may have: one in so many.
	trialShare = 4
)

// ConvictedError reports a content that crashed endpoints and is not run again.
type QuarantinedError struct {
	Content fleet.Digest
	Until   time.Time
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("the content crashed %d endpoints and is not run again before %s", MaxCrashes, e.Until.UTC().Format(time.RFC3339))
}

// HeldError reports a suspect content that got no trial in time.
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

// Guard stands between generations and the choice of their endpoints.
type Guard struct {
	Registry *Registry
	Node     fleet.NodeRef
	// Next is the ordinary choice of an endpoint.
	Select func(ctx context.Context, r generation.Request, emitted int, failed []fleet.InstanceRef) (generation.Lease, error)
	// Quiet returns the endpoints of a pool that could run a trial, the one
	// with the least work first.
	TrialCandidates func(pool fleet.PoolName) []fleet.Instance
	// On leases one named endpoint.
	LeaseInstance func(ctx context.Context, r generation.Request, i fleet.Instance) (generation.Lease, error)
	// Reclaimed reports whether the loss of an endpoint is explained by the
	// cloud, so that what ran there is not suspect.
	Reclaimed func(i fleet.Instance) bool
	// Alone reports whether this node may hold the trial of a content while the
	// log takes no claims; nil means never.
	MayTryWithoutLog func(content fleet.Digest) bool
	// Failed is told of a report that the stream did not take.
	OnReportFailed func(content fleet.Digest, err error)

	once    sync.Once
	vouched *lru.Cache[fleet.Digest, struct{}]
	claims  *lru.Cache[fleet.Digest, time.Time]
	mu      sync.Mutex
	local   map[fleet.Digest]*suspicion
	losses  map[fleet.PoolName]time.Time
}

// suspicion is what this node knows of a content by itself.
type suspicion struct {
	until   time.Time
	crashes []fleet.InstanceRef
	// reported counts the crashes that the stream has taken.
	reported int
}

// Content returns the digest by which a request's content is known.
func ContentDigest(r generation.Request) fleet.Digest {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s/%d:%s/", len(r.Pool), r.Pool, len(r.Model), r.Model)
	_, _ = io.WriteString(h, r.Prompt)
	return fleet.Digest(h.Sum(nil))
}

func (g *Guard) init() {
	g.once.Do(func() {
		g.vouched, _ = lru.New[fleet.Digest, struct{}](vouchedContents)
		g.claims, _ = lru.New[fleet.Digest, time.Time](heldContents)
		g.local = make(map[fleet.Digest]*suspicion)
		g.losses = make(map[fleet.PoolName]time.Time)
	})
}

// Pick leases an endpoint for the next attempt of a generation: by the ordinary
// choice for a clear content, for a trial for a suspect one. The error is a
// *ConvictedError or *HeldError if the content may not run.
func (g *Guard) Pick(ctx context.Context, r generation.Request, emitted int, failed []fleet.InstanceRef) (l generation.Lease, err error) {
	g.init()
	content := ContentDigest(r)
	if err := g.pause(ctx, r.Pool, content); err != nil {
		return l, err
	}
	if !g.suspicious(content) {
		l, err = g.Select(ctx, r, emitted, failed)
		if err != nil {
			return l, err
		}
		return g.watched(r, content, l), nil
	}
	return g.hold(ctx, r, emitted, content)
}

// suspicious reports whether a content may run only on trial. A content whose
// endpoint crashed is suspect on its node at once, before the stream says so.
func (g *Guard) suspicious(content fleet.Digest) bool {
	if g.Registry.Case(content).Verdict != VerdictClear {
		return true
	}
	if g.vouched.Contains(content) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.local[content]
	if s != nil && time.Now().After(s.until) {
		delete(g.local, content)
		s = nil
	}
	return s != nil
}

// Lost notes that an endpoint of a pool was lost without notice.
func (g *Guard) RecordLoss(pool fleet.PoolName) {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses[pool] = time.Now()
}

// pause keeps a content back that was not seen to finish while a loss in its
// pool is fresh.
func (g *Guard) pause(ctx context.Context, pool fleet.PoolName, content fleet.Digest) error {
	if g.vouched.Contains(content) {
		return nil
	}
	g.mu.Lock()
	lost := g.losses[pool]
	g.mu.Unlock()
	rest := lossPause - time.Since(lost)
	if rest <= 0 {
		return nil
	}
	t := time.NewTimer(rest)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return &SuspectedError{Content: content, Cause: ctx.Err()}
	}
}

// watched adds the report of how the attempt went to a lease.
func (g *Guard) watched(r generation.Request, content fleet.Digest, l generation.Lease) generation.Lease {
	release := l.Release
	l.Release = func(err error) {
		switch {
		case err == nil:
			g.finished(content)
		case refused(err) && !g.Reclaimed(l.Engine.Instance):
			g.RecordLoss(r.Pool)
		case crashed(err) && !g.Reclaimed(l.Engine.Instance):
			g.RecordLoss(r.Pool)
			g.report(r, content, l.Engine.Instance)
		}
		release(err)
	}
	return l
}

// refused reports whether an endpoint took no connection.
func refused(err error) bool {
	var status *endpoint.StatusError
	return endpoint.NotStarted(err) && !errors.As(err, &status)
}

// crashed reports whether an error may be the end of the engine's process: the
// stream broke without a status.
func crashed(err error) bool {
	var broken *endpoint.NotFinishedError
	var status *endpoint.StatusError
	return errors.As(err, &broken) && !errors.As(err, &status) &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// finished vouches for a content, and clears it in the stream if it is suspect.
func (g *Guard) finished(content fleet.Digest) {
	marked := g.vouch(content)
	if !marked && g.Registry.Case(content).Verdict == VerdictClear {
		return
	}
	g.write(content, record.KindClear, record.Clear{Content: content, Reason: record.ClearFinished})
}

// vouch remembers a content as one that finishes and reports whether this node
// held it suspect.
func (g *Guard) vouch(content fleet.Digest) (marked bool) {
	g.vouched.Add(content, struct{}{})
	g.mu.Lock()
	defer g.mu.Unlock()
	_, marked = g.local[content]
	delete(g.local, content)
	return marked
}

// report makes a content suspect on this node at once and in the stream.
func (g *Guard) report(r generation.Request, content fleet.Digest, i fleet.Instance) {
	if g.vouched.Contains(content) {
		return
	}
	g.mu.Lock()
	s := g.local[content]
	if s == nil {
		s = &suspicion{}
		g.local[content] = s
	}
	s.until = time.Now().Add(SuspicionWindow)
	if !slices.Contains(s.crashes, i.Ref()) {
		s.crashes = append(s.crashes, i.Ref())
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := g.flush(ctx, r.Pool, content); err != nil && g.OnReportFailed != nil {
		g.OnReportFailed(content, err)
	}
}

// flush reports the crashes that the stream has not taken yet. No trial is
// claimed before it has them all.
func (g *Guard) flush(ctx context.Context, pool fleet.PoolName, content fleet.Digest) error {
	for {
		g.mu.Lock()
		s := g.local[content]
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

// crashes returns how many endpoints this node saw a content crash.
func (g *Guard) crashes(content fleet.Digest) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.local[content]; s != nil {
		return len(s.crashes)
	}
	return 0
}

func (g *Guard) write(content fleet.Digest, kind record.Kind, body any) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if _, err := g.Registry.write(ctx, kind, body); err != nil && g.OnReportFailed != nil {
		g.OnReportFailed(content, err)
	}
}
