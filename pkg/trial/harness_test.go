package trial_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

const (
	sellers           = fleet.AccountName("dezerter-sellers")
	planner           = fleet.AccountName("season-plans")
	eventuallyTimeout = 20 * time.Second
)

// harness is a trial fleet with a client that calls it over HTTP, as a caller does.
type harness struct {
	trial     *trial.Trial
	addresses trial.Addresses
	client    *http.Client
}

func newHarness(ctx context.Context) *harness {
	h := &harness{trial: &trial.Trial{}, client: &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	Expect(h.trial.Start(ctx)).To(Succeed())
	DeferCleanup(func(ctx context.Context) {
		h.client.CloseIdleConnections()
		Expect(h.trial.Drain(ctx)).To(Succeed())
		Expect(h.trial.Stop(ctx)).To(Succeed())
	})
	var err error
	h.addresses, err = h.trial.Open()
	Expect(err).NotTo(HaveOccurred())
	return h
}

// reply is a response with its body read.
type reply struct {
	Status int
	Header http.Header
	Body   string
}

func (h *harness) call(ctx context.Context, method, url string, account fleet.AccountName, header map[string]string, body string) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+h.addresses.Keys[account])
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := h.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return reply{Status: res.StatusCode, Header: res.Header, Body: string(data)}, err
}

// order sends an order with an idempotency key to the node at base, or through the
// balancer if base is empty.
func (h *harness) order(ctx context.Context, base, key string) (reply, error) {
	if base == "" {
		base = h.addresses.Callers
	}
	return h.call(ctx, http.MethodPost, base+"/v1/services/"+string(trial.PoolService)+"/reservations", sellers,
		map[string]string{edge.IdempotencyKeyHeader: key}, `{"trolley":7}`)
}

func (h *harness) control(ctx context.Context, path string) {
	r, err := h.call(ctx, http.MethodPost, h.addresses.Control+path, "", nil, "")
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Status).To(Equal(http.StatusOK), r.Body)
}

func (h *harness) runs(ctx context.Context) (counts map[string]int) {
	r, err := h.call(ctx, http.MethodGet, h.addresses.Control+"/runs", "", nil, "")
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal([]byte(r.Body), &counts)).To(Succeed())
	return counts
}

func chatBody(question string, stream bool) string {
	body, err := json.Marshal(edge.ChatRequest{
		Model:    string(trial.PoolModel),
		Stream:   stream,
		Messages: []edge.Message{{Role: "user", Content: edge.Content(question)}},
	})
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// expectedResponse returns the complete response of the stand-in engines to a question.
func expectedResponse(question string) string {
	prompt := "user: " + question + "\n"
	return standin.Response(prompt, standin.ResponseLength(prompt))
}

// stream sends a streaming chat request. It returns the received text and reports
// whether the stream is complete. onFirst, if not nil, is called at the first event.
func (h *harness) stream(ctx context.Context, question string, onFirst func()) (text string, complete bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.addresses.Callers+"/v1/chat/completions", strings.NewReader(chatBody(question, true)))
	if err != nil {
		return "", false, err
	}
	req.Header.Set("Authorization", "Bearer "+h.addresses.Keys[sellers])
	res, err := h.client.Do(req)
	if err != nil {
		return "", false, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		data, err := io.ReadAll(res.Body)
		return string(data), false, err
	}
	var b strings.Builder
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if onFirst != nil {
			onFirst()
			onFirst = nil
		}
		if data == "[DONE]" {
			return b.String(), true, nil
		}
		var a edge.Completion
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return b.String(), false, err
		}
		for _, c := range a.Choices {
			b.WriteString(c.Delta.Content)
		}
	}
	return b.String(), false, lines.Err()
}
