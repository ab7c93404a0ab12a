// Package engine defines the wire types of the interface to model engines: JSON
// over HTTP, with tokens streamed as server-sent events.
package engine

import "github.com/skylarkloom/skylarkloom/pkg/fleet"

// HTTP paths of an engine.
const (
	GeneratePath = "/v1/generate"
	LoadPath     = "/v1/load"
	EventsPath   = "/v1/events"
	ExportPath   = "/v1/kv/export"
	ImportPath   = "/v1/kv/import"
	CommandPath  = "/v1/commands"
)

// FenceHeader is the HTTP header with the fencing number of an order or command.
const FenceHeader = "Skylarkloom-Fence"

// GenerateRequest is a request to generate tokens. Emitted contains the tokens that
// earlier attempts have delivered; the engine continues after them. Max limits
// the complete response, including the emitted tokens.
type GenerateRequest struct {
	ID       fleet.RequestID `json:"id"`
	Attempt  int             `json:"attempt"`
	Model    string          `json:"model"`
	Prompt   string          `json:"prompt"`
	Emitted  []string        `json:"emitted,omitempty"`
	Max      fleet.Tokens    `json:"max"`
	Priority int             `json:"priority"`
	Fence    fleet.Fence     `json:"fence,omitempty"`
}

// Frame is one event of a token stream. Position is the index of the token in the
// complete response, over all attempts, from 0.
type Frame struct {
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	Text     string `json:"text,omitempty"`
	// Done marks the last frame; its position is the length of the response.
	Done   bool         `json:"done,omitempty"`
	Reason FinishReason `json:"reason,omitempty"`
	// Prompt and Cached are set on the last frame. Prompt is the number of prompt
	// tokens, Cached the number of prompt and emitted tokens found in the cache.
	Prompt fleet.Tokens `json:"prompt,omitempty"`
	Cached fleet.Tokens `json:"cached,omitempty"`
}

// FinishReason is the reason why a response ended.
type FinishReason string

// The reasons why a response ends.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Load is the load that an engine reports. It lags behind the actual load.
type Load struct {
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Slots   int          `json:"slots"`
	Cache   fleet.Tokens `json:"cache"`
	Model   string       `json:"model"`
	Version string       `json:"version"`
	Role    string       `json:"role,omitempty"`
	Crashes int          `json:"crashes"`
}

// CacheChange is the kind of a change of the prefix cache.
type CacheChange string

// The kinds of change of the prefix cache.
const (
	CacheStored  CacheChange = "stored"
	CacheEvicted CacheChange = "evicted"
)

// CacheEvent is one change of the prefix cache. Sequence numbers increase by one;
// a gap means that events were lost.
type CacheEvent struct {
	Sequence uint64       `json:"sequence"`
	Change   CacheChange  `json:"change"`
	Prefix   uint64       `json:"prefix"`
	Tokens   fleet.Tokens `json:"tokens"`
}

// ExportRequest is a request for the KV cache of a running or recent request.
type ExportRequest struct {
	ID fleet.RequestID `json:"id"`
}

// KVCache is the KV cache of a request, as exported by one engine and imported by
// another.
type KVCache struct {
	ID     fleet.RequestID `json:"id"`
	Tokens fleet.Tokens    `json:"tokens"`
	Data   []byte          `json:"data"`
}

// CommandKind is the kind of state that a command sets.
type CommandKind string

// The kinds of command. Commands set a desired state, so they are idempotent: a
// repeated or late command does no harm.
const (
	CommandModel   CommandKind = "model"
	CommandAdapter CommandKind = "adapter"
	CommandVersion CommandKind = "version"
	CommandRole    CommandKind = "role"
)

// Command sets the desired state of an engine.
type Command struct {
	Kind  CommandKind `json:"kind"`
	Value string      `json:"value"`
	Fence fleet.Fence `json:"fence"`
}

// Failure is the body of an error response.
type Failure struct {
	Error string `json:"error"`
	// Started is false if it is certain that the endpoint did not start the
	// request.
	Started bool `json:"started"`
}
