package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

// stream runs a generation and streams its tokens as server-sent events. Once
// the first event is written, an error is written as an event too, and the
// stream ends without the closing [DONE].
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, c *call, q question, g generation.Request) error {
	s := &sse{w: w, control: http.NewResponseController(w), id: c.id, q: q, created: h.now()}
	watch := h.watch(c)
	res, err := h.Generate(r.Context(), g, func(token string) error {
		watch.token(h.now())
		return s.token(token)
	})
	watch.end(res)
	if err != nil && !s.begun {
		return err
	}
	if err != nil {
		e := explain(err)
		c.report.Status, c.report.Outcome = e.Status, e.Outcome
		_ = s.send(openAIError(e))
		return nil
	}
	return s.finish(res)
}

// sse writes the chunks of one streamed answer.
type sse struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      fleet.RequestID
	q       question
	created time.Time
	begun   bool
	buffer  bytes.Buffer
}

func (s *sse) token(text string) error {
	if !s.begun {
		s.begin()
		if s.q.chat {
			empty := edge.Choice{Delta: &edge.ChatMessage{Role: "assistant"}}
			if err := s.chunk(empty); err != nil {
				return err
			}
		}
	}
	if s.q.chat {
		return s.chunk(edge.Choice{Delta: &edge.ChatMessage{Content: text}})
	}
	return s.chunk(edge.Choice{Text: &text})
}

func (s *sse) begin() {
	s.begun = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	s.w.WriteHeader(http.StatusOK)
}

func (s *sse) finish(res generation.Result) error {
	if !s.begun {
		s.begin()
	}
	reason := string(res.Finish.Reason)
	last := edge.Choice{FinishReason: &reason}
	if s.q.chat {
		last.Delta = &edge.ChatMessage{}
	} else {
		last.Text = new(string)
	}
	_ = s.chunk(last)
	if s.q.usage {
		a := s.answer()
		a.Choices, a.Usage = []edge.Choice{}, usage(res)
		_ = s.send(a)
	}
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	_ = s.control.Flush()
	return nil
}

func (s *sse) answer() edge.Answer {
	a := edge.Answer{ID: "cmpl-" + string(s.id), Object: "text_completion", Created: s.created.Unix(), Model: s.q.model}
	if s.q.chat {
		a.ID, a.Object = "chatcmpl-"+string(s.id), "chat.completion.chunk"
	}
	return a
}

func (s *sse) chunk(c edge.Choice) error {
	a := s.answer()
	a.Choices = []edge.Choice{c}
	return s.send(a)
}

// send writes one event. A caller who does not read for the write timeout
// fails the write, which ends the generation.
func (s *sse) send(body any) error {
	s.buffer.Reset()
	s.buffer.WriteString("data: ")
	if err := json.NewEncoder(&s.buffer).Encode(body); err != nil {
		return err
	}
	s.buffer.WriteByte('\n')
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}
