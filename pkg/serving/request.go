package serving

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// EventID is the number of an event in a stream. Numbers increase within a stream.
type EventID int64

// PrefixBlockID identifies a prefix block of a prompt.
type PrefixBlockID string

// PrefixBlock is a run of prompt tokens that requests may share.
type PrefixBlock struct {
	ID     PrefixBlockID
	Tokens fleet.Tokens
}

// Request is the description of a request in the caller's headers.
type Request struct {
	ID  fleet.RequestID
	Key APIKey
	// Deadline is how long the caller waits; 0 if it is not specified.
	Deadline time.Duration
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the maximum number
	// of output tokens.
	PromptTokens, MaxOutputTokens fleet.Tokens
	// HasTokenCounts reports whether the caller specified the token counts.
	HasTokenCounts bool
	// PrefixBlocks are the blocks of the prompt in order.
	PrefixBlocks []PrefixBlock
}

// QuotaCost returns the amount that the request consumes of a quota.
func (r *Request) QuotaCost(quota Quota) float64 {
	switch {
	case !quota.ByTokens:
		return 1
	case r.HasTokenCounts:
		return float64(r.PromptTokens + r.MaxOutputTokens)
	default:
		return quota.DefaultTokens
	}
}
