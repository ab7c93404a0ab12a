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

// question is a request for a generation, of either model interface.
type question struct {
	model  string
	prompt string
	max    fleet.Tokens
	stream bool
	usage  bool
	chat   bool
}

func (h *Handler) chat(w http.ResponseWriter, r *http.Request, c *call) error {
	body, err := h.readJSON(w, r)
	if err != nil {
		return err
	}
	q, err := parseChat(body)
	if err != nil {
		return err
	}
	return h.answer(w, r, c, q, body)
}

func (h *Handler) completion(w http.ResponseWriter, r *http.Request, c *call) error {
	body, err := h.readJSON(w, r)
	if err != nil {
		return err
	}
	q, err := parseCompletion(body)
	if err != nil {
		return err
	}
	return h.answer(w, r, c, q, body)
}

func parseChat(body []byte) (q question, err error) {
	var req edge.ChatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return q, badRequest("", "the body is not a chat request: "+err.Error())
	}
	if len(req.Messages) == 0 {
		return q, badRequest("messages", "expected at least one message")
	}
	var b strings.Builder
	for _, m := range req.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	q = question{model: req.Model, prompt: b.String(), max: max(req.MaxTokens, req.MaxCompletionTokens), stream: req.Stream, chat: true}
	q.usage = req.StreamOptions != nil && req.StreamOptions.IncludeUsage
	return q, q.check(body)
}

func parseCompletion(body []byte) (q question, err error) {
	var req edge.CompletionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return q, badRequest("", "the body is not a completion request: "+err.Error())
	}
	q = question{model: req.Model, prompt: string(req.Prompt), max: req.MaxTokens, stream: req.Stream}
	q.usage = req.StreamOptions != nil && req.StreamOptions.IncludeUsage
	return q, q.check(body)
}

func (q question) check(body []byte) error {
	if field := edge.Unsupported(body); field != "" {
		return badRequest(field, "the field "+field+" with this value is not supported; leave it out")
	}
	if q.model == "" {
		return badRequest("model", "expected the name of a pool")
	}
	if q.max < 0 {
		return badRequest("max_tokens", "expected a count of 1 or more")
	}
	return nil
}

// tokens estimates how many tokens a prompt has.
func tokens(prompt string) fleet.Tokens { return fleet.Tokens(len(prompt)/4 + 1) }

// answer admits and runs a generation and writes its answer.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, c *call, q question, body []byte) error {
	p, err := c.pool(fleet.PoolName(q.model), fleet.KindModel)
	if err != nil {
		return err
	}
	if r.Header.Get(edge.KeyHeader) != "" || wantsAsync(r) {
		return h.keyed(w, r, c, p, r.URL.Path, body, func(w http.ResponseWriter, s record.Settle) error {
			if q.stream && s.Status == http.StatusOK {
				return h.replay(w, q, s)
			}
			return h.writeStored(w, s)
		})
	}
	g, release, err := h.prepare(c, p, q)
	if err != nil {
		return err
	}
	defer release()
	if q.stream {
		return h.stream(w, r, c, q, g)
	}
	text, res, err := h.collect(r.Context(), c, g)
	if err != nil {
		return err
	}
	writeJSON(w, "application/json", http.StatusOK, whole(c.id, h.now(), q, text, res))
	return nil
}

// prepare admits a generation and returns its request.
func (h *Handler) prepare(c *call, p fleet.Pool, q question) (g generation.Request, release func(), err error) {
	policy := c.force.Document.Policy(c.account.Name, p.Name, h.now())
	most := policy.MaxTokens.Value
	if q.max > 0 {
		most = min(most, q.max)
	}
	deadline, release, err := h.admit(c, p, tokens(q.prompt), most)
	if err != nil {
		return g, nil, err
	}
	return generationRequest(c, p, q, most, policy.Priority.Value, deadline), release, nil
}

func generationRequest(c *call, p fleet.Pool, q question, most fleet.Tokens, priority int, deadline time.Time) generation.Request {
	return generation.Request{
		ID:        c.id,
		Account:   c.account.Name,
		Pool:      p.Name,
		Model:     p.Model,
		Prompt:    q.prompt,
		MaxTokens: most,
		Priority:  priority,
		Deadline:  deadline,
	}
}

// collect runs a generation to its end and returns the text.
func (h *Handler) collect(ctx context.Context, c *call, g generation.Request) (text string, res generation.Result, err error) {
	var b strings.Builder
	watch := h.watch(c)
	res, err = h.Generate(ctx, g, func(token string) error {
		watch.token(h.now())
		b.WriteString(token)
		return nil
	})
	watch.end(res)
	return b.String(), res, err
}

// watch measures the latency of a generation into the call's report.
type watch struct {
	c     *call
	count int
	first time.Time
	last  time.Time
}

func (h *Handler) watch(c *call) *watch { return &watch{c: c} }

func (w *watch) token(now time.Time) {
	if w.count == 0 {
		w.first = now
	}
	w.count++
	w.last = now
}

func (w *watch) end(res generation.Result) {
	r := &w.c.report
	r.RecomputeCauses = res.Causes
	r.Prompt, r.Generated, r.Recomputed, r.Attempts = res.Finish.Prompt, res.Tokens, res.Recomputed, res.Attempts
	if w.count == 0 {
		return
	}
	r.FirstToken = w.first.Sub(r.Start)
	if w.count > 1 {
		r.BetweenTokens = w.last.Sub(w.first) / time.Duration(w.count-1)
	}
}

// The prefixes of the names of answers.
const (
	chatPrefix       = "chatcmpl-"
	completionPrefix = "cmpl-"
)

// whole returns the answer of a generation that is not streamed.
func whole(id fleet.RequestID, now time.Time, q question, text string, res generation.Result) edge.Answer {
	finish := string(res.Finish.Reason)
	choice := edge.Choice{FinishReason: &finish}
	a := edge.Answer{ID: completionPrefix + string(id), Object: "text_completion", Created: now.Unix(), Model: q.model, Usage: usage(res)}
	if q.chat {
		a.ID, a.Object = chatPrefix+string(id), "chat.completion"
		choice.Message = &edge.ChatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	a.Choices = []edge.Choice{choice}
	return a
}

func usage(res generation.Result) *edge.Usage {
	return &edge.Usage{
		PromptTokens:     res.Finish.Prompt,
		CompletionTokens: res.Tokens,
		TotalTokens:      res.Finish.Prompt + res.Tokens,
	}
}

func (h *Handler) models(w http.ResponseWriter, _ *http.Request, c *call) error {
	list := edge.ModelList{Object: "list", Data: []edge.Model{}}
	for _, p := range c.force.Document.Pools {
		if p.Kind == fleet.KindModel && c.account.Allows(p.Name) {
			list.Data = append(list.Data, c.describe(p))
		}
	}
	writeJSON(w, "application/json", http.StatusOK, list)
	return nil
}

func (h *Handler) model(w http.ResponseWriter, r *http.Request, c *call) error {
	p, err := c.pool(fleet.PoolName(r.PathValue("model")), fleet.KindModel)
	if err != nil {
		return err
	}
	writeJSON(w, "application/json", http.StatusOK, c.describe(p))
	return nil
}

func (c *call) describe(p fleet.Pool) edge.Model {
	return edge.Model{ID: string(p.Name), Object: "model", Created: c.force.Change.Time.Unix(), OwnedBy: "skylarkloom"}
}
