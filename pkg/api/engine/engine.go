// Package engine holds the wire types of the model engines' interface: JSON
// over HTTP, with tokens streamed as server-sent events.
package engine

import "github.com/skylarkloom/skylarkloom/pkg/fleet"

// The paths of an engine.
const (
	GeneratePath = "/v1/generate"
	LoadPath     = "/v1/load"
	EventsPath   = "/v1/events"
	ExportPath   = "/v1/kv/export"
	ImportPath   = "/v1/kv/import"
	CommandPath  = "/v1/commands"
)

// FenceHeader carries the fencing number of an order or command.
const FenceHeader = "Skylarkloom-Fence"

// Generate asks for tokens. Emitted holds the tokens that earlier attempts
// have delivered; the engine continues after them.
type Generate struct {
	ID       fleet.RequestID `json:"id"`
	Attempt  int             `json:"attempt"`
	Model    string          `json:"model"`
	Prompt   string          `json:"prompt"`
	Emitted  []string        `json:"emitted,omitempty"`
	Max      fleet.Tokens    `json:"max"`
	Priority int             `json:"priority"`
	Fence    fleet.Fence     `json:"fence,omitempty"`
}

// Frame is one event of a token stream. Position counts tokens of the whole
// answer from 0, over all attempts.
type Frame struct {
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	Text     string `json:"text,omitempty"`
	// Done marks the last frame; its position is the answer's length.
	Done   bool   `json:"done,omitempty"`
	Reason Finish `json:"reason,omitempty"`
	// Prompt and Cached are set on the last frame: the prompt's tokens, and how
	// many of the prompt's and the emitted tokens were found in the cache.
	Prompt fleet.Tokens `json:"prompt,omitempty"`
	Cached fleet.Tokens `json:"cached,omitempty"`
}

// Finish says why an answer ended.
type Finish string

// The reasons for which an answer ends.
const (
	FinishStop   Finish = "stop"
	FinishLength Finish = "length"
)

// Load is an engine's report of its load. It lags.
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

// CacheChange says what happened to a cached prefix.
type CacheChange string

// The changes of a prefix cache.
const (
	CacheStored  CacheChange = "stored"
	CacheEvicted CacheChange = "evicted"
)

// CacheEvent is one change of the prefix cache. Sequence numbers rise by one;
// a gap means that events were lost.
type CacheEvent struct {
	Sequence uint64       `json:"sequence"`
	Change   CacheChange  `json:"change"`
	Prefix   uint64       `json:"prefix"`
	Tokens   fleet.Tokens `json:"tokens"`
}

// Export asks for the KV cache of a running or recent request.
type Export struct {
	ID fleet.RequestID `json:"id"`
}

// Import offers an exported KV cache to another engine.
type Import struct {
	ID     fleet.RequestID `json:"id"`
	Tokens fleet.Tokens    `json:"tokens"`
	Data   []byte          `json:"data"`
}

// CommandKind tells what a command sets.
type CommandKind string

// The kinds of command. Each sets a desired state, so a repeated or late one
// does no harm.
const (
	CommandModel   CommandKind = "model"
	CommandAdapter CommandKind = "adapter"
	CommandVersion CommandKind = "version"
	CommandRole    CommandKind = "role"
)

// Command sets a desired state of an engine.
type Command struct {
	Kind  CommandKind `json:"kind"`
	Value string      `json:"value"`
	Fence fleet.Fence `json:"fence"`
}

// Failure is the body of an answer that is not a success.
type Failure struct {
	Error string `json:"error"`
	// Started is false if the endpoint certainly did not begin the request.
	Started bool `json:"started"`
}
