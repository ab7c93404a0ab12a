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

// stream runs a generation and streams its tokens as server-sent events. An error
// after the first event is written as an event, and the stream ends without the
// final [DONE].
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, c *requestContext, req openAIRequest, g generation.Request) error {
	s := h.newSSEWriter(w, c.id, req, h.now())
	latency := h.newLatencyRecorder(c)
	res, err := h.Generate(r.Context(), g, func(token string) error {
		latency.recordToken(h.now())
		return s.writeToken(token)
	})
	latency.finish(res)
	if err != nil && !s.started {
		return err
	}
	if err != nil {
		e := callerError(stopError(r.Context(), err))
		c.report.Status, c.report.Outcome = e.Status, e.Outcome
		_ = s.writeEvent(openAIError(e))
		return nil
	}
	return s.finish(res)
}

func (h *Handler) newSSEWriter(w http.ResponseWriter, id fleet.RequestID, req openAIRequest, created time.Time) *sseWriter {
	return &sseWriter{w: w, control: http.NewResponseController(w), id: id, request: req, created: created, writeTimeout: orDefault(h.WriteTimeout, defaultWriteTimeout)}
}

// streamStored streams a stored response as one token.
func (h *Handler) streamStored(w http.ResponseWriter, req openAIRequest, stored record.Settle) error {
	var c edge.Completion
	if err := json.Unmarshal(stored.Response, &c); err != nil || len(c.Choices) == 0 {
		return h.writeStored(w, stored)
	}
	choice := c.Choices[0]
	text := ""
	switch {
	case choice.Message != nil:
		text = choice.Message.Content
	case choice.Text != nil:
		text = *choice.Text
	}
	id := strings.TrimPrefix(strings.TrimPrefix(c.ID, chatIDPrefix), completionIDPrefix)
	s := h.newSSEWriter(w, fleet.RequestID(id), req, time.Unix(c.Created, 0))
	if err := s.writeToken(text); err != nil {
		return err
	}
	reason := string(engine.FinishStop)
	if choice.FinishReason != nil {
		reason = *choice.FinishReason
	}
	return s.writeEnd(reason, c.Usage)
}

// sseWriter writes the chunks of one streamed response.
type sseWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	id           fleet.RequestID
	request      openAIRequest
	created      time.Time
	writeTimeout time.Duration
	started      bool
	buffer       bytes.Buffer
	// tokenPrefix and tokenSuffix enclose the text in the chunk of a token.
	tokenPrefix   []byte
	tokenSuffix   []byte
	encoder       *json.Encoder
	writeDeadline time.Time
}

func (s *sseWriter) writeToken(text string) error {
	if !s.started {
		s.writeHeader()
		if s.request.chat {
			roleChoice := edge.Choice{Delta: &edge.ChatMessage{Role: "assistant"}}
			if err := s.writeChunk(roleChoice); err != nil {
				return err
			}
		}
	}
	if s.tokenPrefix == nil {
		if err := s.encodeTokenChunk(); err != nil {
			return err
		}
	}
	s.buffer.Reset()
	s.buffer.Write(s.tokenPrefix)
	if err := s.encoder.Encode(text); err != nil {
		return err
	}
	// Remove the line break that the encoder adds.
	s.buffer.Truncate(s.buffer.Len() - 1)
	s.buffer.Write(s.tokenSuffix)
	return s.writeBuffer()
}

// textPlaceholder stands for the text while the chunk around it is encoded.
const textPlaceholder = "\x00"

// encodeTokenChunk encodes the parts that are the same in the chunk of each token.
func (s *sseWriter) encodeTokenChunk() (err error) {
	text := textPlaceholder
	choice := edge.Choice{Text: &text}
	if s.request.chat {
		choice = edge.Choice{Delta: &edge.ChatMessage{Content: text}}
	}
	chunk := s.newChunk()
	chunk.Choices = []edge.Choice{choice}
	encoded, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	quotedText, err := json.Marshal(textPlaceholder)
	if err != nil {
		return err
	}
	// The model's name precedes the text and could contain the placeholder, so the
	// last match is the text.
	index := bytes.LastIndex(encoded, quotedText)
	s.tokenPrefix = append([]byte("data: "), encoded[:index]...)
	s.tokenSuffix = append(encoded[index+len(quotedText):], "\n\n"...)
	s.encoder = json.NewEncoder(&s.buffer)
	return nil
}

func (s *sseWriter) writeHeader() {
	s.started = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	s.w.WriteHeader(http.StatusOK)
}

func (s *sseWriter) finish(res generation.Result) error {
	return s.writeEnd(string(res.Finish.Reason), newUsage(res))
}

// writeEnd writes the last chunks. It ignores write errors, because nothing follows
// and the caller may have disconnected.
func (s *sseWriter) writeEnd(reason string, usage *edge.Usage) error {
	if !s.started {
		s.writeHeader()
	}
	last := edge.Choice{FinishReason: &reason}
	if s.request.chat {
		last.Delta = &edge.ChatMessage{}
	} else {
		last.Text = new(string)
	}
	_ = s.writeChunk(last)
	if s.request.includeUsage {
		chunk := s.newChunk()
		chunk.Choices, chunk.Usage = []edge.Choice{}, usage
		_ = s.writeEvent(chunk)
	}
	s.extendDeadline()
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	_ = s.control.Flush()
	return nil
}

func (s *sseWriter) newChunk() edge.Completion {
	chunk := edge.Completion{ID: completionIDPrefix + string(s.id), Object: "text_completion", Created: s.created.Unix(), Model: s.request.model}
	if s.request.chat {
		chunk.ID, chunk.Object = chatIDPrefix+string(s.id), "chat.completion.chunk"
	}
	return chunk
}

func (s *sseWriter) writeChunk(c edge.Choice) error {
	chunk := s.newChunk()
	chunk.Choices = []edge.Choice{c}
	return s.writeEvent(chunk)
}

// writeEvent writes an event with the body in JSON.
func (s *sseWriter) writeEvent(body any) error {
	s.buffer.Reset()
	s.buffer.WriteString("data: ")
	if err := json.NewEncoder(&s.buffer).Encode(body); err != nil {
		return err
	}
	s.buffer.WriteByte('\n')
	return s.writeBuffer()
}

// writeBuffer writes and flushes the buffer. If the caller does not read for the
// write timeout, the write fails, which ends the generation.
func (s *sseWriter) writeBuffer() error {
	s.extendDeadline()
	if _, err := s.w.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// extendDeadline extends the write deadline if less than the write timeout is left.
// It adds a quarter of the timeout, because setting the deadline for each token
// would cost more.
func (s *sseWriter) extendDeadline() {
	now := time.Now()
	if s.writeDeadline.Sub(now) >= s.writeTimeout {
		return
	}
	s.writeDeadline = now.Add(s.writeTimeout + s.writeTimeout/4)
	_ = s.control.SetWriteDeadline(s.writeDeadline)
}
