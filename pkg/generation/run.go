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
	// DefaultAttempts is how often a generation may fail.
	DefaultMaxFailures = 6
	// maxMoves bounds how often a generation moves off leaving instances.
	maxMoves = 64
	// transferTimeout bounds the export and the import of a KV cache, each.
	transferTimeout = time.Second
	// minTransfer is the least that has to be saved for a KV cache to be moved.
	minTransfer fleet.Tokens = 64
)

// Runner runs generations over endpoints.
type Runner struct {
	// Pick chooses an endpoint for the next attempt; failed lists those that
	// this request has tried in vain.
	Pick func(ctx context.Context, r Request, emitted int, failed []fleet.InstanceRef) (Lease, error)
	// Attempts bounds how often a request may fail; 0 takes the default.
	MaxFailures int
	// Pause waits before a retry after a failure; retry counts from 1. Moves off a
	// leaving instance do not pause. Nil does not wait.
	Pause func(ctx context.Context, retry int) error
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (g *Runner) now() time.Time {
	if g.Now != nil {
		return g.Now()
	}
	return time.Now()
}

func (g *Runner) attempts() int {
	if g.MaxFailures > 0 {
		return g.MaxFailures
	}
	return DefaultMaxFailures
}

var errMoved = errors.New("the instance is leaving")

// ExhaustedError reports a generation that no attempt could finish.
type ExhaustedError struct {
	Attempts int
	Emitted  int
	Cause    error
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("gave up after %d attempts with %d tokens: %v", e.Attempts, e.Emitted, e.Cause)
}

// Unwrap returns the cause.
func (e *ExhaustedError) Unwrap() error { return e.Cause }

// emitError marks an error of the caller's side.
type emitError struct{ error }

// Unwrap returns the cause.
func (e *emitError) Unwrap() error { return e.error }

// Run generates an answer and calls emit for each token, in order. It moves to
// another endpoint when one breaks or leaves, and continues from what was
// emitted. An error of emit ends the generation.
func (g *Runner) Run(ctx context.Context, r Request, emit func(text string) error) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	p := &progress{runner: g, request: r, emit: emit}
	for len(p.failed) < g.attempts() && p.moves < maxMoves {
		done, err := p.next(ctx)
		if done || err != nil {
			return p.result, err
		}
	}
	return p.result, p.exhausted(p.last)
}

// progress is one generation under way.
type progress struct {
	runner   *Runner
	request  Request
	emit     func(string) error
	assembly Assembly
	result   Result
	failed   []fleet.InstanceRef
	moves    int
	// last is why the last attempt ended.
	last error
	// cache is the KV cache that was taken along from a leaving instance.
	cache *engine.Import
}

func (p *progress) exhausted(cause error) error {
	return &ExhaustedError{Attempts: p.result.Attempts, Emitted: len(p.assembly.Tokens()), Cause: cause}
}

// next makes one attempt. It reports whether the answer is whole; an error ends
// the generation.
func (p *progress) next(ctx context.Context) (done bool, err error) {
	l, err := p.runner.Pick(ctx, p.request, len(p.assembly.Tokens()), p.failed)
	if err != nil {
		return false, p.exhausted(err)
	}
	p.result.Attempts++
	l.Cached = max(l.Cached, p.transfer(ctx, l))
	start := len(p.assembly.Tokens())
	o := Observation{Start: p.runner.now()}
	broke := p.attempt(ctx, l, &o)
	o.Finish, done = p.assembly.Finish()
	p.count(l, start, o)
	if errors.Is(broke, errMoved) && !done {
		p.cache = p.export(ctx, l)
	}
	if l.Observe != nil {
		l.Observe(o)
	}
	l.Release(broke)
	p.last = broke
	if done {
		p.result.Finish, p.result.Tokens = o.Finish, fleet.Tokens(len(p.assembly.Tokens()))
		return true, nil
	}
	return false, p.after(ctx, l, broke)
}

// after decides whether a generation goes on after an attempt that did not
// finish it.
func (p *progress) after(ctx context.Context, l Lease, broke error) error {
	var stop *emitError
	switch {
	case errors.As(broke, &stop) || ctx.Err() != nil:
		return broke
	case errors.Is(broke, errMoved):
		p.moves++
		return nil
	}
	p.failed = append(p.failed, l.Engine.Instance.Ref())
	if p.runner.Pause == nil || len(p.failed) == p.runner.attempts() {
		return nil
	}
	return p.runner.Pause(ctx, len(p.failed))
}

// count adds what an attempt computed again to the cause of the attempt.
func (p *progress) count(l Lease, start int, o Observation) {
	if p.last == nil || o.Tokens == 0 && !o.Finish.Done {
		return
	}
	prompt, cached := fleet.Tokens(len(p.request.Prompt)/4+1), l.Cached
	if o.Finish.Done {
		prompt, cached = o.Finish.Prompt, o.Finish.Cached
	}
	again := max(0, prompt+fleet.Tokens(start)-cached)
	p.result.Recomputed += again
	if errors.Is(p.last, errMoved) {
		p.result.Causes.Reclaim += again
	} else {
		p.result.Causes.Failure += again
	}
}

// export takes the KV cache along from a leaving instance. It returns nil if
// that is not worth it or fails; the tokens are then computed again.
func (p *progress) export(ctx context.Context, l Lease) *engine.Import {
	stake := fleet.Tokens(len(p.request.Prompt)/4 + len(p.assembly.Tokens()))
	if len(p.assembly.Tokens()) == 0 || stake < minTransfer || l.Engine.ExportFunc == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	cache, err := l.Engine.ExportFunc(ctx, engine.Export{ID: p.request.ID})
	if err != nil {
		return nil
	}
	return &cache
}

// transfer gives the cache that was taken along to the next engine and returns
// how many tokens it holds.
func (p *progress) transfer(ctx context.Context, l Lease) fleet.Tokens {
	cache := p.cache
	p.cache = nil
	if cache == nil || cache.Tokens <= l.Cached || l.Engine.ImportFunc == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := l.Engine.ImportFunc(ctx, *cache); err != nil {
		return 0
	}
	return cache.Tokens
}

// attempt streams from one endpoint until the answer ends, the endpoint breaks
// or the lease is not to stay.
func (p *progress) attempt(ctx context.Context, l Lease, o *Observation) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(l.MoveCtx, func() { cancel(errMoved) })
	defer stop()
	r := p.request
	ask := engine.Generate{
		ID:       r.ID,
		Attempt:  p.assembly.Begin(),
		Model:    r.Model,
		Prompt:   r.Prompt,
		Emitted:  p.assembly.Tokens(),
		Max:      r.MaxTokens,
		Priority: r.Priority,
	}
	err := l.Engine.GenerateFunc(ctx, ask, func(f engine.Frame) error {
		if !p.assembly.Add(f) || f.Done {
			return nil
		}
		o.token(p.runner.now())
		if err := p.emit(f.Text); err != nil {
			return &emitError{err}
		}
		return nil
	})
	var mine *emitError
	if cause := context.Cause(ctx); errors.Is(cause, errMoved) && !errors.As(err, &mine) {
		return cause
	}
	return err
}

func (o *Observation) token(now time.Time) {
	if o.Tokens == 0 {
		o.First = now
	}
	o.Last = now
	o.Tokens++
}
