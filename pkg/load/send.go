package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Caller sends the requests of a load.
type Caller struct {
	// BaseURL is the URL of an entry node's listener for callers.
	BaseURL string
	APIKey  string
	Model   fleet.PoolName
	Service fleet.PoolName
	// OrderPath is the path within Service that orders are sent to.
	OrderPath string
	Client    *http.Client
}

// maxLineBytes is the maximum length of one line of a token stream.
const maxLineBytes = 1 << 20

// orderBody is the request body of an order.
type orderBody struct {
	Text string `json:"text"`
}

// Send sends one request.
func (c *Caller) Send(ctx context.Context, a Arrival) Response {
	if a.Kind == KindOrder {
		return c.sendOrder(ctx, a)
	}
	return c.sendChat(ctx, a)
}

func (c *Caller) post(ctx context.Context, path string, key fleet.Key, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(c.BaseURL, "/")+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(edge.IdempotencyKeyHeader, string(key))
	}
	return c.Client.Do(req)
}

func (c *Caller) sendOrder(ctx context.Context, a Arrival) (r Response) {
	res, err := c.post(ctx, "/v1/services/"+string(c.Service)+c.OrderPath, a.Key, orderBody{a.Text})
	if err != nil {
		return Response{End: time.Now()}
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return newResponse(res, err)
}

func (c *Caller) sendChat(ctx context.Context, a Arrival) (r Response) {
	res, err := c.post(ctx, "/v1/chat/completions", "", edge.ChatRequest{
		Model:    string(c.Model),
		Messages: []edge.Message{{Role: "user", Content: edge.Content(a.Text)}},
		Stream:   true,
	})
	if err != nil {
		return Response{End: time.Now()}
	}
	defer func() { _ = res.Body.Close() }()
	first, tokens, complete, err := readStream(res.Body)
	r = newResponse(res, err)
	r.FirstToken, r.Tokens = first, tokens
	if r.Status == http.StatusOK && !complete {
		r.Status = 0
	}
	return r
}

// newResponse returns the result of an HTTP response. err is the error of reading its
// body.
func newResponse(res *http.Response, err error) Response {
	r := Response{Status: res.StatusCode, Outcome: fleet.Outcome(res.Header.Get(edge.OutcomeHeader)), End: time.Now()}
	if err != nil {
		r.Status = 0
	}
	return r
}

// readStream reads a token stream. first is the time of the first chunk with text,
// tokens the number of these chunks, and complete reports whether the [DONE] event
// was received.
func readStream(body io.Reader) (first time.Time, tokens fleet.Tokens, complete bool, err error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var chunk edge.Completion
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		if delta := chunk.Choices[0].Delta; delta != nil && delta.Content != "" {
			if tokens == 0 {
				first = time.Now()
			}
			tokens++
		}
	}
	return first, tokens, complete, lines.Err()
}
