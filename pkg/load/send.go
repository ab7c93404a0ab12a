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

// Caller makes the requests of a load.
type Caller struct {
	// Address is the base URL of the callers' side.
	Address string
	Key     string
	Model   fleet.PoolName
	Service fleet.PoolName
	// Path is the path of the service that takes orders.
	Path   string
	Client *http.Client
}

// maxLine bounds one line of a token stream, in bytes.
const maxLine = 1 << 20

// order is the body of an order.
type order struct {
	Text string `json:"text"`
}

// Send makes one request.
func (c *Caller) Send(ctx context.Context, a Arrival) Reply {
	if a.Kind == KindOrder {
		return c.order(ctx, a)
	}
	return c.chat(ctx, a)
}

func (c *Caller) post(ctx context.Context, path string, key fleet.Key, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(c.Address, "/")+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(edge.KeyHeader, string(key))
	}
	return c.Client.Do(req)
}

func (c *Caller) order(ctx context.Context, a Arrival) (r Reply) {
	res, err := c.post(ctx, "/v1/services/"+string(c.Service)+c.Path, a.Key, order{a.Text})
	if err != nil {
		return Reply{End: time.Now()}
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return ended(res, err)
}

func (c *Caller) chat(ctx context.Context, a Arrival) (r Reply) {
	res, err := c.post(ctx, "/v1/chat/completions", "", edge.ChatRequest{
		Model:    string(c.Model),
		Messages: []edge.Message{{Role: "user", Content: edge.Content(a.Text)}},
		Stream:   true,
	})
	if err != nil {
		return Reply{End: time.Now()}
	}
	defer func() { _ = res.Body.Close() }()
	first, tokens, whole, err := readStream(res.Body)
	r = ended(res, err)
	r.First, r.Tokens = first, tokens
	if r.Status == http.StatusOK && !whole {
		r.Status = 0
	}
	return r
}

// ended returns the reply to an answer whose body was read.
func ended(res *http.Response, err error) Reply {
	r := Reply{Status: res.StatusCode, Outcome: fleet.Outcome(res.Header.Get(edge.OutcomeHeader)), End: time.Now()}
	if err != nil {
		r.Status = 0
	}
	return r
}

// readStream reads a token stream. Whole reports whether it came to its end.
func readStream(body io.Reader) (first time.Time, tokens fleet.Tokens, whole bool, err error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var chunk edge.Answer
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
	return first, tokens, whole, lines.Err()
}
