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

// exitTimeout bounds the wait for the process to exit after a signal.
const exitTimeout = 30 * time.Second

// startTrial runs "skylarkloomd try --stay" in this process and returns the
// addresses from its first line of output, and its exit code once it ends.
func startTrial(g Gomega) (a trial.Addresses, exitCode <-chan int) {
	out, in := io.Pipe()
	exitCodes := make(chan int, 1)
	var group errgroup.Group
	group.Go(func() error {
		exitCodes <- command.RunDaemon([]string{"try", "--stay"}, in, &bytes.Buffer{})
		return in.Close()
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(json.Unmarshal(line, &a)).To(Succeed())
	return a, exitCodes
}

func signalSelf(g Gomega) { g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed()) }

// openStream opens a chat stream and returns its body after the first event.
func openStream(g Gomega, a trial.Addresses) *bufio.Reader {
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

// After a signal the process exits with 0, and the open stream is served to its end.
func TestStaySignal(t *testing.T) {
	g := NewWithT(t)
	a, exitCode := startTrial(g)
	g.Expect(a.Keys).To(HaveLen(2))
	g.Expect(a.Zones).To(HaveLen(2))
	for _, url := range []string{a.Callers, a.Operators, a.Control} {
		g.Expect(url).To(HavePrefix("http://127.0.0.1:"))
	}
	rest := openStream(g, a)
	signalSelf(g)
	text, err := io.ReadAll(rest)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(HaveSuffix("data: [DONE]\n\n"))
	g.Eventually(exitCode).WithTimeout(exitTimeout).Should(Receive(Equal(command.ExitOK)))
}

// A second signal ends the process immediately with a non-zero exit code.
func TestStaySecondSignal(t *testing.T) {
	g := NewWithT(t)
	a, exitCode := startTrial(g)
	openStream(g, a)
	signalSelf(g)
	g.Consistently(exitCode).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
	signalSelf(g)
	g.Eventually(exitCode).WithTimeout(exitTimeout).Should(Receive(Equal(command.ExitFailed)))
}
