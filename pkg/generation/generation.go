// Package generation assembles a model's response from one or more attempts. Each
// token carries its attempt and position. Only the next position of the current
// attempt is accepted, so late, duplicate and reordered frames cause no gap and no
// repetition.
package generation

import (
	"context"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Request describes a generation.
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

// Result describes a generation that ended.
type Result struct {
	Finish   engine.Frame
	Tokens   fleet.Tokens
	Attempts int
	// Recomputed counts the prompt and output tokens that attempts after the first
	// computed again.
	Recomputed fleet.Tokens
	// Causes splits Recomputed by the cause of the attempts.
	Causes Causes
}

// Causes counts recomputed tokens by cause.
type Causes struct {
	// Reclaim counts tokens of attempts that followed a move off a leaving instance.
	Reclaim fleet.Tokens
	// Failure counts tokens of attempts that followed a failed attempt.
	Failure fleet.Tokens
}

// Assignment grants the use of an endpoint for one attempt.
type Assignment struct {
	Engine *endpoint.Engine
	// MoveCtx ends when the generation should move to another endpoint.
	MoveCtx context.Context
	// Cached is the number of tokens of the prompt and the output so far that the
	// endpoint is expected to have cached.
	Cached fleet.Tokens
	// Release ends the assignment; err is the attempt's error, or nil.
	Release func(err error)
	// Observe, if set, receives the measurements of the attempt before Release.
	Observe func(o Observation)
}

// Observation holds the measurements of one attempt.
type Observation struct {
	Start time.Time
	// First and Last are the times of the attempt's first and last token, or zero if
	// there was none.
	First time.Time
	Last  time.Time
	// Tokens is how many tokens the attempt delivered.
	Tokens int
	// Finish is the last frame of the response if the attempt ended it.
	Finish engine.Frame
}
