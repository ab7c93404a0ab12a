package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

// stream runs a generation and streams its tokens as server-sent events. Once
// the first event is written, an error is written as an event too, and the
// stream ends without the closing [DONE].
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, c *call, q question, g generation.Request) error {
	s := h.newSSE(w, c.id, q, h.now())
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

func (h *Handler) newSSE(w http.ResponseWriter, id fleet.RequestID, q question, created time.Time) *sse {
	return &sse{w: w, control: http.NewResponseController(w), id: id, q: q, created: created, timeout: or(h.WriteTimeout, writeTimeout)}
}

// replay streams a stored answer, as one token.
func (h *Handler) replay(w http.ResponseWriter, q question, stored record.Settle) error {
	var a edge.Answer
	if err := json.Unmarshal(stored.Answer, &a); err != nil || len(a.Choices) == 0 {
		return h.writeStored(w, stored)
	}
	choice := a.Choices[0]
	text := ""
	switch {
	case choice.Message != nil:
		text = choice.Message.Content
	case choice.Text != nil:
		text = *choice.Text
	}
	id := strings.TrimPrefix(strings.TrimPrefix(a.ID, chatPrefix), completionPrefix)
	s := h.newSSE(w, fleet.RequestID(id), q, time.Unix(a.Created, 0))
	if err := s.token(text); err != nil {
		return err
	}
	reason := string(engine.FinishStop)
	if choice.FinishReason != nil {
		reason = *choice.FinishReason
	}
	return s.end(reason, a.Usage)
}

// sse writes the chunks of one streamed answer.
type sse struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      fleet.RequestID
	q       question
	created time.Time
	timeout time.Duration
	begun   bool
	buffer  bytes.Buffer
	// before and after stand around the text of a token's chunk.
	before   []byte
	after    []byte
	encoder  *json.Encoder
	deadline time.Time
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
	if s.before == nil {
		if err := s.prepare(); err != nil {
			return err
		}
	}
	s.buffer.Reset()
	s.buffer.Write(s.before)
	if err := s.encoder.Encode(text); err != nil {
		return err
	}
	// The encoder ends the text with a line break.
	s.buffer.Truncate(s.buffer.Len() - 1)
	s.buffer.Write(s.after)
	return s.write()
}

// mark stands for the text while the chunk around it is encoded.
const mark = "\x00"

// prepare encodes once what is the same in every token's chunk.
func (s *sse) prepare() (err error) {
	text := mark
	choice := edge.Choice{Text: &text}
	if s.q.chat {
		choice = edge.Choice{Delta: &edge.ChatMessage{Content: text}}
	}
	a := s.answer()
	a.Choices = []edge.Choice{choice}
	whole, err := json.Marshal(a)
	if err != nil {
		return err
	}
	quoted, err := json.Marshal(mark)
	if err != nil {
		return err
	}
	// The model's name comes before the text, so the last mark is the text's.
	at := bytes.LastIndex(whole, quoted)
	s.before = append([]byte("data: "), whole[:at]...)
	s.after = append(whole[at+len(quoted):], "\n\n"...)
	s.encoder = json.NewEncoder(&s.buffer)
	return nil
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
	return s.end(string(res.Finish.Reason), usage(res))
}

// end writes the last chunks. The caller may have left; nothing follows them.
func (s *sse) end(reason string, used *edge.Usage) error {
	if !s.begun {
		s.begin()
	}
	last := edge.Choice{FinishReason: &reason}
	if s.q.chat {
		last.Delta = &edge.ChatMessage{}
	} else {
		last.Text = new(string)
	}
	_ = s.chunk(last)
	if s.q.usage {
		a := s.answer()
		a.Choices, a.Usage = []edge.Choice{}, used
		_ = s.send(a)
	}
	s.extend()
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	_ = s.control.Flush()
	return nil
}

func (s *sse) answer() edge.Answer {
	a := edge.Answer{ID: completionPrefix + string(s.id), Object: "text_completion", Created: s.created.Unix(), Model: s.q.model}
	if s.q.chat {
		a.ID, a.Object = chatPrefix+string(s.id), "chat.completion.chunk"
	}
	return a
}

func (s *sse) chunk(c edge.Choice) error {
	a := s.answer()
	a.Choices = []edge.Choice{c}
	return s.send(a)
}

// send writes one event.
func (s *sse) send(body any) error {
	s.buffer.Reset()
	s.buffer.WriteString("data: ")
	if err := json.NewEncoder(&s.buffer).Encode(body); err != nil {
		return err
	}
	s.buffer.WriteByte('\n')
	return s.write()
}

// write writes the buffer. A caller who does not read for the write timeout
// fails the write, which ends the generation.
func (s *sse) write() error {
	s.extend()
	if _, err := s.w.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// extend moves the write deadline on, so that at least the write timeout is
// left. It moves it ahead, as moving it for every token would cost more.
func (s *sse) extend() {
	now := time.Now()
	if s.deadline.Sub(now) >= s.timeout {
		return
	}
	s.deadline = now.Add(s.timeout + s.timeout/4)
	_ = s.control.SetWriteDeadline(s.deadline)
}
