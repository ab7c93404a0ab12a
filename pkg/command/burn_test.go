package command_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/burn"
	"github.com/skylarkloom/skylarkloom/pkg/command"
)

// sendChat sends a chat request through the load balancer of the trial.
func sendChat() {
	body := strings.NewReader(`{"model":"loom-servers","messages":[{"role":"user","content":"hello"}]}`)
	req, err := http.NewRequest(http.MethodPost, addresses.Callers+"/v1/chat/completions", body)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+addresses.Keys["season-plans"])
	res, err := http.DefaultClient.Do(req)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, res.Body.Close()).To(Succeed())
	ExpectWithOffset(1, res.StatusCode).To(Equal(http.StatusOK))
}

var _ = It("skylarkctl burn merges the reports of the nodes and omits those that do not respond", func() {
	sendChat()
	html := filepath.Join(GinkgoT().TempDir(), "burn.html")
	args := []string{"burn", "--token-file", tokenFile, "--html", html}
	for _, n := range fleetTrial.Nodes {
		args = append(args, "--address", n.OperatorAddress())
	}
	Eventually(func(g Gomega) {
		r := run(command.ControlProgram(), append(args, "--address", freeAddress(), "--json")...)
		g.Expect(r.Code).To(Equal(command.ExitOK), r.Err)
		g.Expect(r.Err).To(ContainSubstring("left out of the report"))
		var report burn.Report
		g.Expect(json.Unmarshal([]byte(r.Out), &report)).To(Succeed())
		g.Expect(report.Nodes).To(HaveLen(3))
		g.Expect(report.Lines).To(ContainElement(HaveField("AccountPool", burn.AccountPool{Account: "season-plans", Pool: "loom-servers"})))
	}).Should(Succeed())
	r := run(command.ControlProgram(), args...)
	Expect(r.Out).To(MatchRegexp(`season-plans +loom-servers +0.95`))
	page, err := os.ReadFile(html)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(page)).To(ContainSubstring("<svg"))
	r = control("bill")
	Expect(r.Code).To(Equal(command.ExitOK), r.Err)
	Expect(r.Out).To(MatchRegexp(`loom-servers +reclaimable +6 +`))
})
