package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

// demoRequestTimeout is the timeout of one request of the demonstration.
const demoRequestTimeout = 30 * time.Second

// demoClient sends the requests of the demonstration.
type demoClient struct {
	addresses Addresses
	key       string
	client    *http.Client
}

// RunDemo runs the main use cases and writes a summary of each to w: a chat
// request, an order, a configuration change, and chat requests during a reclaim.
func (t *Trial) RunDemo(ctx context.Context, w io.Writer, a Addresses) error {
	c := &demoClient{addresses: a, key: a.Keys["dezerter-sellers"], client: &http.Client{Timeout: demoRequestTimeout}}
	defer c.client.CloseIdleConnections()
	steps := []struct {
		title string
		run   func(ctx context.Context) (string, error)
	}{
		{"a chat response", func(ctx context.Context) (string, error) { return c.chat(ctx, "Which trolley suits tulips?") }},
		{"an order, sent twice with the same idempotency key and run once", func(ctx context.Context) (string, error) { return t.sendOrderTwice(ctx, c) }},
		{"a configuration change", c.publishConfig},
		{"chat responses during the reclaim of zone " + string(ZoneFirst), func(ctx context.Context) (string, error) { return t.chatThroughReclaim(ctx, c) }},
	}
	for i, step := range steps {
		start := time.Now()
		summary, err := step.run(ctx)
		if err != nil {
			return errors.Wrap(err, step.title)
		}
		fmt.Fprintf(w, "%d. %s (%s)\n   %s\n", i+1, step.title, time.Since(start).Round(time.Millisecond), summary)
	}
	return nil
}

func (c *demoClient) post(ctx context.Context, url, token string, header http.Header, body any) (data []byte, err error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header = header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, res.Body.Close()) }()
	data, err = io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = errors.Newf("status %d: %s", res.StatusCode, data)
	}
	return data, err
}

func (c *demoClient) chat(ctx context.Context, question string) (text string, err error) {
	data, err := c.post(ctx, c.addresses.Callers+"/v1/chat/completions", c.key, nil, edge.ChatRequest{
		Model:    string(PoolModel),
		Messages: []edge.Message{{Role: "user", Content: edge.Content(question)}},
	})
	if err != nil {
		return "", err
	}
	var a edge.Completion
	if err := json.Unmarshal(data, &a); err != nil {
		return "", err
	}
	return a.Choices[0].Message.Content, nil
}

func (t *Trial) sendOrderTwice(ctx context.Context, c *demoClient) (string, error) {
	header := http.Header{}
	header.Set(edge.IdempotencyKeyHeader, "reserve-trolley-7")
	url := c.addresses.Callers + "/v1/services/" + string(PoolService) + "/reservations"
	for range 2 {
		if _, err := c.post(ctx, url, c.key, header, struct{ Trolley int }{7}); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("the service ran it %d time(s)", t.Runs.Counts()["reserve-trolley-7"]), nil
}

func (c *demoClient) publishConfig(ctx context.Context) (string, error) {
	data, err := c.post(ctx, c.addresses.Operators+operate.ConfigPath, c.addresses.Token, nil, operate.Publish{
		Base:     1,
		Document: string(bytes.Replace(Document(), []byte("30s"), []byte("45s"), 1)),
		Author:   "try-out",
		Message:  "a longer deadline",
	})
	if err != nil {
		return "", err
	}
	var p operate.Published
	if err := json.Unmarshal(data, &p); err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d is in force", p.Revision), nil
}

// chatThroughReclaim reclaims a zone, sends chat requests meanwhile and checks that
// each response is complete.
func (t *Trial) chatThroughReclaim(ctx context.Context, c *demoClient) (string, error) {
	question := "Draft a season plan for a seller of carnations, week by week."
	prompt := "user: " + question + "\n"
	want := standin.Response(prompt, standin.ResponseLength(prompt))
	reclaimed := t.Cloud.Reclaim(ZoneFirst, time.Second)
	for range 8 {
		got, err := c.chat(ctx, question)
		if err != nil {
			return "", err
		}
		if got != want {
			return "", errors.Newf("response differs from the expected text: %q", got)
		}
	}
	return fmt.Sprintf("%d instances were reclaimed; 8 responses were complete", reclaimed), nil
}
