// Package edge holds the wire types of the callers' side: the OpenAI-compatible
// interface for models, RFC 9457 problems for plain services, and the state of
// keyed requests.
package edge

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Headers of the callers' side.
const (
	OutcomeHeader = "Skylarkloom-Outcome"
	KeyHeader     = "Idempotency-Key"
	RequestHeader = "X-Request-Id"
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// ChatRequest asks for a chat completion.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens           fleet.Tokens   `json:"max_tokens,omitempty"`
	MaxCompletionTokens fleet.Tokens   `json:"max_completion_tokens,omitempty"`
}

// StreamOptions asks for extras on a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// CompletionRequest asks for a completion.
type CompletionRequest struct {
	Model         string         `json:"model"`
	Prompt        Prompt         `json:"prompt"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens     fleet.Tokens   `json:"max_tokens,omitempty"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     fleet.Tokens `json:"prompt_tokens"`
	CompletionTokens fleet.Tokens `json:"completion_tokens"`
	TotalTokens      fleet.Tokens `json:"total_tokens"`
}

// ChatMessage is the message of a chat answer.
type ChatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is the one choice of an answer. Of Message, Delta and Text one is set.
type Choice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// Answer is a whole answer, or one chunk of a streamed one.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Model is one entry of the list of models.
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

// ErrorBody is the body of an error in the OpenAI shape.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is an error in the OpenAI shape.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    *string `json:"code"`
	// Outcome repeats the outcome header; a stream that fails has no other place
	// for it.
	Outcome fleet.Outcome `json:"outcome,omitempty"`
}

// Problem is an error in the shape of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome repeats the outcome header.
	Outcome fleet.Outcome `json:"outcome,omitempty"`
	// Request is where the state of a keyed request can be asked for.
	Request string `json:"request,omitempty"`
}

// State is the state of a keyed request.
type State struct {
	Key      fleet.Key      `json:"key"`
	Pool     fleet.PoolName `json:"pool"`
	Status   string         `json:"status"`
	Outcome  fleet.Outcome  `json:"outcome,omitempty"`
	Deadline time.Time      `json:"deadline,omitzero"`
	// Answer is the answer of a request that is done.
	Answer *StoredAnswer `json:"answer,omitempty"`
	Detail string        `json:"detail,omitempty"`
}

// StoredAnswer is an answer that is kept for the key window.
type StoredAnswer struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	// Body is the answer as text; Base64 is set instead if it is not UTF-8.
	Body   string `json:"body,omitempty"`
	Base64 []byte `json:"base64,omitempty"`
}
