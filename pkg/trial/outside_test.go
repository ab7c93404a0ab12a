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
	sellers = fleet.AccountName("dezerter-sellers")
	planner = fleet.AccountName("season-plans")
	patient = 20 * time.Second
)

// outside calls a try-out as a program outside would.
type outside struct {
	trial  *trial.Trial
	at     trial.Addresses
	client *http.Client
}

func start(ctx context.Context) *outside {
	o := &outside{trial: &trial.Trial{}, client: &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	Expect(o.trial.Start(ctx)).To(Succeed())
	DeferCleanup(func(ctx context.Context) {
		o.client.CloseIdleConnections()
		Expect(o.trial.Drain(ctx)).To(Succeed())
		Expect(o.trial.Stop(ctx)).To(Succeed())
	})
	var err error
	o.at, err = o.trial.Open()
	Expect(err).NotTo(HaveOccurred())
	return o
}

// reply is an answer that was read whole.
type reply struct {
	Status int
	Header http.Header
	Body   string
}

func (o *outside) call(ctx context.Context, method, url string, account fleet.AccountName, header map[string]string, body string) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+o.at.Keys[account])
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := o.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return reply{Status: res.StatusCode, Header: res.Header, Body: string(data)}, err
}

// order sends an order under a key, to a node or, if base is empty, through the balancer.
func (o *outside) order(ctx context.Context, base, key string) (reply, error) {
	if base == "" {
		base = o.at.Callers
	}
	return o.call(ctx, http.MethodPost, base+"/v1/services/"+string(trial.PoolService)+"/reservations", sellers,
		map[string]string{edge.KeyHeader: key}, `{"trolley":7}`)
}

func (o *outside) control(ctx context.Context, path string) {
	r, err := o.call(ctx, http.MethodPost, o.at.Control+path, "", nil, "")
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Status).To(Equal(http.StatusOK), r.Body)
}

func (o *outside) runs(ctx context.Context) (counts map[string]int) {
	r, err := o.call(ctx, http.MethodGet, o.at.Control+"/runs", "", nil, "")
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

// wanted is the whole answer of the stand-in engines to a question.
func wanted(question string) string {
	prompt := "user: " + question + "\n"
	return standin.Answer(prompt, standin.LengthOf(prompt))
}

// stream asks a question and returns the streamed text; begun is called at the
// first event.
func (o *outside) stream(ctx context.Context, question string, begun func()) (text string, whole bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, o.at.Callers+"/v1/chat/completions", strings.NewReader(chatBody(question, true)))
	if err != nil {
		return "", false, err
	}
	req.Header.Set("Authorization", "Bearer "+o.at.Keys[sellers])
	res, err := o.client.Do(req)
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
		if begun != nil {
			begun()
			begun = nil
		}
		if data == "[DONE]" {
			return b.String(), true, nil
		}
		var a edge.Answer
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return b.String(), false, err
		}
		for _, c := range a.Choices {
			b.WriteString(c.Delta.Content)
		}
	}
	return b.String(), false, lines.Err()
}
