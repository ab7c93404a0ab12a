// Package edge defines the wire types of the interface to callers: the
// OpenAI-compatible interface for models, RFC 9457 problems for plain services,
// and the state of keyed requests.
package edge

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// HTTP headers of requests and responses.
const (
	OutcomeHeader        = "Skylarkloom-Outcome"
	IdempotencyKeyHeader = "Idempotency-Key"
	RequestIDHeader      = "X-Request-Id"
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// ChatRequest is a request for a chat completion.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens           fleet.Tokens   `json:"max_tokens,omitempty"`
	MaxCompletionTokens fleet.Tokens   `json:"max_completion_tokens,omitempty"`
}

// StreamOptions are the options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// CompletionRequest is a request for a completion.
type CompletionRequest struct {
	Model         string         `json:"model"`
	Prompt        Prompt         `json:"prompt"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens     fleet.Tokens   `json:"max_tokens,omitempty"`
}

// Usage contains the token counts of a request and its response.
type Usage struct {
	PromptTokens     fleet.Tokens `json:"prompt_tokens"`
	CompletionTokens fleet.Tokens `json:"completion_tokens"`
	TotalTokens      fleet.Tokens `json:"total_tokens"`
}

// ChatMessage is the message of a chat completion.
type ChatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is the only choice of a response. Exactly one of Message, Delta and Text
// is set.
type Choice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// Completion is a complete response, or one chunk of a streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Model is one entry of a ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the list of models that an account may use.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// ErrorBody is the body of an error response in the OpenAI format.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error in the OpenAI format.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    *string `json:"code"`
	// Outcome repeats the outcome header. A stream that fails has sent its headers
	// already and can report the outcome only here.
	Outcome fleet.Outcome `json:"outcome,omitempty"`
}

// Problem is an error in the format of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome repeats the outcome header.
	Outcome fleet.Outcome `json:"outcome,omitempty"`
	// Request is the path from which the state of a keyed request can be read.
	Request string `json:"request,omitempty"`
}

// State is the state of a keyed request.
type State struct {
	Key      fleet.Key      `json:"key"`
	Pool     fleet.PoolName `json:"pool"`
	Status   string         `json:"status"`
	Outcome  fleet.Outcome  `json:"outcome,omitempty"`
	Deadline time.Time      `json:"deadline,omitzero"`
	// Response is the response to a completed request.
	Response *StoredResponse `json:"answer,omitempty"`
	Detail   string          `json:"detail,omitempty"`
}

// StoredResponse is a response that is stored for the key window.
type StoredResponse struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	// Body is the response body as text; Base64 is set instead if it is not valid
	// UTF-8.
	Body   string `json:"body,omitempty"`
	Base64 []byte `json:"base64,omitempty"`
}
