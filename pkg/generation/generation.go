// Package generation assembles the answer of a model from one or more
// attempts. Tokens arrive as (attempt, position); anything but the next
// position of the current attempt is dropped, so late, doubled and reordered
// frames leave no gap and no repeat.
package generation

import (
	"context"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Request is a request for a generation.
type Request struct {
	ID        fleet.RequestID
	Account   fleet.AccountName
	Pool      fleet.PoolName
	Model     string
	Prompt    string
	MaxTokens fleet.Tokens
	Priority  int
	Deadline  time.Time
}

// Result is what a generation came to.
type Result struct {
	Finish   engine.Frame
	Tokens   fleet.Tokens
	Attempts int
	// Recomputed counts the tokens that attempts after the first computed again.
	Recomputed fleet.Tokens
	// Causes splits them by why the attempt was made.
	Causes Causes
}

// Causes counts recomputed tokens by cause.
type Causes struct {
	// Reclaim is for moves off leaving instances.
	Reclaim fleet.Tokens
	// Failure is for endpoints that broke without a notice.
	Failure fleet.Tokens
}

// Lease is the use of an endpoint for one attempt.
type Lease struct {
	Engine *endpoint.Engine
	// Stay ends when the attempt should continue elsewhere.
	MoveCtx context.Context
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
