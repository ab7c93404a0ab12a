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

// showTimeout bounds one call of the show.
const showTimeout = 30 * time.Second

// shower makes the calls of the show.
type shower struct {
	a      Addresses
	key    string
	client *http.Client
}

// Show runs the main job and writes what happens: a chat answer, an order, a
// configuration change, and a reclaim that an answer survives.
func (t *Trial) Show(ctx context.Context, w io.Writer, a Addresses) error {
	s := &shower{a: a, key: a.Keys["dezerter-sellers"], client: &http.Client{Timeout: showTimeout}}
	defer s.client.CloseIdleConnections()
	steps := []struct {
		title string
		run   func(ctx context.Context) (string, error)
	}{
		{"a chat answer", func(ctx context.Context) (string, error) { return s.chat(ctx, "Which trolley suits tulips?") }},
		{"an order, sent twice with the same key, run once", func(ctx context.Context) (string, error) { return t.order(ctx, s) }},
		{"a configuration change", s.change},
		{"an answer through the reclaim of zone " + string(ZoneFirst), func(ctx context.Context) (string, error) { return t.survive(ctx, s) }},
	}
	for i, step := range steps {
		start := time.Now()
		said, err := step.run(ctx)
		if err != nil {
			return errors.Wrap(err, step.title)
		}
		fmt.Fprintf(w, "%d. %s (%s)\n   %s\n", i+1, step.title, time.Since(start).Round(time.Millisecond), said)
	}
	return nil
}

func (s *shower) post(ctx context.Context, url, token string, header http.Header, body any) (data []byte, err error) {
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
	res, err := s.client.Do(req)
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

func (s *shower) chat(ctx context.Context, question string) (text string, err error) {
	data, err := s.post(ctx, s.a.Callers+"/v1/chat/completions", s.key, nil, edge.ChatRequest{
		Model:    string(PoolModel),
		Messages: []edge.Message{{Role: "user", Content: edge.Content(question)}},
	})
	if err != nil {
		return "", err
	}
	var a edge.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return "", err
	}
	return a.Choices[0].Message.Content, nil
}

func (t *Trial) order(ctx context.Context, s *shower) (string, error) {
	header := http.Header{}
	header.Set(edge.KeyHeader, "reserve-trolley-7")
	url := s.a.Callers + "/v1/services/" + string(PoolService) + "/reservations"
	for range 2 {
		if _, err := s.post(ctx, url, s.key, header, struct{ Trolley int }{7}); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("the service ran it %d time(s)", t.Runs.Counts()["reserve-trolley-7"]), nil
}

func (s *shower) change(ctx context.Context) (string, error) {
	data, err := s.post(ctx, s.a.Operators+operate.ConfigPath, s.a.Token, nil, operate.Publish{
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

// survive reclaims a zone while answers are generated and compares them.
func (t *Trial) survive(ctx context.Context, s *shower) (string, error) {
	question := "Draft a season plan for a seller of carnations, week by week."
	prompt := "user: " + question + "\n"
	want := standin.Answer(prompt, standin.LengthOf(prompt))
	moved := t.Cloud.Reclaim(ZoneFirst, time.Second)
	for range 8 {
		got, err := s.chat(ctx, question)
		if err != nil {
			return "", err
		}
		if got != want {
			return "", errors.Newf("the answer differs: %q", got)
		}
	}
	return fmt.Sprintf("%d instances were reclaimed; 8 answers came whole", moved), nil
}
