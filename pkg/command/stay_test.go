package command_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/command"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

const patient = 30 * time.Second

// stay runs the try-out in this process and returns its first line and how it ends.
func stay(g Gomega) (a trial.Addresses, ended <-chan int) {
	out, in := io.Pipe()
	codes := make(chan int, 1)
	var run errgroup.Group
	run.Go(func() error {
		codes <- command.RunDaemon([]string{"try", "--stay"}, in, &bytes.Buffer{})
		return in.Close()
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(json.Unmarshal(line, &a)).To(Succeed())
	return a, codes
}

func signalSelf(g Gomega) { g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed()) }

// question opens a stream and returns its body once the first event was read.
func question(g Gomega, a trial.Addresses) *bufio.Reader {
	body := `{"model":"` + string(a.Pools["model"]) + `","stream":true,"messages":[{"role":"user","content":"The stall rules, please"}]}`
	req, err := http.NewRequest(http.MethodPost, a.Callers+"/v1/chat/completions", strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	for _, key := range a.Keys {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusOK))
	r := bufio.NewReader(res.Body)
	_, err = r.ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// The process ends with 0 after a signal, and the open stream comes whole.
func TestStaySignal(t *testing.T) {
	g := NewWithT(t)
	a, ended := stay(g)
	g.Expect(a.Keys).To(HaveLen(2))
	g.Expect(a.Zones).To(HaveLen(2))
	for _, url := range []string{a.Callers, a.Operators, a.Control} {
		g.Expect(url).To(HavePrefix("http://127.0.0.1:"))
	}
	rest := question(g, a)
	signalSelf(g)
	text, err := io.ReadAll(rest)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(HaveSuffix("data: [DONE]\n\n"))
	g.Eventually(ended).WithTimeout(patient).Should(Receive(Equal(command.ExitOK)))
}

// A second signal ends the process at once, with another code than 0.
func TestStaySecondSignal(t *testing.T) {
	g := NewWithT(t)
	a, ended := stay(g)
	question(g, a)
	signalSelf(g)
	g.Consistently(ended).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
	signalSelf(g)
	g.Eventually(ended).WithTimeout(patient).Should(Receive(Equal(command.ExitFailed)))
}
