package serving

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// EventID numbers the events of a stream; they grow within it.
type EventID int64

// PartID names a part of a prompt.
type PrefixBlockID string

// Part is a run of prompt tokens that requests may share.
type PrefixBlock struct {
	ID     PrefixBlockID
	Tokens fleet.Tokens
}

// Request is what a caller's headers say of a request.
type Request struct {
	ID  fleet.RequestID
	Key APIKey
	// Deadline is how long the caller waits; 0 if it did not say.
	Deadline time.Duration
	// Prompt and Output are the prompt's tokens and the most output tokens.
	PromptTokens, MaxOutputTokens fleet.Tokens
	// Counted tells whether the caller stated its tokens.
	HasTokenCounts bool
	// Parts are the parts of the prompt in order.
	PrefixBlocks []PrefixBlock
}

// Amount is what a request counts as towards a quota.
func (r *Request) QuotaCost(q Quota) float64 {
	switch {
	case !q.ByTokens:
		return 1
	case r.HasTokenCounts:
		return float64(r.PromptTokens + r.MaxOutputTokens)
	default:
		return q.DefaultTokens
	}
}
