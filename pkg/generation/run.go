package generation

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Limits of a generation.
const (
	// DefaultMaxFailures is the number of failed attempts after which a generation fails.
	DefaultMaxFailures = 6
	// maxMoves is the number of moves off leaving instances after which a generation fails.
	maxMoves = 64
	// transferTimeout is the timeout of each export and each import of a KV cache.
	transferTimeout = time.Second
	// minTransferTokens is the estimated number of tokens in a KV cache below which it is
	// not moved but computed again.
	minTransferTokens fleet.Tokens = 64
)

// Runner runs generations over endpoints.
type Runner struct {
	// Pick chooses an endpoint for the next attempt. emitted is the number of tokens so
	// far; failed lists the endpoints of the failed attempts.
	Pick func(ctx context.Context, r Request, emitted int, failed []fleet.InstanceRef) (Assignment, error)
	// MaxFailures overrides DefaultMaxFailures if it is positive.
	MaxFailures int
	// Pause waits before a retry after a failure; retry counts from 1. It is not called
	// after a move off a leaving instance. If it is nil, retries do not wait.
	Pause func(ctx context.Context, retry int) error
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

func (g *Runner) now() time.Time {
	if g.Now != nil {
		return g.Now()
	}
	return time.Now()
}

func (g *Runner) maxFailures() int {
	if g.MaxFailures > 0 {
		return g.MaxFailures
	}
	return DefaultMaxFailures
}

var errLeaving = errors.New("instance is leaving")

// ExhaustedError reports a generation that has no attempts left or found no endpoint.
type ExhaustedError struct {
	Attempts      int
	EmittedTokens int
	Cause         error
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("generation failed after %d attempts and %d tokens: %v", e.Attempts, e.EmittedTokens, e.Cause)
}

// Unwrap returns the cause.
func (e *ExhaustedError) Unwrap() error { return e.Cause }

// emitError marks an error that emit returned.
type emitError struct{ error }

// Unwrap returns the cause.
func (e *emitError) Unwrap() error { return e.error }

// Run generates a response and calls emit for each token, in order. When an endpoint
// fails or its instance leaves, Run continues on another one after the tokens emitted
// so far. An error of emit ends the generation.
func (g *Runner) Run(ctx context.Context, r Request, emit func(text string) error) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	p := &progress{runner: g, request: r, emit: emit}
	for len(p.failed) < g.maxFailures() && p.moves < maxMoves {
		done, err := p.runAttempt(ctx)
		if done || err != nil {
			return p.result, err
		}
	}
	return p.result, p.exhausted(p.lastErr)
}

// progress is the state of a running generation.
type progress struct {
	runner   *Runner
	request  Request
	emit     func(string) error
	assembly Assembly
	result   Result
	failed   []fleet.InstanceRef
	moves    int
	// lastErr is the error of the last attempt.
	lastErr error
	// kvCache is the KV cache exported from a leaving instance for the next attempt.
	kvCache *engine.KVCache
}

func (p *progress) exhausted(cause error) error {
	return &ExhaustedError{Attempts: p.result.Attempts, EmittedTokens: len(p.assembly.Tokens()), Cause: cause}
}

// runAttempt makes one attempt. It reports whether the response is complete. An error
// ends the generation.
func (p *progress) runAttempt(ctx context.Context) (done bool, err error) {
	a, err := p.runner.Pick(ctx, p.request, len(p.assembly.Tokens()), p.failed)
	if err != nil {
		return false, p.exhausted(err)
	}
	p.result.Attempts++
	a.Cached = max(a.Cached, p.importCache(ctx, a))
	start := len(p.assembly.Tokens())
	o := Observation{Start: p.runner.now()}
	attemptErr := p.stream(ctx, a, &o)
	o.Finish, done = p.assembly.Finish()
	p.countRecomputed(a, start, o)
	if errors.Is(attemptErr, errLeaving) && !done {
		p.kvCache = p.exportCache(ctx, a)
	}
	if a.Observe != nil {
		a.Observe(o)
	}
	a.Release(attemptErr)
	p.lastErr = attemptErr
	if done {
		p.result.Finish, p.result.Tokens = o.Finish, fleet.Tokens(len(p.assembly.Tokens()))
		return true, nil
	}
	return false, p.afterAttempt(ctx, a, attemptErr)
}

// afterAttempt handles an attempt that did not complete the response. It returns an
// error if the generation must end.
func (p *progress) afterAttempt(ctx context.Context, a Assignment, attemptErr error) error {
	var emitErr *emitError
	switch {
	case errors.As(attemptErr, &emitErr) || ctx.Err() != nil:
		return attemptErr
	case errors.Is(attemptErr, errLeaving):
		p.moves++
		return nil
	}
	p.failed = append(p.failed, a.Engine.Instance.Ref())
	if p.runner.Pause == nil || len(p.failed) == p.runner.maxFailures() {
		return nil
	}
	return p.runner.Pause(ctx, len(p.failed))
}

// countRecomputed adds the tokens that an attempt computed again to the result. Until
// the last frame reports the tokens of the prompt, they are estimated at one token per
// four bytes.
func (p *progress) countRecomputed(a Assignment, start int, o Observation) {
	if p.lastErr == nil || o.Tokens == 0 && !o.Finish.Done {
		return
	}
	prompt, cached := fleet.Tokens(len(p.request.Prompt)/4+1), a.Cached
	if o.Finish.Done {
		prompt, cached = o.Finish.Prompt, o.Finish.Cached
	}
	recomputed := max(0, prompt+fleet.Tokens(start)-cached)
	p.result.Recomputed += recomputed
	if errors.Is(p.lastErr, errLeaving) {
		p.result.Causes.Reclaim += recomputed
	} else {
		p.result.Causes.Failure += recomputed
	}
}

// exportCache exports the KV cache from a leaving instance. It returns nil if the cache
// is too small or the export fails; the tokens are then computed again.
func (p *progress) exportCache(ctx context.Context, a Assignment) *engine.KVCache {
	cached := fleet.Tokens(len(p.request.Prompt)/4 + len(p.assembly.Tokens()))
	if len(p.assembly.Tokens()) == 0 || cached < minTransferTokens || a.Engine.ExportFunc == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	cache, err := a.Engine.ExportFunc(ctx, engine.ExportRequest{ID: p.request.ID})
	if err != nil {
		return nil
	}
	return &cache
}

// importCache imports an exported KV cache into the next engine and returns the number
// of its tokens, or 0 if nothing was imported.
func (p *progress) importCache(ctx context.Context, a Assignment) fleet.Tokens {
	cache := p.kvCache
	p.kvCache = nil
	if cache == nil || cache.Tokens <= a.Cached || a.Engine.ImportFunc == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := a.Engine.ImportFunc(ctx, *cache); err != nil {
		return 0
	}
	return cache.Tokens
}

// stream streams tokens from one endpoint until the response ends, the endpoint fails
// or the assignment's MoveCtx ends.
func (p *progress) stream(ctx context.Context, a Assignment, o *Observation) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(a.MoveCtx, func() { cancel(errLeaving) })
	defer stop()
	r := p.request
	generateRequest := engine.GenerateRequest{
		ID:       r.ID,
		Attempt:  p.assembly.Begin(),
		Model:    r.Model,
		Prompt:   r.Prompt,
		Emitted:  p.assembly.Tokens(),
		Max:      r.MaxTokens,
		Priority: r.Priority,
	}
	err := a.Engine.GenerateFunc(ctx, generateRequest, func(f engine.Frame) error {
		if !p.assembly.Add(f) || f.Done {
			return nil
		}
		o.recordToken(p.runner.now())
		if err := p.emit(f.Text); err != nil {
			return &emitError{err}
		}
		return nil
	})
	var emitErr *emitError
	if cause := context.Cause(ctx); errors.Is(cause, errLeaving) && !errors.As(err, &emitErr) {
		return cause
	}
	return err
}

func (o *Observation) recordToken(now time.Time) {
	if o.Tokens == 0 {
		o.First = now
	}
	o.Last = now
	o.Tokens++
}
