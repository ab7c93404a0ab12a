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

const account = "dezerter-sellers"

// call sends one request to a node; the status is 0 if no answer came.
func (w *world) call(n int, method, path, key string, body []byte) (status int, outcome string, data []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.nodes[n].callers+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+w.Keys[account])
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(edge.KeyHeader, key)
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

// tally is what the callers of orders were told, by key.
type tally struct {
	mu    sync.Mutex
	told  map[string][]string
	wrong []string
}

func (t *tally) add(key, word string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.told == nil {
		t.told = make(map[string][]string)
	}
	t.told[key] = append(t.told[key], word)
}

// order sends an order and notes what the caller was told.
func (w *world) order(t *tally, n int, key string) {
	status, outcome, _ := w.call(n, http.MethodPost, "/v1/services/"+string(trial.PoolService)+"/reserve", key, []byte(`{"trolley":7}`))
	switch {
	case status == http.StatusOK:
		t.add(key, "done")
	case status == 0:
		t.add(key, "silence")
	default:
		t.add(key, outcome)
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

// enqueue asks for a letter that is answered later.
func (w *world) enqueue(n int, key, text string) (status int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.nodes[n].callers+"/v1/chat/completions", bytes.NewReader(chatBody(text)))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+w.Keys[account])
	req.Header.Set(edge.KeyHeader, key)
	req.Header.Set("Prefer", "respond-async")
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	return res.StatusCode
}

// letter returns the text of an answered letter; empty if there is none yet.
func (w *world) letter(n int, key string) string {
	_, _, data := w.call(n, http.MethodGet, "/v1/requests/"+key, "", nil)
	var s edge.State
	var a edge.Answer
	if json.Unmarshal(data, &s) != nil || s.Answer == nil || json.Unmarshal([]byte(s.Answer.Body), &a) != nil {
		return ""
	}
	return a.Choices[0].Message.Content
}

// chat asks and checks that a whole answer is the right one.
func (w *world) chat(t *tally, n, number int) {
	status, _, data := w.call(n, http.MethodPost, "/v1/chat/completions", "", chatBody(question(number)))
	if status != http.StatusOK {
		return
	}
	var a edge.Answer
	prompt := "user: " + question(number) + "\n"
	err := json.Unmarshal(data, &a)
	if err != nil || a.Choices[0].Message.Content != standin.Answer(prompt, standin.LengthOf(prompt)) {
		t.mu.Lock()
		t.wrong = append(t.wrong, string(data))
		t.mu.Unlock()
	}
}

var _ = Describe("Daemons as processes", func() {
	It("finish the letters that a killed node had accepted, once and whole", func() {
		w := newWorld(3)
		const letters = 40
		for i := range letters {
			status := w.enqueue(1, fmt.Sprint("letter-", i), question(i))
			Expect(status).To(Equal(http.StatusAccepted))
		}
		stop(w.nodes[1].process, syscall.SIGKILL)
		for i := range letters {
			prompt := "user: " + question(i) + "\n"
			Eventually(func() string { return w.letter(2, fmt.Sprint("letter-", i)) }).
				WithTimeout(60 * time.Second).WithPolling(100 * time.Millisecond).
				Should(Equal(standin.Answer(prompt, standin.LengthOf(prompt))))
		}
	})

	It("keep their promises through kills, freezes, reclaims and outages of the log", func() {
		w, t := newWorld(3), &tally{}
		var g errgroup.Group
		const requests = 600
		for i := range requests {
			g.Go(func() error {
				defer GinkgoRecover()
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				w.order(t, i%3, fmt.Sprint("key-", i/2))
				w.chat(t, (i+1)%3, i)
				return nil
			})
		}
		for _, fault := range []func(){
			func() { stop(w.nodes[1].process, syscall.SIGKILL) },
			func() { w.control(http.MethodPost, "/log?state=lost", nil) },
			func() { w.control(http.MethodPost, "/log?state=up", nil) },
			func() { w.run(1); w.ready(1) },
			func() { Expect(w.nodes[2].process.Process.Signal(syscall.SIGSTOP)).To(Succeed()) },
			func() { w.control(http.MethodPost, "/reclaim?zone="+string(trial.ZoneFirst)+"&notice=1s", nil) },
			func() { Expect(w.nodes[2].process.Process.Signal(syscall.SIGCONT)).To(Succeed()) },
			func() { w.control(http.MethodPost, "/log?state=down", nil) },
			func() { stop(w.nodes[0].process, syscall.SIGKILL) },
			func() { w.control(http.MethodPost, "/log?state=up", nil) },
			func() { w.run(0); w.ready(0) },
		} {
			time.Sleep(2 * time.Second)
			fault()
		}
		Expect(g.Wait()).To(Succeed())

		runs := map[string]int{}
		w.control(http.MethodGet, "/runs", &runs)
		count := map[string]int{}
		for key, told := range t.told {
			Expect(runs[key]).To(BeNumerically("<=", 1), key)
			words := strings.Join(told, " ")
			for _, word := range told {
				count[word]++
			}
			if strings.Contains(words, "done") {
				Expect(runs[key]).To(Equal(1), key)
			}
			if strings.ReplaceAll(words, "not-run", "") == strings.Repeat(" ", len(told)-1) {
				Expect(runs[key]).To(Equal(0), key)
			}
		}
		Expect(t.wrong).To(BeEmpty())
		AddReportEntry("what the callers of orders were told", count)
		GinkgoWriter.Println("told:", count, "keys run:", len(runs))
		Expect(count["done"]).To(BeNumerically(">", requests/4))

		for key := range t.told {
			Eventually(func() string {
				status, _, data := w.call(0, http.MethodGet, "/v1/requests/"+key, "", nil)
				var s edge.State
				if status == http.StatusNotFound || json.Unmarshal(data, &s) != nil {
					return "none"
				}
				return s.Status
			}).WithTimeout(60*time.Second).Should(BeElementOf("none", "settled", "not-run", "unknown"), key)
		}

		for _, n := range w.nodes {
			Expect(n.process.Process.Signal(syscall.SIGTERM)).To(Succeed())
			Expect(n.process.Wait()).To(Succeed())
		}
	})
})
