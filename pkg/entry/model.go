package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

// openAIRequest is a generation request of the chat or the completion API.
type openAIRequest struct {
	model        string
	prompt       string
	maxTokens    fleet.Tokens
	stream       bool
	includeUsage bool
	chat         bool
}

func (h *Handler) chat(w http.ResponseWriter, r *http.Request, c *requestContext) error {
	body, err := h.readJSON(w, r)
	if err != nil {
		return err
	}
	req, err := parseChat(body)
	if err != nil {
		return err
	}
	return h.serveModel(w, r, c, req, body)
}

func (h *Handler) completion(w http.ResponseWriter, r *http.Request, c *requestContext) error {
	body, err := h.readJSON(w, r)
	if err != nil {
		return err
	}
	req, err := parseCompletion(body)
	if err != nil {
		return err
	}
	return h.serveModel(w, r, c, req, body)
}

func parseChat(body []byte) (req openAIRequest, err error) {
	var parsed edge.ChatRequest
	if err := json.Unmarshal(body, &parsed); err != nil {
		return req, badRequest("", "the body is not a chat request: "+err.Error())
	}
	if len(parsed.Messages) == 0 {
		return req, badRequest("messages", "expected at least one message")
	}
	var b strings.Builder
	for _, m := range parsed.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	req = openAIRequest{model: parsed.Model, prompt: b.String(), maxTokens: max(parsed.MaxTokens, parsed.MaxCompletionTokens), stream: parsed.Stream, chat: true}
	req.includeUsage = parsed.StreamOptions != nil && parsed.StreamOptions.IncludeUsage
	return req, req.check(body)
}

func parseCompletion(body []byte) (req openAIRequest, err error) {
	var parsed edge.CompletionRequest
	if err := json.Unmarshal(body, &parsed); err != nil {
		return req, badRequest("", "the body is not a completion request: "+err.Error())
	}
	req = openAIRequest{model: parsed.Model, prompt: string(parsed.Prompt), maxTokens: parsed.MaxTokens, stream: parsed.Stream}
	req.includeUsage = parsed.StreamOptions != nil && parsed.StreamOptions.IncludeUsage
	return req, req.check(body)
}

func (r openAIRequest) check(body []byte) error {
	if field := edge.Unsupported(body); field != "" {
		return badRequest(field, "unsupported value for the field "+field+"; leave it out")
	}
	if r.model == "" {
		return badRequest("model", "expected the name of a pool")
	}
	if r.maxTokens < 0 {
		return badRequest("max_tokens", "expected a count of 1 or more")
	}
	return nil
}

// estimateTokens estimates the number of tokens of a prompt at 4 bytes each.
func estimateTokens(prompt string) fleet.Tokens { return fleet.Tokens(len(prompt)/4 + 1) }

// serveModel admits and runs a generation and writes its response.
func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request, c *requestContext, req openAIRequest, body []byte) error {
	p, err := c.pool(fleet.PoolName(req.model), fleet.KindModel)
	if err != nil {
		return err
	}
	if r.Header.Get(edge.IdempotencyKeyHeader) != "" || wantsAsync(r) {
		return h.serveKeyed(w, r, c, p, r.URL.Path, body, func(w http.ResponseWriter, s record.Settle) error {
			if req.stream && s.Status == http.StatusOK {
				return h.streamStored(w, req, s)
			}
			return h.writeStored(w, s)
		})
	}
	g, release, err := h.admitGeneration(c, p, req)
	if err != nil {
		return err
	}
	defer release()
	if req.stream {
		return h.stream(w, r, c, req, g)
	}
	text, res, err := h.collect(r.Context(), c, g)
	if err != nil {
		return err
	}
	writeJSON(w, "application/json", http.StatusOK, newResponse(c.id, h.now(), req, text, res))
	return nil
}

// admitGeneration admits a generation and returns its request.
func (h *Handler) admitGeneration(c *requestContext, p fleet.Pool, req openAIRequest) (g generation.Request, release func(), err error) {
	policy := c.config.Document.Policy(c.account.Name, p.Name, h.now())
	maxTokens := policy.MaxTokens.Value
	if req.maxTokens > 0 {
		maxTokens = min(maxTokens, req.maxTokens)
	}
	deadline, release, err := h.admit(c, p, estimateTokens(req.prompt), maxTokens)
	if err != nil {
		return g, nil, err
	}
	return generationRequest(c, p, req, maxTokens, policy.Priority.Value, deadline), release, nil
}

func generationRequest(c *requestContext, p fleet.Pool, req openAIRequest, maxTokens fleet.Tokens, priority int, deadline time.Time) generation.Request {
	return generation.Request{
		ID:        c.id,
		Account:   c.account.Name,
		Pool:      p.Name,
		Model:     p.Model,
		Prompt:    req.prompt,
		MaxTokens: maxTokens,
		Priority:  priority,
		Deadline:  deadline,
	}
}

// collect runs a generation to its end and returns the complete text.
func (h *Handler) collect(ctx context.Context, c *requestContext, g generation.Request) (text string, res generation.Result, err error) {
	var b strings.Builder
	latency := h.newLatencyRecorder(c)
	res, err = h.Generate(ctx, g, func(token string) error {
		latency.recordToken(h.now())
		b.WriteString(token)
		return nil
	})
	latency.finish(res)
	return b.String(), res, err
}

// latencyRecorder records the latency of a generation in the request's report.
type latencyRecorder struct {
	reqCtx  *requestContext
	tokens  int
	firstAt time.Time
	lastAt  time.Time
}

func (h *Handler) newLatencyRecorder(c *requestContext) *latencyRecorder {
	return &latencyRecorder{reqCtx: c}
}

func (l *latencyRecorder) recordToken(now time.Time) {
	if l.tokens == 0 {
		l.firstAt = now
	}
	l.tokens++
	l.lastAt = now
}

func (l *latencyRecorder) finish(res generation.Result) {
	r := &l.reqCtx.report
	r.RecomputeCauses = res.Causes
	r.Prompt, r.Generated, r.Recomputed, r.Attempts = res.Finish.Prompt, res.Tokens, res.Recomputed, res.Attempts
	if l.tokens == 0 {
		return
	}
	r.FirstTokenTime = l.firstAt.Sub(r.Start)
	if l.tokens > 1 {
		r.MeanTokenTime = l.lastAt.Sub(l.firstAt) / time.Duration(l.tokens-1)
	}
}

// The prefixes of response IDs.
const (
	chatIDPrefix       = "chatcmpl-"
	completionIDPrefix = "cmpl-"
)

// newResponse returns the response to a generation that is not streamed.
func newResponse(id fleet.RequestID, now time.Time, req openAIRequest, text string, res generation.Result) edge.Completion {
	finish := string(res.Finish.Reason)
	choice := edge.Choice{FinishReason: &finish}
	c := edge.Completion{ID: completionIDPrefix + string(id), Object: "text_completion", Created: now.Unix(), Model: req.model, Usage: newUsage(res)}
	if req.chat {
		c.ID, c.Object = chatIDPrefix+string(id), "chat.completion"
		choice.Message = &edge.ChatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	c.Choices = []edge.Choice{choice}
	return c
}

func newUsage(res generation.Result) *edge.Usage {
	return &edge.Usage{
		PromptTokens:     res.Finish.Prompt,
		CompletionTokens: res.Tokens,
		TotalTokens:      res.Finish.Prompt + res.Tokens,
	}
}

func (h *Handler) models(w http.ResponseWriter, _ *http.Request, c *requestContext) error {
	list := edge.ModelList{Object: "list", Data: []edge.Model{}}
	for _, p := range c.config.Document.Pools {
		if p.Kind == fleet.KindModel && c.account.Allows(p.Name) {
			list.Data = append(list.Data, c.modelInfo(p))
		}
	}
	writeJSON(w, "application/json", http.StatusOK, list)
	return nil
}

func (h *Handler) model(w http.ResponseWriter, r *http.Request, c *requestContext) error {
	p, err := c.pool(fleet.PoolName(r.PathValue("model")), fleet.KindModel)
	if err != nil {
		return err
	}
	writeJSON(w, "application/json", http.StatusOK, c.modelInfo(p))
	return nil
}

func (c *requestContext) modelInfo(p fleet.Pool) edge.Model {
	return edge.Model{ID: string(p.Name), Object: "model", Created: c.config.Change.Time.Unix(), OwnedBy: "skylarkloom"}
}
