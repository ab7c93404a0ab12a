// Package generation assembles the answer of a model from one or more
// attempts. Tokens arrive as (attempt, position); anything but the next
// position of the current attempt is dropped, so late, doubled and reordered
// frames leave no gap and no repeat.
package generation

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Assembly is the answer so far. The zero value is an empty answer.
type Assembly struct {
	attempt int
	tokens  []string
	dropped int
	done    bool
	finish  engine.Frame
}

// Begin starts the next attempt and returns its number. Frames of earlier
// attempts are dropped from now on.
func (a *Assembly) Begin() int {
	a.attempt++
	return a.attempt
}

// Add takes a frame and reports whether it extended or ended the answer.
func (a *Assembly) Add(f engine.Frame) bool {
	if a.done || f.Attempt != a.attempt || f.Position != len(a.tokens) {
		a.dropped++
		return false
	}
	if f.Done {
		a.done, a.finish = true, f
		return true
	}
	a.tokens = append(a.tokens, f.Text)
	return true
}

// Tokens returns the tokens so far. The slice must not be changed.
func (a *Assembly) Tokens() []string { return a.tokens }

// Dropped returns how many frames did not fit.
func (a *Assembly) Dropped() int { return a.dropped }

// Finish returns the last frame, if it has come.
func (a *Assembly) Finish() (engine.Frame, bool) { return a.finish, a.done }

// Request is a request for a generation.
type Request struct {
	ID       fleet.RequestID
	Account  fleet.AccountName
	Pool     fleet.PoolName
	Model    string
	Prompt   string
	Max      fleet.Tokens
	Priority int
	Deadline time.Time
}

// Result is what a generation came to.
type Result struct {
	Finish   engine.Frame
	Tokens   fleet.Tokens
	Attempts int
	// Recomputed counts the tokens that attempts after the first computed again.
	Recomputed fleet.Tokens
}

// Lease is the use of an endpoint for one attempt.
type Lease struct {
	Engine *endpoint.Engine
	// Stay ends when the attempt should continue elsewhere.
	Stay context.Context
	// Cached is how much of the prompt and the tokens so far is expected to be
	// cached there.
	Cached fleet.Tokens
	// Release ends the use and reports how it went.
	Release func(err error)
	// Observe, if set, is told what the attempt measured before its release.
	Observe func(o Observation)
}

// Observation is what one attempt measured of its endpoint.
type Observation struct {
	Start time.Time
	// First and Last are the times of the attempt's first and last tokens; zero
	// if there was none.
	First time.Time
	Last  time.Time
	// Tokens is how many tokens the attempt delivered.
	Tokens int
	// Finish is the last frame, if the attempt ended the answer.
	Finish engine.Frame
}

// Runner runs generations over endpoints.
type Runner struct {
	// Pick chooses an endpoint for the next attempt; failed lists those that
	// this request has tried in vain.
	Pick func(ctx context.Context, r Request, emitted int, failed []fleet.InstanceRef) (Lease, error)
	// Attempts bounds how often a request is tried; 0 takes the default.
	Attempts int
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

// DefaultAttempts is how often a generation is tried.
const DefaultAttempts = 6

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

// Run generates an answer and calls emit for each token, in order. It moves to
// another endpoint when one breaks or leaves, and continues from what was
// emitted. An error of emit ends the generation.
func (g *Runner) Run(ctx context.Context, r Request, emit func(text string) error) (res Result, err error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	a := &Assembly{}
	var failed []fleet.InstanceRef
	for res.Attempts < or(g.Attempts, DefaultAttempts) {
		lease, pickErr := g.Pick(ctx, r, len(a.Tokens()), failed)
		if pickErr != nil {
			return res, &ExhaustedError{Attempts: res.Attempts, Emitted: len(a.Tokens()), Cause: pickErr}
		}
		res.Attempts++
		start := len(a.Tokens())
		o := Observation{Start: g.now()}
		broke := g.attempt(ctx, a, lease, r, &o, emit)
		o.Finish, _ = a.Finish()
		if lease.Observe != nil {
			lease.Observe(o)
		}
		lease.Release(broke)
		if f, done := a.Finish(); done {
			res.Finish, res.Tokens = f, fleet.Tokens(len(a.Tokens()))
			res.Recomputed += recomputed(res.Attempts, start, f)
			return res, nil
		}
		var stop *emitError
		if errors.As(broke, &stop) || ctx.Err() != nil {
			return res, broke
		}
		err = broke
		if errors.Is(broke, errMoved) {
			continue
		}
		failed = append(failed, lease.Engine.Instance.Ref())
		if err := g.pause(ctx, len(failed)); err != nil {
			return res, err
		}
	}
	return res, &ExhaustedError{Attempts: res.Attempts, Emitted: len(a.Tokens()), Cause: err}
}

func (g *Runner) pause(ctx context.Context, retry int) error {
	if g.Pause == nil {
		return nil
	}
	return g.Pause(ctx, retry)
}

// recomputed returns the tokens that an attempt after the first computed again.
func recomputed(attempts, start int, f engine.Frame) fleet.Tokens {
	if attempts < 2 {
		return 0
	}
	return max(0, f.Prompt+fleet.Tokens(start)-f.Cached)
}

// emitError marks an error of the caller's side.
type emitError struct{ error }

// Unwrap returns the cause.
func (e *emitError) Unwrap() error { return e.error }

func (g *Runner) attempt(ctx context.Context, a *Assembly, l Lease, r Request, o *Observation, emit func(string) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(l.Stay, func() { cancel(errMoved) })
	defer stop()
	ask := engine.Generate{
		ID:       r.ID,
		Attempt:  a.Begin(),
		Model:    r.Model,
		Prompt:   r.Prompt,
		Emitted:  a.Tokens(),
		Max:      r.Max,
		Priority: r.Priority,
	}
	err := l.Engine.GenerateFunc(ctx, ask, func(f engine.Frame) error {
		if !a.Add(f) || f.Done {
			return nil
		}
		o.token(g.now())
		if err := emit(f.Text); err != nil {
			return &emitError{err}
		}
		return nil
	})
	if cause := context.Cause(ctx); errors.Is(cause, errMoved) {
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

func or(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
