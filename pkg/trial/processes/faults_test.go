//go:build processes

package processes_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

const accountName = "dezerter-sellers"

// call sends a request to a node. The status is 0 if there is no complete response.
func (c *cluster) call(n int, method, path, key string, body []byte) (status int, outcome string, data []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[n].callers+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+c.Keys[accountName])
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(edge.IdempotencyKeyHeader, key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, "", nil
	}
	return res.StatusCode, res.Header.Get(edge.OutcomeHeader), data
}

// callerResults holds the outcomes that callers of orders received, by idempotency
// key, and the wrong chat responses.
type callerResults struct {
	mu             sync.Mutex
	outcomes       map[string][]string
	wrongResponses []string
}

func (r *callerResults) add(key, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes == nil {
		r.outcomes = make(map[string][]string)
	}
	r.outcomes[key] = append(r.outcomes[key], outcome)
}

// order sends an order and records the outcome that the caller receives, or
// "no-response" if there is no complete response.
func (c *cluster) order(results *callerResults, n int, key string) {
	status, outcome, _ := c.call(n, http.MethodPost, "/v1/services/"+string(trial.PoolService)+"/reserve", key, []byte(`{"trolley":7}`))
	switch {
	case status == http.StatusOK:
		results.add(key, "done")
	case status == 0:
		results.add(key, "no-response")
	default:
		results.add(key, outcome)
	}
}

func question(number int) string { return fmt.Sprint("which stall rule is number ", number) }

func chatBody(text string) []byte {
	body, err := json.Marshal(edge.ChatRequest{
		Model:    string(trial.PoolModel),
		Messages: []edge.Message{{Role: "user", Content: edge.Content(text)}},
	})
	Expect(err).NotTo(HaveOccurred())
	return body
}

// sendAsync sends a chat request that is processed asynchronously.
func (c *cluster) sendAsync(n int, key, text string) (status int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.nodes[n].callers+"/v1/chat/completions", bytes.NewReader(chatBody(text)))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+c.Keys[accountName])
	req.Header.Set(edge.IdempotencyKeyHeader, key)
	req.Header.Set("Prefer", "respond-async")
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	return res.StatusCode
}

// asyncResponse returns the response text of an asynchronous request, or an empty
// string if there is no response yet.
func (c *cluster) asyncResponse(n int, key string) string {
	_, _, data := c.call(n, http.MethodGet, "/v1/requests/"+key, "", nil)
	var s edge.State
	var a edge.Completion
	if json.Unmarshal(data, &s) != nil || s.Response == nil || json.Unmarshal([]byte(s.Response.Body), &a) != nil {
		return ""
	}
	return a.Choices[0].Message.Content
}

// chat sends a chat request and records a successful response that has a wrong text.
func (c *cluster) chat(results *callerResults, n, number int) {
	status, _, data := c.call(n, http.MethodPost, "/v1/chat/completions", "", chatBody(question(number)))
	if status != http.StatusOK {
		return
	}
	var a edge.Completion
	prompt := "user: " + question(number) + "\n"
	err := json.Unmarshal(data, &a)
	if err != nil || a.Choices[0].Message.Content != standin.Response(prompt, standin.ResponseLength(prompt)) {
		results.mu.Lock()
		results.wrongResponses = append(results.wrongResponses, string(data))
		results.mu.Unlock()
	}
}

var _ = Describe("Daemons as processes", func() {
	It("complete the asynchronous requests that a killed node accepted", func() {
		c := newCluster(3)
		const asyncRequests = 40
		for i := range asyncRequests {
			status := c.sendAsync(1, fmt.Sprint("letter-", i), question(i))
			Expect(status).To(Equal(http.StatusAccepted))
		}
		stopProcess(c.nodes[1].cmd, syscall.SIGKILL)
		for i := range asyncRequests {
			prompt := "user: " + question(i) + "\n"
			Eventually(func() string { return c.asyncResponse(2, fmt.Sprint("letter-", i)) }).
				WithTimeout(60 * time.Second).WithPolling(100 * time.Millisecond).
				Should(Equal(standin.Response(prompt, standin.ResponseLength(prompt))))
		}
	})

	It("report correct outcomes during kills, freezes, reclaims and outages of the log", func() {
		c, results := newCluster(3), &callerResults{}
		var g errgroup.Group
		const requests = 600
		for i := range requests {
			g.Go(func() error {
				defer GinkgoRecover()
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				c.order(results, i%3, fmt.Sprint("key-", i/2))
				c.chat(results, (i+1)%3, i)
				return nil
			})
		}
		for _, fault := range []func(){
			func() { stopProcess(c.nodes[1].cmd, syscall.SIGKILL) },
			func() { c.control(http.MethodPost, "/log?state=lost", nil) },
			func() { c.control(http.MethodPost, "/log?state=up", nil) },
			func() { c.startNode(1); c.awaitReady(1) },
			func() { Expect(c.nodes[2].cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed()) },
			func() { c.control(http.MethodPost, "/reclaim?zone="+string(trial.ZoneFirst)+"&notice=1s", nil) },
			func() { Expect(c.nodes[2].cmd.Process.Signal(syscall.SIGCONT)).To(Succeed()) },
			func() { c.control(http.MethodPost, "/log?state=down", nil) },
			func() { stopProcess(c.nodes[0].cmd, syscall.SIGKILL) },
			func() { c.control(http.MethodPost, "/log?state=up", nil) },
			func() { c.startNode(0); c.awaitReady(0) },
		} {
			time.Sleep(2 * time.Second)
			fault()
		}
		Expect(g.Wait()).To(Succeed())

		runs := map[string]int{}
		c.control(http.MethodGet, "/runs", &runs)
		count := map[string]int{}
		for key, outcomes := range results.outcomes {
			Expect(runs[key]).To(BeNumerically("<=", 1), key)
			joined := strings.Join(outcomes, " ")
			for _, outcome := range outcomes {
				count[outcome]++
			}
			if strings.Contains(joined, "done") {
				Expect(runs[key]).To(Equal(1), key)
			}
			// Every outcome of the key is not-run.
			if strings.ReplaceAll(joined, "not-run", "") == strings.Repeat(" ", len(outcomes)-1) {
				Expect(runs[key]).To(Equal(0), key)
			}
		}
		Expect(results.wrongResponses).To(BeEmpty())
		AddReportEntry("order outcomes received by callers", count)
		GinkgoWriter.Println("order outcomes:", count, "keys run:", len(runs))
		Expect(count["done"]).To(BeNumerically(">", requests/4))

		for key := range results.outcomes {
			Eventually(func() string {
				status, _, data := c.call(0, http.MethodGet, "/v1/requests/"+key, "", nil)
				var s edge.State
				if status == http.StatusNotFound || json.Unmarshal(data, &s) != nil {
					return "none"
				}
				return s.Status
			}).WithTimeout(60*time.Second).Should(BeElementOf("none", "settled", "not-run", "unknown"), key)
		}

		for _, n := range c.nodes {
			Expect(n.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
			Expect(n.cmd.Wait()).To(Succeed())
		}
	})
})
